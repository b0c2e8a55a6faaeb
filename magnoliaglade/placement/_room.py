"""Free capacity while a plan is being made."""

import collections
from collections.abc import Iterable, Mapping

from magnoliaglade.jobs import Resources
from magnoliaglade.placement._model import (
    Candidate,
    Demand,
    Snapshot,
    UnitId,
    Use,
)
from magnoliaglade.types import RackId, WorkerId

_NOTHING = Resources()


class Room:
    """Free and soon free capacity of each worker.

    Attributes:
        free: capacity that is free now, by worker.
        coming: capacity of runs that are stopping, by worker.
    """

    def __init__(self, *, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.candidates = {c.worker: c for c in snapshot.candidates}
        self.free = {c.worker: c.capacity for c in snapshot.candidates}
        self.coming: dict[WorkerId, Resources] = {}
        self.blocked_until_s: dict[WorkerId, float] = {}
        self._placed: collections.Counter[tuple[UnitId, WorkerId]] = (
            collections.Counter()
        )
        for use in snapshot.uses:
            self._add_use(use)

    def racks(self, demand: Demand) -> dict[RackId, list[Candidate]]:
        """Returns the workers that may run a demand, by rack."""
        found: dict[RackId, list[Candidate]] = {}
        for candidate in self.snapshot.candidates:
            if is_eligible(candidate, demand):
                found.setdefault(candidate.rack, []).append(candidate)
        return found

    def slots(
        self,
        demand: Demand,
        worker: WorkerId,
        *,
        with_coming: bool = False,
        freed: Mapping[WorkerId, Resources] | None = None,
    ) -> int:
        """Returns how many tasks of a demand fit on a worker."""
        if self._is_blocked(demand, worker):
            return 0
        space = self.free[worker]
        if with_coming:
            space += self.coming.get(worker, _NOTHING)
        if freed:
            space += freed.get(worker, _NOTHING)
        count = space.count_of(demand.resources)
        if demand.max_per_worker:
            used = self._placed[demand.unit, worker]
            count = min(count, demand.max_per_worker - used)
        return max(0, count)

    def take(self, demand: Demand, workers: Iterable[WorkerId]) -> None:
        """Marks capacity as used by one task on each worker given."""
        for worker in workers:
            self.free[worker] -= demand.resources
            self._placed[demand.unit, worker] += 1

    def block(self, workers: Iterable[WorkerId], *, until_s: float) -> None:
        """Keeps workers free of tasks that would end after `until_s`."""
        for worker in workers:
            self.blocked_until_s[worker] = until_s

    def _is_blocked(self, demand: Demand, worker: WorkerId) -> bool:
        # Work that ends before the worker is needed may use it meanwhile.
        until_s = self.blocked_until_s.get(worker)
        if until_s is None:
            return False
        return self.snapshot.now_s + demand.estimate_s > until_s

    def _add_use(self, use: Use) -> None:
        if use.worker not in self.free:
            return
        self.free[use.worker] -= use.demand
        self._placed[use.unit, use.worker] += 1
        if use.is_stopping:
            coming = self.coming.get(use.worker, _NOTHING)
            self.coming[use.worker] = coming + use.demand


def is_eligible(candidate: Candidate, demand: Demand) -> bool:
    """Tells whether a worker may run tasks of a demand at all."""
    return (
        candidate.is_open
        and candidate.service == demand.service
        and candidate.worker not in demand.avoided
        and (not demand.label or demand.label in candidate.labels)
    )
