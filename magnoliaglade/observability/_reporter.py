"""Reports the metrics of all components at a fixed interval."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from magnoliaglade import base
from magnoliaglade import clock as clock_lib
from magnoliaglade.observability import _metrics

REPORT_INTERVAL_S = 10.0

MetricSource = Callable[[], Mapping[str, float]]


class MetricsReporter(base.Component):
    """Reports increments of counters and the values of gauges.

    Attributes:
        counters: sources of monotonic counters, by name prefix.
        gauges: sources of gauge values, by name prefix.
    """

    _parameter_constraints = {
        "report_interval_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        metrics: _metrics.Metrics,
        counters: Mapping[str, MetricSource],
        gauges: Mapping[str, MetricSource],
        report_interval_s: float = REPORT_INTERVAL_S,
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.counters = counters
        self.gauges = gauges
        self.report_interval_s = report_interval_s
        self._reported: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts reporting in the background."""
        self.validate_params()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops after a last report."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self.report()

    def dump(self) -> dict[str, Any]:
        """Returns the last reported value of each counter."""
        return dict(sorted(self._reported.items()))

    def report(self) -> None:
        """Sends the increments of counters and the values of gauges."""
        for name, value in _flatten(self.counters):
            increment = value - self._reported.get(name, 0)
            if increment > 0:
                self.metrics.count(name, int(increment))
                self._reported[name] = value
        for name, value in _flatten(self.gauges):
            self.metrics.gauge(name, value)

    async def _run(self) -> None:
        while True:
            await self.clock.sleep(self.report_interval_s)
            self.report()


def _flatten(sources: Mapping[str, MetricSource]) -> list[tuple[str, float]]:
    return [
        (f"{prefix}.{name}", value)
        for prefix, source in sources.items()
        for name, value in source().items()
    ]
