"""Places urgent gangs with a rack constraint by the options that they have.

Collects what the racks and the pool offer to a gang, lets `_rack_choice` weigh
it, and carries the choice out.
"""

import dataclasses
import functools
from collections.abc import Callable, Mapping, Sequence

from magnoliaglade.placement import (
    _gang_packing,
    _preemptor,
    _rack_choice,
    _reservations,
)
from magnoliaglade.placement._capacity_tracker import CapacityTracker
from magnoliaglade.placement._model import (
    Candidate,
    Claim,
    Demand,
    GangChoice,
    PlacementOption,
    Snapshot,
    UnitId,
)
from magnoliaglade.placement._rack_choice import Prospect
from magnoliaglade.placement._rack_outlook import RackOutlook
from magnoliaglade.types import WorkerId

# Number of gangs for which capacity is held while they wait for a rack. Each
# holds at most the capacity that it needs, for `MAX_WAIT_S` at most.
MAX_HOLDS = 4

Group = list[Candidate]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Option:
    """An option of a gang with what carries it out.

    Attributes:
        prospect: what is expected of it.
        workers: a worker for each task, unless work is preempted.
        victims: work to preempt, if any.
    """

    prospect: Prospect
    workers: list[WorkerId] = dataclasses.field(default_factory=list)
    victims: _preemptor.PreemptionOption | None = None


