"""Preempts running work for demands of one plan, within limits on the loss.

Handles bursts of urgent work on a full pool: the work thrown away for a demand
stays below the work that it will do, and the number of searches is bounded.
"""

import dataclasses
from collections.abc import Sequence

from magnoliaglade.placement import (
    _gang_packing,
    _packing,
    _preemption,
    _timeliness,
)
from magnoliaglade.placement._capacity_tracker import CapacityTracker
from magnoliaglade.placement._model import (
    Candidate,
    Claim,
    Demand,
    GangChoice,
    Preemption,
    Snapshot,
    UnitId,
)
from magnoliaglade.types import WorkerId

# Number of groups of workers (racks) with a set of victims that are compared to
# choose the cheapest. Groups that need the least preemption are searched first.
MAX_GROUPS_COMPARED = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PreemptionOption:
    """A set of victims whose preemption frees capacity for a demand.

    Attributes:
        loss_core_s: work thrown away, in core-seconds.
        group: workers that the demand is placed on.
        victims: runs and gangs to stop.
    """

    loss_core_s: float
    group: list[Candidate]
    victims: list[_preemption.Victim]


class Preemptor:
    """Searches for victims and orders their stops.

    Attributes:
        snapshot: input of the plan.
        tracker: capacity during the plan.
        max_loss_ratio: limit on the work thrown away for a demand on time, as a
            ratio to the work that it will do.
        late_loss_ratio: limit for a late demand, as a ratio to that limit.
        max_searches: limit on searches.
        preemptions: stops ordered so far.
        claims: claims of the capacity that they free.
        lost_core_s: work thrown away so far for each unit.
        searches: number of searches that were needed so far.
    """

    def __init__(
        self,
        *,
        snapshot: Snapshot,
        tracker: CapacityTracker,
        max_loss_ratio: float,
        late_loss_ratio: float,
        max_searches: int,
    ) -> None:
        self.snapshot = snapshot
        self.tracker = tracker
        self.max_loss_ratio = max_loss_ratio
        self.late_loss_ratio = late_loss_ratio
        self.max_searches = max_searches
        self.preemptions: list[Preemption] = []
        self.claims: list[Claim] = []
        self.lost_core_s: dict[UnitId, float] = {}
        self.searches = 0
        self._victims = _preemption.VictimIndex(
            allocations=snapshot.allocations
        )

    @property
    def is_exhausted(self) -> bool:
        """Whether a search was left out."""
        return self.searches > self.max_searches

    def already_lost_core_s(self, demand: Demand) -> float:
        """Returns the work thrown away for a demand, in core-seconds."""
        unit = demand.unit
        return self.snapshot.lost_core_s.get(unit, 0.0) + self.lost_core_s.get(
            unit, 0.0
        )

    def options(
        self,
        demand: Demand,
        groups: Sequence[list[Candidate]],
        *,
        extra_s: float = 0.0,
    ) -> list[PreemptionOption]:
        """Returns sets of victims within the loss limit, for some groups.

        Args:
            demand: the demand.
            groups: sets of workers, those to search first in front.
            extra_s: time by which the demand runs longer on these workers.
        """
        max_loss_core_s = self._max_loss_core_s(demand, extra_s=extra_s)
        if not max_loss_core_s:
            return []
        found: list[PreemptionOption] = []
        for group in groups:
            # In a burst the searches are left to the gangs that follow.
            is_scarce = 4 * self.searches > self.max_searches
            if len(found) >= (1 if is_scarce else MAX_GROUPS_COMPARED):
                break
            victims = self._search(demand, group, len(demand.indexes))
            if victims:
                loss_core_s = sum(v.loss_core_s for v in victims)
                found.append(
                    PreemptionOption(
                        loss_core_s=loss_core_s, group=group, victims=victims
                    )
                )
        return [o for o in found if o.loss_core_s <= max_loss_core_s]

    def preempt_cheapest(self, demand: Demand, group: list[Candidate]) -> bool:
        """Preempts the cheapest victims in a group, if there are any.

        Returns:
            Whether capacity was freed.
        """
        options = self.options(demand, [group])
        if not options:
            return False
        self.apply(demand, options[0])
        return True

    def apply(
        self,
        demand: Demand,
        option: PreemptionOption,
        choice: GangChoice | None = None,
    ) -> None:
        """Preempts the victims and claims their capacity."""
        self._stop_victims(option.victims, demand)
        for victim in option.victims:
            for worker, resources in victim.freed.items():
                self.tracker.add_releasing(worker, resources)
        placed = self._pack(demand, option.group)
        if placed is None:
            return
        self.tracker.allocate(demand, placed)
        self.claims.append(
            Claim(
                unit=demand.unit,
                placement=tuple(zip(demand.indexes, placed, strict=True)),
                ordered_at_s=self.snapshot.now_s,
                choice=choice,
            )
        )

    def available_accelerators(self, group: Sequence[Candidate]) -> int:
        """Returns how many accelerators are free or being released."""
        total = 0
        for candidate in group:
            total += self.tracker.free[candidate.worker].accelerators
            releasing = self.tracker.releasing.get(candidate.worker)
            total += releasing.accelerators if releasing else 0
        return total

    def _pack(
        self, demand: Demand, group: Sequence[Candidate]
    ) -> list[WorkerId] | None:
        slots = self.tracker.slots_with_releasing(demand)
        if demand.is_gang:
            return _gang_packing.pack_by_speed(
                demand, group, slots, self.tracker
            )
        return _packing.pack(
            demand,
            group,
            tracker=self.tracker,
            slots=slots,
            count=len(demand.indexes),
        )

    def _search(
        self, demand: Demand, group: list[Candidate], count: int
    ) -> list[_preemption.Victim] | None:
        search = _preemption.VictimSearch(
            demand=demand,
            candidates=group,
            tracker=self.tracker,
            index=self._victims,
        )
        if not search.is_feasible(count):
            return None
        self.searches += 1
        if self.is_exhausted:
            return None
        return search.run(count)

    def _max_loss_core_s(self, demand: Demand, *, extra_s: float) -> float:
        """Returns the core-seconds that a demand may still throw away."""
        if demand.is_guaranteed:
            return float("inf")
        timeliness = _timeliness.timeliness_of(
            demand, now_s=self.snapshot.now_s + extra_s
        )
        if timeliness is _timeliness.Timeliness.TOO_LATE:
            return 0.0
        limit = self.max_loss_ratio * work_core_s(demand)
        if timeliness is _timeliness.Timeliness.LATE:
            limit *= self.late_loss_ratio
        return max(0.0, limit - self.already_lost_core_s(demand))

    def _stop_victims(
        self, victims: list[_preemption.Victim], demand: Demand
    ) -> None:
        loss_core_s = sum(v.loss_core_s for v in victims)
        unit = demand.unit
        self.lost_core_s[unit] = self.lost_core_s.get(unit, 0.0) + loss_core_s
        for victim in victims:
            self._victims.mark_stopping(victim)
            self.preemptions.append(
                Preemption(
                    victim=victim.unit,
                    index=victim.index,
                    beneficiary=demand.unit,
                    is_guaranteed=demand.is_guaranteed,
                )
            )


def may_preempt(demand: Demand) -> bool:
    """Returns whether running work may be stopped for a demand."""
    return demand.is_guaranteed or demand.priority == 0


def work_core_s(demand: Demand) -> float:
    """Returns the work that a demand will do, in core-seconds."""
    task_core_s = _preemption.core_seconds(demand.resources, demand.estimate_s)
    return task_core_s * len(demand.indexes)
