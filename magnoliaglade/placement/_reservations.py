"""Reservations: waiting gangs keep the workers that can hold them earliest.

Handles a large gang that waits while small tasks keep arriving: they would
occupy each part of its rack that becomes free.
"""

from collections.abc import Sequence

from magnoliaglade.jobs import Resources
from magnoliaglade.placement._capacity_tracker import CapacityTracker
from magnoliaglade.placement._model import Candidate, Demand


def reserve(
    demand: Demand,
    groups: Sequence[Sequence[Candidate]],
    tracker: CapacityTracker,
) -> bool:
    """Reserves the group that can hold a waiting gang earliest.

    Returns:
        Whether there is such a group.
    """
    options = []
    for group in groups:
        at_s = _available_at_s(demand, group, tracker)
        if at_s is not None:
            options.append((at_s, group))
    if not options:
        return False
    at_s, group = min(options, key=lambda o: o[0])
    tracker.reserve((c.worker for c in group), until_s=at_s)
    return True


def max_task_count(group: Sequence[Candidate], demand: Demand) -> int:
    """Returns how many tasks fit into a group when it is idle."""
    return sum(_fit_count(c.capacity, demand) for c in group)


def _available_at_s(
    demand: Demand, group: Sequence[Candidate], tracker: CapacityTracker
) -> float | None:
    """Returns when a group can hold a demand.

    None if it never can, or only after the end of runs that last: other
    work would wait for a time that is not reached.
    """
    free = {c.worker: tracker.free[c.worker] for c in group}
    slots = {w: _fit_count(f, demand) for w, f in free.items()}
    total = sum(slots.values())
    allocations = [
        a for c in group for a in tracker.allocations.get(c.worker, ())
    ]
    for allocation in sorted(allocations, key=lambda a: a.ends_at_s):
        if allocation.ends_at_s == float("inf"):
            return None
        free[allocation.worker] += allocation.demand
        fitting = _fit_count(free[allocation.worker], demand)
        total += fitting - slots[allocation.worker]
        slots[allocation.worker] = fitting
        if total >= len(demand.indexes):
            return max(allocation.ends_at_s, tracker.snapshot.now_s)
    return None


def _fit_count(free: Resources, demand: Demand) -> int:
    """Returns how many tasks of a demand fit on a worker without others."""
    count = free.fit_count(demand.resources)
    if demand.max_per_worker:
        count = min(count, demand.max_per_worker)
    return count
