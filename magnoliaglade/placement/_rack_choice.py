"""Weighs where and when an urgent gang with a rack constraint runs.

Handles urgent gangs with a tight objective on a pool that is well used: no rack
has room for a gang when it arrives, while batch tasks hold parts of all racks.
A gang that starts off its rack at once takes several times as long and misses
its objective, although a rack becomes free a moment later, or could be freed by
stopping batch work that loses little.
"""

import dataclasses
import enum
from collections.abc import Iterable, Sequence

from magnoliaglade.placement import _packing
from magnoliaglade.placement._model import (
    Candidate,
    Demand,
    GangChoice,
    PlacementOption,
)

# Time from a plan until its starts have begun: a store write, a call and the
# start. In seconds.
START_S = 0.1
# Part of the time within which a guaranteed job has to begin that is kept for
# the end of a wait: the next plan, a store write and a start, each of which may
# take one repeated call of 0.6 s at worst. In seconds; the time of a stop is
# kept in addition.
RECLAIM_MARGIN_S = 1.0
# Longest time for which a gang waits for capacity that is expected to become
# free. A gang that waits holds what is free of it, so this bounds how long
# capacity is idle. In seconds.
MAX_WAIT_S = 1.5
# Relative error of an expected end. It is about the error of the speeds, of
# which steps of 0.2 are not distinguished.
END_ERROR = 0.1
# Cost of relying on the ends of other runs, which are estimates, as a ratio to
# the value of a timely result.
WAIT_COST = 0.1
# Difference of value below which two options count as equal.
VALUE_TOLERANCE = 0.02
# Lowest speed that an expected run time is computed with.
_MIN_SPEED = 0.1


class Reason(enum.Enum):
    """Why an option was taken.

    Attributes:
        BEST_VALUE: it has the highest value for the caller, less the work that
            is thrown away.
        ENDS_FIRST: the objective is missed with every option, or several are
            worth as much, and this one ends first.
        ONLY_OPTION: there was no other.
    """

    BEST_VALUE = "best value"
    ENDS_FIRST = "ends first"
    ONLY_OPTION = "only option"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Prospect:
    """What is expected of one option for a gang.

    Attributes:
        option: the option.
        begins_at_s: expected start of the gang.
        run_s: expected run time, in seconds.
        cost: work that is thrown away, as a ratio to the work of the gang,
            weighted with its price.
        waits_s: time for which the gang relies on expected ends of other runs.
    """

    option: PlacementOption
    begins_at_s: float
    run_s: float
    cost: float = 0.0
    waits_s: float = 0.0

    @property
    def ends_at_s(self) -> float:
        """Expected end of the gang."""
        return self.begins_at_s + self.run_s


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WaitLimits:
    """What limits the wait of a gang, in seconds.

    Attributes:
        reclaim_s: time from acceptance within which a guaranteed job has begun.
        stop_s: longest time that a worker takes to stop a run.
    """

    reclaim_s: float
    stop_s: float

    def latest_begin_s(
        self, demand: Demand, *, waits_since_s: float, now_s: float
    ) -> float:
        """Returns the latest start for which a gang may wait.

        Args:
            demand: the gang.
            waits_since_s: when it began to wait.
            now_s: time of the plan.
        """
        latest_s = waits_since_s + MAX_WAIT_S
        if not demand.is_guaranteed or demand.has_begun:
            return latest_s
        bound_s = (
            demand.arrived_at_s
            + self.reclaim_s
            - self.stop_s
            - RECLAIM_MARGIN_S
        )
        # A gang that is past the bound starts with whatever begins first.
        return min(latest_s, bound_s) if now_s < bound_s else now_s


def on_time_share(demand: Demand, prospect: Prospect) -> float:
    """Returns how likely the objective is met, from 0 to 1."""
    return _share_before(demand, prospect, demand.latest_start_s)


