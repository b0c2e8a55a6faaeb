"""Packs gangs on equally fast workers.

Handles urgent gangs on workers with different lasting speeds: a gang is as slow
as its slowest member, so faster workers beside a slow one are wasted on it.
"""

import functools
from collections.abc import Sequence

from magnoliaglade.placement import _packing, _rack_choice
from magnoliaglade.placement._capacity_tracker import CapacityTracker
from magnoliaglade.placement._model import Candidate, Demand
from magnoliaglade.types import WorkerId


def pack_by_speed(
    demand: Demand,
    group: Sequence[Candidate],
    slots: _packing.Slots,
    tracker: CapacityTracker,
) -> list[WorkerId] | None:
    """Returns workers for a gang, or None if it doesn't fit.

    An urgent gang gets equally fast workers, the fastest that hold it; suspect
    workers are used only if it doesn't fit otherwise.
    """
    count = len(demand.indexes)
    pack = functools.partial(
        _packing.pack, demand, tracker=tracker, count=count
    )
    tiers = _rack_choice.speed_tiers(group) if demand.priority == 0 else []
    if len(tiers) <= 1:
        return pack(group, slots=slots)
    fitting = {c.worker: slots(c.worker) for c in group}
    sound = [[c for c in tier if not c.suspicion] for tier in tiers]
    for tier in [*sound, *tiers]:
        if sum(fitting[c.worker] for c in tier) >= count:
            return pack(tier, slots=fitting.__getitem__)
    return None


def pack_on_fastest(
    demand: Demand,
    groups: Sequence[Sequence[Candidate]],
    tracker: CapacityTracker,
) -> list[WorkerId] | None:
    """Returns workers for a start now in the best group that has room.

    For an urgent gang, that is the group whose slowest chosen worker is the
    fastest; equal ones are taken in the order given.
    """
    slots = functools.partial(tracker.slots, demand)
    top_step = None
    best: tuple[int, list[WorkerId]] | None = None
    if demand.priority == 0 and any(map(_rack_choice.differ_lastingly, groups)):
        top_step = max(
            (_rack_choice.speed_step(c) for g in groups for c in g), default=0
        )
    for group in groups:
        chosen = pack_by_speed(demand, group, slots, tracker)
        if chosen is None:
            continue
        if top_step is None:
            return chosen
        step = min(
            _rack_choice.speed_step(tracker.candidates[w]) for w in chosen
        )
        if best is None or step > best[0]:
            best = (step, chosen)
        if step == top_step:
            break
    return best[1] if best else None
