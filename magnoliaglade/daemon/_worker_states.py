"""What the owners in a process learn about workers and zones."""

import dataclasses
from collections.abc import Mapping

from magnoliaglade import clock as clock_lib
from magnoliaglade import scheduling
from magnoliaglade.types import JobId, WorkerId, ZoneId


class WorkerHealth:
    """Quarantines workers on which distinct jobs fail."""

    def __init__(
        self, *, clock: clock_lib.Clock, quarantine: scheduling.Quarantine
    ) -> None:
        self.clock = clock
        self.quarantine = quarantine

    def note(self, worker: WorkerId, job: JobId, is_success: bool) -> None:
        """Notes an outcome; see `OwnerHooks.on_outcome`."""
        seen = scheduling.TaskOutcome(
            job=job,
            worker=worker,
            at_s=self.clock.time(),
            failed=not is_success,
        )
        self.quarantine.partial_fit([seen])

    def with_states(
        self, workers: Mapping[WorkerId, scheduling.Worker]
    ) -> dict[WorkerId, scheduling.Worker]:
        """Returns the workers with their states; leaving ones keep theirs."""
        now_s = self.clock.time()
        states = self.quarantine.predict([(w, now_s) for w in workers])
        available = scheduling.WorkerState.AVAILABLE
        return {
            w: dataclasses.replace(x, state=state)
            if x.state is available and state is not available
            else x
            for (w, x), state in zip(workers.items(), states, strict=True)
        }

    def refine(
        self, snapshot: scheduling.ClusterSnapshot
    ) -> scheduling.ClusterSnapshot:
        """Returns the snapshot with the workers that each job avoids."""
        avoided = self.quarantine.avoided(
            [g.job for g in snapshot.pending], now_s=self.clock.time()
        )
        return dataclasses.replace(snapshot, avoided=avoided)


class ZoneReturns:
    """Remembers when zones came back into service.

    An owner that takes a zone over during its ramp does not know of the
    return and uses all workers at once.
    """

    def __init__(self, *, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self._removed: set[ZoneId] = set()
        self._returned_at_s: dict[ZoneId, float] = {}

    def observe(self, zone: ZoneId, *, is_removed: bool) -> None:
        """Notes whether a zone is removed now."""
        if is_removed:
            self._removed.add(zone)
            self._returned_at_s.pop(zone, None)
        elif zone in self._removed:
            self._removed.discard(zone)
            self._returned_at_s[zone] = self.clock.time()

    def apply(
        self, snapshot: scheduling.ClusterSnapshot
    ) -> scheduling.ClusterSnapshot:
        """Returns the snapshot with returned zones partly in use."""
        return scheduling.with_return_ramp(snapshot, self._returned_at_s)
