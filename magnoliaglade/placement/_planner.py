"""Decides which tasks start on which workers, and which runs are preempted.

A pure function of the snapshot: the same snapshot gives the same plan.
"""

import dataclasses
import functools

from magnoliaglade import base
from magnoliaglade.placement import (
    _claims,
    _gang_packing,
    _order,
    _packing,
    _preemptor,
    _rack_choice,
    _rack_groups,
    _reservations,
)
from magnoliaglade.placement._capacity_tracker import CapacityTracker
from magnoliaglade.placement._gang_options import OptionFinder
from magnoliaglade.placement._gang_placement import GangPlacer
from magnoliaglade.placement._model import (
    Candidate,
    Claim,
    Demand,
    GangChoice,
    Plan,
    Snapshot,
    Start,
)
from magnoliaglade.placement._rejection_cache import RejectionCache
from magnoliaglade.types import WorkerId

# Number of gangs that hold a reservation at a time. One per pool would prevent
# starvation; with two, a second large gang can collect its rack meanwhile.
MAX_RESERVATIONS = 2
# Number of searches for victims in one plan; each takes 1 to 3 ms with 175
# workers. The next plan continues with the demands that remain.
MAX_SEARCHES = 16
# A late result is worth about a fifth of a timely one to the client.
LATE_LOSS_RATIO = 0.2
# Cost of work that is thrown away for an urgent gang, per work of the gang, as
# a ratio to the value of a timely result. A core-second of batch work is worth
# about a twentieth of one of urgent work to callers, or less.
LOSS_PRICE = 0.05
# Factor by which work off its rack is slowed down, if none is stated.
OFF_RACK_SLOWDOWN = 3.0
# Time from acceptance within which a guaranteed job has begun, and longest time
# of a stop, if none are stated: the strictest of the deployments. In seconds.
RECLAIM_S = 2.7
STOP_S = 0.4
# Time in addition to that of a stop after which its end is overdue: the order,
# the report of the end and the next plan. In seconds.
STOP_MARGIN_S = 0.2


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
        loss_price: cost of work that is thrown away for an urgent gang with a
            rack constraint, as much as the gang will do, as a ratio to the
            value of a timely result.
        off_rack_slowdown: factor by which the run time grows for a gang off its
            rack, or for tasks away from their data; racks don't matter if it
            is 1.
        reclaim_s: time from acceptance within which a guaranteed job has begun.
        stop_s: longest time that a worker takes to stop a run.
        max_searches: limit on searches for victims in one plan, which bounds
            the time that the plan takes.
    """

    _parameter_constraints = {
        "max_reservations": [base.Interval(kind=int, low=0)],
        "max_loss_ratio": [base.Interval(kind=float, low=0)],
        "late_loss_ratio": [base.Interval(kind=float, low=0)],
        "loss_price": [base.Interval(kind=float, low=0)],
        "off_rack_slowdown": [base.Interval(kind=float, low=1)],
        "reclaim_s": [base.Interval(kind=float, low=0)],
        "stop_s": [base.Interval(kind=float, low=0)],
        "max_searches": [base.Interval(kind=int, low=1)],
    }

    def __init__(
        self,
        *,
        max_reservations: int = MAX_RESERVATIONS,
        max_loss_ratio: float = 1.0,
        late_loss_ratio: float = LATE_LOSS_RATIO,
        loss_price: float = LOSS_PRICE,
        off_rack_slowdown: float = OFF_RACK_SLOWDOWN,
        reclaim_s: float = RECLAIM_S,
        stop_s: float = STOP_S,
        max_searches: int = MAX_SEARCHES,
    ) -> None:
        self.max_reservations = max_reservations
        self.max_loss_ratio = max_loss_ratio
        self.late_loss_ratio = late_loss_ratio
        self.loss_price = loss_price
        self.off_rack_slowdown = off_rack_slowdown
        self.reclaim_s = reclaim_s
        self.stop_s = stop_s
        self.max_searches = max_searches

    def plan(self, snapshot: Snapshot) -> Plan:
        """Returns starts and preemptions for a snapshot."""
        return _PlanBuilder(planner=self, snapshot=snapshot).build()


class _PlanBuilder:
    """Builds a plan in one pass over the demands of a snapshot."""

    def __init__(self, *, planner: Planner, snapshot: Snapshot) -> None:
        self.planner = planner
        self.snapshot = snapshot
        self.tracker = CapacityTracker(
            snapshot=snapshot,
            do_racks_matter=planner.off_rack_slowdown > 1.0,
        )
        self.starts: list[Start] = []
        self.claims: list[Claim] = []
        self.reserved_gangs = 0
        self._claims = _claims.valid_claims(
            snapshot.claims, now_s=snapshot.now_s
        )
        self._preemptor = _preemptor.Preemptor(
            snapshot=snapshot,
            tracker=self.tracker,
            max_loss_ratio=planner.max_loss_ratio,
            late_loss_ratio=planner.late_loss_ratio,
            max_searches=planner.max_searches,
        )
        self._gang_placer = self._make_gang_placer()
        self._rejections = RejectionCache()
        self._has_lasting_speeds = _rack_choice.differ_lastingly(
            snapshot.candidates
        )
        self._unfit_workers = frozenset(
            c.worker
            for c in snapshot.candidates
            if _packing.is_unfit_for_urgent_work(c)
        )

    def _make_gang_placer(self) -> GangPlacer:
        planner = self.planner
        return GangPlacer(
            tracker=self.tracker,
            preemptor=self._preemptor,
            finder=OptionFinder(
                tracker=self.tracker,
                preemptor=self._preemptor,
                stop_s=planner.stop_s,
                off_rack_slowdown=planner.off_rack_slowdown,
                late_ratio=planner.late_loss_ratio,
                loss_price=planner.loss_price,
            ),
            limits=_rack_choice.WaitLimits(
                reclaim_s=planner.reclaim_s, stop_s=planner.stop_s
            ),
            late_ratio=planner.late_loss_ratio,
            start=self._start,
            waits={c.unit: c for c in self.snapshot.claims if c.is_wait},
        )

    def build(self) -> Plan:
        snapshot = self.snapshot
        if not self.tracker.do_racks_matter:
            demands = tuple(_without_rack(d) for d in snapshot.demands)
            snapshot = dataclasses.replace(snapshot, demands=demands)
        ordered, deferred = _order.order_demands(snapshot)
        for demand in _claims.order_by_claim(ordered, self._claims):
            remaining = demand
            if demand.unit in self._claims:
                remaining = self._use_claim(demand, self._claims[demand.unit])
            if remaining.indexes:
                self._place(remaining)
        return Plan(
            starts=tuple(self.starts),
            preemptions=tuple(self._preemptor.preemptions),
            claims=(
                *self.claims,
                *self._preemptor.claims,
                *self._gang_placer.claims,
            ),
            lost_core_s=self._preemptor.lost_core_s,
            is_complete=not self._preemptor.is_exhausted,
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
        is_postponed = demand.unit in self._gang_placer.postponed
        if not is_postponed and not self._has_limits_of_its_own(demand):
            self._rejections.add(demand)
        return False

    def _has_limits_of_its_own(self, demand: Demand) -> bool:
        """Returns whether less is open to a demand than to others like it.

        Its tasks use up the limit per worker, or its preemptions the limit on
        work thrown away.
        """
        if demand.max_per_worker and self.tracker.has_placed(demand.unit):
            return True
        return self._preemptor.already_lost_core_s(demand) > 0.0

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
            if self._start_elsewhere(demand, claim):
                return dataclasses.replace(demand, indexes=())
            ready = []
        if ready:
            self._start_assignments(demand, ready, claim.choice)
        pending = tuple(a for a in claimed.assignments if a not in ready)
        if pending:
            self.tracker.allocate(demand, [w for _, w in pending])
            self.claims.append(dataclasses.replace(claim, placement=pending))
        claimed_indexes = {i for i, _ in claimed.assignments}
        remaining_indexes = tuple(
            i for i in demand.indexes if i not in claimed_indexes
        )
        return dataclasses.replace(demand, indexes=remaining_indexes)

    def _start_elsewhere(self, demand: Demand, claim: Claim) -> bool:
        """Starts a gang without its claim, unless it ends later than with it.

        Stops that are overdue are not waited for.
        """
        groups = _rack_groups.near_data(demand, self._groups(demand))
        chosen = _gang_packing.pack_on_fastest(demand, groups, self.tracker)
        if chosen is None:
            return False
        overdue_at_s = claim.ordered_at_s + self.planner.stop_s + STOP_MARGIN_S
        stops_in_s = overdue_at_s - self.snapshot.now_s
        run_s = self._gang_placer.finder.run_s
        claimed_s = run_s(demand, [w for _, w in claim.placement])
        ends_later = run_s(demand, chosen) > stops_in_s + claimed_s
        if stops_in_s > 0.0 and ends_later:
            return False
        self._start(demand, chosen, claim.choice)
        return True

    def _has_options(self, demand: Demand) -> bool:
        """Returns whether it matters to an urgent gang where it runs.

        That is so with a rack constraint, and in a pool whose workers differ
        lastingly: a single slow member makes the gang late.
        """
        if not _preemptor.may_preempt(demand):
            return False
        return demand.has_rack or (
            demand.priority == 0 and self._has_lasting_speeds
        )

    def _place_gang(self, demand: Demand) -> bool:
        """Starts a gang or frees capacity for it; returns whether it did."""
        groups = self._groups(demand)
        if self._has_options(demand):
            near = _rack_groups.near_data(demand, groups)
            if self._gang_placer.place(demand, near, self._pool(demand)):
                return True
            if demand.unit in self._gang_placer.postponed:
                return False
            # Otherwise lesser work would take the free part of what becomes
            # free for the gang.
            return any(self._allocate_releasing(demand, g) for g in near)
        if self._start_gang(demand, groups):
            return True
        if not _preemptor.may_preempt(demand):
            return self._may_spread(demand, groups) and self._start_gang(
                demand, [self._pool(demand)]
            )
        if any(self._allocate_releasing(demand, group) for group in groups):
            return True
        return any(
            self._preemptor.preempt_cheapest(demand, group) for group in groups
        )

    def _pool(self, demand: Demand) -> list[Candidate]:
        return _rack_groups.pool_of(demand, self.tracker)

    def _groups(self, demand: Demand) -> list[list[Candidate]]:
        return _rack_groups.groups_of(
            demand, self.tracker, may_wait=not self._cannot_wait(demand)
        )

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
        if not _preemptor.may_preempt(demand):
            return False
        return self._preempt_for_remaining(demand, pool, count - len(chosen))

    def _preempt_for_remaining(
        self, demand: Demand, pool: list[Candidate], count: int
    ) -> bool:
        waiting = _packing.pack(
            demand,
            pool,
            tracker=self.tracker,
            slots=self.tracker.slots_with_releasing(demand),
            count=count,
        )
        if waiting is not None:
            self.tracker.allocate(demand, waiting)
            return True
        remaining = dataclasses.replace(demand, indexes=demand.indexes[-count:])
        return self._preemptor.preempt_cheapest(remaining, pool)

    def _start_gang(
        self,
        demand: Demand,
        groups: list[list[Candidate]],
        choice: GangChoice | None = None,
    ) -> bool:
        chosen = _gang_packing.pack_on_fastest(demand, groups, self.tracker)
        if chosen is None:
            return False
        self._start(demand, chosen, choice)
        return True

    def _start(
        self,
        demand: Demand,
        workers: list[WorkerId],
        choice: GangChoice | None = None,
    ) -> None:
        self._start_assignments(
            demand, list(zip(demand.indexes, workers, strict=False)), choice
        )

    def _start_assignments(
        self,
        demand: Demand,
        assignments: list[tuple[int, WorkerId]],
        choice: GangChoice | None = None,
    ) -> None:
        workers = [w for _, w in assignments]
        self.tracker.allocate(demand, workers)
        racks = {self.tracker.candidates[w].rack for w in workers}
        self.starts.append(
            Start(
                unit=demand.unit,
                placement=tuple(assignments),
                is_spread=demand.is_gang and len(racks) > 1,
                choice=choice,
            )
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
        chosen = _gang_packing.pack_by_speed(
            demand,
            group,
            self.tracker.slots_with_releasing(demand),
            self.tracker,
        )
        if chosen is None:
            return False
        self.tracker.allocate(demand, chosen)
        return True

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
        if not demand.has_rack:
            return False
        if self._cannot_wait(demand):
            return True
        count = len(demand.indexes)
        return not any(
            _reservations.max_task_count(g, demand) >= count for g in groups
        )

    def _reserve(self, demand: Demand) -> None:
        """Reserves the group that can hold a waiting gang earliest."""
        if self.reserved_gangs >= self.planner.max_reservations:
            return
        groups = self._groups(demand)
        if _reservations.reserve(demand, groups, self.tracker):
            self.reserved_gangs += 1


def _without_rack(demand: Demand) -> Demand:
    if not demand.has_rack:
        return demand
    return dataclasses.replace(demand, same_rack=False, data_rack="")
