"""Estimates how fast each worker runs tasks, relative to the others.

Handles workers that turn slow while they keep answering, and pools whose
workers differ: an urgent gang is as slow as its slowest member, and its
objective leaves half of its run time as slack.
"""

import dataclasses
import math
from collections.abc import Iterable

from magnoliaglade import base
from magnoliaglade.types import WorkerId

# Standard deviations of the logarithm of a worker's speed before any
# observation, and of one observation.
WORKER_SPREAD = 0.35
OBSERVATION_SPREAD = 0.45
# Standard deviation of an observation relative to tasks of the same step on
# other workers, which do not differ by their work.
SIBLING_SPREAD = 0.3
# Time constant, in seconds, with which an estimate returns to the speed of a
# sound worker; slow phases last some seconds.
MEMORY_S = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SpeedObservation:
    """Speed of a worker, seen in the progress of one task.

    Attributes:
        worker: the worker.
        ratio: expected run time divided by the observed one.
        is_relative: the expected run time is that of tasks of the same step on
            other workers.
        at_s: time of the observation in seconds.
    """

    worker: WorkerId
    ratio: float
    is_relative: bool
    at_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class _Record:
    """Normal distribution of the logarithm of a worker's speed."""

    mean: float
    variance: float
    at_s: float


class SpeedEstimator(base.BaseEstimator):
    """Kalman filter of each worker's speed, which reverts to 1 over time.

    Attributes:
        worker_spread: prior standard deviation of the logarithm of a speed.
        memory_s: time constant of the reversion in seconds.
        records_: last estimates by worker.
    """

    _parameter_constraints = {
        "worker_spread": [base.Interval(kind=float, low=0)],
        "memory_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        worker_spread: float = WORKER_SPREAD,
        memory_s: float = MEMORY_S,
    ) -> None:
        self.worker_spread = worker_spread
        self.memory_s = memory_s
        self.records_: dict[WorkerId, _Record] = {}

    def partial_fit(
        self, observations: Iterable[SpeedObservation]
    ) -> "SpeedEstimator":
        """Updates the estimates with observations."""
        for observation in observations:
            self._observe(observation)
        return self

    def predict(self, queries: Iterable[tuple[WorkerId, float]]) -> list[float]:
        """Returns the speed for each pair of worker and time in seconds."""
        return [self.speed(worker, at_s) for worker, at_s in queries]

    def speed(self, worker: WorkerId, at_s: float) -> float:
        """Returns the speed of a worker at a time; 1 for an average worker."""
        record = self.records_.get(worker)
        if record is None:
            return 1.0
        return math.exp(self._decayed(record, at_s).mean)

    def reset_worker(self, worker: WorkerId) -> None:
        """Removes the estimate of a worker, as for a new lifetime."""
        self.records_.pop(worker, None)

    def _observe(self, observation: SpeedObservation) -> None:
        if not self.worker_spread or observation.ratio <= 0.0:
            return
        before = self._decayed(
            self.records_.get(observation.worker)
            or _Record(
                mean=0.0,
                variance=self.worker_spread**2,
                at_s=observation.at_s,
            ),
            observation.at_s,
        )
        spread = (
            SIBLING_SPREAD if observation.is_relative else OBSERVATION_SPREAD
        )
        gain = before.variance / (before.variance + spread**2)
        surprise = math.log(observation.ratio) - before.mean
        self.records_[observation.worker] = _Record(
            mean=before.mean + gain * surprise,
            variance=before.variance * (1.0 - gain),
            at_s=observation.at_s,
        )

    def _decayed(self, record: _Record, at_s: float) -> _Record:
        kept = math.exp(-max(0.0, at_s - record.at_s) / self.memory_s)
        prior = self.worker_spread**2
        return _Record(
            mean=record.mean * kept,
            variance=prior + (record.variance - prior) * kept**2,
            at_s=max(at_s, record.at_s),
        )
