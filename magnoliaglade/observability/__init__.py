"""Metrics over statsd, structured log lines and state dumps."""

from magnoliaglade.observability._dump import to_plain
from magnoliaglade.observability._events import (
    LineRateLimiter,
    NonBlockingStream,
    log_event,
    set_log_context,
)
from magnoliaglade.observability._log import (
    log_state_change,
    start_logging,
    state_changes,
)
from magnoliaglade.observability._metrics import (
    InMemoryMetrics,
    Metrics,
    StatsdMetrics,
)
from magnoliaglade.observability._reporter import MetricsReporter

__all__ = [
    "InMemoryMetrics",
    "LineRateLimiter",
    "Metrics",
    "MetricsReporter",
    "NonBlockingStream",
    "StatsdMetrics",
    "log_event",
    "log_state_change",
    "set_log_context",
    "start_logging",
    "state_changes",
    "to_plain",
]