def value_of(demand: Demand, prospect: Prospect, *, late_ratio: float) -> float:
    """Returns the value of an option before its cost.

    Args:
        demand: the gang.
        prospect: the option.
        late_ratio: value of a late result, as a ratio to one on time.
    """
    useful = _share_before(demand, prospect, demand.latest_useful_start_s)
    on_time = on_time_share(demand, prospect)
    return late_ratio * useful + (1.0 - late_ratio) * on_time


def choose(
    demand: Demand, prospects: Sequence[Prospect], *, late_ratio: float
) -> tuple[Prospect, GangChoice]:
    """Returns the best of the options, and why it is the best.

    Args:
        demand: the gang.
        prospects: the options, at least one.
        late_ratio: value of a late result, as a ratio to one on time.
    """
    net = {
        id(p): value_of(demand, p, late_ratio=late_ratio) - p.cost
        for p in prospects
    }
    best_value = max(net.values())
    if any(on_time_share(demand, p) > 0.0 for p in prospects):
        equal = [
            p for p in prospects if net[id(p)] >= best_value - VALUE_TOLERANCE
        ]
    else:
        # Every option is late. None may discard more than the result is worth.
        equal = [p for p in prospects if net[id(p)] >= 0.0]
        equal = equal or [
            p for p in prospects if net[id(p)] >= best_value - VALUE_TOLERANCE
        ]
    best = min(equal, key=lambda p: (p.ends_at_s, p.cost))
    if len(prospects) == 1:
        reason = Reason.ONLY_OPTION
    elif len(equal) > 1:
        reason = Reason.ENDS_FIRST
    else:
        reason = Reason.BEST_VALUE
    choice = GangChoice(
        option=best.option,
        reason=reason.value,
        values=tuple((p.option, round(net[id(p)], 2)) for p in prospects),
    )
    return best, choice


def run_time_s(demand: Demand, workers: Iterable[Candidate]) -> float:
    """Returns the run time of a gang, which its slowest worker determines."""
    slowest = _packing.slowest_speed(workers)
    return demand.estimate_s / max(slowest, _MIN_SPEED)


def speed_step(candidate: Candidate) -> int:
    """Returns the speed in steps that are distinguished; 0 for unfit workers.

    Workers that are unfit for urgent work are used last.
    """
    if _packing.is_unfit_for_urgent_work(candidate):
        return 0
    return _packing.speed_level(candidate.speed)


def differ_lastingly(group: Iterable[Candidate]) -> bool:
    """Returns whether lasting speeds of workers are known to differ.

    Transient differences are left to the packing, and to the exclusion of
    unfit workers.
    """
    return any(c.lasting_speed != 1.0 for c in group)


def speed_tiers(group: Sequence[Candidate]) -> list[list[Candidate]]:
    """Returns sets of workers to pack an urgent gang on, best first.

    A set of equally fast workers comes before the set that includes faster
    ones, on which a gang with a slower member gains nothing.
    """
    if not differ_lastingly(group):
        return [list(group)]
    steps = {c.worker: speed_step(c) for c in group}
    distinct = sorted(set(steps.values()), reverse=True)
    if len(distinct) <= 1:
        return [list(group)]
    tiers: list[list[Candidate]] = []
    for step in distinct:
        tiers.append([c for c in group if steps[c.worker] == step])
        if step != distinct[0]:
            tiers.append([c for c in group if steps[c.worker] >= step])
    return tiers


def _share_before(
    demand: Demand, prospect: Prospect, latest_start_s: float
) -> float:
    """Returns how likely the end precedes that of a start at a time.

    Expected ends are estimates, so the share falls linearly around that time.
    """
    extra_s = prospect.run_s - demand.estimate_s
    slack_s = latest_start_s - (prospect.begins_at_s + extra_s)
    error_s = END_ERROR * (prospect.run_s + prospect.waits_s)
    if error_s <= 0.0:
        return 1.0 if slack_s >= 0.0 else 0.0
    return min(1.0, max(0.0, 0.5 + slack_s / (2.0 * error_s)))
