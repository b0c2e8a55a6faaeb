"""Restarts a part of the process that ends with an unexpected error.

Handles errors that were not anticipated, such as an invalid message that passes
a decoder: one of them must not end a part silently, nor the whole process.
"""

import traceback
from collections.abc import Awaitable, Callable

from magnoliaglade import base, observability
from magnoliaglade import clock as clock_lib

# Delay before the first restart and longest delay, in seconds; the delay
# doubles with each error.
INITIAL_DELAY_S = 0.1
MAX_DELAY_S = 5.0
# A part that has run for this long, in seconds, gets the initial delay again.
RESET_AFTER_S = 10.0
# Number of traceback frames in a log line, innermost last.
_LOGGED_FRAMES = 4


class Backoff(base.Parameterized):
    """Delays that double with each error in close succession.

    Attributes:
        initial_delay_s: delay after the first error, in seconds.
        max_delay_s: longest delay, in seconds.
        reset_after_s: time without an error, in seconds, after which the
            initial delay applies again.
    """

    _parameter_constraints = {
        "initial_delay_s": [base.Interval(kind=float, low=0, low_open=True)],
        "max_delay_s": [base.Interval(kind=float, low=0, low_open=True)],
        "reset_after_s": [base.Interval(kind=float, low=0)],
    }

    def __init__(
        self,
        *,
        initial_delay_s: float = INITIAL_DELAY_S,
        max_delay_s: float = MAX_DELAY_S,
        reset_after_s: float = RESET_AFTER_S,
    ) -> None:
        self.initial_delay_s = initial_delay_s
        self.max_delay_s = max_delay_s
        self.reset_after_s = reset_after_s
        self._delay_s = initial_delay_s
        self._failed_at_s = float("-inf")

    def next_delay_s(self, now_s: float) -> float:
        """Returns the delay in seconds after an error at `now_s`."""
        if now_s - self._failed_at_s > self.reset_after_s + self._delay_s:
            self._delay_s = self.initial_delay_s
        self._failed_at_s = now_s
        delay_s = self._delay_s
        self._delay_s = min(self.max_delay_s, 2.0 * delay_s)
        return delay_s


async def keep_running(
    work: Callable[[], Awaitable[None]],
    *,
    part: str,
    clock: clock_lib.Clock,
    expected: tuple[type[Exception], ...] = (),
) -> None:
    """Runs `work` until it returns; restarts it after an unexpected error.

    Args:
        work: runs the part once.
        part: name of the part in log lines.
        clock: source of time.
        expected: errors that end the part and are raised to the caller.
    """
    backoff = Backoff()
    while True:
        try:
            await work()
        except expected:
            raise
        except Exception as error:
            delay_s = backoff.next_delay_s(clock.now())
            observability.log_event(
                "error",
                part=part,
                pause_s=delay_s,
                **describe_error(error),
            )
            await clock.sleep(delay_s)
        else:
            return


def describe_error(error: BaseException) -> dict[str, object]:
    """Returns an error and its innermost frames as fields of a log line."""
    frames = traceback.extract_tb(error.__traceback__)[-_LOGGED_FRAMES:]
    return {
        "reason": repr(error),
        "frames": [f"{f.filename}:{f.lineno} {f.name}" for f in frames],
    }
