"""Tracks the free capacity of workers while a plan is built."""

import collections
import functools
from collections.abc import Callable, Iterable

from magnoliaglade.jobs import Resources
from magnoliaglade.placement._model import (
    Allocation,
    Candidate,
    Demand,
    Snapshot,
    UnitId,
)
from magnoliaglade.types import RackId, ServiceName, WorkerId

_NO_RESOURCES = Resources()


class CapacityTracker:
    """Tracks capacity of each worker that is free or being released.

    Attributes:
        do_racks_matter: work off its rack is slower in this deployment.
        free: capacity that is free now, by worker.
        releasing: capacity of runs that are stopping, by worker.
        reserved_until_s: time at which the gang that holds the reservation
            needs the worker, by worker.
        allocations: allocations by worker.
    """

    def __init__(
        self, *, snapshot: Snapshot, do_racks_matter: bool = False
    ) -> None:
        self.snapshot = snapshot
        self.do_racks_matter = do_racks_matter
        self.candidates = {c.worker: c for c in snapshot.candidates}
        self.free = {c.worker: c.capacity for c in snapshot.candidates}
        self.releasing: dict[WorkerId, Resources] = {}
        self.reserved_until_s: dict[WorkerId, float] = {}
        self.allocations: dict[WorkerId, list[Allocation]] = {}
        self._eligible: dict[
            tuple[ServiceName, str, frozenset[WorkerId]],
            dict[RackId, list[Candidate]],
        ] = {}
        self._placed: collections.Counter[tuple[UnitId, WorkerId]] = (
            collections.Counter()
        )
        self._placed_units: set[UnitId] = set()
        for allocation in snapshot.allocations:
            self._add_allocation(allocation)

    def candidates_by_rack(
        self, demand: Demand
    ) -> dict[RackId, list[Candidate]]:
        """Returns the workers that are eligible for a demand, by rack."""
        key = (demand.service, demand.label, demand.excluded_workers)
        if key not in self._eligible:
            eligible = [
                c for c in self.snapshot.candidates if is_eligible(c, demand)
            ]
            found: dict[RackId, list[Candidate]] = {}
            for candidate in _select_trusted(eligible):
                found.setdefault(candidate.rack, []).append(candidate)
            self._eligible[key] = found
        return self._eligible[key]

    def slots(
        self,
        demand: Demand,
        worker: WorkerId,
        *,
        include_releasing: bool = False,
        extra: Resources | None = None,
    ) -> int:
        """Returns how many tasks of a demand fit on a worker.

        Args:
            demand: the demand.
            worker: the worker.
            include_releasing: whether capacity of runs that are stopping
                counts as free.
            extra: further capacity that counts as free.
        """
        space = self.free[worker]
        counts_free_only = extra is None and not include_releasing
        if (
            counts_free_only
            and space.accelerators < demand.resources.accelerators
        ):
            return 0
        if self._is_reserved(demand, worker):
            return 0
        if include_releasing and worker in self.releasing:
            space += self.releasing[worker]
        if extra is not None:
            space += extra
        count = space.fit_count(demand.resources)
        if demand.max_per_worker:
            used = self._placed[demand.unit, worker]
            count = min(count, demand.max_per_worker - used)
        return max(0, count)

    def slots_with_releasing(self, demand: Demand) -> Callable[[WorkerId], int]:
        """Returns `slots` that counts runs that are stopping as free."""
        return functools.partial(self.slots, demand, include_releasing=True)

    def has_placed(self, unit: UnitId) -> bool:
        """Returns whether a task of a unit is on any worker."""
        return unit in self._placed_units

    def allocate(self, demand: Demand, workers: Iterable[WorkerId]) -> None:
        """Allocates one task to each element of `workers`."""
        for worker in workers:
            self.free[worker] -= demand.resources
            self._placed[demand.unit, worker] += 1
            self._placed_units.add(demand.unit)

    def add_releasing(self, worker: WorkerId, resources: Resources) -> None:
        """Adds to the capacity that a worker is about to release."""
        if worker in self.free:
            before = self.releasing.get(worker, _NO_RESOURCES)
            self.releasing[worker] = before + resources

    def reserve(self, workers: Iterable[WorkerId], *, until_s: float) -> None:
        """Reserves workers: no task that would end after `until_s` fits."""
        for worker in workers:
            self.reserved_until_s[worker] = until_s

    def _is_reserved(self, demand: Demand, worker: WorkerId) -> bool:
        # Backfilling: a task may use the worker if it ends before the gang
        # needs the worker.
        until_s = self.reserved_until_s.get(worker)
        if until_s is None:
            return False
        run_time_s = demand.estimate_s / self.candidates[worker].lasting_speed
        return self.snapshot.now_s + run_time_s > until_s

    def _add_allocation(self, allocation: Allocation) -> None:
        if allocation.worker not in self.free:
            return
        self.free[allocation.worker] -= allocation.demand
        self.allocations.setdefault(allocation.worker, []).append(allocation)
        self._placed[allocation.unit, allocation.worker] += 1
        self._placed_units.add(allocation.unit)
        if allocation.is_stopping:
            self.add_releasing(allocation.worker, allocation.demand)


def _select_trusted(eligible: list[Candidate]) -> list[Candidate]:
    """Leaves out quarantined workers, unless they are more than half.

    Failures on most workers are more likely due to the work: without this
    limit, a few faulty jobs keep all others from the pool.
    """
    trusted = [c for c in eligible if not c.is_quarantined]
    return trusted if 2 * len(trusted) >= len(eligible) else eligible


def is_eligible(candidate: Candidate, demand: Demand) -> bool:
    """Returns whether a worker may run a demand, regardless of capacity."""
    return (
        candidate.is_schedulable
        and candidate.service == demand.service
        and candidate.worker not in demand.excluded_workers
        and (not demand.label or demand.label in candidate.labels)
    )
