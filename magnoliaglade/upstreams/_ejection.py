"""Outlier ejection of upstreams, followed by probation."""

import collections
import dataclasses
import enum
from collections.abc import Iterable
from typing import Any

from magnoliaglade import base
from magnoliaglade import clock as clock_lib
from magnoliaglade.types import UpstreamId

MAX_EJECTED_FRACTION = 0.3
CONSECUTIVE_FAILURES = 5
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
# Longest time that a trial blocks further trials if its end is not reported,
# for example after a cancellation.
_TRIAL_TIMEOUT_S = 30.0
_TRIALS_TO_REINSTATE = 3
_RESULT_WINDOW = 20
_MIN_RESULTS = 10
_FAILURE_RATE_THRESHOLD = 0.5


class UpstreamHealth(enum.Enum):
    """State of an upstream from results of requests and probes."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"


@dataclasses.dataclass(kw_only=True)
class _Record:
    results: collections.deque[bool] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_RESULT_WINDOW)
    )
    consecutive_failures: int = 0
    ejected_until_s: float | None = None
    ejections: int = 0
    trial_until_s: float = 0.0
    trials_passed: int = 0


class OutlierEjector(base.Parameterized):
    """Ejects failing upstreams and reinstates them after successful trials.

    At most `max_ejected_fraction` of the upstreams, rounded down, are ejected
    or on probation at a time, so a fault common to all does not remove them
    all.
    """

    _parameter_constraints = {
        "max_ejected_fraction": [base.Interval(kind=float, low=0, high=1)],
        "consecutive_failures": [base.Interval(kind=int, low=1)],
        "ejection_s": [base.Interval(kind=float, low=0, low_open=True)],
        "max_ejection_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        max_ejected_fraction: float = MAX_EJECTED_FRACTION,
        consecutive_failures: int = CONSECUTIVE_FAILURES,
        ejection_s: float = EJECTION_S,
        max_ejection_s: float = MAX_EJECTION_S,
    ) -> None:
        self.clock = clock
        self.max_ejected_fraction = max_ejected_fraction
        self.consecutive_failures = consecutive_failures
        self.ejection_s = ejection_s
        self.max_ejection_s = max_ejection_s
        self._records: dict[UpstreamId, _Record] = {}

    @property
    def ejected(self) -> frozenset[UpstreamId]:
        """Upstreams that are ejected or on probation."""
        return frozenset(
            u for u, r in self._records.items() if r.ejected_until_s is not None
        )

    def health(self, upstream: UpstreamId) -> UpstreamHealth:
        """Returns the state of an upstream."""
        record = self._records.get(upstream)
        if record is None or record.ejected_until_s is None:
            return UpstreamHealth.HEALTHY
        if self.clock.now() < record.ejected_until_s:
            return UpstreamHealth.EJECTED
        return UpstreamHealth.PROBATION

    def set_upstreams(self, upstreams: Iterable[UpstreamId]) -> None:
        """Sets the upstreams to which the maximum fraction applies.

        If the set shrinks, those whose ejection ends first are reinstated
        until the number of ejected upstreams is within the limit.
        """
        upstream_ids = set(upstreams)
        self._records = {
            u: self._records.get(u) or _Record() for u in sorted(upstream_ids)
        }
        excess = len(self.ejected) - self._max_ejected
        by_ejection_end = sorted(
            self.ejected, key=lambda u: self._records[u].ejected_until_s or 0
        )
        for upstream in by_ejection_end[: max(0, excess)]:
            self._records[upstream] = _Record()

    def eligible(self, upstreams: Iterable[UpstreamId]) -> list[UpstreamId]:
        """Returns the upstreams that may receive a request now."""
        return [u for u in upstreams if self._is_eligible(u)]

    def record_dispatch(self, upstream: UpstreamId) -> None:
        """Records the dispatch of a request.

        An upstream on probation gets one request at a time.
        """
        if self.health(upstream) is UpstreamHealth.PROBATION:
            record = self._records[upstream]
            record.trial_until_s = self.clock.now() + _TRIAL_TIMEOUT_S

    def observe(self, upstream: UpstreamId, *, succeeded: bool) -> None:
        """Records the result of a request or probe.

        Results of upstreams that are not in the set are ignored.
        """
        record = self._records.get(upstream)
        if record is None:
            return
        record.results.append(succeeded)
        record.consecutive_failures = (
            0 if succeeded else record.consecutive_failures + 1
        )
        health = self.health(upstream)
        if health is UpstreamHealth.PROBATION:
            self._finish_trial(record, succeeded)
        elif health is UpstreamHealth.HEALTHY and not succeeded:
            self._eject_outlier(record)

    def dump(self) -> dict[str, Any]:
        """Returns the health of the upstreams that are not healthy."""
        return {u: self.health(u).value for u in sorted(self.ejected)}

    @property
    def _max_ejected(self) -> int:
        # The addend compensates binary rounding: int(0.29 * 100) is 28.
        return int(self.max_ejected_fraction * len(self._records) + 1e-9)

    def _is_eligible(self, upstream: UpstreamId) -> bool:
        health = self.health(upstream)
        if health is not UpstreamHealth.PROBATION:
            return health is UpstreamHealth.HEALTHY
        return self.clock.now() >= self._records[upstream].trial_until_s

    def _finish_trial(self, record: _Record, succeeded: bool) -> None:
        record.trial_until_s = 0.0
        if not succeeded:
            self._eject(record)
            return
        record.trials_passed += 1
        if record.trials_passed >= _TRIALS_TO_REINSTATE:
            record.ejected_until_s = None
            record.results.clear()

    def _eject_outlier(self, record: _Record) -> None:
        failures = record.results.count(False)
        is_outlier = record.consecutive_failures >= self.consecutive_failures
        if len(record.results) >= _MIN_RESULTS:
            is_outlier |= failures >= _FAILURE_RATE_THRESHOLD * len(
                record.results
            )
        if is_outlier and len(self.ejected) < self._max_ejected:
            self._eject(record)

    def _eject(self, record: _Record) -> None:
        duration_s = self.ejection_s * 2.0 ** min(record.ejections, 16)
        record.ejections += 1
        record.trials_passed = 0
        record.trial_until_s = 0.0
        record.ejected_until_s = self.clock.now() + min(
            duration_s, self.max_ejection_s
        )
