"""Default policy: guarantees as cells, ordered starts, backfill, reclaim."""

import functools

from magnoliaglade import base, kernel
from magnoliaglade.scheduling import (
    _capacity,
    _cells,
    _model,
    _order,
    _reclaim,
    _refusals,
    _reserve,
)
from magnoliaglade.scheduling import base as scheduling_base

# Searching victims costs a pass over the workers, so a long queue of gangs
# that cannot reclaim must not repeat it for each of them.
_SEARCHES_MAX = 16

# Small work ends soon and makes room without a restart; only after this wait
# does a small gang evict borrowers from its account's cells. At once, small
# gangs of equal rank evict each other in every burst.
RECLAIM_SMALL_AFTER_S = 30.0


@kernel.register("policy", "cells")
class CellsPolicy(scheduling_base.Policy):
    """Keeps guarantees as cells and uses what is left for all accounts.

    Args:
        searches_max: searches for victims per decision.
        consolidate: whether a large gang that has waited too long may move
            small checkpointable borrowers out of its way.
    """

    _parameter_constraints = {
        "searches_max": [base.Interval(kind=int, low=0)],
        "consolidate": [base.InstanceOf(cls=bool)],
    }

    def __init__(
        self,
        *,
        searches_max: int = _SEARCHES_MAX,
        consolidate: bool = True,
    ) -> None:
        self.searches_max = searches_max
        self.consolidate = consolidate

    def plan(
        self, snapshot: _model.ClusterSnapshot, *, seed: int
    ) -> _model.Plan:
        """Returns the plan for a snapshot."""
        self.validate_params()
        return _Decision(snapshot=snapshot, policy=self).run(seed)


class _Decision:
    """State of one decision while the plan is made."""

    def __init__(
        self, *, snapshot: _model.ClusterSnapshot, policy: CellsPolicy
    ) -> None:
        self.snapshot = snapshot
        self._policy = policy
        self._searches_left = policy.searches_max
        self._usage = _order.Usage.of(snapshot)
        self._capacity = _capacity.Capacity(
            workers=snapshot.workers,
            running=snapshot.running.values(),
            zones=snapshot.startable_zones,
            avoided=snapshot.avoided,
        )
        self._ledger = _cells.GuaranteeLedger(
            workers=snapshot.workers,
            running=snapshot.running.values(),
            guarantees=snapshot.guarantees,
        )
        self._reclaimer = _reclaim.Reclaimer(
            capacity=self._capacity, running=snapshot.running
        )
        self._reserver = _reserve.Reserver(
            snapshot=snapshot, capacity=self._capacity
        )
        self._judge = _refusals.Judge(snapshot=snapshot, usage=self._usage)
        self._starts: list[_model.Placement] = []
        self._evictions: list[_model.Eviction] = []
        self._refusals: list[_model.Refusal] = []
        # Smallest gang known not to fit, by shape and adjacency; room only
        # shrinks until something is evicted.
        self._too_many: dict[tuple, int] = {}

    def run(self, seed: int) -> _model.Plan:
        order = _order.in_order(self.snapshot, self._usage, seed=seed)
        for gang in order:
            refusal = self._judge.before_placement(gang)
            if refusal is None and not self._start(gang):
                refusal = self._judge.unplaced(gang)
                self._keep_workers(gang, refusal)
            if refusal is not None:
                self._refusals.append(refusal)
        return _model.Plan(
            starts=tuple(self._starts),
            evictions=tuple(self._evictions),
            reservations=tuple(self._reserver.reservations),
            refusals=tuple(self._refusals),
        )

    def _start(self, gang: _model.Gang) -> bool:
        # Small work goes where it leaves the most whole workers; only large
        # gangs look for the account's own cells first, as they lose the most
        # when they are evicted.
        if _order.is_large(gang):
            for room in self._rooms(gang):
                found = _reclaim.place_in_cells(self._capacity, gang, room)
                if found and self._commit(gang, found):
                    return True
        found = self._find(gang)
        if found and self._commit(gang, found):
            return True
        return self._start_by_eviction(gang)

    def _rooms(self, gang: _model.Gang) -> list[_cells.Units]:
        zones = self._ledger.zones_of(gang.account)
        rooms = [
            self._ledger.room(gang.account, z)
            for z in zones
            if z in self.snapshot.startable_zones
        ]
        need = gang.tasks * gang.shape.accelerators
        return [r for r in rooms if sum(r.values()) >= max(need, 1)]

    def _find(self, gang: _model.Gang) -> _capacity.Assignments | None:
        withheld = self._reserver.withheld_from(gang)
        closed = self._capacity.closed_to(gang)
        key = (gang.shape, gang.adjacency, withheld, closed)
        if gang.tasks >= self._too_many.get(key, gang.tasks + 1):
            return None
        found = self._capacity.find(gang, withheld=withheld)
        if found is None:
            self._too_many[key] = gang.tasks
        return found

    def _start_by_eviction(self, gang: _model.Gang) -> bool:
        if self._searches_left <= 0:
            return False
        searches = []
        if self._may_reclaim(gang):
            searches = [
                functools.partial(self._reclaimer.within_cells, gang, room)
                for room in self._rooms(gang)
            ]
        if gang.priority is _model.Priority.URGENT:
            searches.append(functools.partial(self._reclaimer.anywhere, gang))
        elif self._policy.consolidate and self._is_overdue(gang):
            searches.append(
                functools.partial(self._reclaimer.by_consolidation, gang)
            )
        if not searches:
            return False
        self._searches_left -= 1
        for search in searches:
            found = search()
            if found and self._commit(gang, found.assignments, found.victims):
                return True
        return False

    def _may_reclaim(self, gang: _model.Gang) -> bool:
        """Tells whether the gang may evict borrowers from its cells.

        Small gangs may only while the account, with what it borrows, has
        less than its guarantee; its borrowed places serve them as well.
        """
        if _order.is_large(gang) or gang.priority is _model.Priority.URGENT:
            return True
        if self._waited_s(gang) < RECLAIM_SMALL_AFTER_S:
            return False
        used = self._usage.accelerators(gang.account)
        need = gang.tasks * gang.shape.accelerators
        return used + need <= self._ledger.guaranteed(gang.account)

    def _is_overdue(self, gang: _model.Gang) -> bool:
        return (
            _order.is_large(gang) and self._waited_s(gang) > _order.LARGE_WAIT_S
        )

    def _waited_s(self, gang: _model.Gang) -> float:
        return self.snapshot.now_s - gang.submitted_at_s

    def _commit(
        self,
        gang: _model.Gang,
        assignments: _capacity.Assignments,
        victims: tuple = (),
    ) -> bool:
        borrowed = self._ledger.try_start(gang, assignments)
        if borrowed is None:
            return False
        for job in victims:
            victim = self._reclaimer.remove(job)
            self._capacity.release(
                victim.placement.assignments, victim.gang.shape
            )
            self._usage.add(victim.gang, sign=-1)
            self._evictions.append(
                _model.Eviction(job=job, beneficiary=gang.job)
            )
            self._too_many.clear()
        self._capacity.allocate(assignments, gang.shape)
        self._usage.add(gang)
        self._starts.append(
            _model.Placement(
                job=gang.job, assignments=assignments, borrowed=borrowed
            )
        )
        return True

    def _keep_workers(self, gang: _model.Gang, refusal: _model.Refusal) -> None:
        if self._reserver.is_full or refusal.permanent:
            return
        if self._is_overdue(gang):
            self._reserver.reserve(gang)
