"""Learns how long the tasks of each queue really run.

Handles bursts of urgent jobs whose declared run times are far off. With a
declared time that is too short, a job that waits for a moment seems too late to
be useful and falls behind all other work; with one that is too long, it seems
late at once and preempts more than it is worth.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable

from magnoliaglade import base
from magnoliaglade.jobs import Job
from magnoliaglade.placement._model import UnitId
from magnoliaglade.types import QueueName, WorkerId

# Step runs that an estimate is based on, for each queue; older ones are
# dropped, so that the estimate follows a changing load.
MAX_UNITS = 64
# Standard deviations of the logarithm of the run time: between jobs of a queue,
# and of the queue's mean around the declared run times before any observation.
JOB_SPREAD = 0.4
QUEUE_SPREAD = 1.0
# Standard deviation, before any observation, of the slope between declared and
# observed run times around one.
SLOPE_SPREAD = 1.0
# Shortest run time and declared run time, in seconds, that are distinguished.
MIN_RUN_TIME_S = 0.01


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunTimeObservation:
    """Run time of one task.

    Attributes:
        queue: queue of the job.
        unit: step run that the task belongs to.
        index: index of the task.
        worker: worker that runs the task.
        declared_s: declared run time in seconds.
        run_time_s: observed run time in seconds, extrapolated from progress
            while the task runs.
    """

    queue: QueueName
    unit: UnitId
    index: int
    worker: WorkerId
    declared_s: float
    run_time_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class _UnitRecord:
    """Logarithms of declared and observed run times of one step run."""

    declared_log: float
    observed: dict[int, tuple[WorkerId, float]] = dataclasses.field(
        default_factory=dict
    )
    sums: dict[WorkerId, tuple[float, int]] = dataclasses.field(
        default_factory=dict
    )
    total: float = 0.0

    @property
    def mean_log(self) -> float:
        return self.total / len(self.observed)

    def add(self, index: int, worker: WorkerId, observed_log: float) -> None:
        """Adds the observation of a task; replaces an earlier one."""
        replaced = self.observed.get(index)
        if replaced is not None:
            self._add_to_sums(*replaced, sign=-1)
        self._add_to_sums(worker, observed_log, sign=1)
        self.observed[index] = (worker, observed_log)

    def mean_log_elsewhere(self, worker: WorkerId) -> float | None:
        """Returns the mean of the tasks on other workers; None without any.

        It is computed from sums: a report of a worker asks once for each task,
        and a step has up to thousands of tasks.
        """
        own_total, own_count = self.sums.get(worker, (0.0, 0))
        count = len(self.observed) - own_count
        return (self.total - own_total) / count if count else None

    def _add_to_sums(
        self, worker: WorkerId, observed_log: float, *, sign: int
    ) -> None:
        total, count = self.sums.get(worker, (0.0, 0))
        self.sums[worker] = (total + sign * observed_log, count + sign)
        self.total += sign * observed_log


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Fit:
    """Line from the logarithm of a declared run time to the expected one."""

    declared_mean: float
    intercept: float
    slope: float

    def predict(self, declared_log: float) -> float:
        return self.intercept + self.slope * (declared_log - self.declared_mean)


class RunTimeEstimator(base.BaseEstimator):
    """Predicts run times from declared ones by Bayesian linear regression.

    One regression per queue, on logarithms. Without observations the declared
    run times are returned unchanged. The slope tells how far declared run times
    distinguish jobs of the queue: it is near zero if they are noise.

    Attributes:
        max_units: step runs that an estimate is based on, for each queue.
        job_spread: standard deviation between jobs of a queue.
        queue_spread: prior standard deviation of a queue's mean.
        slope_spread: prior standard deviation of the slope.
        records_: recent step runs, by queue, oldest first.
    """

    _parameter_constraints = {
        "max_units": [base.Interval(kind=int, low=0)],
        "job_spread": [base.Interval(kind=float, low=0, low_open=True)],
        "queue_spread": [base.Interval(kind=float, low=0, low_open=True)],
        "slope_spread": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        max_units: int = MAX_UNITS,
        job_spread: float = JOB_SPREAD,
        queue_spread: float = QUEUE_SPREAD,
        slope_spread: float = SLOPE_SPREAD,
    ) -> None:
        self.max_units = max_units
        self.job_spread = job_spread
        self.queue_spread = queue_spread
        self.slope_spread = slope_spread
        self.records_: dict[
            QueueName, collections.OrderedDict[UnitId, _UnitRecord]
        ] = {}
        self._fits: dict[QueueName, _Fit] = {}

    def partial_fit(
        self, observations: Iterable[RunTimeObservation]
    ) -> "RunTimeEstimator":
        """Adds observations; a later one of the same task replaces it."""
        for observation in observations:
            self._observe(observation)
        return self

    def predict(
        self, queries: Iterable[tuple[QueueName, float]]
    ) -> list[float]:
        """Returns run times in seconds for pairs of queue and declared time."""
        return [self.run_time_s(queue, declared) for queue, declared in queries]

    def run_time_s(self, queue: QueueName, declared_s: float) -> float:
        """Returns the expected run time, in seconds, of a task of a queue.

        Args:
            queue: queue of the job.
            declared_s: declared run time in seconds.
        """
        if not self.records_.get(queue):
            return declared_s
        if queue not in self._fits:
            self._fits[queue] = self._fit(self.records_[queue].values())
        return math.exp(self._fits[queue].predict(_log(declared_s)))

    def sibling_run_time_s(
        self, queue: QueueName, unit: UnitId, worker: WorkerId
    ) -> float | None:
        """Returns the observed run time of a step on other workers.

        Args:
            queue: queue of the job.
            unit: the step run.
            worker: worker whose tasks are left out.

        Returns:
            The geometric mean in seconds, or None without observations.
        """
        record = self.records_.get(queue, {}).get(unit)
        mean_log = record.mean_log_elsewhere(worker) if record else None
        return None if mean_log is None else math.exp(mean_log)

    def step_run_times_s(self, job: Job) -> list[float]:
        """Returns the expected run time, in seconds, of a task of each step."""
        return [
            self.run_time_s(job.queue, step.estimate_s)
            for step in job.spec.steps
        ]

    def _observe(self, observation: RunTimeObservation) -> None:
        if not self.max_units:
            return
        records = self.records_.setdefault(
            observation.queue, collections.OrderedDict()
        )
        if observation.unit not in records:
            records[observation.unit] = _UnitRecord(
                declared_log=_log(observation.declared_s)
            )
        records[observation.unit].add(
            observation.index,
            observation.worker,
            _log(observation.run_time_s),
        )
        while len(records) > self.max_units:
            records.popitem(last=False)
        self._fits.pop(observation.queue, None)

    def _fit(self, records: Iterable[_UnitRecord]) -> _Fit:
        """Returns the mean of the posterior of intercept and slope.

        Declared run times are centred, which makes the two independent.
        """
        points = [(r.declared_log, r.mean_log) for r in records]
        count = len(points)
        declared_mean = sum(x for x, _ in points) / count
        observed_mean = sum(y for _, y in points) / count
        noise = self.job_spread**2
        intercept = _weighted_mean(
            (declared_mean, 1.0 / self.queue_spread**2),
            (observed_mean, count / noise),
        )
        deviation = sum((x - declared_mean) ** 2 for x, _ in points)
        covariance = sum(
            (x - declared_mean) * (y - observed_mean) for x, y in points
        )
        observed_slope = covariance / deviation if deviation else 1.0
        slope = _weighted_mean(
            (1.0, 1.0 / self.slope_spread**2),
            (observed_slope, deviation / noise),
        )
        # A longer declared time never means a shorter run.
        slope = min(1.0, max(0.0, slope))
        return _Fit(
            declared_mean=declared_mean, intercept=intercept, slope=slope
        )


def _weighted_mean(*pairs: tuple[float, float]) -> float:
    """Returns the mean of values; each pair is a value and its weight."""
    total = sum(weight for _, weight in pairs)
    return sum(value * weight for value, weight in pairs) / total


def _log(duration_s: float) -> float:
    return math.log(max(MIN_RUN_TIME_S, duration_s))
