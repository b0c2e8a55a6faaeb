"""Estimates how suspect each worker is from outcomes of runs and from stalls.

Detects workers that report themselves healthy while every run on them fails or
stalls.
"""

import dataclasses
import enum
from collections.abc import Iterable

from magnoliaglade import base
from magnoliaglade.types import JobId, WorkerId

# Half-life of the suspicion level in seconds; faults of workers last about as
# long.
HALF_LIFE_S = 8.0
# Suspicion level at which a worker is quarantined; failures of two
# jobs in a row reach it.
QUARANTINE_LEVEL = 1.5
# Factor that a successful run applies to the suspicion level.
SUCCESS_FACTOR = 0.3


class Evidence(enum.Enum):
    """Kind of evidence; the value is added to the suspicion level.

    SUCCESS adds nothing; it reduces the level by a factor.
    """

    SUCCESS = 0.0
    FAILURE = 1.0
    STALL = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Observation:
    """Evidence about one worker from a run of one job.

    Attributes:
        worker: the worker.
        job: the job that ran.
        evidence: what was observed.
        at_s: time of the observation in seconds.
    """

    worker: WorkerId
    job: JobId
    evidence: Evidence
    at_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class _Record:
    level: float = 0.0
    at_s: float = 0.0
    jobs: set[JobId] = dataclasses.field(default_factory=set)


class TrustEstimator(base.BaseEstimator):
    """Estimates a suspicion level for each worker, which decays over time.

    Attributes:
        half_life_s: half-life of the level in seconds.
        quarantine_level: level from which a worker is quarantined; the level
            of a healthy worker is 0.
        records_: last level, its time and the failed jobs, by worker.
    """

    _parameter_constraints = {
        "half_life_s": [base.Interval(kind=float, low=0, low_open=True)],
        "quarantine_level": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        half_life_s: float = HALF_LIFE_S,
        quarantine_level: float = QUARANTINE_LEVEL,
    ) -> None:
        self.half_life_s = half_life_s
        self.quarantine_level = quarantine_level
        self.records_: dict[WorkerId, _Record] = {}

    def partial_fit(
        self, observations: Iterable[Observation]
    ) -> "TrustEstimator":
        """Updates the suspicion levels with observations."""
        for observation in observations:
            self._observe(observation)
        return self

    def predict(self, queries: Iterable[tuple[WorkerId, float]]) -> list[float]:
        """Returns the suspicion level for each pair of worker and time."""
        return [self._level(w, at_s) for w, at_s in queries]

    def suspicion(self, worker: WorkerId, at_s: float) -> float:
        """Returns the suspicion level of a worker at a time in seconds."""
        return self._level(worker, at_s)

    def is_quarantined(self, worker: WorkerId, at_s: float) -> bool:
        """Returns whether a worker is quarantined.

        It gets no tasks then, unless most workers are quarantined.
        """
        return self._level(worker, at_s) >= self.quarantine_level

    def reset_worker(self, worker: WorkerId) -> None:
        """Removes the evidence about a worker, as for a new lifetime."""
        self.records_.pop(worker, None)

    def _observe(self, observation: Observation) -> None:
        record = self.records_.setdefault(observation.worker, _Record())
        level = self._level(observation.worker, observation.at_s)
        if observation.evidence is Evidence.SUCCESS:
            record.level = level * SUCCESS_FACTOR
            record.jobs.clear()
        elif observation.job in record.jobs:
            # Repeated failures of one job are more likely due to the job.
            record.level = level
        else:
            record.level = level + observation.evidence.value
            record.jobs.add(observation.job)
        record.at_s = observation.at_s

    def _level(self, worker: WorkerId, at_s: float) -> float:
        record = self.records_.get(worker)
        if record is None:
            return 0.0
        age_s = max(0.0, at_s - record.at_s)
        return float(record.level * 0.5 ** (age_s / self.half_life_s))
