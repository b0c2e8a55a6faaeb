"""When the lease of a worker's runs has surely ended.

A worker measures leases on its own clock. The bound below assumes the worst of
what has been sent: that the latest lease end arrived, and that the worker's
clock runs slow.
"""

from magnoliaglade import base

# A worker's clock may run this much slower than the coordinator's.
CLOCK_DRIFT = 0.02


class LeaseBound(base.Parameterized):
    """Tracks one worker's clock and the latest lease end sent to it.

    Attributes:
        longest_s: longest lease that a worker accepts, in seconds.
        drift: largest relative error of the worker's clock.
    """

    _parameter_constraints = {
        "longest_s": [base.Interval(kind=float, low=0, low_open=True)],
        "drift": [base.Interval(kind=float, low=0, high=0.5)],
    }

    def __init__(self, *, longest_s: float, drift: float = CLOCK_DRIFT) -> None:
        self.longest_s = longest_s
        self.drift = drift
        self.ends_at_s = float("-inf")
        self._anchor: tuple[float, int] | None = None

    @property
    def is_synchronized(self) -> bool:
        """Whether the worker's clock is known."""
        return self._anchor is not None

    def observe_clock(self, clock_ms: int, *, now_s: float) -> None:
        """Takes a reading of the worker's clock that has just arrived."""
        if clock_ms > 0:
            self._anchor = (now_s, clock_ms)

    def forget_clock(self) -> None:
        """Drops the reading, as for a new lifetime of the worker."""
        self._anchor = None

    def clock_ms(self, now_s: float) -> float:
        """Returns the least time that the worker's clock can show."""
        if self._anchor is None:
            return 0.0
        at_s, clock_ms = self._anchor
        return clock_ms + (now_s - at_s) * 1000.0 * (1.0 - self.drift)

    def next_until_ms(self, now_s: float, lease_s: float) -> int | None:
        """Returns a lease end to send now, and counts it as granted."""
        if self._anchor is None:
            return None
        self.assume_granted(now_s, lease_s)
        return int(self.clock_ms(now_s) + lease_s * 1000.0)

    def assume_granted(self, now_s: float, lease_s: float) -> None:
        """Counts a lease of `lease_s` from now as granted."""
        end_s = now_s + min(lease_s, self.longest_s) / (1.0 - self.drift)
        self.ends_at_s = max(self.ends_at_s, end_s)

    def has_ended(self, now_s: float, *, margin_s: float) -> bool:
        """Tells whether nothing started under a sent lease can still run."""
        return now_s > self.ends_at_s + margin_s
