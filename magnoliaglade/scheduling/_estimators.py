"""Run time and memory learned from what ran, and memory pressure."""

import abc
import bisect
import dataclasses
import enum
from collections import deque
from collections.abc import Iterable, Sequence
from typing import Any

from magnoliaglade import base
from magnoliaglade.scheduling import _model
from magnoliaglade.types import AccountId

_POSITIVE = base.Interval(kind=int, low=1)
_SHARE = base.Interval(kind=float, low=0.0, high=1.0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Observation:
    """A finished gang.

    Attributes:
        account: its account.
        kind: its label.
        declared: declared value, in the unit of the estimate.
        actual: measured value.
    """

    account: AccountId
    kind: str
    declared: float
    actual: float


class QuantileEstimator(base.BaseEstimator):
    """Quantile of recent values by account and kind.

    A group with too few values falls back to its kind over all accounts, and
    then to the declared value times the usual error of declarations.
    """

    _parameter_constraints = {
        "quantile": [_SHARE],
        "window": [_POSITIVE],
        "samples_min": [_POSITIVE],
    }

    def __init__(
        self, *, quantile: float, window: int = 64, samples_min: int = 5
    ) -> None:
        self.quantile = quantile
        self.window = window
        self.samples_min = samples_min

    def partial_fit(
        self, observations: Iterable[Observation]
    ) -> "QuantileEstimator":
        """Adds finished gangs; the oldest values beyond the window drop."""
        self.validate_params()
        if not hasattr(self, "groups_"):
            self.groups_: dict[Any, _Window] = {}
        for seen in observations:
            self._add((seen.account, seen.kind), seen.actual)
            self._add(seen.kind, seen.actual)
            if seen.declared > 0:
                self._add(None, seen.actual / seen.declared)
        return self

    def predict(self, queries: Iterable[_model.Gang]) -> list[float]:
        """Returns one estimate per gang."""
        return [self._predict(gang) for gang in queries]

    @abc.abstractmethod
    def declared(self, gang: _model.Gang) -> float:
        """Returns the value that the gang's submitter declared."""

    def _predict(self, gang: _model.Gang) -> float:
        for key in ((gang.account, gang.kind), gang.kind):
            if (value := self._quantile(key)) is not None:
                return value
        factor = self._quantile(None)
        return self.declared(gang) * (1.0 if factor is None else factor)

    def _add(self, key: Any, value: float) -> None:
        if key not in self.groups_:
            self.groups_[key] = _Window(size=self.window)
        self.groups_[key].add(value)

    def _quantile(self, key: Any) -> float | None:
        window = getattr(self, "groups_", {}).get(key)
        if window is None or len(window.ordered) < self.samples_min:
            return None
        last = len(window.ordered) - 1
        return window.ordered[round(self.quantile * last)]


class RunTimeEstimator(QuantileEstimator):
    """Run time in seconds."""

    def __init__(
        self,
        *,
        quantile: float = 0.5,
        window: int = 64,
        samples_min: int = 5,
    ) -> None:
        super().__init__(
            quantile=quantile, window=window, samples_min=samples_min
        )

    def declared(self, gang: _model.Gang) -> float:
        """Returns the declared run time."""
        return gang.declared_run_s


class MemoryEstimator(QuantileEstimator):
    """Peak memory of a task in gigabytes."""

    def __init__(
        self,
        *,
        quantile: float = 0.95,
        window: int = 64,
        samples_min: int = 5,
    ) -> None:
        super().__init__(
            quantile=quantile, window=window, samples_min=samples_min
        )

    def declared(self, gang: _model.Gang) -> float:
        """Returns the declared memory."""
        return gang.shape.memory_gb


class _Window:
    """The last values of a group, also in order of size."""

    def __init__(self, *, size: int) -> None:
        self.size = size
        self.ordered: list[float] = []
        self._recent: deque[float] = deque()

    def add(self, value: float) -> None:
        if len(self._recent) == self.size:
            oldest = self._recent.popleft()
            del self.ordered[bisect.bisect_left(self.ordered, oldest)]
        self._recent.append(value)
        bisect.insort(self.ordered, value)


class MemoryAction(enum.Enum):
    """What to do about a worker's memory."""

    NONE = "none"
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemoryReport:
    """Memory in use at the time of measurement, not of arrival."""

    measured_at_s: float
    used_gb: float


def memory_action(
    reports: Sequence[MemoryReport],
    *,
    limit_gb: float,
    now_s: float,
    lag_s: float,
    checkpoint_s: float,
) -> MemoryAction:
    """Decides before memory runs out.

    Use is extrapolated from the last report to now with the fastest growth
    between consecutive reports, because a report is old when it arrives and
    the next one comes `lag_s` later. A checkpoint starts while it and one
    more lag still fit; throttling starts at twice that time.

    Args:
        reports: reports by time of measurement.
        limit_gb: memory at which tasks are killed.
        now_s: the present time.
        lag_s: usual age of a report.
        checkpoint_s: time that a checkpoint takes.
    """
    if not reports:
        return MemoryAction.NONE
    last = reports[-1]
    if last.used_gb >= limit_gb:
        return MemoryAction.CHECKPOINT
    rates = [
        (b.used_gb - a.used_gb) / (b.measured_at_s - a.measured_at_s)
        for a, b in zip(reports, reports[1:], strict=False)
        if b.measured_at_s > a.measured_at_s
    ]
    rate = max(rates, default=0.0)
    if rate <= 0:
        return MemoryAction.NONE
    age_s = max(0.0, now_s - last.measured_at_s)
    left_s = (limit_gb - last.used_gb) / rate - age_s
    needed_s = checkpoint_s + lag_s
    if left_s <= needed_s:
        return MemoryAction.CHECKPOINT
    if left_s <= 2 * needed_s:
        return MemoryAction.THROTTLE
    return MemoryAction.NONE
