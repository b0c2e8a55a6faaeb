"""Bin packing of the tasks of one demand onto workers.

Limits fragmentation: tasks go to the workers on which they leave the fewest
accelerators unused, so that whole workers and racks stay free for large gangs.
"""

import collections
from collections.abc import Callable, Mapping, Sequence

from magnoliaglade.placement._capacity_tracker import CapacityTracker
from magnoliaglade.placement._model import Candidate, Demand
from magnoliaglade.types import RackId, WorkerId

Slots = Callable[[WorkerId], int]

# Speeds in this range are not distinguished when urgent tasks are placed: the
# estimates are about as exact.
SPEED_STEP = 0.2
# Speed below which a worker counts as slow: urgent tasks there miss their
# objective, and other tasks go elsewhere if they can.
SLOW_SPEED = 0.6


def is_unfit_for_urgent_work(candidate: Candidate) -> bool:
    """Returns whether urgent tasks on a worker are likely to be late."""
    return candidate.is_overdue or candidate.speed < SLOW_SPEED


def pack(
    demand: Demand,
    candidates: Sequence[Candidate],
    *,
    tracker: CapacityTracker,
    slots: Slots,
    count: int,
) -> list[WorkerId] | None:
    """Returns a worker for each of `count` tasks, or None if they don't fit.

    Args:
        demand: the demand to place.
        candidates: workers to choose from.
        tracker: free capacity of the workers.
        slots: returns how many tasks fit on a worker.
        count: number of tasks.
    """
    chosen = pack_partially(
        demand, candidates, tracker=tracker, slots=slots, count=count
    )
    return chosen if len(chosen) == count else None


def pack_partially(
    demand: Demand,
    candidates: Sequence[Candidate],
    *,
    tracker: CapacityTracker,
    slots: Slots,
    count: int,
) -> list[WorkerId]:
    """Returns a worker for each of the tasks that fit, at most `count`."""
    fitting = {c.worker: slots(c.worker) for c in candidates}
    usable = [c for c in candidates if fitting[c.worker]]
    if not usable:
        return []
    free_in_rack = _free_accelerators_by_rack(candidates, tracker)
    rack_rank = (
        free_in_rack if _fills_racks(demand, tracker) else collections.Counter()
    )
    usable.sort(
        key=lambda c: (
            _preference(c, demand, tracker, rack_rank),
            free_in_rack[c.rack],
            c.worker,
        )
    )
    chosen: list[WorkerId] = []
    for candidate in usable:
        taken = min(fitting[candidate.worker], count - len(chosen))
        chosen.extend([candidate.worker] * taken)
        if len(chosen) == count:
            break
    return chosen


def _preference(
    candidate: Candidate,
    demand: Demand,
    tracker: CapacityTracker,
    rack_rank: Mapping[RackId, int],
) -> tuple[float, bool, float, int, int, int]:
    free = tracker.free[candidate.worker]
    need = demand.resources.accelerators
    unused_accelerators = free.accelerators % need if need else 0
    return (
        candidate.suspicion,
        bool(demand.data_rack) and demand.data_rack not in candidate.labels,
        _slowness(candidate, demand),
        rack_rank[candidate.rack],
        unused_accelerators,
        free.accelerators,
    )


def _fills_racks(demand: Demand, tracker: CapacityTracker) -> bool:
    """Returns whether a demand goes to the rack that is fullest already.

    Batch work that may run anywhere would otherwise hold a few accelerators of
    each rack, so that no rack is ever free for a gang that needs one.
    """
    has_rack = demand.same_rack or bool(demand.data_rack)
    return tracker.do_racks_matter and demand.priority > 0 and not has_rack


def _slowness(candidate: Candidate, demand: Demand) -> float:
    """Returns a sort key: fast workers first for urgent tasks.

    Other tasks only avoid workers that are unfit for urgent ones, so that they
    are packed densely.
    """
    if is_unfit_for_urgent_work(candidate):
        return float("inf")
    if demand.priority > 0:
        return 0.0
    return -round(candidate.speed / SPEED_STEP)


def _free_accelerators_by_rack(
    candidates: Sequence[Candidate], tracker: CapacityTracker
) -> collections.Counter[RackId]:
    """Returns the number of free accelerators of each rack.

    Among equal workers, one in the rack with the fewest is used, so that other
    racks stay free for gangs that need a whole rack.
    """
    found: collections.Counter[RackId] = collections.Counter()
    for candidate in candidates:
        found[candidate.rack] += tracker.free[candidate.worker].accelerators
    return found
