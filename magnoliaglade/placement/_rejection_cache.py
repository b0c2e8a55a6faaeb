"""Negative cache of demands that could not be placed in the current plan.

Handles a long queue on a full pool: while a plan is built, free capacity only
shrinks, so a demand that requires at least as much as a rejected one is
rejected without another attempt. Only demands are added for which limits of
their own, such as tasks that run already, play no part.
"""

import dataclasses
from collections.abc import Hashable

from magnoliaglade.placement._model import Demand


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Rejection:
    count: int
    estimate_s: float
    latest_start_s: float


class RejectionCache:
    """Rejected demands, by their requirements on workers."""

    def __init__(self) -> None:
        self._rejections: dict[Hashable, list[_Rejection]] = {}

    def add(self, demand: Demand) -> None:
        """Records that a demand could not be placed."""
        rejection = _Rejection(
            count=_min_task_count(demand),
            estimate_s=demand.estimate_s,
            latest_start_s=demand.latest_start_s,
        )
        self._rejections.setdefault(_cache_key(demand), []).append(rejection)

    def covers(self, demand: Demand) -> bool:
        """Returns whether a demand requires at least as much as a rejected one.

        A longer task fits fewer gaps before a reservation. A demand with a
        later latest start is not yet placed where it takes longer.
        """
        return any(
            r.count <= _min_task_count(demand)
            and r.estimate_s <= demand.estimate_s
            and r.latest_start_s <= demand.latest_start_s
            for r in self._rejections.get(_cache_key(demand), ())
        )


def _min_task_count(demand: Demand) -> int:
    """Returns the smallest number of tasks that can start by themselves."""
    return len(demand.indexes) if demand.is_gang else 1


def _cache_key(demand: Demand) -> Hashable:
    return (
        demand.service,
        demand.resources,
        demand.is_gang,
        demand.same_rack,
        demand.data_rack,
        demand.label,
        demand.max_per_worker,
        demand.excluded_workers,
        demand.priority,
        demand.is_guaranteed,
    )
