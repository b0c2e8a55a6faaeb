"""Makes a plan: what starts where, and what is stopped for whom.

Pure: the same snapshot gives the same plan.
"""

import dataclasses
import functools

from magnoliaglade import base
from magnoliaglade.placement import _claims, _order, _packing, _preemption
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
# What is late is worth about a fifth of what is on time to its callers.
LATE_SHARE = 0.2
# Off its rack a gang works for two more times its length, and is often late.
FAR_PENALTY = 4.0
# The platform's factor for work off its rack.
FAR_FACTOR = 3.0


class Planner(base.Parameterized):
    """Places waiting work by order, packing and preemption.

    Attributes:
        reservations: waiting gangs that keep workers free at a time.
        loss_limit: most work thrown away for a demand without a guarantee that
            will be on time, as a share of the work that the demand will do.
        late_share: the same limit for a demand that will be late, as a share
            of the limit for one on time; a hopeless one stops nothing.
        far_penalty: work thrown away that a place on its rack is worth to a
            gang, as a share of the work that the gang will do.
        far_factor: a gang off its rack, or tasks away from their data, take
            this many times longer.
        searches: searches for victims in one plan, which bound its cost.
    """

    _parameter_constraints = {
        "reservations": [base.Interval(kind=int, low=0)],
        "loss_limit": [base.Interval(kind=float, low=0)],
        "late_share": [base.Interval(kind=float, low=0)],
        "far_penalty": [base.Interval(kind=float, low=0)],
        "far_factor": [base.Interval(kind=float, low=1)],
        "searches": [base.Interval(kind=int, low=1)],
    }

    def __init__(
        self,
        *,
        reservations: int = RESERVATIONS,
        loss_limit: float = 1.0,
        late_share: float = LATE_SHARE,
        far_penalty: float = FAR_PENALTY,
        far_factor: float = FAR_FACTOR,
        searches: int = SEARCHES,
    ) -> None:
        self.reservations = reservations
        self.loss_limit = loss_limit
        self.late_share = late_share
        self.far_penalty = far_penalty
        self.far_factor = far_factor
        self.searches = searches

    def plan(self, snapshot: Snapshot) -> Plan:
        """Returns starts and preemptions for a snapshot."""
        return _Planning(planner=self, snapshot=snapshot).run()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Clearing:
    """A way to make room for a demand.

    Attributes:
        loss: work thrown away, in core-seconds.
        group: workers among which the room is.
        victims: what has to be stopped.
    """

    loss: float
    group: list[Candidate]
    victims: list[_preemption.Victim]


