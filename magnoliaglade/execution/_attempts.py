"""Attempts of a domain's jobs: starting, renewed, ending, evicted."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Coroutine
from typing import Any

from magnoliaglade import clock as clock_lib
from magnoliaglade import scheduling
from magnoliaglade import store as store_lib
from magnoliaglade.execution import (
    _attempt_hooks,
    _calls,
    _eviction,
    _failures,
    _gangs,
    _journal,
    _launch,
    _lookout,
    _records,
    _renewal,
    _stopping,
    _takeover,
)
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.types import Epoch, JobId, WorkerId

# Pause before a step is repeated that the owner was not allowed to make.
_AUTHORITY_RETRY_S = 0.5
# Pause before a job is started again; doubles with each failure, so that a job
# that cannot run does not keep the workers busy.
_BACKOFF_S = 1.0
_BACKOFF_MAX_S = 60.0

# Another owner has taken the domain over.
_LOST = (worker_lib.StaleEpochError, store_lib.LogFencedError)


class Attempts:
    """Everything that holds workers of the domain, one attempt per job."""

    def __init__(
        self,
        *,
        domain: str,
        clock: clock_lib.Clock,
        calls: _calls.WorkerCalls,
        journal: _journal.Journal,
        hooks: _attempt_hooks.AttemptHooks,
        retries_max: int,
    ) -> None:
        self.domain = domain
        self.clock = clock
        self.calls = calls
        self.journal = journal
        self.hooks = hooks
        self.retries_max = retries_max
        self.renewal = _renewal.Renewal(
            domain=domain,
            clock=clock,
            calls=calls,
            is_expected=self._is_expected,
            on_finding=self.handle_finding,
            on_orphan=self._clear_orphan,
        )
        self.lookout = _lookout.Lookout(clock=clock, renewal=self.renewal)
        self._launcher = _launch.Launcher(
            domain=domain,
            clock=clock,
            calls=calls,
            journal=journal,
            may_start=hooks.may_start,
            may_start_unrecorded=hooks.may_start_unrecorded,
            is_wanted=self._is_wanted,
            on_step=hooks.on_step,
        )
        self._stopper = _stopping.Stopper(
            domain=domain, clock=clock, calls=calls
        )
        self._evictor = _eviction.Evictor(
            clock=clock, renewal=self.renewal, stopper=self._stopper
        )
        self._launching: dict[JobId, _launch.Launch] = {}
        self._ending: dict[JobId, dict[int, _gangs.ActiveGang]] = {}
        self._not_before_s: dict[JobId, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_idle(self) -> bool:
        """Whether no start, stop or eviction is in progress."""
        return not self._tasks

    def holds(self, job: JobId) -> bool:
        """Tells whether workers may hold anything of the job."""
        return (
            job in self._launching
            or job in self._ending
            or job in self.renewal.gangs
        )

    def is_startable(self, entry: _records.JobEntry) -> bool:
        """Tells whether a pending job may get a new attempt now."""
        if self._not_before_s.get(entry.job, 0.0) > self.clock.now():
            return False
        self._not_before_s.pop(entry.job, None)
        return not self.holds(entry.job)

    def running(self) -> dict[JobId, scheduling.RunningGang]:
        """Returns every gang that holds workers, for the snapshot."""
        held = [g.launch for g in self.renewal.gangs.values()]
        held += [g.launch for x in self._ending.values() for g in x.values()]
        held += self._launching.values()
        return {x.job: self._running_gang(x) for x in held}

    def start(
        self, entry: _records.JobEntry, placement: scheduling.Placement
    ) -> None:
        """Starts a pending job in the background."""
        launch = _launch.Launch(
            spec=entry.spec,
            attempt=entry.attempt + 1,
            checkpoint=entry.checkpoint,
            placement=placement,
        )
        self._launching[entry.job] = launch
        self._spawn(self._start(launch))

    def evict(
        self, job: JobId, *, bound_s: float = _eviction.CHECKPOINT_BOUND_S
    ) -> None:
        """Checkpoints within a bound and stops a job in the background."""
        gang = self.renewal.gangs.get(job)
        if gang is not None and self._evictor.begin(job, bound_s):
            self._spawn(self._evict(gang))

    def stop_cancelled(self, job: JobId) -> None:
        """Stops what runs of a job that has ended in the table.

        A launch in progress notices by itself before its next call.
        """
        gang = self.renewal.remove(job)
        if gang is not None:
            self.end(gang, None)

    def end(
        self,
        gang: _gangs.ActiveGang,
        cause: _records.FailureCause | None,
        detail: str = "",
    ) -> None:
        """Stops a gang in the background and then records `cause`."""
        self._ending.setdefault(gang.job, {})[gang.attempt] = gang
        self._spawn(self._end(gang, cause, detail))

    def handle_finding(
        self, gang: _gangs.ActiveGang, finding: _gangs.Finding
    ) -> None:
        """Ends a gang that is finished, failed or lost."""
        if finding.verdict is _gangs.Verdict.FINISHED:
            self._ending.setdefault(gang.job, {})[gang.attempt] = gang
            self._spawn(self._finish(gang, finding.detail))
            return
        cause = _records.FailureCause.MEMBER_LOST
        if finding.verdict is _gangs.Verdict.FAILED:
            cause = _records.FailureCause.TASK_FAILED
            assert finding.worker is not None
            self.hooks.on_outcome(finding.worker, gang.job, False)
        self.end(gang, cause, finding.detail)

    async def adopt(self, plan: _takeover.TakeoverPlan) -> None:
        """Continues with the gangs that the predecessor left."""
        for gang in plan.unrecorded:
            await self.journal.write_eventually(
                _records.Decided(
                    job=gang.job,
                    attempt=gang.attempt,
                    placement=gang.launch.placement,
                    at_s=self.clock.time(),
                )
            )
        for gang in plan.adopted + plan.unrecorded:
            self._renew(gang)
        for gang, finding in plan.ended:
            self.handle_finding(gang, finding)
        for ending in plan.endings:
            self.end(ending.gang, ending.cause, ending.detail)

    async def settle(self) -> None:
        """Returns when nothing is in progress."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def abandon(self) -> None:
        """Ends all background work where it is."""
        for task in self._tasks:
            task.cancel()
        await self.settle()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(self._guard(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guard(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except _LOST as error:
            self.hooks.on_lost(error)
        self.hooks.on_free()

    async def _start(self, launch: _launch.Launch) -> None:
        try:
            result = await self._launcher.launch(launch)
            await self._note_result(launch, result)
        finally:
            self._launching.pop(launch.job, None)

    async def _note_result(
        self, launch: _launch.Launch, result: _launch.LaunchResult
    ) -> None:
        now_s = self.clock.now()
        gang = _gangs.make_gang(launch, now_s=now_s, reports=result.reports)
        if isinstance(result.error, _LOST):
            raise result.error
        if result.outcome is _launch.LaunchOutcome.NOT_STARTED:
            self._back_off(launch.job)
            cause = _records.FailureCause.NOT_STARTED
            if result.is_decided:
                await self._record_failure(gang, cause, str(result.error))
        elif result.outcome is _launch.LaunchOutcome.MAY_HAVE_RUN:
            worker = getattr(result.error, "worker", None)
            if worker is not None:
                self.hooks.on_outcome(worker, launch.job, False)
            cause = _records.FailureCause.START_FAILED
            self.end(gang, cause, str(result.error))
        elif self._is_wanted(launch, _launch.LaunchStep.CONFIRM):
            self._renew(gang)
        else:
            self.end(gang, None)

    def _renew(self, gang: _gangs.ActiveGang) -> None:
        self.renewal.add(gang)
        expected_s = self.hooks.expected_run_s(gang.launch.spec.gang)
        self.lookout.add(
            gang, expected_s=expected_s, elapsed_s=self._elapsed_s(gang)
        )

    def _elapsed_s(self, gang: _gangs.ActiveGang) -> float:
        return self.journal.table.elapsed_s(gang.job, self.clock.time())

    async def _finish(self, gang: _gangs.ActiveGang, detail: str) -> None:
        if not gang.launch.checkpoint:
            run_s = self._elapsed_s(gang)
            self.hooks.on_run_time(gang.launch.spec.gang, run_s)
        is_written = await self.journal.write_eventually(
            _records.Finished(
                job=gang.job,
                attempt=gang.attempt,
                at_s=self.clock.time(),
                detail=detail,
            )
        )
        self._set_ended(gang)
        for worker in gang.members:
            self.hooks.on_outcome(worker, gang.job, True)
        await self._clear(gang, is_written)

    async def _end(
        self,
        gang: _gangs.ActiveGang,
        cause: _records.FailureCause | None,
        detail: str,
    ) -> None:
        while True:
            try:
                await self._stopper.stop(gang)
                break
            except store_lib.LeaseLapsedError:
                await self.clock.sleep(_AUTHORITY_RETRY_S)
        is_written = True
        if cause is not None:
            is_written = await self._record_failure(gang, cause, detail)
        self._set_ended(gang)
        await self._clear(gang, is_written)

    async def _clear(self, gang: _gangs.ActiveGang, is_written: bool) -> None:
        # What ended stays at the workers until its record is in the log, since
        # a successor would otherwise not learn of it.
        if is_written:
            await self._stopper.release(gang.launch)
        else:
            self.renewal.visit(gang.members)

    def _set_ended(self, gang: _gangs.ActiveGang) -> None:
        attempts = self._ending.get(gang.job, {})
        attempts.pop(gang.attempt, None)
        if not attempts:
            self._ending.pop(gang.job, None)

    async def _record_failure(
        self,
        gang: _gangs.ActiveGang,
        cause: _records.FailureCause,
        detail: str,
    ) -> bool:
        entry = self.journal.table.get(gang.job)
        if entry is None:
            return True
        records = _failures.make_records(
            entry,
            gang,
            cause,
            at_s=self.clock.time(),
            retries_max=self.retries_max,
            detail=detail,
        )
        if cause.uses_retry:
            self._back_off(gang.job)
        return await self.journal.write_eventually(*records)

    async def _evict(self, gang: _gangs.ActiveGang) -> None:
        # The gang may have ended while its checkpoint was written.
        if await self._evictor.checkpoint(gang):
            self.renewal.remove(gang.job)
            self.end(gang, _records.FailureCause.EVICTED)

    async def _clear_orphan(
        self, worker: WorkerId, job: JobId, attempt: int, holds_room: bool
    ) -> None:
        is_kept = not holds_room and self.journal.deferred_count > 0
        if holds_room or is_kept:
            self.renewal.visit((worker,))
        if is_kept:
            return

        def send(
            client: worker_lib.WorkerClient, epoch: Epoch
        ) -> Awaitable[None]:
            command = worker_lib.TaskCommand(
                domain=self.domain, epoch=epoch, job=job, attempt=attempt
            )
            return (client.stop if holds_room else client.release)(command)

        try:
            await self.calls.call(worker, send)
        except worker_lib.StaleEpochError:
            raise
        except worker_lib.WorkerCallError:
            self.renewal.watch(worker)

    def _is_expected(self, job: JobId, attempt: int) -> bool:
        if attempt in self._ending.get(job, {}):
            return True
        found = (self._launching.get(job), self.renewal.gangs.get(job))
        return any(x is not None and x.attempt == attempt for x in found)

    def _is_wanted(
        self, launch: _launch.Launch, step: _launch.LaunchStep
    ) -> bool:
        entry = self.journal.table.get(launch.job)
        if entry is None:
            return False
        if step in (_launch.LaunchStep.RESERVE, _launch.LaunchStep.DECIDE):
            return entry.phase is _records.JobPhase.PENDING
        is_active = entry.phase is _records.JobPhase.ACTIVE
        return is_active and entry.attempt == launch.attempt

    def _back_off(self, job: JobId) -> None:
        entry = self.journal.table.get(job)
        failures = 0 if entry is None else entry.failures
        delay_s = min(_BACKOFF_MAX_S, _BACKOFF_S * 2**failures)
        self._not_before_s[job] = self.clock.now() + delay_s

    def _running_gang(self, launch: _launch.Launch) -> scheduling.RunningGang:
        entry = self.journal.table.get(launch.job)
        gang = dataclasses.replace(launch.spec.gang, attempt=launch.attempt)
        started_s = entry.started_at_s if entry else 0.0
        return scheduling.RunningGang(
            gang=gang,
            placement=launch.placement,
            started_at_s=started_s or self.clock.time(),
        )
