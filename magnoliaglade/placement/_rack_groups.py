"""Groups the workers that a gang may run on."""

from magnoliaglade.placement._capacity_tracker import CapacityTracker
from magnoliaglade.placement._model import Candidate, Demand


def pool_of(demand: Demand, tracker: CapacityTracker) -> list[Candidate]:
    """Returns all workers that are eligible for a demand."""
    return [
        c
        for group in tracker.candidates_by_rack(demand).values()
        for c in group
    ]


def groups_of(
    demand: Demand, tracker: CapacityTracker, *, may_wait: bool
) -> list[list[Candidate]]:
    """Returns the groups of workers to try, best first.

    Args:
        demand: the gang.
        tracker: capacity during the plan.
        may_wait: the gang may wait for a rack near its data.
    """
    if not demand.same_rack:
        pool = pool_of(demand, tracker)
        return [[c for c in pool if is_near_data(c, demand)]]
    groups = list(tracker.candidates_by_rack(demand).values())
    groups.sort(key=lambda g: _group_key(demand, g, tracker))
    if demand.data_rack and may_wait:
        groups = near_data(demand, groups)
    return groups


def near_data(
    demand: Demand, groups: list[list[Candidate]]
) -> list[list[Candidate]]:
    """Returns the groups near the demand's data, or all if there are none."""
    near = [g for g in groups if g and is_near_data(g[0], demand)]
    return near or groups


def is_near_data(candidate: Candidate, demand: Demand) -> bool:
    """Returns whether a worker is on the rack of the demand's data, if any."""
    return not demand.data_rack or demand.data_rack in candidate.labels


def _group_key(
    demand: Demand, group: list[Candidate], tracker: CapacityTracker
) -> tuple[bool, int, int]:
    free = sum(max(0, tracker.free[c.worker].accelerators) for c in group)
    suspects = sum(c.suspicion > 0 for c in group)
    return (not is_near_data(group[0], demand), free, suspects)
