"""Measures the event-loop lag."""

import asyncio
import math
from typing import Any

from magnoliaglade import base, observability
from magnoliaglade import clock as clock_lib

# Interval between samples in seconds.
SAMPLE_INTERVAL_S = 0.1
# Time constant of the mean in seconds. A single long step, such as a plan, does
# not indicate a slow process; a series of them does.
MEAN_TIME_CONSTANT_S = 2.0
# Mean lag in seconds from which the loop counts as lagging: a third of the time
# to live of the coordinator's lease, which then depends on single renewals.
LAG_THRESHOLD_S = 0.5
# A single lag from this value on, in seconds, is logged as a process pause.
PAUSE_THRESHOLD_S = 1.0


class LoopMonitor(base.Component):
    """Measures how long wake-ups at a fixed interval are delayed.

    Attributes:
        clock: source of time; it counts suspended time.
        lag_threshold_s: mean lag in seconds from which the loop counts as
            lagging.
        mean_lag_s: mean lag in seconds.
    """

    _parameter_constraints = {
        "lag_threshold_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        lag_threshold_s: float = LAG_THRESHOLD_S,
    ) -> None:
        self.clock = clock
        self.lag_threshold_s = lag_threshold_s
        self.mean_lag_s = 0.0
        self._task: asyncio.Task[None] | None = None

    @property
    def is_lagging(self) -> bool:
        """Whether the mean lag has reached the threshold."""
        return self.mean_lag_s >= self.lag_threshold_s

    async def start(self) -> None:
        """Starts measuring in the background."""
        self.validate_params()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops measuring."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Returns the mean lag and whether the loop is lagging."""
        return {"lag_s": round(self.mean_lag_s, 3), "is_late": self.is_lagging}

    def record_lag(self, lag_s: float) -> None:
        """Adds the lag of one wake-up to the mean.

        A wake-up is weighted by the time since the one before, with the lag
        capped at `PAUSE_THRESHOLD_S`: a process that was paused once is not
        slow.
        """
        if lag_s >= PAUSE_THRESHOLD_S:
            observability.log_event(
                "loop", state="paused", lateness_s=round(lag_s, 3)
            )
        capped_lag_s = min(lag_s, PAUSE_THRESHOLD_S)
        weight = 1.0 - math.exp(
            -(capped_lag_s + SAMPLE_INTERVAL_S) / MEAN_TIME_CONSTANT_S
        )
        self.mean_lag_s += weight * (capped_lag_s - self.mean_lag_s)

    async def _run(self) -> None:
        while True:
            due_s = self.clock.now() + SAMPLE_INTERVAL_S
            await self.clock.sleep(SAMPLE_INTERVAL_S)
            self.record_lag(max(0.0, self.clock.now() - due_s))
