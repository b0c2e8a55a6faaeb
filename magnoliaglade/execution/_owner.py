"""Owner of one scheduling domain."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

from magnoliaglade import base
from magnoliaglade import clock as clock_lib
from magnoliaglade import store as store_lib
from magnoliaglade.execution import (
    _errors,
    _hooks,
    _journal,
    _lookout,
    _records,
    _renewal,
    _table,
    _term,
)
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.types import InstanceId, JobId, ZoneId

# Urgent work starts within 3.2 s, so a decision may wait this long at most.
DECIDE_PERIOD_S = 0.5
# Submissions and ends that come together, as in a wave of cancellations, are
# answered by one decision, whose cost grows with the size of the domain.
DECIDE_PAUSE_S = 0.05
# Restarts after failures of the job itself; evictions do not count.
RETRIES_MAX = 3
# Longest wait of a graceful stop for steps in flight; what remains then is
# continued by the successor.
STOP_BOUND_S = 5.0


class DomainOwner(base.Component):
    """Accepts, starts, renews, moves and ends the jobs of one zone.

    `start` takes the domain over in the epoch of `owned`. When the instance's
    lease is replaced after an outage, the owner acquires the domain again
    under a new epoch; when another owner shows up, it ends.
    """

    _parameter_constraints = {
        "retries_max": [base.Interval(kind=int, low=0)],
        "flush_s": [base.Interval(kind=float, low=0)],
    }

    def __init__(
        self,
        *,
        zone: ZoneId,
        instance: InstanceId,
        store: store_lib.Store,
        clock: clock_lib.Clock,
        ownership: store_lib.OwnershipManager,
        owned: store_lib.DomainOwnership,
        hooks: _hooks.OwnerHooks,
        retries_max: int = RETRIES_MAX,
        flush_s: float = 0.0,
    ) -> None:
        self.zone = zone
        self.instance = instance
        self.store = store
        self.clock = clock
        self.ownership = ownership
        self.owned = owned
        self.hooks = hooks
        self.retries_max = retries_max
        self.flush_s = flush_s
        self._term: _term.Term | None = None
        self._loops: list[asyncio.Task[None]] = []
        self._wake = asyncio.Event()
        self._is_stopping = False
        self._is_lost = False
        self._closing: asyncio.Task[None] | None = None

    @property
    def domain(self) -> str:
        """Name of the domain."""
        return self.owned.domain

    @property
    def is_lost(self) -> bool:
        """Whether another owner has taken the domain over."""
        return self._is_lost

    @property
    def jobs(self) -> _table.JobTable:
        """State of the domain's jobs; read only."""
        return self._require_term().journal.table

    async def start(self) -> None:
        """Takes the domain over and starts the loops.

        Raises:
            StoreError: the log could not be opened; start again.
        """
        self.validate_params()
        await self._take_over()
        self._loops = [
            asyncio.create_task(self._run(self._decide_once, self._wait)),
            asyncio.create_task(self._run(self._renew_once, self._pause)),
            asyncio.create_task(self._run(self._look_once, self._pause_look)),
        ]

    async def stop(self) -> None:
        """Hands over: finishes steps in flight; running tasks go on."""
        self._is_stopping = True
        term = self._term
        if term is None:
            return
        with contextlib.suppress(TimeoutError):
            await self.clock.wait_for(term.attempts.settle(), STOP_BOUND_S)
        # Leases are full when the successor begins.
        with contextlib.suppress(
            store_lib.StoreError, worker_lib.WorkerCallError
        ):
            await self._renew_once()
        await self.abandon()
        with contextlib.suppress(store_lib.StoreError):
            await term.journal.drain()
        await term.journal.log.close()
        self._term = None
        if self._closing is not None:
            await self._closing
            return
        await self.ownership.release(self.owned)

    async def abandon(self) -> None:
        """Ends all background work where it is, as after a takeover."""
        loops, self._loops = self._loops, []
        current = asyncio.current_task()
        for loop in loops:
            if loop is not current:
                loop.cancel()
        await asyncio.gather(
            *(x for x in loops if x is not current), return_exceptions=True
        )
        if self._term is not None:
            await self._term.abandon()

    def dump(self) -> dict[str, Any]:
        """Returns domain, epoch, jobs by phase and gangs that hold workers."""
        term = self._term
        table = term.journal.table if term else _table.JobTable()
        return {
            "domain": self.domain,
            "epoch": self.owned.epoch,
            "is_lost": self._is_lost,
            "holding": len(term.attempts.running()) if term else 0,
            "is_idle": term is None or term.attempts.is_idle,
            "records_deferred": term.journal.deferred_count if term else 0,
            "jobs": {
                p.value: len(table.in_phase(p)) for p in _records.JobPhase
            },
        }

    async def submit(self, spec: _records.JobSpec) -> JobId:
        """Accepts a job and returns its id, also for a repeated submission.

        Raises:
            NotRunError: the job was not accepted and never runs.
            OutcomeUnknownError: submit again with the same submission id.
            NotOwnerError: submit to the owner.
        """
        known = self.jobs.find_submission(spec.submission)
        if known is None:
            await self.accept(_records.Accepted(spec=spec))
            known = self.jobs.find_submission(spec.submission)
        return spec.gang.job if known is None else known.job

    async def accept(self, accepted: _records.Accepted) -> None:
        """Accepts a job, possibly one that another domain hands over.

        Raises:
            NotRunError, OutcomeUnknownError, NotOwnerError: as `submit`.
        """
        await self._commit(accepted)
        self._wake.set()

    async def cancel(self, job: JobId) -> _records.JobEntry:
        """Cancels a job that has not ended; its tasks stop soon after.

        Raises:
            UnknownJobError: there is no such job.
            NotRunError: the job was not cancelled by this call.
            NotOwnerError: ask the owner.
            OutcomeUnknownError: it may be cancelled; cancel again.
        """
        entry = self.status(job)
        if entry.phase.is_terminal:
            return entry
        if entry.phase is _records.JobPhase.MOVING:
            raise _errors.NotRunError(f"{job}: is moving to {entry.domain}")
        await self._commit(_records.Cancelled(job=job, at_s=self.clock.time()))
        entry = self.status(job)
        if entry.phase.is_terminal:
            self._require_term().attempts.stop_cancelled(job)
            self._wake.set()
        return entry

    def status(self, job: JobId) -> _records.JobEntry:
        """Returns a copy of a job's state; an end is shown once it is stored.

        Raises:
            UnknownJobError: there is no such job.
        """
        entry = self._require_term().journal.shown(job)
        if entry is None:
            raise _errors.UnknownJobError(str(job))
        return entry

    def may_hold(self, submission: str) -> bool:
        """Tells whether a submission that the table lacks may be accepted.

        Its record may be in the log without an answer, or another owner may
        have accepted it while this one does not hold a valid lease.
        """
        if not self.owned.is_valid:
            return True
        return self._require_term().journal.may_hold(submission)

    async def _commit(self, record: _records.Record) -> None:
        journal = self._require_term().journal
        is_in_doubt = journal.is_in_doubt(record)
        try:
            if self._is_stopping:
                raise _errors.NotRunError(
                    f"{self.domain}: is being handed over"
                )
            await journal.write(record)
        except store_lib.StoreOutcomeUnknownError as error:
            raise _errors.OutcomeUnknownError(str(error)) from error
        except (store_lib.StoreError, _errors.NotRunError) as error:
            is_fenced = isinstance(error, store_lib.LogFencedError)
            # This owner's own next epoch fences a write of an earlier term.
            is_current = (
                self._term is not None and self._term.journal is journal
            )
            if is_fenced and is_current:
                self._note_lost(error)
            if is_in_doubt:
                raise _errors.OutcomeUnknownError(str(error)) from error
            if is_fenced:
                raise _errors.NotOwnerError(str(error)) from error
            raise _errors.NotRunError(str(error)) from error

    def _require_term(self) -> _term.Term:
        if self._term is None or self._is_lost:
            raise _errors.NotOwnerError(f"{self.domain}: is not owned now")
        return self._term

    async def _take_over(self) -> None:
        log = store_lib.SingleWriterLog(
            store=self.store,
            clock=self.clock,
            name=self.domain,
            writer=self.instance,
            epoch=self.owned.epoch,
            flush_interval_s=self.flush_s,
        )
        table = _table.JobTable()
        table.replay(await log.open())
        term = _term.Term(
            zone=self.zone,
            clock=self.clock,
            owned=self.owned,
            journal=_journal.Journal(log=log, table=table),
            hooks=self.hooks,
            retries_max=self.retries_max,
            may_start=lambda: not (self._is_stopping or self._is_lost),
            on_free=self._wake.set,
            on_lost=self._note_lost,
        )
        await term.adopt()
        self._term = term

    async def _run(
        self,
        step: Callable[[], Awaitable[None]],
        wait: Callable[[], Awaitable[None]],
    ) -> None:
        while not self._is_lost:
            try:
                await step()
            except (
                worker_lib.StaleEpochError,
                store_lib.LogFencedError,
            ) as error:
                self._note_lost(error)
                return
            except (store_lib.StoreError, _errors.NotOwnerError):
                # The lease has lapsed or the store is out; both are checked
                # again in the next round.
                pass
            await wait()

    async def _wait(self) -> None:
        with contextlib.suppress(TimeoutError):
            await self.clock.wait_for(self._wake.wait(), DECIDE_PERIOD_S)
        await self.clock.sleep(DECIDE_PAUSE_S)

    async def _pause(self) -> None:
        await self.clock.sleep(_renewal.TASK_RENEW_S)

    async def _pause_look(self) -> None:
        await self.clock.sleep(_lookout.LOOK_PERIOD_S)

    async def _look_once(self) -> None:
        await self._require_term().look()

    async def _decide_once(self) -> None:
        self._wake.clear()
        await self._reacquire()
        if self._term is None:
            await self._take_over()
        term = self._require_term()
        await term.journal.try_drain()
        if not self._is_stopping:
            await term.decide()

    async def _renew_once(self) -> None:
        term = self._require_term()
        await term.renew()
        gangs = list(term.attempts.renewal.gangs.values())
        await self.hooks.on_renewed(self.owned.epoch, gangs)

    async def _reacquire(self) -> None:
        """Acquires the domain again when the instance has a new lease."""
        lease = self.owned.instance_lease
        if not lease.is_valid or lease.lease == self.owned.lease:
            return
        # The log fences by itself, so records of the outage are still written
        # if no other owner has opened it.
        if self._term is not None:
            await self._term.journal.drain()
        owned = await self.ownership.acquire(self.domain)
        if owned is None:
            raise store_lib.LogFencedError(f"{self.domain}: has another owner")
        term, self._term = self._term, None
        self.owned = owned
        if term is not None:
            await term.abandon()

    def _note_lost(self, _: Exception) -> None:
        if self._is_lost:
            return
        self._is_lost = True
        self._closing = asyncio.create_task(self.abandon())
        self.hooks.on_lost()