class _Planning:
    """One pass over the demands of a snapshot."""

    def __init__(self, *, planner: Planner, snapshot: Snapshot) -> None:
        self.planner = planner
        self.snapshot = snapshot
        self.room = Room(snapshot=snapshot)
        self.starts: list[Start] = []
        self.preemptions: list[Preemption] = []
        self.claims: list[Claim] = []
        self.lost_core_s: dict[UnitId, float] = {}
        self.reserved = 0
        self.searches = 0
        self._victims = _preemption.VictimIndex(
            allocations=snapshot.allocations
        )
        self._refusals = Refusals()

    def run(self) -> Plan:
        ordered = _order.order_demands(
            self.snapshot.demands, now_s=self.snapshot.now_s
        )
        claims = _claims.valid_claims(
            self.snapshot.claims, now_s=self.snapshot.now_s
        )
        for demand in _claims.order_by_claim(ordered, claims):
            rest = demand
            if demand.unit in claims:
                rest = self._use_claim(demand, claims[demand.unit])
            if rest.indexes:
                self._place(rest)
        return Plan(
            starts=tuple(self.starts),
            preemptions=tuple(self.preemptions),
            claims=tuple(self.claims),
            lost_core_s=self.lost_core_s,
            is_complete=self.searches <= self.planner.searches,
        )

    def _place(self, demand: Demand) -> None:
        if self._refusals.covers(demand):
            is_placed = False
        elif demand.is_gang:
            is_placed = self._place_gang(demand)
        else:
            is_placed = self._place_tasks(demand)
        if is_placed:
            return
        self._refusals.add(demand)
        if demand.is_gang:
            self._reserve(demand)

    def _use_claim(self, demand: Demand, claim: Claim) -> Demand:
        """Starts in claimed room, or keeps it; returns what is left over."""
        claimed = _claims.ClaimedRoom(
            claim=claim, demand=demand, room=self.room
        )
        if not claimed.rows or not claimed.fits(with_coming=True):
            return demand
        if demand.is_gang and not claimed.is_whole:
            return demand
        ready = claimed.free_rows()
        if demand.is_gang and len(ready) < len(claimed.rows):
            if any(self._start_in(demand, g) for g in self._groups(demand)):
                return dataclasses.replace(demand, indexes=())
            ready = []
        if ready:
            self._start_rows(demand, ready)
        pending = tuple(r for r in claimed.rows if r not in ready)
        if pending:
            self.room.take(demand, [w for _, w in pending])
            self.claims.append(dataclasses.replace(claim, placement=pending))
        held = {i for i, _ in claimed.rows}
        left = tuple(i for i in demand.indexes if i not in held)
        return dataclasses.replace(demand, indexes=left)

    def _place_gang(self, demand: Demand) -> bool:
        """Starts a gang or makes room for it; tells whether it succeeded."""
        groups = self._groups(demand)
        if any(self._start_in(demand, group) for group in groups):
            return True
        near: _Clearing | None = None
        if self._may_preempt(demand):
            if any(self._wait_for_stops(demand, group) for group in groups):
                return True
            near = self._cheapest(demand, groups, is_far=False)
            if near and near.loss <= self._far_penalty(demand):
                return self._clear(demand, near)
        if self._may_spread(demand, groups) and self._place_spread(
            demand, near
        ):
            return True
        return near is not None and self._clear(demand, near)

    def _pool(self, demand: Demand) -> list[Candidate]:
        return [c for group in self.room.racks(demand).values() for c in group]

    def _place_spread(self, demand: Demand, near: "_Clearing | None") -> bool:
        """Starts a gang on several racks, or clears room on them.

        Args:
            demand: the gang.
            near: what it would take to clear room where it runs faster.
        """
        pool = self._pool(demand)
        if self._start_in(demand, pool):
            return True
        if not self._may_preempt(demand):
            return False
        if self._wait_for_stops(demand, pool):
            return True
        far = self._cheapest(demand, [pool], is_far=True)
        if far is None:
            return False
        if near and near.loss <= far.loss + self._far_penalty(demand):
            return False
        return self._clear(demand, far)

    def _far_penalty(self, demand: Demand) -> float:
        """Returns the work that it is worth to keep a gang on its rack."""
        return self.planner.far_penalty * self._work(demand)

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
        rest = dataclasses.replace(demand, indexes=demand.indexes[-count:])
        return self._preempt(rest, pool)

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
        self._start_rows(
            demand, list(zip(demand.indexes, workers, strict=False))
        )

    def _start_rows(
        self, demand: Demand, rows: list[tuple[int, WorkerId]]
    ) -> None:
        workers = [w for _, w in rows]
        self.room.take(demand, workers)
        racks = {self.room.candidates[w].rack for w in workers}
        self.starts.append(
            Start(
                unit=demand.unit,
                placement=tuple(rows),
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

    def _cheapest(
        self, demand: Demand, groups: list[list[Candidate]], *, is_far: bool
    ) -> "_Clearing | None":
        """Returns the cheapest way to make room, if it may be used at all."""
        allowed = self._allowed_loss(demand, is_far=is_far)
        if not allowed:
            return None
        emptiest_first = sorted(groups, key=self._free_soon, reverse=True)
        options: list[_Clearing] = []
        for group in emptiest_first:
            if len(options) == GROUPS_COMPARED:
                break
            chosen = self._search(demand, group, len(demand.indexes))
            if chosen:
                loss = sum(v.loss for v in chosen)
                options.append(
                    _Clearing(loss=loss, group=group, victims=chosen)
                )
        best = min(options, key=lambda o: o.loss, default=None)
        return best if best and best.loss <= allowed else None

    def _preempt(self, demand: Demand, group: list[Candidate]) -> bool:
        """Stops the cheapest victims in a group."""
        clearing = self._cheapest(demand, [group], is_far=False)
        return clearing is not None and self._clear(demand, clearing)

    def _clear(self, demand: Demand, clearing: "_Clearing") -> bool:
        """Orders the stops and claims the room; always succeeds."""
        self._stop(clearing.victims, demand)
        for victim in clearing.victims:
            for worker, resources in victim.freed.items():
                self.room.expect(worker, resources)
        placed = _packing.pack(
            demand,
            clearing.group,
            room=self.room,
            slots=self._coming_slots(demand),
            count=len(demand.indexes),
        )
        if placed is None:
            return True
        self.room.take(demand, placed)
        self.claims.append(
            Claim(
                unit=demand.unit,
                placement=tuple(zip(demand.indexes, placed, strict=True)),
                since_s=self.snapshot.now_s,
            )
        )
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

    def _work(self, demand: Demand) -> float:
        """Returns the work that a demand will do, in core-seconds."""
        one = _preemption.core_seconds(demand.resources, demand.estimate_s)
        return one * len(demand.indexes)

    def _allowed_loss(self, demand: Demand, *, is_far: bool) -> float:
        """Returns the work that may still be thrown away for a demand."""
        if demand.is_guaranteed:
            return float("inf")
        longer_s = 0.0
        if is_far:
            longer_s = (self.planner.far_factor - 1.0) * demand.estimate_s
        timeliness = _order.timeliness_of(
            demand, now_s=self.snapshot.now_s + longer_s
        )
        if timeliness is _order.Timeliness.TOO_LATE:
            return 0.0
        limit = self.planner.loss_limit * self._work(demand)
        if timeliness is _order.Timeliness.LATE:
            limit *= self.planner.late_share
        spent = self.snapshot.lost_core_s.get(demand.unit, 0.0)
        spent += self.lost_core_s.get(demand.unit, 0.0)
        return max(0.0, limit - spent)

    def _stop(self, victims: list[_preemption.Victim], demand: Demand) -> None:
        loss = sum(v.loss for v in victims)
        unit = demand.unit
        self.lost_core_s[unit] = self.lost_core_s.get(unit, 0.0) + loss
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
        if not (demand.same_rack or demand.data_rack):
            return False
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
        slots = {w: f.fit_count(demand.resources) for w, f in free.items()}
        total = sum(slots.values())
        allocations = [
            u for c in group for u in self.room.allocations.get(c.worker, ())
        ]
        for allocation in sorted(allocations, key=lambda u: u.ends_at_s):
            free[allocation.worker] += allocation.demand
            fitting = free[allocation.worker].fit_count(demand.resources)
            total += fitting - slots[allocation.worker]
            slots[allocation.worker] = fitting
            if total >= len(demand.indexes):
                return max(allocation.ends_at_s, self.snapshot.now_s)
        return None


def _could_hold(group: list[Candidate], demand: Demand) -> int:
    """Returns how many tasks fit into a group that runs nothing."""
    total = 0
    for candidate in group:
        count = candidate.capacity.fit_count(demand.resources)
        if demand.max_per_worker:
            count = min(count, demand.max_per_worker)
        total += count
    return total


def _is_near(candidate: Candidate, demand: Demand) -> bool:
    return not demand.data_rack or demand.data_rack in candidate.labels
