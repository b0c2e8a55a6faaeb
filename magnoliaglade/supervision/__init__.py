"""Restarts failed work, and measures event-loop lag and resources."""

from magnoliaglade.supervision._loop import LoopMonitor
from magnoliaglade.supervision._resources import (
    descriptor_limit,
    machine_memory_mb,
    resident_bytes,
)
from magnoliaglade.supervision._supervise import (
    Backoff,
    describe_error,
    keep_running,
)

__all__ = [
    "Backoff",
    "LoopMonitor",
    "describe_error",
    "descriptor_limit",
    "keep_running",
    "machine_memory_mb",
    "resident_bytes",
]
