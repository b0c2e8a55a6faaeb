"""Sends the counters of all components at a fixed interval."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from magnoliaglade import base
from magnoliaglade import clock as clock_lib
from magnoliaglade.observability import _metrics

REPORT_S = 10.0

Source = Callable[[], Mapping[str, float]]


class MetricsReporter(base.Component):
    """Reports increments of counters and the values of gauges.

    Attributes:
        counters: sources of values that only rise, by prefix.
        gauges: sources of values that rise and fall, by prefix.
    """

    _parameter_constraints = {
        "report_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        metrics: _metrics.Metrics,
        counters: Mapping[str, Source],
        gauges: Mapping[str, Source],
        report_s: float = REPORT_S,
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.counters = counters
        self.gauges = gauges
        self.report_s = report_s
        self._sent: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Reports in the background."""
        self.validate_params()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Reports a last time and stops."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self.report()

    def dump(self) -> dict[str, Any]:
        """Returns what has been reported so far."""
        return dict(sorted(self._sent.items()))

    def report(self) -> None:
        """Sends what has changed since the last report."""
        for name, value in _flatten(self.counters):
            change = value - self._sent.get(name, 0)
            if change > 0:
                self.metrics.count(name, int(change))
                self._sent[name] = value
        for name, value in _flatten(self.gauges):
            self.metrics.gauge(name, value)

    async def _run(self) -> None:
        while True:
            await self.clock.sleep(self.report_s)
            self.report()


def _flatten(sources: Mapping[str, Source]) -> list[tuple[str, float]]:
    return [
        (f"{prefix}.{name}", value)
        for prefix, source in sources.items()
        for name, value in source().items()
    ]
