"""Finds the options of an urgent gang to which it matters where it runs."""

import dataclasses
import functools
from collections.abc import Sequence

from magnoliaglade.placement import (
    _gang_packing,
    _preemptor,
    _rack_choice,
    _reservations,
)
from magnoliaglade.placement._capacity_tracker import CapacityTracker
from magnoliaglade.placement._model import (
    Candidate,
    Demand,
    PlacementOption,
)
from magnoliaglade.placement._rack_choice import Prospect
from magnoliaglade.placement._rack_outlook import RackOutlook
from magnoliaglade.types import WorkerId

Group = list[Candidate]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GangOption:
    """An option of a gang with what carries it out.

    Attributes:
        prospect: what is expected of it.
        workers: a worker for each task, unless work is preempted.
        victims: work to preempt, if any.
    """

    prospect: Prospect
    workers: list[WorkerId] = dataclasses.field(default_factory=list)
    victims: _preemptor.PreemptionOption | None = None


class OptionFinder:
    """Collects what racks and pool offer to a gang in one plan.

    Attributes:
        tracker: capacity during the plan.
        preemptor: searches for work to preempt.
        stop_s: longest time that a worker takes to stop a run, in seconds.
        off_rack_slowdown: factor on the run time off the rack.
        late_ratio: value of a late result, as a ratio to one on time.
        loss_price: cost of work that is thrown away, as much as the gang will
            do, as a ratio to the value of a timely result.
    """

    def __init__(
        self,
        *,
        tracker: CapacityTracker,
        preemptor: _preemptor.Preemptor,
        stop_s: float,
        off_rack_slowdown: float,
        late_ratio: float,
        loss_price: float,
    ) -> None:
        self.tracker = tracker
        self.preemptor = preemptor
        self.stop_s = stop_s
        self.off_rack_slowdown = off_rack_slowdown
        self.late_ratio = late_ratio
        self.loss_price = loss_price
        self._now_s = tracker.snapshot.now_s
        self._outlook = RackOutlook(tracker=tracker, stop_s=stop_s)

    def find(
        self,
        demand: Demand,
        groups: Sequence[Group],
        pool: Group,
        *,
        latest_begin_s: float,
    ) -> list[GangOption]:
        """Returns the options, without those that cannot be the best.

        Searches for victims cost most, so they are left out if even without
        a loss they would not be better.

        Args:
            demand: the gang.
            groups: racks that are near its data, best first.
            pool: all workers that may run it.
            latest_begin_s: latest start for which the gang may wait.
        """
        fastest = sorted(pool, key=lambda c: c.speed)[-1:]
        fastest_s = _rack_choice.run_time_s(demand, fastest)
        options = self.find_on_rack(demand, groups)
        delay_s = self.stop_s
        if not self._may_improve(demand, options, fastest_s):
            return options
        options += self._later(demand, groups, latest_begin_s)
        if self._may_improve(demand, options, fastest_s, delay_s):
            options += self._preemption(demand, groups, options)
        if not demand.has_rack:
            return options
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

    def _may_improve(
        self,
        demand: Demand,
        options: Sequence[GangOption],
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

    def run_s(self, demand: Demand, workers: Sequence[WorkerId]) -> float:
        """Returns the expected run time of a gang on workers, in seconds."""
        candidates = (self.tracker.candidates[w] for w in workers)
        return _rack_choice.run_time_s(demand, candidates)

    def find_on_rack(
        self, demand: Demand, groups: Sequence[Group]
    ) -> list[GangOption]:
        """Returns the start on a rack now, if there is room."""
        chosen = _gang_packing.pack_on_fastest(demand, groups, self.tracker)
        if chosen is None:
            return []
        run_s = self.run_s(demand, chosen)
        prospect = self._prospect(PlacementOption.ON_RACK, run_s=run_s)
        return [GangOption(prospect=prospect, workers=chosen)]

    def _later(
        self, demand: Demand, groups: Sequence[Group], limit_s: float
    ) -> list[GangOption]:
        """Returns the rack on which a wait within the limit ends first."""
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
                run_s=self.run_s(demand, workers),
                delay_s=delay_s,
                cost=_rack_choice.WAIT_COST,
                waits_s=delay_s,
            )
            options.append(GangOption(prospect=prospect, workers=workers))
        return sorted(options, key=lambda o: o.prospect.ends_at_s)[:1]

    def _preemption(
        self,
        demand: Demand,
        groups: Sequence[Group],
        options: Sequence[GangOption],
    ) -> list[GangOption]:
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
            demand, [*options, *found], fastest_s, self.stop_s
        ):
            found += self._preemption_on(demand, tiers)
        return found

    def _preemption_on(
        self, demand: Demand, sets: Sequence[Group]
    ) -> list[GangOption]:
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
            delay_s=self.stop_s,
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
    ) -> GangOption:
        work_core_s = max(_preemptor.work_core_s(demand), 1e-9)
        urgent = {v.unit for v in found.victims if v.priority == 0}
        cost = self.loss_price * found.loss_core_s / work_core_s
        # An urgent victim is late afterwards.
        cost += (1.0 - self.late_ratio) * len(urgent)
        if option is PlacementOption.OFF_RACK_PREEMPTION:
            cost += self._occupancy_cost()
        prospect = self._prospect(
            option, run_s=run_s, delay_s=self.stop_s, cost=cost
        )
        return GangOption(prospect=prospect, victims=found)

    def _occupancy_cost(self) -> float:
        extra = self.off_rack_slowdown - 1.0
        return self.loss_price * extra

    def _off_rack(
        self, demand: Demand, pool: Group, stop_s: float
    ) -> list[GangOption]:
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
            run_s=self.run_s(demand, chosen) * self.off_rack_slowdown,
            delay_s=delay_s,
            cost=self._occupancy_cost(),
        )
        return [GangOption(prospect=prospect, workers=chosen)]

    def _off_rack_preemption(
        self, demand: Demand, pool: Group
    ) -> list[GangOption]:
        extra_s = (self.off_rack_slowdown - 1.0) * demand.estimate_s
        run_s = _rack_choice.run_time_s(demand, pool) * self.off_rack_slowdown
        return [
            self._victims_option(
                demand, found, PlacementOption.OFF_RACK_PREEMPTION, run_s
            )
            for found in self.preemptor.options(demand, [pool], extra_s=extra_s)
        ]
