"""Retry budget and backoff."""

import collections
import random

from magnoliaglade import base
from magnoliaglade import clock as clock_lib

RETRY_SHARE = 0.1
RETRY_WINDOW_S = 10.0
BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 2.0
_MAX_EXPONENT = 32


class RetryBudget(base.Parameterized):
    """Allows retries up to a share of the requests of the last seconds.

    A share alone allows no retry at a few requests per window, so `minimum`
    retries per window are always allowed.
    """

    _parameter_constraints = {
        "share": [base.Interval(kind=float, low=0, high=1)],
        "window_s": [base.Interval(kind=float, low=0, low_open=True)],
        "minimum": [base.Interval(kind=int, low=0)],
    }

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        share: float = RETRY_SHARE,
        window_s: float = RETRY_WINDOW_S,
        minimum: int = 1,
    ) -> None:
        self.clock = clock
        self.share = share
        self.window_s = window_s
        self.minimum = minimum
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def note_request(self) -> None:
        """Counts a first attempt."""
        self._requests.append(self.clock.now())

    def try_spend(self) -> bool:
        """Counts a retry and returns True if the budget allows it."""
        start_s = self.clock.now() - self.window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= start_s:
                times.popleft()
        allowed = max(self.minimum, int(self.share * len(self._requests)))
        if len(self._retries) >= allowed:
            return False
        self._retries.append(self.clock.now())
        return True


def backoff_s(
    attempt: int,
    *,
    rng: random.Random,
    base_s: float = BACKOFF_BASE_S,
    cap_s: float = BACKOFF_CAP_S,
) -> float:
    """Returns a delay with full jitter before retry `attempt`, from 0."""
    limit_s = min(cap_s, base_s * 2.0 ** min(attempt, _MAX_EXPONENT))
    return rng.uniform(0.0, limit_s)
