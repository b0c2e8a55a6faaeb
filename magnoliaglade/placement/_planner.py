"""Decides which tasks start on which workers, and which runs are preempted.

A pure function of the snapshot: the same snapshot gives the same plan.
"""

import dataclasses
import functools

from magnoliaglade import base
from magnoliaglade.jobs import Resources
from magnoliaglade.placement import _claims, _order, _packing, _preemption
from magnoliaglade.placement._capacity_tracker import CapacityTracker
from magnoliaglade.placement._model import (
    Candidate,
    Claim,
    Demand,
    Plan,
    Preemption,
    Snapshot,
    Start,
    UnitId,
)
from magnoliaglade.placement._rejection_cache import RejectionCache
from magnoliaglade.types import WorkerId

# Number of gangs that hold a reservation at a time. One per pool would prevent
# starvation; with two, a second large gang can collect its rack meanwhile.
MAX_RESERVATIONS = 2
# Number of searches for victims in one plan; each takes 1 to 3 ms with 175
# workers. The next plan continues with the demands that remain.
MAX_SEARCHES = 16
# Number of groups of workers (racks) with a set of victims that are compared to
# choose the cheapest. Groups that need the least preemption are searched first.
MAX_GROUPS_COMPARED = 3
# A late result is worth about a fifth of a timely one to the client.
LATE_LOSS_RATIO = 0.2
# Work that preemption may throw away to keep a gang on its rack, as a multiple
# of the work of the gang. Off its rack, the gang takes longer by twice its
# duration and often misses its objective.
OFF_RACK_PENALTY = 4.0
# Factor by which the platform slows down work off its rack.
OFF_RACK_SLOWDOWN = 3.0


class Planner(base.Parameterized):
    """Places waiting tasks by ordering, bin packing and preemption.

    Attributes:
        max_reservations: number of waiting gangs that hold a reservation at a
            time.
        max_loss_ratio: limit on the work that preemption may throw away for a
            demand without a guarantee that will be on time, as a ratio to the
            work that the demand will do.
        late_loss_ratio: limit for a demand that will be late, as a ratio to the
            limit for one on time. A demand that is too late preempts nothing.
        off_rack_penalty: work that preemption may throw away to keep a gang on
            its rack, as a ratio to the work that the gang will do.
        off_rack_slowdown: factor by which the run time grows for a gang off its
            rack, or for tasks away from their data.
        max_searches: limit on searches for victims in one plan, which bounds
            the time that the plan takes.
    """

    _parameter_constraints = {
        "max_reservations": [base.Interval(kind=int, low=0)],
        "max_loss_ratio": [base.Interval(kind=float, low=0)],
        "late_loss_ratio": [base.Interval(kind=float, low=0)],
        "off_rack_penalty": [base.Interval(kind=float, low=0)],
        "off_rack_slowdown": [base.Interval(kind=float, low=1)],
        "max_searches": [base.Interval(kind=int, low=1)],
    }

    def __init__(
        self,
        *,
        max_reservations: int = MAX_RESERVATIONS,
        max_loss_ratio: float = 1.0,
        late_loss_ratio: float = LATE_LOSS_RATIO,
        off_rack_penalty: float = OFF_RACK_PENALTY,
        off_rack_slowdown: float = OFF_RACK_SLOWDOWN,
        max_searches: int = MAX_SEARCHES,
    ) -> None:
        self.max_reservations = max_reservations
        self.max_loss_ratio = max_loss_ratio
        self.late_loss_ratio = late_loss_ratio
        self.off_rack_penalty = off_rack_penalty
        self.off_rack_slowdown = off_rack_slowdown
        self.max_searches = max_searches

    def plan(self, snapshot: Snapshot) -> Plan:
        """Returns starts and preemptions for a snapshot."""
        return _PlanBuilder(planner=self, snapshot=snapshot).build()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _PreemptionOption:
    """A set of victims whose preemption frees capacity for a demand.

    Attributes:
        loss_core_s: work thrown away, in core-seconds.
        group: workers that the demand is placed on.
        victims: runs and gangs to stop.
    """

    loss_core_s: float
    group: list[Candidate]
    victims: list[_preemption.Victim]


