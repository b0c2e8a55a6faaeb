"""Keeps background work going, and measures how late the loop runs."""

from magnoliaglade.supervision._loop import LoopMonitor
from magnoliaglade.supervision._supervise import (
    Backoff,
    describe_error,
    keep_running,
)

__all__ = ["Backoff", "LoopMonitor", "describe_error", "keep_running"]
