"""Estimates how far the speeds of workers differ lastingly.

Handles pools whose machines are of different kinds, such as workers at 0.7 and
at 1.7 times the normal speed: batch work that fills the fast workers leaves
urgent gangs the slow ones, on which they miss their objective.
"""

import dataclasses
import math
import statistics
from collections.abc import Iterable, Mapping

from magnoliaglade import base
from magnoliaglade.types import WorkerId

# Logarithm of an observed speed below which a worker counts as faulty: that of
# half the average speed. Kinds of machines differ less, and slow phases of
# sound workers, which are a matter of the transient component, go lower.
MIN_LOG_RATIO = -0.7
# Largest logarithm of an observed speed; higher ones are errors of measurement,
# such as progress that a checkpoint has restored.
MAX_LOG_RATIO = 1.1
# Largest precision (inverse variance) of the evidence about a worker. It is
# that of about nine tasks, so that evidence of later tasks still counts.
MAX_PRECISION = 100.0
# Precision from which a worker counts in the estimate of the spread: that of
# one task beside others of its step.
MIN_POOL_PRECISION = 11.0
# Fewest workers from which a spread is estimated.
MIN_POOL = 6
# Precision that remains after a new lifetime, which may be another machine: too
# little for a speed to count as known.
RESTART_PRECISION = 4.0
# Precision that remains while observations contradict the evidence, and the
# number of standard deviations from which they do.
CHANGE_PRECISION = 25.0
CHANGE_DEVIATIONS = 3.0
# Excess of the variance over that of the noise, in standard deviations, from
# which workers count as different, and below which they count as equal again.
FOUND_DEVIATIONS = 4.0
LOST_DEVIATIONS = 2.0
# Smallest spread above zero and largest one, as the standard deviation of the
# logarithm of the speed. Placement does not distinguish speeds that differ by
# less than 0.2, and many short slow phases look like spreads of up to 0.25.
MIN_SPREAD = 0.25
MAX_SPREAD = 0.8
# Standard deviations by which a lasting speed differs from the average before
# it counts as known; an error of the sign then has a probability of 10%.
KNOWN_DEVIATIONS = 1.28
# Distance from the median to the lower quartile of a normal distribution, in
# standard deviations.
_QUARTILE_DEVIATIONS = 0.674


@dataclasses.dataclass(kw_only=True, slots=True)
class SpeedEvidence:
    """Weighted mean of the observed logarithms of a worker's speed."""

    mean: float
    precision: float

    @property
    def variance(self) -> float:
        """Variance of the mean."""
        return 1.0 / self.precision


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LastingSpeed:
    """Estimate of a worker's lasting speed.

    Attributes:
        log: logarithm of the speed; 0 for an average worker.
        deviation: its standard deviation.
    """

    log: float
    deviation: float

    @property
    def is_known(self) -> bool:
        """Whether the speed certainly differs from the average."""
        return abs(self.log) > KNOWN_DEVIATIONS * self.deviation


