"""Makes a plan: what starts where, and what is stopped for whom.

Pure: the same snapshot gives the same plan.
"""

import functools

from magnoliaglade import base
from magnoliaglade.placement import _order, _packing, _preemption
from magnoliaglade.placement._model import (
    Candidate,
    Demand,
    Plan,
    Preemption,
    Snapshot,
    Start,
)
from magnoliaglade.placement._refusals import Refusals
from magnoliaglade.placement._room import Room
from magnoliaglade.types import WorkerId

# Gangs that keep workers free for themselves at a time. One per pool would do
# against starvation; two let a second large gang collect its rack meanwhile.
RESERVATIONS = 2
# Searches for victims in one plan, 1 to 3 ms each with 175 workers. The next
# plan goes on with what is left.
SEARCHES = 16
# Racks with victims among which the cheapest is chosen; those that need the
# least stopped come first.
GROUPS_COMPARED = 3


class Planner(base.Parameterized):
    """Places waiting work by order, packing and preemption.

    Attributes:
        reservations: waiting gangs that keep workers free at a time.
        loss_limit: most work thrown away for a demand without a guarantee, as
            a share of the work that the demand will do.
        searches: searches for victims in one plan, which bound its cost.
    """

    _parameter_constraints = {
        "reservations": [base.Interval(kind=int, low=0)],
        "loss_limit": [base.Interval(kind=float, low=0)],
        "searches": [base.Interval(kind=int, low=1)],
    }

    def __init__(
        self,
        *,
        reservations: int = RESERVATIONS,
        loss_limit: float = 1.0,
        searches: int = SEARCHES,
    ) -> None:
        self.reservations = reservations
        self.loss_limit = loss_limit
        self.searches = searches

    def plan(self, snapshot: Snapshot) -> Plan:
        """Returns starts and preemptions for a snapshot."""
        return _Planning(planner=self, snapshot=snapshot).run()


