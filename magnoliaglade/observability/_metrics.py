"""Counters, gauges and timings."""

import collections
from typing import Protocol

import statsd


class Metrics(Protocol):
    """Interface of a metrics sink; the operators' page lists the names."""

    def count(self, name: str, value: int = 1) -> None:
        """Adds to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""

    def timing(self, name: str, value_s: float) -> None:
        """Records a duration in seconds."""


class InMemoryMetrics:
    """Keeps counters and gauges in memory, for dumps and tests."""

    def __init__(self) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}

    def count(self, name: str, value: int = 1) -> None:
        """See `Metrics.count`."""
        self.counters[name] += value

    def gauge(self, name: str, value: float) -> None:
        """See `Metrics.gauge`."""
        self.gauges[name] = value

    def timing(self, name: str, value_s: float) -> None:
        """See `Metrics.timing`."""
        self.counters[f"{name}.count"] += 1


class StatsdMetrics(InMemoryMetrics):
    """Also sends metrics over UDP; a lost datagram is not sent again."""

    def __init__(self, *, host: str, port: int, prefix: str) -> None:
        super().__init__()
        self.host = host
        self.port = port
        self.prefix = prefix
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, value: int = 1) -> None:
        """See `Metrics.count`."""
        super().count(name, value)
        self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """See `Metrics.gauge`."""
        super().gauge(name, value)
        self._client.gauge(name, value)

    def timing(self, name: str, value_s: float) -> None:
        """See `Metrics.timing`."""
        super().timing(name, value_s)
        self._client.timing(name, value_s * 1000.0)
