"""Tells how useful a start still is to a demand."""

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
