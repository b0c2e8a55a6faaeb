"""Start of a gang: reserve, decide, commit, activate, confirm.

Until every member is confirmed, the workers end the tasks by themselves: a
reservation after RESERVATION_TTL_S, a held or unconfirmed task after
GANG_CONFIRM_S. A launch that fails at any step therefore leaves no part of a
gang running, also if the owner fails with it.
"""

import dataclasses
import enum
from collections.abc import Awaitable, Callable

from magnoliaglade import clock as clock_lib
from magnoliaglade import scheduling
from magnoliaglade import store as store_lib
from magnoliaglade.execution import _calls, _errors, _journal, _records
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.types import Epoch, JobId, WorkerId

# Measured on the worker's clock, so that a delayed commit is rejected.
RESERVATION_TTL_S = 2.0
GANG_CONFIRM_S = 3.0
TASK_LEASE_TTL_S = 20.0

_ALIVE = (worker_lib.TaskPhase.RUNNING, worker_lib.TaskPhase.FINISHED)


class LaunchStep(enum.Enum):
    """Steps of a launch in their order."""

    RESERVE = "reserve"
    DECIDE = "decide"
    COMMIT = "commit"
    ACTIVATE = "activate"
    CONFIRM = "confirm"


class LaunchOutcome(enum.Enum):
    """What is known of the tasks after a launch."""

    STARTED = "started"
    NOT_STARTED = "not-started"
    MAY_HAVE_RUN = "may-have-run"


class LaunchError(_errors.ExecutionError):
    """A launch is given up: no longer wanted, or a task failed to start."""

    def __init__(self, text: str, *, worker: WorkerId | None = None) -> None:
        super().__init__(text)
        self.worker = worker


@dataclasses.dataclass(frozen=True, kw_only=True)
class Launch:
    """An attempt to start.

    Attributes:
        spec: the job.
        attempt: number of the attempt.
        checkpoint: checkpoint to continue from, or "".
        placement: workers and number of tasks.
    """

    spec: _records.JobSpec
    attempt: int
    checkpoint: str
    placement: scheduling.Placement

    @property
    def job(self) -> JobId:
        """Id of the job."""
        return self.spec.gang.job

    @property
    def counts(self) -> dict[WorkerId, int]:
        """Number of tasks by worker."""
        return dict(self.placement.assignments)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LaunchResult:
    """How a launch ended.

    Attributes:
        outcome: what is known of the tasks.
        is_decided: whether a decided record is or may be in the log.
        reports: the members' reports of the last step.
        error: why it failed, or None.
    """

    outcome: LaunchOutcome
    is_decided: bool
    reports: dict[WorkerId, worker_lib.WorkerReport]
    error: Exception | None = None


@dataclasses.dataclass(kw_only=True)
class _Progress:
    launch: Launch
    step: LaunchStep = LaunchStep.RESERVE
    reservations: dict[WorkerId, str] = dataclasses.field(default_factory=dict)
    reports: dict[WorkerId, worker_lib.WorkerReport] = dataclasses.field(
        default_factory=dict
    )


