"""Places urgent gangs by the options that racks and speeds offer.

`_gang_options` finds the options, `_rack_choice` weighs them, and this module
carries the choice out.
"""

import dataclasses
import functools
from collections.abc import Callable, Mapping, Sequence

from magnoliaglade.placement import _preemptor, _rack_choice
from magnoliaglade.placement._capacity_tracker import CapacityTracker
from magnoliaglade.placement._gang_options import (
    GangOption,
    Group,
    OptionFinder,
)
from magnoliaglade.placement._model import (
    Claim,
    Demand,
    GangChoice,
    PlacementOption,
    UnitId,
)
from magnoliaglade.placement._rack_choice import Prospect
from magnoliaglade.types import WorkerId

# Number of gangs for which capacity is held while they wait for a rack. Each
# holds at most the capacity that it needs, for `MAX_WAIT_S` at most.
MAX_HOLDS = 4


class GangPlacer:
    """Places the urgent gangs of one plan to which it matters where they run.

    These have a rack constraint, or the workers differ lastingly.

    Attributes:
        tracker: capacity during the plan.
        preemptor: preempts running work.
        finder: finds the options of a gang.
        limits: limits on the wait of a gang.
        late_ratio: value of a late result, as a ratio to one on time.
        start: starts a gang on workers.
        waits: gangs that waited in the previous plan, with their claims.
        claims: gangs that wait after this plan.
        postponed: gangs that are left to a later plan.
    """

    def __init__(
        self,
        *,
        tracker: CapacityTracker,
        preemptor: _preemptor.Preemptor,
        finder: OptionFinder,
        limits: _rack_choice.WaitLimits,
        late_ratio: float,
        start: Callable[[Demand, list[WorkerId], GangChoice], None],
        waits: Mapping[UnitId, Claim],
    ) -> None:
        self.tracker = tracker
        self.preemptor = preemptor
        self.finder = finder
        self.limits = limits
        self.late_ratio = late_ratio
        self.start = start
        self.waits = waits
        self.claims: list[Claim] = []
        self.postponed: set[UnitId] = set()
        self._now_s = tracker.snapshot.now_s
        self._holds = 0

    def place(
        self, demand: Demand, groups: Sequence[Group], pool: Group
    ) -> bool:
        """Places a gang by the best of its options.

        Args:
            demand: the gang.
            groups: racks that are near its data, best first.
            pool: all workers that may run it.

        Returns:
            Whether it was started, has capacity later, or waits for the next
            plan.
        """
        if self._must_wait_for_searches(demand):
            options = self.finder.find_on_rack(demand, groups)
        else:
            options = self.finder.find(
                demand,
                groups,
                pool,
                latest_begin_s=self._latest_begin_s(demand),
            )
        if not options:
            if self._wait_for_searches(demand):
                return True
            if demand.unit in self.waits:
                # Keeps the time since which it waits.
                self._add_wait(demand, placement=(), choice=None)
            return False
        prospect, choice = _rack_choice.choose(
            demand,
            [o.prospect for o in options],
            late_ratio=self.late_ratio,
        )
        best = next(o for o in options if o.prospect is prospect)
        if _rack_choice.on_time_share(demand, prospect) == 0.0:
            if self._wait_for_searches(demand):
                return True
            if self._loses_nothing_by_waiting(demand, prospect):
                self.postponed.add(demand.unit)
                if demand.unit in self.waits:
                    self._add_wait(demand, placement=(), choice=None)
                return False
        self._carry_out(demand, best, choice)
        return True

    def _must_wait_for_searches(self, demand: Demand) -> bool:
        """Returns whether a gang should wait until all options are known.

        The number of searches in one plan is bounded, and another plan follows
        shortly. A gang that took what is known without a search would often
        start off its rack.
        """
        return (
            self.preemptor.is_exhausted
            and self._now_s < self._latest_begin_s(demand)
        )

    def _wait_for_searches(self, demand: Demand) -> bool:
        """Leaves a gang to the next plan if searches were left out."""
        if not self._must_wait_for_searches(demand):
            return False
        self._add_wait(demand, placement=(), choice=None)
        return True

    def _latest_begin_s(self, demand: Demand) -> float:
        """Returns the latest start for which a gang may wait.

        A guaranteed gang does not wait without capacity that is held for it.
        """
        if demand.is_guaranteed and self._holds >= MAX_HOLDS:
            return self._now_s
        wait = self.waits.get(demand.unit)
        return self.limits.latest_begin_s(
            demand,
            waits_since_s=wait.ordered_at_s if wait else self._now_s,
            now_s=self._now_s,
        )

    def _loses_nothing_by_waiting(
        self, demand: Demand, prospect: Prospect
    ) -> bool:
        """Returns whether a late gang may wait for the end of other runs.

        It has no guarantee, would be late by any option, and the option that it
        would take is worth as much later.
        """
        if demand.is_guaranteed or self._now_s > demand.latest_start_s:
            return False
        delayed = dataclasses.replace(
            prospect,
            begins_at_s=demand.latest_start_s + _rack_choice.START_S,
        )
        value = functools.partial(
            _rack_choice.value_of, demand, late_ratio=self.late_ratio
        )
        return value(delayed) >= value(prospect)

    def _carry_out(
        self, demand: Demand, option: GangOption, choice: GangChoice
    ) -> None:
        if option.victims is not None:
            self.preemptor.apply(demand, option.victims, choice)
            return
        wait = self.waits.get(demand.unit)
        is_startable = (
            choice.option is not PlacementOption.LATER
            and option.prospect.begins_at_s
            <= self._now_s + _rack_choice.START_S
        )
        if is_startable:
            if (
                wait
                and wait.choice
                and choice.option is PlacementOption.ON_RACK
            ):
                choice = dataclasses.replace(
                    choice, option=PlacementOption.LATER
                )
            self.start(demand, option.workers, choice)
            return
        placement: tuple[tuple[int, WorkerId], ...] = ()
        # Capacity off the rack is being released already.
        is_released = choice.option is PlacementOption.OFF_RACK
        if is_released or self._holds < MAX_HOLDS:
            self._holds += not is_released
            self.tracker.allocate(demand, option.workers)
            placement = tuple(zip(demand.indexes, option.workers, strict=True))
        self._add_wait(demand, placement=placement, choice=choice)

    def _add_wait(
        self,
        demand: Demand,
        *,
        placement: tuple[tuple[int, WorkerId], ...],
        choice: GangChoice | None,
    ) -> None:
        wait = self.waits.get(demand.unit)
        self.claims.append(
            Claim(
                unit=demand.unit,
                placement=placement,
                ordered_at_s=wait.ordered_at_s if wait else self._now_s,
                choice=choice,
                is_wait=True,
            )
        )
