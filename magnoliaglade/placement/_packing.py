"""Bin packing of the tasks of one demand onto workers.

Limits fragmentation: tasks go to the workers on which they leave the fewest
accelerators unused, so that whole workers and racks stay free for large gangs.

In a pool whose workers differ lastingly, tasks of batch work go to the slow
ones while they are on time there, so that urgent gangs find the fast ones free.
"""

import collections
from collections.abc import Callable, Iterable, Mapping, Sequence

from magnoliaglade.placement._capacity_tracker import CapacityTracker
from magnoliaglade.placement._model import Candidate, Demand
from magnoliaglade.types import RackId, WorkerId

Slots = Callable[[WorkerId], int]

# Speeds in this range are not distinguished when urgent tasks are placed: the
# estimates are about as exact.
SPEED_STEP = 0.2
# Speed, relative to the lasting speed of the worker, below which it counts as
# slow: urgent tasks there miss their objective, and other tasks go elsewhere
# if they can.
SLOW_SPEED = 0.6


def is_unfit_for_urgent_work(candidate: Candidate) -> bool:
    """Returns whether urgent tasks on a worker are likely to be late.

    A worker that is lastingly slow is as fit as others of its kind: urgent work
    prefers faster ones, but does not stop other work in order to avoid it. The
    limit counts once more for a worker that is slow beyond all sound kinds.
    """
    kind_speed = min(1.0, max(SLOW_SPEED, candidate.lasting_speed))
    return candidate.is_overdue or candidate.speed < SLOW_SPEED * kind_speed


def slowest_speed(candidates: Iterable[Candidate]) -> float:
    """Returns the speed of a gang on these workers: that of the slowest.

    It is 1 for no workers, as for average ones.
    """
    return min((c.speed for c in candidates), default=1.0)


def speed_level(speed: float) -> int:
    """Returns the number of whole steps in a speed.

    Speeds that differ by less than `SPEED_STEP` are not distinguished.
    """
    return round(speed / SPEED_STEP)


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
    chosen = _take(usable, fitting, count)
    if demand.is_gang and demand.priority == 0 and len(chosen) == count:
        chosen = _take(_equally_fast(usable, chosen, demand), fitting, count)
    return chosen


def _take(
    usable: Iterable[Candidate], fitting: Mapping[WorkerId, int], count: int
) -> list[WorkerId]:
    """Returns a worker for each of up to `count` tasks, filling in order."""
    chosen: list[WorkerId] = []
    for candidate in usable:
        taken = min(fitting[candidate.worker], count - len(chosen))
        chosen.extend([candidate.worker] * taken)
        if len(chosen) == count:
            break
    return chosen


def _equally_fast(
    usable: Sequence[Candidate], chosen: Sequence[WorkerId], demand: Demand
) -> list[Candidate]:
    """Returns the workers on which a gang is as fast as on the chosen ones.

    The lastingly slow ones come first: beside a slow member, fast workers only
    wait, and are missing to other gangs.
    """
    members = [c for c in usable if c.worker in set(chosen)]
    if any(is_unfit_for_urgent_work(c) for c in members):
        return list(usable)
    slowest = speed_level(slowest_speed(members))
    return sorted(
        (c for c in usable if speed_level(c.speed) >= slowest),
        key=lambda c: (
            c.suspicion,
            _is_off_data_rack(c, demand),
            speed_level(c.lasting_speed),
        ),
    )


def _preference(
    candidate: Candidate,
    demand: Demand,
    tracker: CapacityTracker,
    rack_rank: Mapping[RackId, int],
) -> tuple[float, bool, tuple[float, float], int, int, int]:
    free = tracker.free[candidate.worker]
    need = demand.resources.accelerators
    unused_accelerators = free.accelerators % need if need else 0
    return (
        candidate.suspicion,
        _is_off_data_rack(candidate, demand),
        _speed_preference(candidate, demand, now_s=tracker.snapshot.now_s),
        rack_rank[candidate.rack],
        unused_accelerators,
        free.accelerators,
    )


def _fills_racks(demand: Demand, tracker: CapacityTracker) -> bool:
    """Returns whether a demand goes to the rack that is fullest already.

    Batch work that may run anywhere would otherwise hold a few accelerators of
    each rack, so that no rack is ever free for a gang that needs one.
    """
    return (
        tracker.do_racks_matter and demand.priority > 0 and not demand.has_rack
    )


def _is_off_data_rack(candidate: Candidate, demand: Demand) -> bool:
    return bool(demand.data_rack) and demand.data_rack not in candidate.labels


def _speed_preference(
    candidate: Candidate, demand: Demand, *, now_s: float
) -> tuple[float, float]:
    """Returns a sort key: fast workers first for urgent tasks.

    Other tasks avoid workers that are unfit for urgent ones. Among the others
    they prefer those that are lastingly slow, unless they would miss their
    objective only there; equal workers are packed densely.
    """
    if is_unfit_for_urgent_work(candidate):
        return (float("inf"), 0.0)
    if demand.priority == 0:
        return (0.0, -speed_level(candidate.speed))
    level = speed_level(candidate.lasting_speed)
    if _is_late_by_speed(candidate, demand, now_s=now_s):
        return (1.0, -level)
    return (0.0, level)


def _is_late_by_speed(
    candidate: Candidate, demand: Demand, *, now_s: float
) -> bool:
    """Returns whether a result loses value only by a slow worker."""
    if candidate.lasting_speed >= 1.0:
        return False
    latest_start_s = demand.latest_start_s
    if now_s > latest_start_s:
        latest_start_s = demand.latest_useful_start_s
    extra_s = demand.estimate_s * (1.0 / candidate.lasting_speed - 1.0)
    return now_s <= latest_start_s < now_s + extra_s


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
