"""Upper bound on the end of the lease of a worker's runs.

A worker measures leases on its own clock. The bound assumes the worst case for
everything that has been sent: that the latest lease end arrived, and that the
worker's clock runs slow.
"""

import dataclasses

from magnoliaglade import base

# Fraction by which a worker's clock may run slower than the coordinator's.
CLOCK_DRIFT = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseOffer:
    """A lease end that is being sent to a worker.

    Attributes:
        until_ms: the end on the worker's clock, in milliseconds.
        ends_at_s: the latest time, on the caller's clock, at which a lease
            granted by this offer ends.
    """

    until_ms: int
    ends_at_s: float


class LeaseBound(base.Parameterized):
    """Tracks one worker's clock and the latest lease end sent to it.

    Attributes:
        longest_lease_s: longest lease that a worker accepts, in seconds.
        drift: largest relative error of the worker's clock.
    """

    _parameter_constraints = {
        "longest_lease_s": [base.Interval(kind=float, low=0, low_open=True)],
        "drift": [base.Interval(kind=float, low=0, high=0.5)],
    }

    def __init__(
        self, *, longest_lease_s: float, drift: float = CLOCK_DRIFT
    ) -> None:
        self.longest_lease_s = longest_lease_s
        self.drift = drift
        self._granted_until_s = float("-inf")
        self._offers: list[LeaseOffer] = []
        self._clock_reading: tuple[float, int] | None = None

    @property
    def ends_at_s(self) -> float:
        """Time at which every lease that may have been granted has ended."""
        offered = (o.ends_at_s for o in self._offers)
        return max(self._granted_until_s, max(offered, default=float("-inf")))

    @property
    def is_synchronized(self) -> bool:
        """Whether a reading of the worker's clock is known."""
        return self._clock_reading is not None

    def observe_clock(self, clock_ms: int, *, now_s: float) -> None:
        """Records a reading of the worker's clock that has just arrived."""
        if clock_ms > 0:
            self._clock_reading = (now_s, clock_ms)

    def forget_clock(self) -> None:
        """Discards the reading, such as for a new lifetime of the worker."""
        self._clock_reading = None

    def clock_ms(self, now_s: float) -> float:
        """Returns the lowest value that the worker's clock can show."""
        if self._clock_reading is None:
            return 0.0
        at_s, clock_ms = self._clock_reading
        return clock_ms + (now_s - at_s) * 1000.0 * (1.0 - self.drift)

    def offer(self, now_s: float, lease_s: float) -> LeaseOffer | None:
        """Returns a lease end to send now; None if the clock is unknown.

        The offer counts as granted until it is withdrawn.
        """
        if self._clock_reading is None:
            return None
        offer = LeaseOffer(
            until_ms=int(self.clock_ms(now_s) + lease_s * 1000.0),
            ends_at_s=self._end_s(now_s, lease_s),
        )
        self._offers.append(offer)
        return offer

    def confirm(self, offer: LeaseOffer) -> None:
        """Records that an offer was sent, whether or not it was answered."""
        self._offers.remove(offer)
        self._granted_until_s = max(self._granted_until_s, offer.ends_at_s)

    def withdraw(self, offer: LeaseOffer) -> None:
        """Removes an offer that granted nothing, such as one never sent."""
        self._offers.remove(offer)

    def assume_granted(self, now_s: float, lease_s: float) -> None:
        """Counts a lease of `lease_s` from `now_s` as granted."""
        self._granted_until_s = max(
            self._granted_until_s, self._end_s(now_s, lease_s)
        )

    def _end_s(self, now_s: float, lease_s: float) -> float:
        return now_s + min(lease_s, self.longest_lease_s) / (1.0 - self.drift)

    def has_ended(self, now_s: float, *, margin_s: float) -> bool:
        """Returns whether no run under a lease that was sent can still run."""
        return now_s > self.ends_at_s + margin_s
