"""Finds out when racks have room for a gang as running work ends."""

from collections.abc import Sequence

from magnoliaglade.jobs import Resources
from magnoliaglade.placement import _gang_packing, _rack_choice
from magnoliaglade.placement._capacity_tracker import CapacityTracker
from magnoliaglade.placement._model import Allocation, Candidate, Demand
from magnoliaglade.types import WorkerId


class RackOutlook:
    """Expected ends of the runs on each worker in the near future.

    Attributes:
        tracker: capacity during the plan.
        stop_s: longest time that a worker takes to stop a run, in seconds.
    """

    def __init__(self, *, tracker: CapacityTracker, stop_s: float) -> None:
        self.tracker = tracker
        self.stop_s = stop_s
        self._now_s = tracker.snapshot.now_s
        self._ends: dict[WorkerId, list[tuple[float, Allocation]]] = {}
        self._ending: dict[WorkerId, int] = {}

    def earliest(
        self, demand: Demand, group: Sequence[Candidate], *, until_s: float
    ) -> tuple[float, list[WorkerId]] | None:
        """Returns when a group is expected to hold a gang, and the workers.

        Args:
            demand: the gang.
            group: the workers of a rack.
            until_s: latest time that counts.

        Returns:
            A time and a worker for each task, or None if the group does not
            hold the gang by then.
        """
        if until_s < self._now_s or not self._is_feasible(demand, group):
            return None
        workers = [c.worker for c in group]
        slots = {w: self.tracker.slots(demand, w) for w in workers}
        total = sum(slots.values())
        ended: dict[WorkerId, Resources] = {}
        ends = sorted(
            (end for w in workers for end in self._ends_on(w)),
            key=lambda end: end[0],
        )
        for at_s, allocation in ends:
            if at_s > until_s:
                return None
            worker = allocation.worker
            before = ended.get(worker)
            ended[worker] = (
                before + allocation.demand if before else allocation.demand
            )
            fitting = self.tracker.slots(demand, worker, extra=ended[worker])
            total += fitting - slots[worker]
            slots[worker] = fitting
            if total >= len(demand.indexes):
                chosen = _gang_packing.pack_by_speed(
                    demand, group, slots.__getitem__, self.tracker
                )
                return (at_s, chosen) if chosen else None
        return None

    def _is_feasible(self, demand: Demand, group: Sequence[Candidate]) -> bool:
        """Returns whether the accelerators suffice after all ends in time."""
        need = demand.resources.accelerators
        if not need:
            return True
        total = 0
        for candidate in group:
            worker = candidate.worker
            if worker not in self._ends:
                self._ends_on(worker)
            free = self.tracker.free[worker].accelerators
            free += self._ending[worker]
            if free >= need:
                total += free // need
        return total >= len(demand.indexes)

    def _ends_on(self, worker: WorkerId) -> list[tuple[float, Allocation]]:
        """Returns the ends on a worker within the longest wait."""
        if worker not in self._ends:
            latest_s = self._now_s + _rack_choice.MAX_WAIT_S
            ends = [
                (at_s, allocation)
                for allocation in self.tracker.allocations.get(worker, ())
                if (at_s := self._end_s(allocation)) <= latest_s
            ]
            self._ends[worker] = ends
            self._ending[worker] = sum(a.demand.accelerators for _, a in ends)
        return self._ends[worker]

    def _end_s(self, allocation: Allocation) -> float:
        end_s = max(self._now_s, allocation.ends_at_s)
        if allocation.is_stopping:
            end_s = min(end_s, self._now_s + self.stop_s)
        return end_s
