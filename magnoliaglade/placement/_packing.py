"""Packs the tasks of one demand onto workers that have room.

Answers fragmentation: tasks go where they leave the least accelerators over,
so that whole workers and racks stay free for large gangs.
"""

import collections
from collections.abc import Callable, Sequence

from magnoliaglade.placement._model import Candidate, Demand
from magnoliaglade.placement._room import Room
from magnoliaglade.types import RackId, WorkerId

Slots = Callable[[WorkerId], int]


def pack(
    demand: Demand,
    candidates: Sequence[Candidate],
    *,
    room: Room,
    slots: Slots,
    count: int,
) -> list[WorkerId] | None:
    """Returns a worker for each of `count` tasks, or None if they don't fit.

    Args:
        demand: what is placed.
        candidates: workers to choose from.
        room: free capacity.
        slots: tasks that fit on a worker.
        count: number of tasks.
    """
    chosen = pack_some(demand, candidates, room=room, slots=slots, count=count)
    return chosen if len(chosen) == count else None


def pack_some(
    demand: Demand,
    candidates: Sequence[Candidate],
    *,
    room: Room,
    slots: Slots,
    count: int,
) -> list[WorkerId]:
    """Returns workers for as many of `count` tasks as fit."""
    fitting = {c.worker: slots(c.worker) for c in candidates}
    usable = [c for c in candidates if fitting[c.worker]]
    if not usable:
        return []
    in_rack = _free_by_rack(candidates, room)
    usable.sort(
        key=lambda c: (_preference(c, demand, room), in_rack[c.rack], c.worker)
    )
    chosen: list[WorkerId] = []
    for candidate in usable:
        taken = min(fitting[candidate.worker], count - len(chosen))
        chosen.extend([candidate.worker] * taken)
        if len(chosen) == count:
            break
    return chosen


def _preference(
    candidate: Candidate, demand: Demand, room: Room
) -> tuple[float, bool, int, int]:
    free = room.free[candidate.worker]
    need = demand.resources.accelerators
    left_over = free.accelerators % need if need else 0
    return (
        candidate.suspicion,
        bool(demand.data_rack) and demand.data_rack not in candidate.labels,
        left_over,
        free.accelerators,
    )


def _free_by_rack(
    candidates: Sequence[Candidate], room: Room
) -> collections.Counter[RackId]:
    """Returns the free accelerators of each rack.

    Of equal workers the one in the fullest rack is used, so that other racks
    stay free for gangs that need one for themselves.
    """
    found: collections.Counter[RackId] = collections.Counter()
    for candidate in candidates:
        found[candidate.rack] += room.free[candidate.worker].accelerators
    return found
