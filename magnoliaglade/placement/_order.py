"""Orders the demands of a plan.

Handles the load pattern in which urgent bursts, large gangs and a reduced pool
coincide. Guaranteed work comes first, then work is ordered by priority. Within
a priority, work that can still meet its objective precedes work that cannot.
"""

import enum

from magnoliaglade.placement._model import Demand


class Timeliness(enum.IntEnum):
    """How useful a start still is to a demand; lower values are placed first.

    Attributes:
        ON_TIME: the objective can be met.
        LATE: the objective is missed, but the result is worth something.
        TOO_LATE: the result is worth nothing.
    """

    ON_TIME = 0
    LATE = 1
    TOO_LATE = 2


def timeliness_of(demand: Demand, *, now_s: float) -> Timeliness:
    """Returns the timeliness of a demand that starts at `now_s`."""
    if now_s <= demand.latest_start_s:
        return Timeliness.ON_TIME
    if now_s <= demand.latest_useful_start_s:
        return Timeliness.LATE
    return Timeliness.TOO_LATE


def order_demands(demands: tuple[Demand, ...], *, now_s: float) -> list[Demand]:
    """Returns the demands in the order in which they are placed."""

    def key(demand: Demand) -> tuple[bool, int, int, float, float]:
        timeliness = timeliness_of(demand, now_s=now_s)
        return (
            not demand.is_guaranteed,
            demand.priority + (timeliness is Timeliness.TOO_LATE) * 1_000,
            timeliness,
            demand.latest_start_s,
            demand.arrived_at_s,
        )

    return sorted(demands, key=key)
