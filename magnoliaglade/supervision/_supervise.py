"""Restarts a part of the process that ends by an unexpected error.

Answers errors that nobody foresaw, such as a message that a decoder lets
through: one of them must not end a part silently, nor the whole process.
"""

import traceback
from collections.abc import Awaitable, Callable

from magnoliaglade import base, observability
from magnoliaglade import clock as clock_lib

# Pause before the first restart, in seconds, and the longest one; it doubles
# with each error.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 5.0
# A part that has run this long, in seconds, begins with the first pause again.
SOUND_AFTER_S = 10.0
# Frames of a traceback that a log line shows, innermost last.
_FRAMES = 4


class Backoff(base.Parameterized):
    """Pauses that double with each error in close succession.

    Attributes:
        first_s: the first pause, in seconds.
        longest_s: the longest pause, in seconds.
        sound_after_s: time without an error, in seconds, that ends a series.
    """

    _parameter_constraints = {
        "first_s": [base.Interval(kind=float, low=0, low_open=True)],
        "longest_s": [base.Interval(kind=float, low=0, low_open=True)],
        "sound_after_s": [base.Interval(kind=float, low=0)],
    }

    def __init__(
        self,
        *,
        first_s: float = FIRST_PAUSE_S,
        longest_s: float = LONGEST_PAUSE_S,
        sound_after_s: float = SOUND_AFTER_S,
    ) -> None:
        self.first_s = first_s
        self.longest_s = longest_s
        self.sound_after_s = sound_after_s
        self._next_s = first_s
        self._failed_at_s = float("-inf")

    def next_pause_s(self, now_s: float) -> float:
        """Returns the pause after an error at `now_s`."""
        if now_s - self._failed_at_s > self.sound_after_s + self._next_s:
            self._next_s = self.first_s
        self._failed_at_s = now_s
        pause_s = self._next_s
        self._next_s = min(self.longest_s, 2.0 * pause_s)
        return pause_s


async def keep_running(
    work: Callable[[], Awaitable[None]],
    *,
    part: str,
    clock: clock_lib.Clock,
    expected: tuple[type[Exception], ...] = (),
) -> None:
    """Runs `work` until it returns; restarts it after an unexpected error.

    Args:
        work: makes one run of the part.
        part: name of the part for the log.
        clock: source of time.
        expected: errors that end the part and are raised.
    """
    backoff = Backoff()
    while True:
        try:
            await work()
        except expected:
            raise
        except Exception as error:
            pause_s = backoff.next_pause_s(clock.now())
            observability.log_event(
                "error",
                part=part,
                pause_s=pause_s,
                **describe_error(error),
            )
            await clock.sleep(pause_s)
        else:
            return


def describe_error(error: BaseException) -> dict[str, object]:
    """Returns the error and where it was raised, for a log line."""
    frames = traceback.extract_tb(error.__traceback__)[-_FRAMES:]
    return {
        "reason": repr(error),
        "frames": [f"{f.filename}:{f.lineno} {f.name}" for f in frames],
    }