class LastingSpeedEstimator(base.Parameterized):
    """Empirical Bayes estimate of the lasting speeds of a pool.

    The mean of a worker's observations is shrunk towards the mean of the pool,
    by the ratio of its variance to the spread of the pool. The spread is zero
    unless workers differ by more than the noise explains.

    Attributes:
        max_spread: largest spread; with 0 all workers count as equal.
        evidence_: observations by worker.
        speeds_: estimates of the last `refit`, by worker.
        spread_: estimated standard deviation of the logarithm of the speed.
        center_: mean of the evidence over the pool.
    """

    _parameter_constraints = {
        "max_spread": [base.Interval(kind=float, low=0)],
    }

    @property
    def known_count(self) -> int:
        """Number of workers whose lasting speed is known."""
        return sum(s.is_known for s in self.speeds_.values())

    def __init__(self, *, max_spread: float = MAX_SPREAD) -> None:
        self.max_spread = max_spread
        self.evidence_: dict[WorkerId, SpeedEvidence] = {}
        self.speeds_: dict[WorkerId, LastingSpeed] = {}
        self.spread_ = 0.0
        self.center_ = 0.0

    def log_speed(self, worker: WorkerId) -> float:
        """Returns the logarithm of a worker's lasting speed."""
        found = self.speeds_.get(worker)
        return found.log if found else 0.0

    def known_speed(self, worker: WorkerId) -> float:
        """Returns the lasting speed of a worker; 1 unless it is known."""
        found = self.speeds_.get(worker)
        return math.exp(found.log) if found and found.is_known else 1.0

    def observe(
        self, worker: WorkerId, log_ratio: float, *, precision: float
    ) -> None:
        """Adds an observation; estimates change with the next `refit`.

        Args:
            worker: the worker.
            log_ratio: logarithm of the observed speed.
            precision: inverse variance of the observation as far as it is
                independent of others.
        """
        if precision <= 0.0:
            return
        evidence = self.evidence_.get(worker)
        if evidence is not None and self._contradicts(evidence, log_ratio):
            evidence.precision = max(
                min(evidence.precision, CHANGE_PRECISION),
                evidence.precision / 2.0,
            )
        if log_ratio - self.center_ < MIN_LOG_RATIO:
            return
        log_ratio = min(MAX_LOG_RATIO, log_ratio)
        if evidence is None:
            self.evidence_[worker] = SpeedEvidence(
                mean=log_ratio, precision=precision
            )
            return
        total = evidence.precision + precision
        evidence.mean += (log_ratio - evidence.mean) * precision / total
        evidence.precision = min(MAX_PRECISION, total)

    def widen(self, worker: WorkerId) -> None:
        """Reduces the evidence about a worker, as for a new lifetime."""
        evidence = self.evidence_.get(worker)
        if evidence is not None:
            evidence.precision = min(evidence.precision, RESTART_PRECISION)

    def remove(self, worker: WorkerId) -> None:
        """Removes a worker."""
        self.evidence_.pop(worker, None)
        self.speeds_.pop(worker, None)

    def load(self, evidence: Mapping[WorkerId, SpeedEvidence]) -> None:
        """Replaces all evidence and estimates the speeds from it."""
        self.evidence_ = dict(evidence)
        self.refit()

    def refit(self) -> None:
        """Estimates the spread of the pool and the speeds of its workers."""
        pool = [
            e
            for e in self.evidence_.values()
            if e.precision >= MIN_POOL_PRECISION
        ]
        self.spread_ = self._fit_spread(pool)
        if not self.spread_:
            self.speeds_, self.center_ = {}, 0.0
            return
        self.center_ = statistics.fmean(e.mean for e in pool)
        prior = self.spread_**2
        self.speeds_ = {
            worker: _shrink(evidence, center=self.center_, prior=prior)
            for worker, evidence in self.evidence_.items()
        }

    def _contradicts(self, evidence: SpeedEvidence, log_ratio: float) -> bool:
        """Returns whether an observation differs by more than its noise."""
        # The spread of single tasks is about that of `MIN_POOL_PRECISION`.
        variance = evidence.variance + 1.0 / MIN_POOL_PRECISION
        limit = CHANGE_DEVIATIONS * math.sqrt(variance)
        return abs(log_ratio - evidence.mean) > limit

    def _fit_spread(self, pool: list[SpeedEvidence]) -> float:
        """Returns the spread of the workers' means beyond their noise.

        Two estimates are tried, neither of which moves far while less than a
        quarter of the workers are faulty, as faults only make workers slow:
        the mean square above the median, and the lower quartile.
        """
        if len(pool) < MIN_POOL or not self.max_spread:
            return 0.0
        noise = statistics.fmean(e.variance for e in pool)
        means = sorted(e.mean for e in pool)
        median = statistics.median(means)
        upper = means[len(means) // 2 :]
        quartile = means[len(means) // 4]
        needed = FOUND_DEVIATIONS if not self.spread_ else LOST_DEVIATIONS
        found = 0.0
        for variance, count in (
            (statistics.fmean((m - median) ** 2 for m in upper), len(upper)),
            (
                ((median - quartile) / _QUARTILE_DEVIATIONS) ** 2,
                len(means) / 4,
            ),
        ):
            # A variance that is estimated from n normal values has a relative
            # standard deviation of sqrt(2 / n).
            if variance > noise * (1.0 + needed * math.sqrt(2.0 / count)):
                found = max(found, variance - noise)
        spread = min(self.max_spread, math.sqrt(found))
        return spread if spread >= MIN_SPREAD else 0.0


def shifts(
    before: Mapping[WorkerId, LastingSpeed],
    after: Mapping[WorkerId, LastingSpeed],
) -> Iterable[tuple[WorkerId, float]]:
    """Yields the workers whose lasting speed has changed, and by how much."""
    for worker in before.keys() | after.keys():
        old, new = before.get(worker), after.get(worker)
        change = (new.log if new else 0.0) - (old.log if old else 0.0)
        if change:
            yield worker, change


def _shrink(
    evidence: SpeedEvidence, *, center: float, prior: float
) -> LastingSpeed:
    kept = prior * evidence.precision / (prior * evidence.precision + 1.0)
    return LastingSpeed(
        log=kept * (evidence.mean - center),
        deviation=math.sqrt(kept * evidence.variance),
    )
