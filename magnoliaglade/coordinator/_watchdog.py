"""Finds runs that stand still or that outlive their worker.

Pure. Answers workers that keep answering while their tasks make no progress,
and workers that leave before their tasks can end.

Only reports are evidence of standing still, and the time between them is taken
from the worker's clock: a silent worker, a slow link or a late loop on this
side proves nothing about the run.
"""

import dataclasses
from collections.abc import Iterable

from magnoliaglade.jobs import Attempt, AttemptState, StepSpec

# Progress comes in whole percents. A run may take this many times the declared
# duration of one percent, and the time below, before it counts as stalled.
STALL_FACTOR = 12.0
STALL_S = 2.5
# Reports further apart than this, in seconds, are no evidence of what happened
# between them: the worker may have been paused or cut off. It is the wait of
# one look, the timeout of its call, and a pause after a failed one.
REPORT_GAP_S = 2.0
# Time before a worker leaves at which its runs are stopped, beyond the time
# that a stop takes.
LEAVE_MARGIN_S = 0.4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """When a worker leaves, and how long a stop takes, in seconds."""

    leaves_at_s: float
    stop_s: float


def note_progress(
    attempt: Attempt, *, percent: float, reported_ms: int
) -> None:
    """Applies a report that lists a run.

    Args:
        attempt: the run.
        percent: work done.
        reported_ms: the worker's clock at the report.
    """
    gap_s = (reported_ms - attempt.reported_ms) / 1000.0
    is_first = not attempt.reported_ms
    if is_first or percent != attempt.percent or gap_s > REPORT_GAP_S:
        attempt.no_progress_s = 0.0
    else:
        attempt.no_progress_s += max(0.0, gap_s)
    attempt.percent = percent
    attempt.reported_ms = reported_ms


def stalled_runs(spec: StepSpec, attempts: Iterable[Attempt]) -> list[Attempt]:
    """Returns the runs of a step that hold it up by standing still.

    Args:
        spec: the step.
        attempts: the only run of a task, or all runs of a gang.

    Members of a gang end together, so one that is through stays at 100 percent
    until the slowest is through too. Only members with the least progress are
    judged, and only if none of them moves. A gang in which every member is
    through and nothing ends is judged in the same way.
    """
    members = list(attempts)
    if spec.is_long_running or not members:
        return []
    if any(
        m.state is not AttemptState.RUNNING or not m.reported_ms
        for m in members
    ):
        return []
    least = min(m.percent for m in members)
    slowest = [m for m in members if m.percent == least]
    allowed_s = STALL_S + STALL_FACTOR * spec.estimate_s / 100.0
    is_moving = any(m.no_progress_s <= allowed_s for m in slowest)
    return [] if is_moving else slowest


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