class _PlanBuilder:
    """Builds a plan in one pass over the demands of a snapshot."""

    def __init__(self, *, planner: Planner, snapshot: Snapshot) -> None:
        self.planner = planner
        self.snapshot = snapshot
        self.tracker = CapacityTracker(snapshot=snapshot)
        self.starts: list[Start] = []
        self.preemptions: list[Preemption] = []
        self.claims: list[Claim] = []
        self.lost_core_s: dict[UnitId, float] = {}
        self.reserved_gangs = 0
        self.searches = 0
        self._victims = _preemption.VictimIndex(
            allocations=snapshot.allocations
        )
        self._rejections = RejectionCache()
        self._unfit_workers = frozenset(
            c.worker
            for c in snapshot.candidates
            if _packing.is_unfit_for_urgent_work(c)
        )

    def build(self) -> Plan:
        ordered, deferred = _order.order_demands(self.snapshot)
        claims = _claims.valid_claims(
            self.snapshot.claims, now_s=self.snapshot.now_s
        )
        for demand in _claims.order_by_claim(ordered, claims):
            remaining = demand
            if demand.unit in claims:
                remaining = self._use_claim(demand, claims[demand.unit])
            if remaining.indexes:
                self._place(remaining)
        return Plan(
            starts=tuple(self.starts),
            preemptions=tuple(self.preemptions),
            claims=tuple(self.claims),
            lost_core_s=self.lost_core_s,
            is_complete=self.searches <= self.planner.max_searches,
            deferred=deferred,
        )

    def _place(self, demand: Demand) -> None:
        """Places a demand, or reserves capacity if it is a gang.

        Urgent gangs use workers on which they are likely to be late only if
        they fit nowhere else.
        """
        is_urgent_gang = demand.is_gang and demand.priority == 0
        if is_urgent_gang and self._unfit_workers:
            excluded = demand.excluded_workers | self._unfit_workers
            fit_only = dataclasses.replace(demand, excluded_workers=excluded)
            if self._try_to_place(fit_only):
                return
        if not self._try_to_place(demand) and demand.is_gang:
            self._reserve(demand)

    def _try_to_place(self, demand: Demand) -> bool:
        """Returns whether a demand was started or has capacity later."""
        if self._rejections.covers(demand):
            return False
        place = self._place_gang if demand.is_gang else self._place_tasks
        if place(demand):
            return True
        if not self._has_limits_of_its_own(demand):
            self._rejections.add(demand)
        return False

    def _has_limits_of_its_own(self, demand: Demand) -> bool:
        """Returns whether less is open to a demand than to others like it.

        Its tasks use up the limit per worker, or its preemptions the limit on
        work thrown away.
        """
        if demand.max_per_worker and self.tracker.has_placed(demand.unit):
            return True
        return self._already_lost_core_s(demand) > 0.0

    def _already_lost_core_s(self, demand: Demand) -> float:
        """Returns the work thrown away for a demand, in core-seconds."""
        unit = demand.unit
        return self.snapshot.lost_core_s.get(unit, 0.0) + self.lost_core_s.get(
            unit, 0.0
        )

    def _use_claim(self, demand: Demand, claim: Claim) -> Demand:
        """Starts tasks in claimed capacity, or keeps the claim.

        Returns:
            The demand, reduced to the tasks that still need capacity.
        """
        claimed = _claims.ClaimedCapacity(
            claim=claim, demand=demand, tracker=self.tracker
        )
        if not claimed.assignments or not claimed.fits(include_releasing=True):
            return demand
        if demand.is_gang and not claimed.covers_all_tasks:
            return demand
        ready = claimed.startable_assignments()
        if demand.is_gang and len(ready) < len(claimed.assignments):
            if any(
                self._start_in_group(demand, g) for g in self._groups(demand)
            ):
                return dataclasses.replace(demand, indexes=())
            ready = []
        if ready:
            self._start_assignments(demand, ready)
        pending = tuple(a for a in claimed.assignments if a not in ready)
        if pending:
            self.tracker.allocate(demand, [w for _, w in pending])
            self.claims.append(dataclasses.replace(claim, placement=pending))
        claimed_indexes = {i for i, _ in claimed.assignments}
        remaining_indexes = tuple(
            i for i in demand.indexes if i not in claimed_indexes
        )
        return dataclasses.replace(demand, indexes=remaining_indexes)

    def _place_gang(self, demand: Demand) -> bool:
        """Starts a gang or frees capacity for it; returns whether it did."""
        groups = self._groups(demand)
        if any(self._start_in_group(demand, group) for group in groups):
            return True
        on_rack: _PreemptionOption | None = None
        if self._may_preempt(demand):
            if any(self._allocate_releasing(demand, group) for group in groups):
                return True
            on_rack = self._cheapest_preemption(
                demand, groups, is_off_rack=False
            )
            if on_rack and on_rack.loss_core_s <= self._off_rack_penalty(
                demand
            ):
                return self._apply_preemption(demand, on_rack)
        if self._may_spread(demand, groups) and self._place_spread(
            demand, on_rack
        ):
            return True
        return on_rack is not None and self._apply_preemption(demand, on_rack)

    def _pool(self, demand: Demand) -> list[Candidate]:
        return [
            c
            for group in self.tracker.candidates_by_rack(demand).values()
            for c in group
        ]

    def _place_spread(
        self, demand: Demand, on_rack: "_PreemptionOption | None"
    ) -> bool:
        """Starts a gang off its rack, or frees capacity there.

        Args:
            demand: the gang.
            on_rack: cheapest preemption where the gang runs faster, if any.

        Returns:
            Whether the gang was started or capacity was freed for it.
        """
        pool = self._pool(demand)
        if self._start_in_group(demand, pool):
            return True
        if not self._may_preempt(demand):
            return False
        if self._allocate_releasing(demand, pool):
            return True
        off_rack = self._cheapest_preemption(demand, [pool], is_off_rack=True)
        if off_rack is None:
            return False
        if (
            on_rack
            and on_rack.loss_core_s
            <= off_rack.loss_core_s + self._off_rack_penalty(demand)
        ):
            return False
        return self._apply_preemption(demand, off_rack)

    def _off_rack_penalty(self, demand: Demand) -> float:
        """Returns the core-seconds that keeping a gang on its rack is worth."""
        return self.planner.off_rack_penalty * self._work_core_s(demand)

    def _place_tasks(self, demand: Demand) -> bool:
        """Starts the tasks that fit.

        Returns:
            Whether all tasks have capacity, now or after pending stops.
        """
        pool = self._pool(demand)
        if demand.data_rack and not self._cannot_wait(demand):
            near_data = [c for c in pool if demand.data_rack in c.labels]
            pool = near_data or pool
        count = len(demand.indexes)
        chosen = _packing.pack_partially(
            demand,
            pool,
            tracker=self.tracker,
            slots=functools.partial(self.tracker.slots, demand),
            count=count,
        )
        if chosen:
            self._start(demand, chosen)
        if len(chosen) == count:
            return True
        if not self._may_preempt(demand):
            return False
        return self._preempt_for_remaining(demand, pool, count - len(chosen))

    def _preempt_for_remaining(
        self, demand: Demand, pool: list[Candidate], count: int
    ) -> bool:
        waiting = _packing.pack(
            demand,
            pool,
            tracker=self.tracker,
            slots=self._slots_with_releasing(demand),
            count=count,
        )
        if waiting is not None:
            self.tracker.allocate(demand, waiting)
            return True
        remaining = dataclasses.replace(demand, indexes=demand.indexes[-count:])
        return self._preempt_cheapest(remaining, pool)

    def _groups(self, demand: Demand) -> list[list[Candidate]]:
        """Returns the groups of workers to try, best first."""
        if not demand.same_rack:
            return [[c for c in self._pool(demand) if _is_near_data(c, demand)]]
        groups = list(self.tracker.candidates_by_rack(demand).values())
        groups.sort(key=lambda g: self._group_key(demand, g))
        if demand.data_rack and not self._cannot_wait(demand):
            groups = [
                g for g in groups if _is_near_data(g[0], demand)
            ] or groups
        return groups

    def _group_key(
        self, demand: Demand, group: list[Candidate]
    ) -> tuple[bool, int, int]:
        free = sum(
            max(0, self.tracker.free[c.worker].accelerators) for c in group
        )
        suspects = sum(c.suspicion > 0 for c in group)
        return (not _is_near_data(group[0], demand), free, suspects)

    def _start_in_group(self, demand: Demand, group: list[Candidate]) -> bool:
        chosen = _packing.pack(
            demand,
            group,
            tracker=self.tracker,
            slots=functools.partial(self.tracker.slots, demand),
            count=len(demand.indexes),
        )
        if chosen is None:
            return False
        self._start(demand, chosen)
        return True

    def _start(self, demand: Demand, workers: list[WorkerId]) -> None:
        self._start_assignments(
            demand, list(zip(demand.indexes, workers, strict=False))
        )

    def _start_assignments(
        self, demand: Demand, assignments: list[tuple[int, WorkerId]]
    ) -> None:
        workers = [w for _, w in assignments]
        self.tracker.allocate(demand, workers)
        racks = {self.tracker.candidates[w].rack for w in workers}
        self.starts.append(
            Start(
                unit=demand.unit,
                placement=tuple(assignments),
                is_spread=demand.is_gang and len(racks) > 1,
            )
        )

    def _slots_with_releasing(self, demand: Demand) -> _packing.Slots:
        return functools.partial(
            self.tracker.slots, demand, include_releasing=True
        )

    def _allocate_releasing(
        self, demand: Demand, group: list[Candidate]
    ) -> bool:
        """Allocates a demand to capacity that pending stops will release.

        Returns:
            Whether all tasks of the demand fit.
        """
        if not any(c.worker in self.tracker.releasing for c in group):
            return False
        chosen = _packing.pack(
            demand,
            group,
            tracker=self.tracker,
            slots=self._slots_with_releasing(demand),
            count=len(demand.indexes),
        )
        if chosen is None:
            return False
        self.tracker.allocate(demand, chosen)
        return True

    def _may_preempt(self, demand: Demand) -> bool:
        return demand.is_guaranteed or demand.priority == 0

    def _cheapest_preemption(
        self,
        demand: Demand,
        groups: list[list[Candidate]],
        *,
        is_off_rack: bool,
    ) -> "_PreemptionOption | None":
        """Returns the cheapest preemption within the loss limit, or None."""
        max_loss_core_s = self._max_loss_core_s(demand, is_off_rack=is_off_rack)
        if not max_loss_core_s:
            return None
        most_available_first = sorted(
            groups, key=self._available_accelerators, reverse=True
        )
        options: list[_PreemptionOption] = []
        for group in most_available_first:
            if len(options) == MAX_GROUPS_COMPARED:
                break
            chosen = self._search(demand, group, len(demand.indexes))
            if chosen:
                loss_core_s = sum(v.loss_core_s for v in chosen)
                options.append(
                    _PreemptionOption(
                        loss_core_s=loss_core_s, group=group, victims=chosen
                    )
                )
        best = min(options, key=lambda o: o.loss_core_s, default=None)
        return best if best and best.loss_core_s <= max_loss_core_s else None

    def _preempt_cheapest(self, demand: Demand, group: list[Candidate]) -> bool:
        """Preempts the cheapest victims in a group, if there are any.

        Returns:
            Whether capacity was freed.
        """
        option = self._cheapest_preemption(demand, [group], is_off_rack=False)
        return option is not None and self._apply_preemption(demand, option)

    def _apply_preemption(
        self, demand: Demand, option: "_PreemptionOption"
    ) -> bool:
        """Preempts the victims and claims their capacity; returns True."""
        self._stop_victims(option.victims, demand)
        for victim in option.victims:
            for worker, resources in victim.freed.items():
                self.tracker.add_releasing(worker, resources)
        placed = _packing.pack(
            demand,
            option.group,
            tracker=self.tracker,
            slots=self._slots_with_releasing(demand),
            count=len(demand.indexes),
        )
        if placed is None:
            return True
        self.tracker.allocate(demand, placed)
        self.claims.append(
            Claim(
                unit=demand.unit,
                placement=tuple(zip(demand.indexes, placed, strict=True)),
                ordered_at_s=self.snapshot.now_s,
            )
        )
        return True

    def _available_accelerators(self, group: list[Candidate]) -> int:
        """Returns how many accelerators are free or being released."""
        total = 0
        for candidate in group:
            total += self.tracker.free[candidate.worker].accelerators
            releasing = self.tracker.releasing.get(candidate.worker)
            total += releasing.accelerators if releasing else 0
        return total

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
        if self.searches > self.planner.max_searches:
            return None
        return search.run(count)

    def _work_core_s(self, demand: Demand) -> float:
        """Returns the work that a demand will do, in core-seconds."""
        task_core_s = _preemption.core_seconds(
            demand.resources, demand.estimate_s
        )
        return task_core_s * len(demand.indexes)

    def _max_loss_core_s(self, demand: Demand, *, is_off_rack: bool) -> float:
        """Returns the core-seconds that a demand may still throw away."""
        if demand.is_guaranteed:
            return float("inf")
        extra_s = 0.0
        if is_off_rack:
            extra_s = (self.planner.off_rack_slowdown - 1.0) * demand.estimate_s
        timeliness = _order.timeliness_of(
            demand, now_s=self.snapshot.now_s + extra_s
        )
        if timeliness is _order.Timeliness.TOO_LATE:
            return 0.0
        limit = self.planner.max_loss_ratio * self._work_core_s(demand)
        if timeliness is _order.Timeliness.LATE:
            limit *= self.planner.late_loss_ratio
        return max(0.0, limit - self._already_lost_core_s(demand))

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

    def _cannot_wait(self, demand: Demand) -> bool:
        """Returns whether the demand must not wait for better workers.

        It is guaranteed, or waiting would make it miss its objective.
        """
        return demand.is_guaranteed or (
            self.snapshot.now_s > demand.latest_start_s
        )

    def _may_spread(
        self, demand: Demand, groups: list[list[Candidate]]
    ) -> bool:
        """Returns whether a gang may run off its rack, where it is slower."""
        if not (demand.same_rack or demand.data_rack):
            return False
        if self._cannot_wait(demand):
            return True
        count = len(demand.indexes)
        return not any(_max_task_count(g, demand) >= count for g in groups)

    def _reserve(self, demand: Demand) -> None:
        """Reserves the group that can hold a waiting gang earliest."""
        if self.reserved_gangs >= self.planner.max_reservations:
            return
        options = []
        for group in self._groups(demand):
            at_s = self._available_at_s(demand, group)
            if at_s is not None:
                options.append((at_s, group))
        if not options:
            return
        at_s, group = min(options, key=lambda o: o[0])
        self.tracker.reserve((c.worker for c in group), until_s=at_s)
        self.reserved_gangs += 1

    def _available_at_s(
        self, demand: Demand, group: list[Candidate]
    ) -> float | None:
        """Returns when a group can hold a demand.

        None if it never can, or only after the end of runs that last: other
        work would wait for a time that is not reached.
        """
        free = {c.worker: self.tracker.free[c.worker] for c in group}
        slots = {w: _fit_count(f, demand) for w, f in free.items()}
        total = sum(slots.values())
        allocations = [
            a for c in group for a in self.tracker.allocations.get(c.worker, ())
        ]
        for allocation in sorted(allocations, key=lambda a: a.ends_at_s):
            if allocation.ends_at_s == float("inf"):
                return None
            free[allocation.worker] += allocation.demand
            fitting = _fit_count(free[allocation.worker], demand)
            total += fitting - slots[allocation.worker]
            slots[allocation.worker] = fitting
            if total >= len(demand.indexes):
                return max(allocation.ends_at_s, self.snapshot.now_s)
        return None


def _max_task_count(group: list[Candidate], demand: Demand) -> int:
    """Returns how many tasks fit into a group when it is idle."""
    return sum(_fit_count(c.capacity, demand) for c in group)


def _fit_count(free: Resources, demand: Demand) -> int:
    """Returns how many tasks of a demand fit on a worker without others."""
    count = free.fit_count(demand.resources)
    if demand.max_per_worker:
        count = min(count, demand.max_per_worker)
    return count


def _is_near_data(candidate: Candidate, demand: Demand) -> bool:
    return not demand.data_rack or demand.data_rack in candidate.labels
