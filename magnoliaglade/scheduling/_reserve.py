"""Reservations: workers kept for a waiting gang, and backfill beside them."""

from collections.abc import Mapping

from magnoliaglade.scheduling import _capacity, _model, _order
from magnoliaglade.types import WorkerId

# Workers held for more gangs than this would stand idle for long, as the
# ends of running work are only estimates.
RESERVATIONS_MAX = 1

# Workers are kept only for a gang that can probably start within this time.
# Kept earlier, they stood idle for longer than the estimates are worth: small
# work took 0.999 of first-fit's mean instead of 0.967, and 0.973 instead of
# 0.983 of its work was done in a zone outage (bench_jobs, seeds 5-9).
RESERVATION_HORIZON_S = 120.0

# Multiple of the expected run time that a backfilled gang must have until
# the reservation is due. With a margin of 2 small work took slightly longer in
# bench_jobs.
_BACKFILL_RUNS = 1.0


class Reserver:
    """Keeps workers for gangs that cannot start yet.

    A gang that starts on kept workers must probably end before the
    reservation is due (backfill).
    """

    def __init__(
        self,
        *,
        snapshot: _model.ClusterSnapshot,
        capacity: _capacity.Capacity,
    ) -> None:
        self.snapshot = snapshot
        self.capacity = capacity
        self.reservations: list[_model.Reservation] = []
        # Smallest number of tasks known to start beyond the horizon; without
        # it each gang of a long queue would search all workers.
        self._too_late: dict[tuple, int] = {}
        self._ends: dict[WorkerId, float] | None = None

    @property
    def is_full(self) -> bool:
        """Whether no further gang gets a reservation."""
        return len(self.reservations) >= RESERVATIONS_MAX

    def withheld_from(self, gang: _model.Gang) -> frozenset[WorkerId]:
        """Returns the workers that the gang must not use."""
        if not self.reservations:
            return frozenset()
        run_s = _order.expected_run_s(self.snapshot, gang)
        end = self.snapshot.now_s + _BACKFILL_RUNS * run_s
        late = [r.workers for r in self.reservations if end > r.until_s]
        return frozenset().union(*late)

    def reserve(self, gang: _model.Gang) -> None:
        """Keeps the workers on which the gang can start the earliest."""
        key = (gang.shape, gang.adjacency)
        if gang.tasks >= self._too_late.get(key, gang.tasks + 1):
            return
        taken = frozenset().union(*(r.workers for r in self.reservations))
        slots = {}
        for w in self.capacity.usable:
            if w in taken:
                continue
            total = self.capacity.workers[w].shape
            if n := _capacity.slots_in(
                total.cores, total.memory_gb, total.accelerators, gang.shape
            ):
                slots[w] = n
        best: tuple[float, list[WorkerId]] | None = None
        for members in _capacity.groups(
            self.capacity.workers, gang.adjacency, slots
        ):
            found = self._earliest(gang, members, slots)
            if found and (best is None or found[0] < best[0]):
                best = found
        horizon_s = self.snapshot.now_s + RESERVATION_HORIZON_S
        if best is None or best[0] > horizon_s:
            self._too_late[key] = gang.tasks
            return
        self.reservations.append(
            _model.Reservation(
                job=gang.job, workers=frozenset(best[1]), until_s=best[0]
            )
        )

    def _earliest(
        self,
        gang: _model.Gang,
        members: list[WorkerId],
        slots: Mapping[WorkerId, int],
    ) -> tuple[float, list[WorkerId]] | None:
        """Adds workers in order of the time at which they become empty."""
        if sum(slots[w] for w in members) < gang.tasks:
            return None
        timed = sorted((self._empty_at(w), w) for w in members)
        chosen, left = [], gang.tasks
        for end, w in timed:
            chosen.append(w)
            left -= slots[w]
            if left <= 0:
                return end, chosen
        return None

    def _empty_at(self, worker: WorkerId) -> float:
        if self._ends is None:
            self._ends = self._latest_ends()
        return self._ends.get(worker, self.snapshot.now_s)

    def _latest_ends(self) -> dict[WorkerId, float]:
        latest: dict[WorkerId, float] = {}
        for job, running in self.snapshot.running.items():
            end = _order.expected_end_s(self.snapshot, job)
            for w, _ in running.placement.assignments:
                if end > latest.get(w, 0.0):
                    latest[w] = end
        return latest
