"""Judges runs by their reported progress.

Finds stalled runs and runs whose worker leaves before they can end, and
measures how fast a run advances between two reports. Pure functions, for
workers that keep answering while their tasks make no progress, and for workers
that leave before their tasks can end.

Only reports are evidence of a stall, and the time between them is measured on
the worker's clock: an unresponsive worker, a slow connection or event-loop lag
in the coordinator proves nothing about the run.
"""

import dataclasses
from collections.abc import Iterable

from magnoliaglade.jobs import Attempt, AttemptState, StepSpec

# Progress is reported in whole percents. A run may take this many times the
# declared duration of one percent, plus the grace period below, in seconds,
# before it counts as stalled.
STALL_FACTOR = 12.0
STALL_GRACE_S = 2.5
# Reports further apart than this, in seconds, are no evidence of what happened
# between them: the worker may have been paused or disconnected. The value
# covers the wait of one poll, the timeout of its call and the delay after a
# failed call.
MAX_REPORT_GAP_S = 2.0
# Shortest time between two reports, in seconds, from which a run time is
# extrapolated, and the progress, in percent, that less progress counts as.
MIN_SPEED_INTERVAL_S = 0.4
MIN_INTERVAL_PERCENT = 1.0
# Runs are stopped this long before their worker leaves, in seconds, plus the
# time that a stop takes.
DEPARTURE_MARGIN_S = 0.4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """When a worker leaves, and how long a stop takes, in seconds."""

    leaves_at_s: float
    stop_s: float


def record_progress(
    attempt: Attempt, *, percent: float, reported_ms: int
) -> None:
    """Applies a report that lists a run.

    Args:
        attempt: the run.
        percent: percentage of the work that is done.
        reported_ms: the worker's clock at the report, in milliseconds.
    """
    gap_s = (reported_ms - attempt.reported_ms) / 1000.0
    is_first = not attempt.reported_ms
    if is_first or percent != attempt.percent or gap_s > MAX_REPORT_GAP_S:
        attempt.no_progress_s = 0.0
    else:
        attempt.no_progress_s += max(0.0, gap_s)
    if is_first:
        attempt.first_percent = percent
        attempt.first_reported_ms = reported_ms
    attempt.percent = percent
    attempt.reported_ms = reported_ms


def interval_run_time_s(
    attempt: Attempt, *, percent: float, reported_ms: int
) -> float | None:
    """Returns the run time extrapolated from progress since the last report.

    Args:
        attempt: the run, before the report is applied.
        percent: percentage of the work that is done.
        reported_ms: the worker's clock at the report, in milliseconds.

    Returns:
        The run time in seconds; None for the first report, after all work is
        done, or if the time between the reports is too short or too long. A run
        without progress counts as one that has advanced by the resolution of
        the reports.
    """
    interval_s = (reported_ms - attempt.reported_ms) / 1000.0
    progressed = percent - attempt.percent
    is_first = not attempt.reported_ms
    is_measurable = MIN_SPEED_INTERVAL_S <= interval_s <= MAX_REPORT_GAP_S
    if is_first or not is_measurable or percent >= 100.0:
        return None
    return interval_s * 100.0 / max(progressed, MIN_INTERVAL_PERCENT)


def stalled_runs(spec: StepSpec, attempts: Iterable[Attempt]) -> list[Attempt]:
    """Returns the stalled runs that delay a step.

    Args:
        spec: the step.
        attempts: the only run of a task, or all runs of a gang.

    Members of a gang end together, so a member that has finished stays at 100
    percent until the slowest has finished too. Only members with the least
    progress count as stalled, and only if none of them makes progress. A gang
    in which every member has finished and none ends is handled in the same way.
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
    allowed_s = STALL_GRACE_S + STALL_FACTOR * spec.estimate_s / 100.0
    is_progressing = any(m.no_progress_s <= allowed_s for m in slowest)
    return [] if is_progressing else slowest


def must_stop_before_departure(
    spec: StepSpec,
    attempt: Attempt,
    departure: Departure,
    *,
    now_s: float,
    remaining_s: float,
) -> bool:
    """Returns whether a run must be stopped now because its worker leaves.

    Runs that save checkpoints continue up to the last moment; other runs that
    cannot end in time are stopped at once.
    """
    until_departure_s = departure.leaves_at_s - now_s
    if (
        attempt.state is not AttemptState.RUNNING
        or remaining_s <= until_departure_s
    ):
        return False
    if not spec.is_checkpointable:
        return True
    return until_departure_s <= departure.stop_s + DEPARTURE_MARGIN_S
