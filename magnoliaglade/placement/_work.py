"""Estimates how much work a job does, compared with others of its queue.

Handles queues whose jobs differ widely in size: under scarcity the value of a
job for its work decides what goes first.
"""

import collections
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from magnoliaglade import base
from magnoliaglade.jobs import Job, StepSpec
from magnoliaglade.placement._preemption import core_seconds
from magnoliaglade.types import JobId, QueueName

# Number of jobs that the mean of a queue is based on; enough for a mean within
# a tenth, and about two minutes of a usual queue.
MAX_JOBS = 128
# The value of a job grows with its work from this part of the value of an
# average job, up to this multiple.
MIN_VALUE = 0.3
MAX_VALUE = 4.0


def job_value(work_ratio: float) -> float:
    """Returns the value of a job relative to an average one of its queue.

    Args:
        work_ratio: work of the job, as a ratio to the mean of its queue.
    """
    return min(MAX_VALUE, MIN_VALUE + (1.0 - MIN_VALUE) * work_ratio)


def step_core_s(step: StepSpec, run_time_s: float) -> float:
    """Returns the work of a step, in core-seconds.

    Args:
        step: the step.
        run_time_s: expected run time of a task, in seconds.
    """
    return step.count * core_seconds(step.demand, run_time_s)


def job_core_s(job: Job, run_times_s: Sequence[float]) -> float:
    """Returns the work of an occurrence of a job, in core-seconds.

    Args:
        job: the job.
        run_times_s: expected run time of a task of each step, in seconds.
    """
    return sum(
        step_core_s(step, run_time_s)
        for step, run_time_s in zip(job.spec.steps, run_times_s, strict=True)
    )


class WorkObservation(NamedTuple):
    """Work of a job.

    Attributes:
        queue: queue of the job.
        job: the job.
        core_s: its work in core-seconds.
    """

    queue: QueueName
    job: JobId
    core_s: float


class WorkEstimator(base.BaseEstimator):
    """Estimates the mean work of the jobs of each queue.

    Attributes:
        max_jobs: number of jobs that an estimate is based on.
        work_: work of recent jobs in core-seconds, by queue and job.
    """

    _parameter_constraints = {
        "max_jobs": [base.Interval(kind=int, low=1)],
    }

    def __init__(self, *, max_jobs: int = MAX_JOBS) -> None:
        self.max_jobs = max_jobs
        self.work_: dict[QueueName, collections.OrderedDict[JobId, float]] = {}
        self._totals: dict[QueueName, float] = {}

    def partial_fit(
        self, observations: Iterable[WorkObservation]
    ) -> "WorkEstimator":
        """Adds jobs; a later observation of the same job replaces it."""
        for observation in observations:
            self._observe(observation)
        return self

    def predict(
        self, queries: Iterable[tuple[QueueName, float]]
    ) -> list[float]:
        """Returns work ratios for pairs of queue and work in core-seconds."""
        return [self.work_ratio(queue, core_s) for queue, core_s in queries]

    def work_ratio(self, queue: QueueName, core_s: float) -> float:
        """Returns work in core-seconds as a ratio to the mean of a queue."""
        mean_core_s = self.mean_core_s(queue)
        return core_s / mean_core_s if mean_core_s > 0.0 else 1.0

    def mean_core_s(self, queue: QueueName) -> float:
        """Returns the mean work of a queue in core-seconds; 0 if unknown."""
        work = self.work_.get(queue)
        return max(0.0, self._totals[queue]) / len(work) if work else 0.0

    def _observe(self, observation: WorkObservation) -> None:
        queue, job, core_s = observation
        work = self.work_.setdefault(queue, collections.OrderedDict())
        total = self._totals.get(queue, 0.0) + core_s - work.get(job, 0.0)
        work[job] = core_s
        if len(work) > self.max_jobs:
            total -= work.popitem(last=False)[1]
        self._totals[queue] = total
