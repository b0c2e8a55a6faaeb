"""One term of an owner: from a takeover to the end of its epoch."""

import dataclasses
from collections.abc import Callable

from magnoliaglade import clock as clock_lib
from magnoliaglade import scheduling
from magnoliaglade import store as store_lib
from magnoliaglade.execution import (
    _attempt_hooks,
    _attempts,
    _calls,
    _eviction,
    _hooks,
    _journal,
    _launch,
    _moves,
    _records,
    _takeover,
)
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.types import JobId, WorkerId, ZoneId

# Slots written since the last snapshot; bounds the time of a takeover.
COMPACT_SLOTS = 1000
# Pause after a snapshot that could not be written.
_COMPACT_RETRY_S = 5.0


class Term:
    """State and decisions of a domain in one epoch.

    Attributes:
        may_start: whether the owner still wants to start jobs.
        on_free: told that capacity or a job became available.
        on_lost: told the error by which another owner showed up.
    """

    def __init__(
        self,
        *,
        zone: ZoneId,
        clock: clock_lib.Clock,
        owned: store_lib.DomainOwnership,
        journal: _journal.Journal,
        hooks: _hooks.OwnerHooks,
        retries_max: int,
        may_start: Callable[[], bool],
        on_free: Callable[[], None],
        on_lost: Callable[[Exception], None],
    ) -> None:
        self.zone = zone
        self.clock = clock
        self.owned = owned
        self.journal = journal
        self.hooks = hooks
        self.retries_max = retries_max
        self.may_start = may_start
        self.on_free = on_free
        self.on_lost = on_lost
        self.calls = _calls.WorkerCalls(
            clock=clock,
            client=hooks.client,
            authority=_calls.OwnerAuthority(
                owned=owned, is_permitted=hooks.may_act_in_outage
            ),
        )
        self.attempts = _attempts.Attempts(
            domain=owned.domain,
            clock=clock,
            calls=self.calls,
            journal=journal,
            hooks=_attempt_hooks.AttemptHooks(
                may_start=self._may_start_now,
                may_start_unrecorded=hooks.may_act_in_outage,
                on_outcome=hooks.on_outcome,
                expected_run_s=hooks.expected_run_s,
                on_run_time=hooks.on_run_time,
                on_free=on_free,
                on_lost=on_lost,
                on_step=hooks.on_step,
            ),
            retries_max=retries_max,
        )
        self.moves = _moves.Moves(
            clock=clock,
            journal=journal,
            attempts=self.attempts,
            zone_policy=hooks.zone_policy,
            choose_domain=hooks.choose_domain,
            forward=hooks.forward,
            may_move=lambda job: job not in self._inherited,
            on_lost=on_lost,
        )
        self._unfenced: set[WorkerId] = set()
        self._fenced_after_s = 0.0
        self._inherited: set[JobId] = set()
        self._is_informed = False
        self._compacted_slot = 0
        self._compact_after_s = 0.0

    async def adopt(self) -> None:
        """Fences the workers and continues what the predecessor left.

        A worker that does not answer is asked in each renewal round. Jobs
        that are in the log now start when every listed worker has answered,
        or when the predecessor may act no more and its leases have ended.

        Raises:
            StaleEpochError: another owner has a higher epoch.
            StoreError: the owner may not act.
        """
        table = self.journal.table
        self._inherited = {
            e.job for p in _records.JobPhase for e in table.in_phase(p)
        }
        workers = set(self.hooks.workers())
        for entry in table.in_phase(_records.JobPhase.ACTIVE):
            if entry.placement is not None:
                workers |= {w for w, _ in entry.placement.assignments}

        def send(_: WorkerId) -> _calls.Send:
            return lambda client, epoch: client.fence(
                domain=self.owned.domain, epoch=epoch
            )

        results = await self.calls.call_all(sorted(workers), send)
        now_s = self.clock.now()
        reports: _takeover.Reports = {}
        for worker, result in results.items():
            if isinstance(result, worker_lib.WorkerReport):
                reports[worker] = result
                continue
            is_stale = isinstance(result, worker_lib.StaleEpochError)
            if is_stale or not isinstance(result, worker_lib.WorkerCallError):
                raise result
            self._unfenced.add(worker)
            self.attempts.renewal.watch(worker)
        lease_s = _launch.TASK_LEASE_TTL_S + _calls.WORKER_CALL_TIMEOUT_S
        self._fenced_after_s = now_s + lease_s
        plan = _takeover.plan_takeover(table, reports, now_s=now_s)
        await self.attempts.adopt(plan)

    async def renew(self) -> None:
        """Renews all gangs once; a worker that answers is fenced by it."""
        await self.attempts.renewal.round()
        self._unfenced &= self.attempts.renewal.unreached

    async def look(self) -> None:
        """Looks at gangs that may have ended since the last renewal."""
        await self.attempts.lookout.look()

    async def decide(self) -> None:
        """Moves, evicts, refuses and starts jobs, in this order."""
        await self._settle_takeover()
        self.moves.step()
        await self._compact()
        if not self._may_start_now():
            return
        snapshot = self.snapshot()
        if not snapshot.pending:
            return
        plan = self.hooks.decide(self.hooks.refine(snapshot))
        # A start beside a gang that is still stopping is refused by the worker
        # and backs off, and meanwhile the evicted job takes the room again.
        held = self.attempts.running()
        vacating: set[WorkerId] = set()
        for eviction in plan.evictions:
            self._evict(eviction)
            if eviction.job in held:
                placement = held[eviction.job].placement
                vacating |= {w for w, _ in placement.assignments}
        await self._refuse(plan.refusals)
        for placement in plan.starts:
            if any(w in vacating for w, _ in placement.assignments):
                continue
            entry = self.journal.table.get(placement.job)
            if entry is not None and self._is_pending(entry):
                self.attempts.start(entry, placement)

    def snapshot(self) -> scheduling.ClusterSnapshot:
        """Returns what the decision depends on; times are wall seconds."""
        pending = self.journal.table.in_phase(_records.JobPhase.PENDING)
        unreached = self.attempts.renewal.unreached
        workers = {
            w: _as_lost(x) if w in unreached else x
            for w, x in self.hooks.workers().items()
        }
        return scheduling.ClusterSnapshot(
            now_s=self.clock.time(),
            workers=workers,
            running=self.attempts.running(),
            pending=tuple(e.gang for e in pending if self._is_pending(e)),
            startable_zones=self.hooks.startable_zones(),
        )

    async def abandon(self) -> None:
        """Ends all background work where it is."""
        await self.attempts.abandon()
        await self.moves.abandon()

    async def _settle_takeover(self) -> None:
        if not self._is_informed:
            self._is_informed = await self.hooks.is_informed()
        if self._inherited and await self._is_alone():
            self._inherited.clear()

    async def _is_alone(self) -> bool:
        """Tells whether the predecessor can start nothing any more."""
        if not self._unfenced:
            return True
        is_ended = self.clock.now() >= self._fenced_after_s
        if is_ended and self._unfenced.isdisjoint(self.hooks.workers()):
            return True
        return is_ended and await self.hooks.is_takeover_agreed(self.owned)

    def _may_start_now(self) -> bool:
        if not (self._is_informed and self.may_start()):
            return False
        return self.zone in self.hooks.startable_zones()

    def _is_pending(self, entry: _records.JobEntry) -> bool:
        if entry.phase is not _records.JobPhase.PENDING:
            return False
        is_out = self.journal.deferred_count or not self.owned.is_valid
        if is_out and (
            entry.spec.gang.at_most_once or not self.hooks.may_act_in_outage()
        ):
            return False
        if entry.job in self._inherited:
            return False
        return self.attempts.is_startable(entry)

    def _evict(self, eviction: scheduling.Eviction) -> None:
        bound_s = _eviction.CHECKPOINT_BOUND_S
        if eviction.beneficiary is not None:
            entry = self.journal.table.get(eviction.beneficiary)
            urgent = scheduling.Priority.URGENT
            if entry is not None and entry.spec.gang.priority >= urgent:
                bound_s = _eviction.URGENT_CHECKPOINT_BOUND_S
        self.attempts.evict(eviction.job, bound_s=bound_s)

    async def _refuse(self, refusals: tuple[scheduling.Refusal, ...]) -> None:
        for refusal in refusals:
            entry = self.journal.table.get(refusal.job)
            if not refusal.permanent or entry is None:
                continue
            if entry.phase is not _records.JobPhase.PENDING:
                continue
            await self.journal.write_eventually(
                _records.Failed(
                    job=refusal.job,
                    attempt=entry.attempt,
                    cause=_records.FailureCause.REFUSED,
                    at_s=self.clock.time(),
                    final=True,
                    detail=refusal.detail or refusal.reason.value,
                )
            )

    async def _compact(self) -> None:
        now_s = self.clock.now()
        slot = self.journal.log.next_slot
        is_due = slot - self._compacted_slot >= COMPACT_SLOTS
        if not is_due or now_s < self._compact_after_s:
            return
        self._compact_after_s = now_s + _COMPACT_RETRY_S
        self.journal.table.prune(self.clock.time())
        if await self.journal.compact():
            self._compacted_slot = slot


def _as_lost(worker: scheduling.Worker) -> scheduling.Worker:
    if worker.state is not scheduling.WorkerState.AVAILABLE:
        return worker
    return dataclasses.replace(worker, state=scheduling.WorkerState.LOST)
