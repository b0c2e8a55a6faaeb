"""Clocks: the system's, and a manual one for tests and replays."""

from magnoliaglade.clock._clock import Clock, ManualClock, SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