class _Planning:
    """One pass over the demands of a snapshot."""

    def __init__(self, *, planner: Planner, snapshot: Snapshot) -> None:
        self.planner = planner
        self.snapshot = snapshot
        self.room = Room(snapshot=snapshot)
        self.starts: list[Start] = []
        self.preemptions: list[Preemption] = []
        self.reserved = 0
        self.searches = 0
        self._victims = _preemption.VictimIndex(uses=snapshot.uses)
        self._refusals = Refusals()

    def run(self) -> Plan:
        ordered = _order.order_demands(
            self.snapshot.demands, now_s=self.snapshot.now_s
        )
        for demand in ordered:
            if self._refusals.covers(demand):
                is_placed = False
            elif demand.is_gang:
                is_placed = self._place_gang(demand)
            else:
                is_placed = self._place_tasks(demand)
            if is_placed:
                continue
            self._refusals.add(demand)
            if demand.is_gang:
                self._reserve(demand)
        return Plan(
            starts=tuple(self.starts),
            preemptions=tuple(self.preemptions),
            is_complete=self.searches <= self.planner.searches,
        )

    def _place_gang(self, demand: Demand) -> bool:
        """Starts a gang or makes room for it; tells whether it succeeded."""
        groups = self._groups(demand)
        for group in groups:
            if self._start_in(demand, group):
                return True
        if self._may_preempt(demand):
            if any(self._wait_for_stops(demand, group) for group in groups):
                return True
            if self._preempt(demand, groups):
                return True
        if not (demand.same_rack or demand.data_rack):
            return False
        return self._may_spread(demand, groups) and self._place_spread(
            demand, self._pool(demand)
        )

    def _pool(self, demand: Demand) -> list[Candidate]:
        return [c for group in self.room.racks(demand).values() for c in group]

    def _place_spread(self, demand: Demand, pool: list[Candidate]) -> bool:
        if self._start_in(demand, pool):
            return True
        if not self._may_preempt(demand):
            return False
        return self._wait_for_stops(demand, pool) or self._preempt(
            demand, [pool]
        )

    def _place_tasks(self, demand: Demand) -> bool:
        """Starts what fits; tells whether the rest has room or will have."""
        pool = self._pool(demand)
        if demand.data_rack and not self._is_pressed(demand):
            near = [c for c in pool if demand.data_rack in c.labels]
            pool = near or pool
        count = len(demand.indexes)
        chosen = _packing.pack_some(
            demand,
            pool,
            room=self.room,
            slots=functools.partial(self.room.slots, demand),
            count=count,
        )
        if chosen:
            self._start(demand, chosen)
        if len(chosen) == count:
            return True
        if not self._may_preempt(demand):
            return False
        return self._preempt_for_rest(demand, pool, count - len(chosen))

    def _preempt_for_rest(
        self, demand: Demand, pool: list[Candidate], count: int
    ) -> bool:
        waiting = _packing.pack(
            demand,
            pool,
            room=self.room,
            slots=self._coming_slots(demand),
            count=count,
        )
        if waiting is not None:
            self.room.take(demand, waiting)
            return True
        return self._preempt(demand, [pool], count=count)

    def _groups(self, demand: Demand) -> list[list[Candidate]]:
        """Returns sets of workers to try, best first."""
        if not demand.same_rack:
            return [[c for c in self._pool(demand) if _is_near(c, demand)]]
        groups = list(self.room.racks(demand).values())
        groups.sort(key=lambda g: self._group_key(demand, g))
        if demand.data_rack and not self._is_pressed(demand):
            groups = [g for g in groups if _is_near(g[0], demand)] or groups
        return groups

    def _group_key(
        self, demand: Demand, group: list[Candidate]
    ) -> tuple[bool, int, int]:
        free = sum(max(0, self.room.free[c.worker].accelerators) for c in group)
        suspects = sum(c.suspicion > 0 for c in group)
        return (not _is_near(group[0], demand), free, suspects)

    def _start_in(self, demand: Demand, group: list[Candidate]) -> bool:
        chosen = _packing.pack(
            demand,
            group,
            room=self.room,
            slots=functools.partial(self.room.slots, demand),
            count=len(demand.indexes),
        )
        if chosen is None:
            return False
        self._start(demand, chosen)
        return True

    def _start(self, demand: Demand, workers: list[WorkerId]) -> None:
        self.room.take(demand, workers)
        racks = {self.room.candidates[w].rack for w in workers}
        self.starts.append(
            Start(
                unit=demand.unit,
                placement=tuple(zip(demand.indexes, workers, strict=False)),
                is_spread=demand.is_gang and len(racks) > 1,
            )
        )

    def _coming_slots(self, demand: Demand) -> _packing.Slots:
        return functools.partial(self.room.slots, demand, with_coming=True)

    def _wait_for_stops(self, demand: Demand, group: list[Candidate]) -> bool:
        """Keeps room that is about to become free for a demand."""
        if not any(c.worker in self.room.coming for c in group):
            return False
        chosen = _packing.pack(
            demand,
            group,
            room=self.room,
            slots=self._coming_slots(demand),
            count=len(demand.indexes),
        )
        if chosen is None:
            return False
        self.room.take(demand, chosen)
        return True

    def _may_preempt(self, demand: Demand) -> bool:
        return demand.is_guaranteed or demand.priority == 0

    def _preempt(
        self,
        demand: Demand,
        groups: list[list[Candidate]],
        *,
        count: int | None = None,
    ) -> bool:
        """Stops the cheapest victims in the best of the groups."""
        wanted = len(demand.indexes) if count is None else count
        emptiest_first = sorted(groups, key=self._free_soon, reverse=True)
        options: list[tuple[float, int, list[_preemption.Victim]]] = []
        for position, group in enumerate(emptiest_first):
            if len(options) == GROUPS_COMPARED:
                break
            chosen = self._search(demand, group, wanted)
            if chosen:
                loss = sum(v.loss for v in chosen)
                options.append((loss, position, chosen))
        if not options:
            return False
        loss, position, chosen = min(options, key=lambda o: o[:2])
        if not demand.is_guaranteed and loss > self._allowed_loss(demand):
            return False
        self._stop(chosen, demand)
        for victim in chosen:
            for worker, resources in victim.freed.items():
                self.room.expect(worker, resources)
        placed = _packing.pack(
            demand,
            emptiest_first[position],
            room=self.room,
            slots=self._coming_slots(demand),
            count=wanted,
        )
        self.room.take(demand, placed or ())
        return True

    def _free_soon(self, group: list[Candidate]) -> int:
        """Returns accelerators that are free or becoming free in a group."""
        total = 0
        for candidate in group:
            total += self.room.free[candidate.worker].accelerators
            coming = self.room.coming.get(candidate.worker)
            total += coming.accelerators if coming else 0
        return total

    def _search(
        self, demand: Demand, group: list[Candidate], count: int
    ) -> list[_preemption.Victim] | None:
        search = _preemption.VictimSearch(
            demand=demand,
            candidates=group,
            room=self.room,
            index=self._victims,
        )
        if not search.may_succeed(count):
            return None
        self.searches += 1
        if self.searches > self.planner.searches:
            return None
        return search.run(count)

    def _allowed_loss(self, demand: Demand) -> float:
        work = _preemption.core_seconds(demand.resources, demand.estimate_s)
        return self.planner.loss_limit * work * len(demand.indexes)

    def _stop(self, victims: list[_preemption.Victim], demand: Demand) -> None:
        for victim in victims:
            self._victims.stop(victim)
            self.preemptions.append(
                Preemption(
                    victim=victim.unit,
                    index=victim.index,
                    beneficiary=demand.unit,
                    is_guaranteed=demand.is_guaranteed,
                )
            )

    def _is_pressed(self, demand: Demand) -> bool:
        """Tells whether waiting for the best place would miss the objective."""
        return demand.is_guaranteed or (
            self.snapshot.now_s > demand.latest_start_s
        )

    def _may_spread(
        self, demand: Demand, groups: list[list[Candidate]]
    ) -> bool:
        """Tells whether a gang may run off its rack, where it runs longer."""
        if self._is_pressed(demand):
            return True
        count = len(demand.indexes)
        return not any(_could_hold(g, demand) >= count for g in groups)

    def _reserve(self, demand: Demand) -> None:
        """Keeps the group free that can hold a waiting gang first."""
        if self.reserved >= self.planner.reservations:
            return
        options = []
        for group in self._groups(demand):
            at_s = self._available_at_s(demand, group)
            if at_s is not None:
                options.append((at_s, group))
        if not options:
            return
        at_s, group = min(options, key=lambda o: o[0])
        self.room.block((c.worker for c in group), until_s=at_s)
        self.reserved += 1

    def _available_at_s(
        self, demand: Demand, group: list[Candidate]
    ) -> float | None:
        """Returns when running work leaves room in a group, if ever."""
        free = {c.worker: self.room.free[c.worker] for c in group}
        slots = {w: f.count_of(demand.resources) for w, f in free.items()}
        total = sum(slots.values())
        uses = [u for c in group for u in self.room.uses.get(c.worker, ())]
        for use in sorted(uses, key=lambda u: u.ends_at_s):
            free[use.worker] += use.demand
            fitting = free[use.worker].count_of(demand.resources)
            total += fitting - slots[use.worker]
            slots[use.worker] = fitting
            if total >= len(demand.indexes):
                return max(use.ends_at_s, self.snapshot.now_s)
        return None


def _could_hold(group: list[Candidate], demand: Demand) -> int:
    """Returns how many tasks fit into a group that runs nothing."""
    total = 0
    for candidate in group:
        count = candidate.capacity.count_of(demand.resources)
        if demand.max_per_worker:
            count = min(count, demand.max_per_worker)
        total += count
    return total


def _is_near(candidate: Candidate, demand: Demand) -> bool:
    return not demand.data_rack or demand.data_rack in candidate.labels
