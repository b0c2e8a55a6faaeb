"""Progress of a job: attempts, failures, checkpoints and outcomes.

Only state transitions: nothing here reads a clock or calls a worker.
"""

import dataclasses
import enum
from collections.abc import Iterable, Iterator

from magnoliaglade.jobs._model import Job, JobState, StepKey, StepSpec, TaskKey
from magnoliaglade.types import AccountId, Lifetime, WorkerId


class RunOutcome(enum.Enum):
    """How a run of a task ended.

    Only FAILED counts towards the limit on attempts. LOST is a run whose worker
    is gone or whose lease expired without a report.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"


class AttemptState(enum.Enum):
    """Last known state of a run that may be using capacity."""

    PLANNED = "planned"
    SENT = "sent"
    RUNNING = "running"
    STOPPING = "stopping"


class StopCause(enum.Enum):
    """Why a run was ordered to stop.

    GUARANTEE and PRIORITY are preemptions in favour of work that is within the
    guarantee of its account, and of work that is not.
    """

    GUARANTEE = "guarantee"
    PRIORITY = "priority"
    STALLED = "stalled"
    WORKER_LEAVES = "worker leaves"
    GANG = "gang"
    JOB_ENDED = "job ended"
    UNSETTLED = "unsettled"


class LossCause(enum.Enum):
    """Why a run without a reported end counts as lost.

    NOT_SENT: its start was not sent. REFUSED: its worker refused the start.
    MISSING: a report of its worker, requested after its start was settled,
    lists it neither as running nor as ended. RESTARTED: the same, by another
    lifetime of the worker. REPLACED: another worker answers at the address.
    LEASE_ENDED: its worker is silent, and its lease has certainly ended.
    """

    NOT_SENT = "not sent"
    REFUSED = "refused"
    MISSING = "missing"
    RESTARTED = "worker restarted"
    REPLACED = "worker replaced"
    LEASE_ENDED = "lease ended"


# Time in seconds for which a failure on a worker is remembered; faults of
# workers last about as long.
FAILURE_MEMORY_S = 8.0
# Smallest progress in percent, between two reports, from which the run time of
# a task is extrapolated; progress is reported in whole percents.
MIN_EXTRAPOLATED_PERCENT = 10.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """A run that is, or may be, active on a worker.

    Attributes:
        run: number of the run.
        worker: the worker.
        lifetime: lifetime of the worker for which the run was planned.
        state: last known state.
        address: address of the worker when the run was planned; "" if unknown.
        started_at_s: wall time of the plan, seconds since 1970; 0 if restored
            from a record.
        settled_at_s: monotonic time from which the start order can no longer
            take effect unnoticed; None while it may still take effect late.
        call_ended_at_s: monotonic time at which the call with the start order
            ended without an answer; infinity if it did not.
        is_off_rack: whether the run is slowed down by its distance from its
            data or from other members of its gang; None if unknown.
        first_percent: progress at the first report in this term.
        first_reported_ms: the worker's clock at that report; 0 before it.
        percent: progress at the last report.
        reported_ms: the worker's clock at the last report that lists the run;
            0 before the first one in this coordinator's term.
        no_progress_s: time in seconds, by the worker's clock, for which
            reports in close succession have shown no progress.
        stop_cause: why the run was first ordered to stop, or None.
        loss_cause: why the run counts as lost, or None.
    """

    run: int
    worker: WorkerId
    lifetime: Lifetime
    state: AttemptState
    address: str = ""
    started_at_s: float = 0.0
    settled_at_s: float | None = None
    call_ended_at_s: float = float("inf")
    is_off_rack: bool | None = None
    first_percent: float = 0.0
    first_reported_ms: int = 0
    percent: float = 0.0
    reported_ms: int = 0
    no_progress_s: float = 0.0
    stop_cause: StopCause | None = None
    loss_cause: LossCause | None = None

    @property
    def extrapolated_run_time_s(self) -> float | None:
        """Run time of the whole task in seconds; None without progress."""
        progressed = self.percent - self.first_percent
        if progressed < MIN_EXTRAPOLATED_PERCENT:
            return None
        elapsed_ms = self.reported_ms - self.first_reported_ms
        return elapsed_ms / 1000.0 * 100.0 / progressed


@dataclasses.dataclass(kw_only=True, slots=True)
class TaskProgress:
    """Progress of one task.

    Attributes:
        run: highest run number so far; 0 before the first run.
        failures: number of failed runs.
        is_done: whether the task is complete.
        attempt: the current attempt, or None.
        failed_at_s: monotonic time in seconds of the last failure on each
            worker, as far as it is remembered.
    """

    run: int = 0
    failures: int = 0
    is_done: bool = False
    attempt: Attempt | None = None
    failed_at_s: dict[WorkerId, float] = dataclasses.field(default_factory=dict)

    def remember_failure(self, worker: WorkerId, *, now_s: float) -> None:
        """Records a failure on a worker; forgets those of long ago."""
        self.failed_at_s[worker] = now_s
        for other, at_s in list(self.failed_at_s.items()):
            if now_s - at_s >= FAILURE_MEMORY_S:
                del self.failed_at_s[other]


@dataclasses.dataclass(kw_only=True, slots=True)
class StepProgress:
    """Progress of one run of a step.

    Attributes:
        tasks: the tasks by index.
        gang_failures: number of failed runs of the gang as a whole.
        last_failed_run: number of the last run that counted as a gang failure.
        checkpoints: last checkpoint by task index; a gang uses index 0 only.
    """

    tasks: list[TaskProgress]
    gang_failures: int = 0
    last_failed_run: int = 0
    checkpoints: dict[int, str] = dataclasses.field(default_factory=dict)

    @property
    def is_done(self) -> bool:
        """Whether every task is complete."""
        return all(t.is_done for t in self.tasks)

    def attempts(self) -> Iterator[tuple[int, Attempt]]:
        """Yields index and attempt of each task that has one."""
        for index, task in enumerate(self.tasks):
            if task.attempt is not None:
                yield index, task.attempt


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobSummary:
    """State of a job, and the client account that it belongs to."""

    state: JobState
    account: AccountId


class JobProgress:
    """Mutable progress of one job; only the coordinator changes it.

    Attributes:
        job: the accepted job.
        state: state as reported to clients.
        has_started: whether a worker has confirmed the start of a run. A
            confirmation is stored with the next change of the job only.
        done_steps: the completed runs of steps.
        steps: progress of each run of a step, from its first use until it is
            complete and has no attempts.
        end_position: journal position from which an end that runs have brought
            about is stored; 0 for any other state. It is not stored itself.
    """

    def __init__(self, *, job: Job) -> None:
        self.job = job
        self.state = JobState.QUEUED
        self.has_started = False
        self.done_steps: set[StepKey] = set()
        self.steps: dict[StepKey, StepProgress] = {}
        self.end_position = 0

    def step(self, key: StepKey) -> StepProgress:
        """Returns the progress of a step; creates it on first use."""
        if key not in self.steps:
            count = self.job.spec.steps[key.step].count
            self.steps[key] = StepProgress(
                tasks=[TaskProgress() for _ in range(count)]
            )
        return self.steps[key]

    def spec_of(self, key: StepKey) -> StepSpec:
        """Returns the specification of a step."""
        return self.job.spec.steps[key.step]

    def task(self, key: TaskKey) -> TaskProgress | None:
        """Returns the progress of a task, or None if it has none."""
        step = self.steps.get(StepKey(key.occurrence, key.step))
        if step is None or key.index >= len(step.tasks):
            return None
        return step.tasks[key.index]

    def ready_steps(self, *, now_s: float) -> list[StepKey]:
        """Returns steps that are due and whose predecessors are complete.

        Args:
            now_s: wall time in seconds since 1970.
        """
        found: list[StepKey] = []
        for occurrence in range(self.job.spec.occurrences):
            if self.job.spec.due_at_s(occurrence) > now_s:
                break
            for number, spec in enumerate(self.job.spec.steps):
                key = StepKey(occurrence, number)
                if key in self.done_steps:
                    continue
                if all(
                    StepKey(occurrence, i) in self.done_steps
                    for i in spec.after
                ):
                    found.append(key)
        return found

    def attempts(self) -> Iterator[tuple[TaskKey, Attempt]]:
        """Yields every attempt of the job."""
        for key, step in self.steps.items():
            for index, attempt in step.attempts():
                yield TaskKey(*key, index), attempt

    def add_planned_runs(
        self,
        key: StepKey,
        placement: Iterable[tuple[int, WorkerId, Lifetime]],
        *,
        now_s: float,
    ) -> list[TaskKey]:
        """Records a planned run for each placed task.

        Members of a gang get the same run number.
        """
        step = self.step(key)
        placed = list(placement)
        gang_run = 1 + max(t.run for t in step.tasks)
        is_gang = self.spec_of(key).is_gang
        for index, worker, lifetime in placed:
            task = step.tasks[index]
            task.run = gang_run if is_gang else task.run + 1
            task.attempt = Attempt(
                run=task.run,
                worker=worker,
                lifetime=lifetime,
                state=AttemptState.PLANNED,
                started_at_s=now_s,
            )
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING
        return [TaskKey(*key, index) for index, _, _ in placed]

    def confirm_start(self, attempt: Attempt) -> None:
        """Records that a worker has started a run of the job."""
        self.has_started = True
        if attempt.state is AttemptState.SENT:
            attempt.state = AttemptState.RUNNING

    def end_run(
        self, key: TaskKey, run: int, outcome: RunOutcome, *, now_s: float
    ) -> bool:
        """Ends a run and returns whether it was the task's current one.

        Args:
            key: the task.
            run: number of the run.
            outcome: how it ended.
            now_s: monotonic time in seconds.
        """
        task = self.task(key)
        if task is None or task.attempt is None or task.attempt.run != run:
            return False
        attempt, task.attempt = task.attempt, None
        step_key = StepKey(key.occurrence, key.step)
        step = self.steps[step_key]
        if outcome is RunOutcome.DONE:
            self._mark_done(step_key, step, key.index)
        elif outcome is RunOutcome.FAILED:
            task.remember_failure(attempt.worker, now_s=now_s)
            self._count_failure(step_key, step, task, run)
        self._close_step_if_done(step_key, step)
        return True

    def checkpoint_of(self, key: TaskKey) -> str:
        """Returns the checkpoint that the next run resumes from, else ""."""
        step = self.steps.get(StepKey(key.occurrence, key.step))
        if step is None:
            return ""
        return step.checkpoints.get(self._checkpoint_index(key), "")

    def save_checkpoint(self, key: TaskKey, value: str) -> None:
        """Stores the checkpoint of a task; ignores an empty one."""
        step = self.steps.get(StepKey(key.occurrence, key.step))
        if value and step is not None:
            step.checkpoints[self._checkpoint_index(key)] = value

    def failure_times_s(self, key: StepKey) -> dict[WorkerId, float]:
        """Returns when a task of the step last failed on each worker.

        The times are monotonic, in seconds. Failures longer than
        `FAILURE_MEMORY_S` ago may be missing.
        """
        found: dict[WorkerId, float] = {}
        step = self.steps.get(key)
        for task in step.tasks if step else ():
            for worker, at_s in task.failed_at_s.items():
                found[worker] = max(at_s, found.get(worker, at_s))
        return found

    def has_last_attempt(self, key: StepKey) -> bool:
        """Returns whether one more failure of the step would fail the job."""
        step = self.steps.get(key)
        spec = self.spec_of(key)
        if step is None or spec.is_long_running:
            return False
        failures = step.gang_failures
        if not spec.is_gang:
            waiting = (t.failures for t in step.tasks if not t.is_done)
            failures = max(waiting, default=0)
        return failures + 1 >= self.job.max_attempts

    def complete_if_done(self) -> None:
        """Sets the job to completed if every step of it is complete."""
        total = self.job.spec.occurrences * len(self.job.spec.steps)
        if not self.state.is_final and len(self.done_steps) == total:
            self.state = JobState.COMPLETED

    def complete(self) -> bool:
        """Sets the job to completed; returns False if it was final before."""
        if self.state.is_final:
            return False
        self.state = JobState.COMPLETED
        return True

    def cancel(self) -> bool:
        """Sets the job to cancelled; returns False if it was final before."""
        if self.state.is_final:
            return False
        self.state = JobState.CANCELLED
        return True

    def _checkpoint_index(self, key: TaskKey) -> int:
        return 0 if self.job.spec.steps[key.step].is_gang else key.index

    def _mark_done(self, key: StepKey, step: StepProgress, index: int) -> None:
        spec = self.spec_of(key)
        if spec.is_long_running:
            return
        members = step.tasks if spec.is_gang else [step.tasks[index]]
        for task in members:
            task.is_done = True

    def _count_failure(
        self, key: StepKey, step: StepProgress, task: TaskProgress, run: int
    ) -> None:
        if self.spec_of(key).is_gang:
            if step.last_failed_run >= run:
                return
            step.last_failed_run = run
            step.gang_failures += 1
            failures = step.gang_failures
        else:
            task.failures += 1
            failures = task.failures
        if self.spec_of(key).is_long_running or self.state.is_final:
            return
        if failures >= self.job.max_attempts and not task.is_done:
            self.state = JobState.FAILED

    def _close_step_if_done(self, key: StepKey, step: StepProgress) -> None:
        if step.is_done:
            self.done_steps.add(key)
            if not any(True for _ in step.attempts()):
                del self.steps[key]
            self.complete_if_done()
