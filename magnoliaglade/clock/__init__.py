"""Clocks: the system clock, and a manual clock for tests and replays."""

from magnoliaglade.clock._clock import Clock, ManualClock, SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
