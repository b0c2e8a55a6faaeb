"""Tells bad workers from bad jobs by what failed where."""

import dataclasses
import enum
from collections import defaultdict
from collections.abc import Iterable

from magnoliaglade import base
from magnoliaglade.scheduling import _model
from magnoliaglade.types import JobId, WorkerId

# A job avoids a worker on which it has failed for this long in seconds. A gang
# that needs most of the pool would otherwise wait for ever.
AVOID_S = 60.0

_POSITIVE = base.Interval(kind=int, low=1)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskOutcome:
    """End of a job's tasks on one worker.

    Attributes:
        job: the job.
        worker: the worker on which the tasks ended by themselves. Workers
            whose tasks were stopped because another member failed are not
            reported.
        at_s: time of the end.
        failed: whether they failed.
    """

    job: JobId
    worker: WorkerId
    at_s: float
    failed: bool


class RetryVerdict(enum.Enum):
    """Whether a failed job is started again."""

    RETRY = "retry"
    GIVE_UP = "give-up"


@dataclasses.dataclass(kw_only=True, slots=True)
class _Health:
    """What is known of one worker."""

    failed_jobs: set[JobId] = dataclasses.field(default_factory=set)
    succeeded_jobs: set[JobId] = dataclasses.field(default_factory=set)
    quarantined_at_s: float | None = None
    times: int = 0
    trial_successes: int = 0


class Quarantine(base.BaseEstimator):
    """State of workers and retries of jobs, learned from outcomes.

    A worker is bad when `jobs_min` distinct jobs have failed on it with no
    success in between; jobs that are bad themselves do not count. A job is
    bad when it has failed on `workers_min` distinct workers on which other
    jobs succeeded. After `quarantine_s`, doubled with every repetition, a
    worker is on probation: `trials` successes release it, one failure puts it
    back.
    """

    _parameter_constraints = {
        "jobs_min": [_POSITIVE],
        "workers_min": [_POSITIVE],
        "quarantine_s": [base.Interval(kind=float, low=0.0, low_open=True)],
        "trials": [_POSITIVE],
        "attempts_max": [_POSITIVE],
    }

    def __init__(
        self,
        *,
        jobs_min: int = 3,
        workers_min: int = 3,
        quarantine_s: float = 600.0,
        trials: int = 2,
        attempts_max: int = 5,
    ) -> None:
        self.jobs_min = jobs_min
        self.workers_min = workers_min
        self.quarantine_s = quarantine_s
        self.trials = trials
        self.attempts_max = attempts_max

    def partial_fit(self, observations: Iterable[TaskOutcome]) -> "Quarantine":
        """Adds outcomes in order of time."""
        self.validate_params()
        if not hasattr(self, "workers_"):
            self.workers_: dict[WorkerId, _Health] = defaultdict(_Health)
            self.failed_on_: dict[JobId, dict[WorkerId, float]] = defaultdict(
                dict
            )
            self.failures_: dict[JobId, int] = defaultdict(int)
        for outcome in observations:
            if outcome.failed:
                self._add_failure(outcome)
            else:
                self._add_success(outcome)
        return self

    def predict(
        self, queries: Iterable[tuple[WorkerId, float]]
    ) -> list[_model.WorkerState]:
        """Returns the state of each (worker, time in seconds)."""
        return [self._state(worker, now_s) for worker, now_s in queries]

    def verdict(self, job: JobId) -> RetryVerdict:
        """Tells whether a failed job is started again.

        Failures on a quarantined worker do not count against the job.
        """
        if not hasattr(self, "workers_"):
            return RetryVerdict.RETRY
        bad = sum(
            self.workers_[w].quarantined_at_s is not None
            for w in self.failed_on_.get(job, ())
        )
        failures = self.failures_.get(job, 0) - bad
        if self._is_bad(job) or failures >= self.attempts_max:
            return RetryVerdict.GIVE_UP
        return RetryVerdict.RETRY

    def avoided(
        self, jobs: Iterable[JobId], *, now_s: float
    ) -> dict[JobId, frozenset[WorkerId]]:
        """Returns the workers on which jobs have failed lately, by job."""
        found: dict[JobId, frozenset[WorkerId]] = {}
        for job in jobs:
            failed_on = getattr(self, "failed_on_", {}).get(job, {})
            workers = frozenset(
                w for w, at_s in failed_on.items() if now_s < at_s + AVOID_S
            )
            if workers:
                found[job] = workers
        return found

    def annotate(
        self, snapshot: _model.ClusterSnapshot
    ) -> _model.ClusterSnapshot:
        """Returns the snapshot with worker states, avoided and exhausted.

        Workers that are leaving or lost keep their state.
        """
        workers = dict(snapshot.workers)
        for worker in getattr(self, "workers_", ()):
            known = workers.get(worker)
            if known and known.state is _model.WorkerState.AVAILABLE:
                state = self._state(worker, snapshot.now_s)
                workers[worker] = dataclasses.replace(known, state=state)
        exhausted = frozenset(
            gang.job
            for gang in snapshot.pending
            if self.verdict(gang.job) is RetryVerdict.GIVE_UP
        )
        avoided = self.avoided(
            [g.job for g in snapshot.pending], now_s=snapshot.now_s
        )
        return dataclasses.replace(
            snapshot, workers=workers, exhausted=exhausted, avoided=avoided
        )

    def _add_failure(self, outcome: TaskOutcome) -> None:
        self.failures_[outcome.job] += 1
        self.failed_on_[outcome.job][outcome.worker] = outcome.at_s
        health = self.workers_[outcome.worker]
        health.failed_jobs.add(outcome.job)
        if self._is_bad(outcome.job):
            return
        on_probation = (
            self._state(outcome.worker, outcome.at_s)
            is _model.WorkerState.PROBATION
        )
        blamed = sum(not self._is_bad(j) for j in health.failed_jobs)
        is_quarantined = health.quarantined_at_s is not None
        if on_probation or (not is_quarantined and blamed >= self.jobs_min):
            health.quarantined_at_s = outcome.at_s
            health.times += 1
            health.trial_successes = 0

    def _add_success(self, outcome: TaskOutcome) -> None:
        health = self.workers_[outcome.worker]
        health.succeeded_jobs.add(outcome.job)
        health.failed_jobs.clear()
        if health.quarantined_at_s is None:
            return
        health.trial_successes += 1
        if health.trial_successes >= self.trials:
            health.quarantined_at_s = None

    def _is_bad(self, job: JobId) -> bool:
        proven = [
            w
            for w in self.failed_on_.get(job, ())
            if self.workers_[w].succeeded_jobs - {job}
        ]
        return len(proven) >= self.workers_min

    def _state(self, worker: WorkerId, now_s: float) -> _model.WorkerState:
        health = getattr(self, "workers_", {}).get(worker)
        if health is None or health.quarantined_at_s is None:
            return _model.WorkerState.AVAILABLE
        length_s = self.quarantine_s * 2 ** (health.times - 1)
        if now_s < health.quarantined_at_s + length_s:
            return _model.WorkerState.QUARANTINED
        return _model.WorkerState.PROBATION
