"""Finds runs that stand still or that outlive their worker.

Pure. Answers workers that keep answering while their tasks make no progress,
and workers that leave before their tasks can end.
"""

import dataclasses

from magnoliaglade.jobs import Attempt, AttemptState, StepSpec

# Progress comes in whole percents. A run may take this many times the declared
# duration of one percent, and the time below, before it counts as stalled.
STALL_FACTOR = 12.0
STALL_S = 2.5
# Time before a worker leaves at which its runs are stopped, beyond the time
# that a stop takes.
LEAVE_MARGIN_S = 0.4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """When a worker leaves, and how long a stop takes, in seconds."""

    leaves_at_s: float
    stop_s: float


def is_stalled(spec: StepSpec, attempt: Attempt, *, now_s: float) -> bool:
    """Tells whether a run has made no progress for too long."""
    if attempt.state is not AttemptState.RUNNING or spec.is_long_running:
        return False
    if not attempt.percent_at_s:
        return False
    allowed_s = STALL_S + STALL_FACTOR * spec.estimate_s / 100.0
    return now_s - attempt.percent_at_s > allowed_s


def must_leave(
    spec: StepSpec,
    attempt: Attempt,
    departure: Departure,
    *,
    now_s: float,
    remaining_s: float,
) -> bool:
    """Tells whether a run should be stopped now because its worker leaves.

    Work that saves checkpoints goes on to the last moment; other work that
    cannot end in time is stopped at once.
    """
    left_s = departure.leaves_at_s - now_s
    if attempt.state is not AttemptState.RUNNING or remaining_s <= left_s:
        return False
    if not spec.is_checkpointable:
        return True
    return left_s <= departure.stop_s + LEAVE_MARGIN_S