class Launcher:
    """Starts gangs of one domain.

    Attributes:
        may_start: whether zone and owner permit starts now.
        may_start_unrecorded: whether a restartable job may start although
            the store does not take its record.
        is_wanted: whether the job still waits for this attempt; asked before
            every call, since a cancellation can arrive at any time.
        on_step: awaited before each step; for tests and counters.
    """

    def __init__(
        self,
        *,
        domain: str,
        clock: clock_lib.Clock,
        calls: _calls.WorkerCalls,
        journal: _journal.Journal,
        may_start: Callable[[], bool],
        may_start_unrecorded: Callable[[], bool],
        is_wanted: Callable[[Launch, LaunchStep], bool],
        on_step: Callable[[LaunchStep, JobId], Awaitable[None]] | None = None,
    ) -> None:
        self.domain = domain
        self.clock = clock
        self.calls = calls
        self.journal = journal
        self.may_start = may_start
        self.may_start_unrecorded = may_start_unrecorded
        self.is_wanted = is_wanted
        self.on_step = on_step

    async def launch(self, launch: Launch) -> LaunchResult:
        """Starts a gang or leaves nothing of it.

        Tasks of a launch that may have run are for the caller to stop.
        """
        progress = _Progress(launch=launch)
        steps = {
            LaunchStep.RESERVE: self._reserve,
            LaunchStep.DECIDE: self._decide,
            LaunchStep.COMMIT: self._commit,
            LaunchStep.ACTIVATE: self._activate,
            LaunchStep.CONFIRM: self._confirm,
        }
        try:
            for step in LaunchStep:
                progress.step = step
                if self.on_step is not None:
                    await self.on_step(step, launch.job)
                self._check(progress)
                await steps[step](progress)
        except (
            worker_lib.WorkerCallError,
            store_lib.StoreError,
            _errors.ExecutionError,
        ) as error:
            return await self._abort(progress, error)
        return LaunchResult(
            outcome=LaunchOutcome.STARTED,
            is_decided=True,
            reports=progress.reports,
        )

    def _check(self, progress: _Progress) -> None:
        if not self.is_wanted(progress.launch, progress.step):
            raise LaunchError("the job is no longer to be started")
        # A gang that is active everywhere is running work, not a start.
        is_start = progress.step is not LaunchStep.CONFIRM
        if is_start and not self.may_start():
            raise LaunchError("starts are not permitted now")
        self.calls.authority.check()

    async def _reserve(self, progress: _Progress) -> None:
        launch = progress.launch
        shape = launch.spec.gang.shape
        spec = worker_lib.TaskSpec(
            command=launch.spec.command,
            cores=shape.cores,
            memory_gb=shape.memory_gb,
            accelerators=shape.accelerators,
            checkpoint=launch.checkpoint,
        )

        def send(worker: WorkerId) -> _calls.Send:
            return lambda client, epoch: client.reserve(
                worker_lib.ReserveRequest(
                    domain=self.domain,
                    epoch=epoch,
                    job=launch.job,
                    attempt=launch.attempt,
                    count=launch.counts[worker],
                    spec=spec,
                    ttl_s=RESERVATION_TTL_S,
                )
            )

        replies = await self._call_members(progress, send)
        progress.reservations = {
            w: reply.reservation for w, reply in replies.items()
        }

    async def _decide(self, progress: _Progress) -> None:
        launch = progress.launch
        record = _records.Decided(
            job=launch.job,
            attempt=launch.attempt,
            placement=launch.placement,
            at_s=self.clock.time(),
        )
        try:
            await self.journal.write(record)
        except store_lib.LogFencedError:
            raise
        except store_lib.StoreError:
            is_restartable = not launch.spec.gang.at_most_once
            if not (is_restartable and self.may_start_unrecorded()):
                raise
            # Under grants the record follows when the store returns; until
            # then a successor learns of the gang from the workers' reports.
            await self.journal.write_eventually(record)

    async def _commit(self, progress: _Progress) -> None:
        launch = progress.launch

        def send(worker: WorkerId) -> _calls.Send:
            return lambda client, epoch: client.commit(
                worker_lib.CommitRequest(
                    domain=self.domain,
                    epoch=epoch,
                    reservation=progress.reservations[worker],
                    gang_size=launch.spec.gang.tasks,
                    confirm_s=GANG_CONFIRM_S,
                )
            )

        await self._call_members(progress, send)

    async def _activate(self, progress: _Progress) -> None:
        await self._renew(progress, activate=(progress.launch.job,))

    async def _confirm(self, progress: _Progress) -> None:
        await self._renew(progress, keep=(progress.launch.job,))

    async def _renew(
        self,
        progress: _Progress,
        *,
        activate: tuple[JobId, ...] = (),
        keep: tuple[JobId, ...] = (),
    ) -> None:
        def send(_: WorkerId) -> _calls.Send:
            return lambda client, epoch: client.renew(
                worker_lib.RenewRequest(
                    domain=self.domain,
                    epoch=epoch,
                    activate=activate,
                    keep=keep,
                    lease_s=TASK_LEASE_TTL_S,
                )
            )

        progress.reports = await self._call_members(progress, send)
        for worker, report in progress.reports.items():
            _check_alive(progress.launch, worker, report)

    async def _call_members(
        self, progress: _Progress, send: Callable[[WorkerId], _calls.Send]
    ) -> dict:
        # Waits for every member before it reports a failure, so that a late
        # call of a member cannot follow its release.
        results = await self.calls.call_all(
            progress.launch.counts, send, check=lambda: self._check(progress)
        )
        error = _calls.first_error(results.values())
        if error is not None:
            raise error
        return results

    async def _abort(
        self, progress: _Progress, error: Exception
    ) -> LaunchResult:
        if progress.step in (LaunchStep.ACTIVATE, LaunchStep.CONFIRM):
            outcome = LaunchOutcome.MAY_HAVE_RUN
        else:
            outcome = LaunchOutcome.NOT_STARTED
            await self.release(progress.launch)
        return LaunchResult(
            outcome=outcome,
            is_decided=progress.step is not LaunchStep.RESERVE,
            reports=progress.reports,
            error=error,
        )

    async def release(self, launch: Launch) -> None:
        """Drops reservations, held and ended tasks; failures are ignored.

        What a worker that is not reached holds ends by its own clock.
        """

        def send(_: WorkerId) -> _calls.Send:
            return lambda client, epoch: client.release(
                self.command(launch, epoch)
            )

        await self.calls.call_all(launch.counts, send)

    def command(self, launch: Launch, epoch: Epoch) -> worker_lib.TaskCommand:
        """Returns a command for the tasks of an attempt."""
        return worker_lib.TaskCommand(
            domain=self.domain,
            epoch=epoch,
            job=launch.job,
            attempt=launch.attempt,
        )


def tasks_of(
    report: worker_lib.WorkerReport, job: JobId, attempt: int
) -> tuple[worker_lib.TaskReport, ...]:
    """Returns the tasks of an attempt in a worker's report."""
    return tuple(
        t for t in report.tasks if t.job == job and t.attempt == attempt
    )


def _check_alive(
    launch: Launch, worker: WorkerId, report: worker_lib.WorkerReport
) -> None:
    tasks = tasks_of(report, launch.job, launch.attempt)
    bad = [t for t in tasks if t.phase not in _ALIVE]
    if bad:
        raise LaunchError(f"{worker}: {bad[0].detail}", worker=worker)
    if len(tasks) != launch.counts[worker]:
        raise LaunchError(f"{worker}: {len(tasks)} tasks", worker=worker)