class GangPlacer:
    """Places the urgent gangs with a rack constraint of one plan.

    Attributes:
        tracker: capacity during the plan.
        preemptor: preempts running work.
        limits: limits on the wait of a gang.
        off_rack_slowdown: factor on the run time off the rack.
        late_ratio: value of a late result, as a ratio to one on time.
        loss_price: cost of work that is thrown away, as much as the gang will
            do, as a ratio to the value of a timely result.
        start: starts a gang on workers.
        waits: gangs that waited in the previous plan, with their claims.
        claims: gangs that wait after this plan.
        postponed: gangs that are left to a later plan, without a claim.
    """

    def __init__(
        self,
        *,
        snapshot: Snapshot,
        tracker: CapacityTracker,
        preemptor: _preemptor.Preemptor,
        limits: _rack_choice.WaitLimits,
        off_rack_slowdown: float,
        late_ratio: float,
        loss_price: float,
        start: Callable[[Demand, list[WorkerId], GangChoice], None],
        waits: Mapping[UnitId, Claim],
    ) -> None:
        self.tracker = tracker
        self.preemptor = preemptor
        self.limits = limits
        self.off_rack_slowdown = off_rack_slowdown
        self.late_ratio = late_ratio
        self.loss_price = loss_price
        self.start = start
        self.waits = waits
        self.claims: list[Claim] = []
        self.postponed: set[UnitId] = set()
        self._now_s = snapshot.now_s
        self._holds = 0
        self._outlook = RackOutlook(tracker=tracker, stop_s=limits.stop_s)

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
            options = self._on_rack_now(demand, groups)
        else:
            options = self._collect(demand, groups, pool)
        if not options:
            return self._wait_for_searches(demand)
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

    def _collect(
        self, demand: Demand, groups: Sequence[Group], pool: Group
    ) -> list[_Option]:
        """Returns the options, without those that cannot be the best.

        Searches for victims cost most, so they are left out if even without
        a loss they would not be better.
        """
        fastest_s = demand.estimate_s / max(
            (c.speed for c in pool), default=1.0
        )
        limit_s = self._latest_begin_s(demand)
        options = self._on_rack_now(demand, groups)
        delay_s = self.limits.stop_s
        if not self._may_improve(demand, options, fastest_s):
            return options
        options += self._later(demand, groups, limit_s)
        if self._may_improve(demand, options, fastest_s, delay_s):
            options += self._preemption(demand, groups, options)
        far_s = fastest_s * self.off_rack_slowdown
        if self._may_improve(demand, options, far_s):
            options += self._off_rack(demand, pool, delay_s)
        starts_off_rack = any(
            o.prospect.option is PlacementOption.OFF_RACK for o in options
        )
        if not starts_off_rack and self._may_improve(
            demand, options, far_s, delay_s
        ):
            options += self._off_rack_preemption(demand, pool)
        return options

    def _latest_begin_s(self, demand: Demand) -> float:
        wait = self.waits.get(demand.unit)
        return self.limits.latest_begin_s(
            demand,
            waits_since_s=wait.ordered_at_s if wait else self._now_s,
            now_s=self._now_s,
        )

    def _may_improve(
        self,
        demand: Demand,
        options: Sequence[_Option],
        run_s: float,
        delay_s: float = 0.0,
    ) -> bool:
        """Returns whether a further option could be better than the others."""
        if not options:
            return True
        ideal = self._prospect(
            PlacementOption.ON_RACK, run_s=run_s, delay_s=delay_s
        )
        if any(
            o.prospect.cost == 0.0
            and o.prospect.ends_at_s <= ideal.ends_at_s + 1e-9
            for o in options
        ):
            return False
        value = functools.partial(
            _rack_choice.value_of, demand, late_ratio=self.late_ratio
        )
        best = max(value(o.prospect) - o.prospect.cost for o in options)
        is_late = all(
            _rack_choice.on_time_share(demand, o.prospect) == 0.0
            for o in options
        )
        return is_late or (value(ideal) > best + _rack_choice.VALUE_TOLERANCE)

    def _prospect(
        self,
        option: PlacementOption,
        *,
        run_s: float,
        delay_s: float = 0.0,
        cost: float = 0.0,
        waits_s: float = 0.0,
    ) -> Prospect:
        return Prospect(
            option=option,
            begins_at_s=self._now_s + _rack_choice.START_S + delay_s,
            run_s=run_s,
            cost=cost,
            waits_s=waits_s,
        )

    def _run_s(self, demand: Demand, workers: Sequence[WorkerId]) -> float:
        candidates = (self.tracker.candidates[w] for w in workers)
        return _rack_choice.run_time_s(demand, candidates)

    def _on_rack_now(
        self, demand: Demand, groups: Sequence[Group]
    ) -> list[_Option]:
        chosen = _gang_packing.pack_on_fastest(demand, groups, self.tracker)
        if chosen is None:
            return []
        run_s = self._run_s(demand, chosen)
        prospect = self._prospect(PlacementOption.ON_RACK, run_s=run_s)
        return [_Option(prospect=prospect, workers=chosen)]

    def _later(
        self, demand: Demand, groups: Sequence[Group], limit_s: float
    ) -> list[_Option]:
        """Returns the rack on which a wait within the limit ends first."""
        if demand.is_guaranteed and self._holds >= MAX_HOLDS:
            return []
        horizon_s = min(limit_s, self._now_s + _rack_choice.MAX_WAIT_S)
        options = []
        for group in groups:
            found = self._outlook.earliest(
                demand, group, until_s=horizon_s - _rack_choice.START_S
            )
            if found is None:
                continue
            at_s, workers = found
            delay_s = max(0.0, at_s - self._now_s)
            prospect = self._prospect(
                PlacementOption.LATER,
                run_s=self._run_s(demand, workers),
                delay_s=delay_s,
                cost=_rack_choice.WAIT_COST,
                waits_s=delay_s,
            )
            options.append(_Option(prospect=prospect, workers=workers))
        return sorted(options, key=lambda o: o.prospect.ends_at_s)[:1]

    def _preemption(
        self,
        demand: Demand,
        groups: Sequence[Group],
        options: Sequence[_Option],
    ) -> list[_Option]:
        """Returns the preemptions that were found on one rack.

        The fastest workers of each rack are searched as well if the gang would
        gain by them.
        """
        found = self._preemption_on(demand, groups)
        tiers = [t for g in groups for t in self._fast_tier(demand, g)]
        if not tiers:
            return found
        fastest_s = min(_rack_choice.run_time_s(demand, t) for t in tiers)
        if self._may_improve(
            demand, [*options, *found], fastest_s, self.limits.stop_s
        ):
            found += self._preemption_on(demand, tiers)
        return found

    def _preemption_on(
        self, demand: Demand, sets: Sequence[Group]
    ) -> list[_Option]:
        run_s = {id(g): _rack_choice.run_time_s(demand, g) for g in sets}
        # Sets on which the gang is worth as much are searched in the order of
        # the capacity that they have already.
        ordered = sorted(
            sets,
            key=lambda g: (
                -self._value_after_stop(demand, run_s[id(g)]),
                -self.preemptor.available_accelerators(g),
            ),
        )
        return [
            self._victims_option(
                demand,
                found,
                PlacementOption.PREEMPTION,
                run_s[id(found.group)],
            )
            for found in self.preemptor.options(demand, ordered)
        ]

    def _value_after_stop(self, demand: Demand, run_s: float) -> float:
        prospect = self._prospect(
            PlacementOption.PREEMPTION,
            run_s=run_s,
            delay_s=self.limits.stop_s,
        )
        value = _rack_choice.value_of(
            demand, prospect, late_ratio=self.late_ratio
        )
        return round(value, 1)

    def _fast_tier(self, demand: Demand, group: Group) -> list[Group]:
        """Returns the fastest workers that hold a gang, if not all are."""
        count = len(demand.indexes)
        for tier in _rack_choice.speed_tiers(group):
            if _reservations.max_task_count(tier, demand) >= count:
                return [tier] if len(tier) < len(group) else []
        return []

    def _victims_option(
        self,
        demand: Demand,
        found: _preemptor.PreemptionOption,
        option: PlacementOption,
        run_s: float,
    ) -> _Option:
        work_core_s = max(_preemptor.work_core_s(demand), 1e-9)
        urgent = {v.unit for v in found.victims if v.priority == 0}
        cost = self.loss_price * found.loss_core_s / work_core_s
        # An urgent victim is late afterwards.
        cost += (1.0 - self.late_ratio) * len(urgent)
        if option is PlacementOption.OFF_RACK_PREEMPTION:
            cost += self._occupancy_cost()
        prospect = self._prospect(
            option, run_s=run_s, delay_s=self.limits.stop_s, cost=cost
        )
        return _Option(prospect=prospect, victims=found)

    def _occupancy_cost(self) -> float:
        extra = self.off_rack_slowdown - 1.0
        return self.loss_price * extra

    def _off_rack(
        self, demand: Demand, pool: Group, stop_s: float
    ) -> list[_Option]:
        """Returns the start off the rack, now or after stops in progress."""
        slots = functools.partial(self.tracker.slots, demand)
        chosen = _gang_packing.pack_by_speed(demand, pool, slots, self.tracker)
        delay_s = 0.0
        if chosen is None and self.tracker.releasing:
            delay_s = stop_s
            chosen = _gang_packing.pack_by_speed(
                demand,
                pool,
                self.tracker.slots_with_releasing(demand),
                self.tracker,
            )
        if chosen is None:
            return []
        prospect = self._prospect(
            PlacementOption.OFF_RACK,
            run_s=self._run_s(demand, chosen) * self.off_rack_slowdown,
            delay_s=delay_s,
            cost=self._occupancy_cost(),
        )
        return [_Option(prospect=prospect, workers=chosen)]

    def _off_rack_preemption(
        self, demand: Demand, pool: Group
    ) -> list[_Option]:
        extra_s = (self.off_rack_slowdown - 1.0) * demand.estimate_s
        run_s = _rack_choice.run_time_s(demand, pool) * self.off_rack_slowdown
        return [
            self._victims_option(
                demand, found, PlacementOption.OFF_RACK_PREEMPTION, run_s
            )
            for found in self.preemptor.options(demand, [pool], extra_s=extra_s)
        ]

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
        self, demand: Demand, option: _Option, choice: GangChoice
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
        if self._holds < MAX_HOLDS:
            self._holds += 1
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
