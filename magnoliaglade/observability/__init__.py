"""Counters by statsd, log lines for state changes, state dumps."""

from magnoliaglade.observability._dump import to_plain
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

__all__ = [
    "InMemoryMetrics",
    "Metrics",
    "StatsdMetrics",
    "log_state_change",
    "start_logging",
    "state_changes",
    "to_plain",
]
