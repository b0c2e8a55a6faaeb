"""Estimates how fast each worker runs tasks, relative to the others.

Handles workers that turn slow while they keep answering, and pools whose
workers differ: an urgent gang is as slow as its slowest member, and its
objective leaves half of its run time as slack. A speed is the product of a
lasting and a transient one.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from magnoliaglade import base
from magnoliaglade.placement import _lasting_speeds
from magnoliaglade.placement._lasting_speeds import LastingSpeedEstimator
from magnoliaglade.types import Lifetime, WorkerId

# Standard deviations of the logarithm of a worker's speed before any
# observation, and of one observation.
WORKER_SPREAD = 0.35
OBSERVATION_SPREAD = 0.45
# Standard deviation of an observation relative to tasks of the same step on
# other workers, which do not differ by their work.
SIBLING_SPREAD = 0.3
# Time constant, in seconds, with which an estimate returns to the lasting speed
# of the worker; slow phases last some seconds.
MEMORY_S = 15.0
# Shortest time, in seconds, between two estimates of the lasting speeds, whose
# cost grows with the pool. Reports arrive once a second.
REFIT_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SpeedObservation:
    """Speed of a worker, seen in the progress of one task.

    Attributes:
        worker: the worker.
        ratio: expected run time divided by the observed one.
        is_relative: the expected run time is that of tasks of the same step on
            other workers.
        at_s: time of the observation in seconds.
        independent_runs: number of whole and independent runs that the
            observation stands for as evidence of the lasting speed; 0 for none.
        is_current: it shows the present speed, not only that over a whole run.
    """

    worker: WorkerId
    ratio: float
    is_relative: bool
    at_s: float
    independent_runs: float = 0.0
    is_current: bool = True


@dataclasses.dataclass(kw_only=True, slots=True)
class _Record:
    """Normal distribution of the logarithm of a worker's transient speed."""

    mean: float
    variance: float
    at_s: float


class SpeedEstimator(base.BaseEstimator):
    """Estimates each worker's speed as a lasting and a transient component.

    The transient one is a Kalman filter of what the lasting one leaves
    unexplained, and reverts to 1 over time. In a pool of equal workers the
    lasting speed is exactly 1.

    Attributes:
        worker_spread: prior standard deviation of the logarithm of a transient
            speed.
        memory_s: time constant of the reversion in seconds.
        max_lasting_spread: largest spread of the lasting speeds; see
            `LastingSpeedEstimator`.
        records_: last estimates of the transient component by worker.
        lasting_: estimates of the lasting component.
        lifetimes_: last known lifetime of each worker.
    """

    _parameter_constraints = {
        "worker_spread": [base.Interval(kind=float, low=0)],
        "memory_s": [base.Interval(kind=float, low=0, low_open=True)],
        "max_lasting_spread": [base.Interval(kind=float, low=0)],
    }

    def __init__(
        self,
        *,
        worker_spread: float = WORKER_SPREAD,
        memory_s: float = MEMORY_S,
        max_lasting_spread: float = _lasting_speeds.MAX_SPREAD,
    ) -> None:
        self.worker_spread = worker_spread
        self.memory_s = memory_s
        self.max_lasting_spread = max_lasting_spread
        self.records_: dict[WorkerId, _Record] = {}
        self.lasting_ = LastingSpeedEstimator(max_spread=max_lasting_spread)
        self.lifetimes_: dict[WorkerId, Lifetime] = {}
        self._refitted_at_s = float("-inf")

    def partial_fit(
        self, observations: Iterable[SpeedObservation]
    ) -> "SpeedEstimator":
        """Updates the estimates with observations."""
        for observation in observations:
            self._observe(observation)
            if (
                observation.at_s - self._refitted_at_s >= REFIT_INTERVAL_S
                and observation.independent_runs
            ):
                self.refit(observation.at_s)
        return self

    def refit(self, at_s: float) -> None:
        """Estimates the lasting speeds anew.

        A change of a lasting speed is taken from the transient one, since their
        product is what has been observed.
        """
        self._refitted_at_s = at_s
        before = self.lasting_.speeds_
        self.lasting_.refit()
        after = self.lasting_.speeds_
        for worker, change in _lasting_speeds.shifts(before, after):
            record = self.records_.get(worker)
            if record is not None:
                record.mean -= change

    def predict(self, queries: Iterable[tuple[WorkerId, float]]) -> list[float]:
        """Returns the speed for each pair of worker and time in seconds."""
        return [self.speed(worker, at_s) for worker, at_s in queries]

    def speed(self, worker: WorkerId, at_s: float) -> float:
        """Returns the speed of a worker at a time; 1 for an average worker."""
        log_speed = self.lasting_.log_speed(worker)
        record = self.records_.get(worker)
        if record is not None:
            log_speed += self._decayed(record, at_s).mean
        return math.exp(log_speed)

    def lasting_speed(self, worker: WorkerId) -> float:
        """Returns the lasting speed as far as it is estimated.

        A run time times this speed is the run time on an average worker.
        """
        return math.exp(self.lasting_.log_speed(worker))

    def known_lasting_speed(self, worker: WorkerId) -> float:
        """Returns the lasting speed if it is certain to differ from 1, else 1.

        For decisions that are only worth making with some certainty.
        """
        return self.lasting_.known_speed(worker)

    def set_lifetime(self, worker: WorkerId, lifetime: Lifetime) -> None:
        """Notes the lifetime that a worker reports.

        A new lifetime under the same id may be another kind of machine, so the
        estimate of its lasting speed becomes less certain.
        """
        known = self.lifetimes_.get(worker)
        if known == lifetime:
            return
        self.lifetimes_[worker] = lifetime
        if known is not None:
            self.lasting_.widen(worker)

    def load(
        self,
        evidence: Mapping[WorkerId, _lasting_speeds.SpeedEvidence],
        *,
        lifetimes: Mapping[WorkerId, Lifetime],
    ) -> None:
        """Sets the lasting speeds to those of an earlier estimator.

        Args:
            evidence: observations by worker, relative to an average worker.
            lifetimes: the lifetime of each worker that was observed.
        """
        self.lifetimes_.update(lifetimes)
        self.lasting_.load(evidence)

    def reset_worker(self, worker: WorkerId) -> None:
        """Removes the estimates of a worker, as for a machine that has left."""
        self.records_.pop(worker, None)
        self.lifetimes_.pop(worker, None)
        self.lasting_.remove(worker)

    def _observe(self, observation: SpeedObservation) -> None:
        if not self.worker_spread or observation.ratio <= 0.0:
            return
        spread = (
            SIBLING_SPREAD if observation.is_relative else OBSERVATION_SPREAD
        )
        log_ratio = math.log(observation.ratio)
        if observation.is_current:
            self._observe_transient(observation, log_ratio, spread)
        self.lasting_.observe(
            observation.worker,
            log_ratio,
            precision=observation.independent_runs / spread**2,
        )

    def _observe_transient(
        self, observation: SpeedObservation, log_ratio: float, spread: float
    ) -> None:
        worker = observation.worker
        before = self._decayed(
            self.records_.get(worker)
            or _Record(
                mean=0.0,
                variance=self.worker_spread**2,
                at_s=observation.at_s,
            ),
            observation.at_s,
        )
        gain = before.variance / (before.variance + spread**2)
        surprise = log_ratio - self.lasting_.log_speed(worker) - before.mean
        self.records_[worker] = _Record(
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
