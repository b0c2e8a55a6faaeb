"""Free capacity while a plan is being made."""

import collections
from collections.abc import Iterable

from magnoliaglade.jobs import Resources
from magnoliaglade.placement._model import (
    Allocation,
    Candidate,
    Demand,
    Snapshot,
    UnitId,
)
from magnoliaglade.types import RackId, ServiceName, WorkerId

_NOTHING = Resources()


class Room:
    """Free and soon free capacity of each worker.

    Attributes:
        free: capacity that is free now, by worker.
        coming: capacity of runs that are stopping, by worker.
        blocked_until_s: until when a worker is kept for a gang.
        allocations: runs by worker.
    """

    def __init__(self, *, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.candidates = {c.worker: c for c in snapshot.candidates}
        self.free = {c.worker: c.capacity for c in snapshot.candidates}
        self.coming: dict[WorkerId, Resources] = {}
        self.blocked_until_s: dict[WorkerId, float] = {}
        self.allocations: dict[WorkerId, list[Allocation]] = {}
        self._eligible: dict[
            tuple[ServiceName, str, frozenset[WorkerId]],
            dict[RackId, list[Candidate]],
        ] = {}
        self._placed: collections.Counter[tuple[UnitId, WorkerId]] = (
            collections.Counter()
        )
        for allocation in snapshot.allocations:
            self._add_allocation(allocation)

    def racks(self, demand: Demand) -> dict[RackId, list[Candidate]]:
        """Returns the workers that may run a demand, by rack."""
        key = (demand.service, demand.label, demand.excluded_workers)
        if key not in self._eligible:
            found: dict[RackId, list[Candidate]] = {}
            for candidate in self.snapshot.candidates:
                if is_eligible(candidate, demand):
                    found.setdefault(candidate.rack, []).append(candidate)
            self._eligible[key] = found
        return self._eligible[key]

    def slots(
        self,
        demand: Demand,
        worker: WorkerId,
        *,
        with_coming: bool = False,
        extra: Resources | None = None,
    ) -> int:
        """Returns how many tasks of a demand fit on a worker.

        Args:
            demand: what is placed.
            worker: the worker.
            with_coming: counts capacity of runs that are stopping.
            extra: capacity to count in addition.
        """
        space = self.free[worker]
        is_all = extra is None and not with_coming
        if is_all and space.accelerators < demand.resources.accelerators:
            return 0
        if self._is_blocked(demand, worker):
            return 0
        if with_coming and worker in self.coming:
            space += self.coming[worker]
        if extra is not None:
            space += extra
        count = space.fit_count(demand.resources)
        if demand.max_per_worker:
            used = self._placed[demand.unit, worker]
            count = min(count, demand.max_per_worker - used)
        return max(0, count)

    def take(self, demand: Demand, workers: Iterable[WorkerId]) -> None:
        """Marks capacity as used by one task on each worker given."""
        for worker in workers:
            self.free[worker] -= demand.resources
            self._placed[demand.unit, worker] += 1

    def expect(self, worker: WorkerId, resources: Resources) -> None:
        """Counts capacity of a worker that is about to become free."""
        if worker in self.free:
            before = self.coming.get(worker, _NOTHING)
            self.coming[worker] = before + resources

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

    def _add_allocation(self, allocation: Allocation) -> None:
        if allocation.worker not in self.free:
            return
        self.free[allocation.worker] -= allocation.demand
        self.allocations.setdefault(allocation.worker, []).append(allocation)
        self._placed[allocation.unit, allocation.worker] += 1
        if allocation.is_stopping:
            self.expect(allocation.worker, allocation.demand)


def is_eligible(candidate: Candidate, demand: Demand) -> bool:
    """Tells whether a worker may run tasks of a demand at all."""
    return (
        candidate.is_schedulable
        and candidate.service == demand.service
        and candidate.worker not in demand.excluded_workers
        and (not demand.label or demand.label in candidate.labels)
    )
