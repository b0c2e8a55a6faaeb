"""Demands that a plan cannot place, so that equal ones are not tried again.

Answers a long queue on a full pool: while a plan is made, room only shrinks, so
a demand that asks for no less than one that was refused is refused as well.
"""

import dataclasses
from collections.abc import Hashable

from magnoliaglade.placement._model import Demand


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Refused:
    count: int
    estimate_s: float
    latest_start_s: float


class Refusals:
    """Remembers refused demands by what they ask of a worker."""

    def __init__(self) -> None:
        self._refused: dict[Hashable, list[_Refused]] = {}

    def add(self, demand: Demand) -> None:
        """Takes note that a demand has not been placed."""
        refused = _Refused(
            count=_least(demand),
            estimate_s=demand.estimate_s,
            latest_start_s=demand.latest_start_s,
        )
        self._refused.setdefault(_shape(demand), []).append(refused)

    def covers(self, demand: Demand) -> bool:
        """Tells whether a demand asks for no less than a refused one.

        A longer one fits fewer gaps before a reservation, and one that can
        start later is not yet placed where it runs longer.
        """
        return any(
            r.count <= _least(demand)
            and r.estimate_s <= demand.estimate_s
            and r.latest_start_s <= demand.latest_start_s
            for r in self._refused.get(_shape(demand), ())
        )


def _least(demand: Demand) -> int:
    """Returns the smallest number of tasks that would be started."""
    return len(demand.indexes) if demand.is_gang else 1


def _shape(demand: Demand) -> Hashable:
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
