"""Restarts failed background work and measures the event-loop lag."""

from magnoliaglade.supervision._loop import LoopMonitor
from magnoliaglade.supervision._supervise import (
    Backoff,
    describe_error,
    keep_running,
)

__all__ = ["Backoff", "LoopMonitor", "describe_error", "keep_running"]
