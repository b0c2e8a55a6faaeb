"""Compares a worker's report with the runs that are expected on it.

Pure functions. Orders may be executed seconds late and answers may be lost, so
a run that is missing from a report counts as ended only if its order is
settled: it was answered, or stopped, or is of an epoch that the worker no
longer accepts.
"""

import dataclasses
from collections.abc import Mapping

from magnoliaglade.fleet import RunEnd, RunStatus, WorkerReport
from magnoliaglade.jobs import TaskKey, parse_task_name
from magnoliaglade.types import JobId, Lifetime


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExpectedRun:
    """A run that may be on the worker.

    Attributes:
        job: the job.
        key: the task.
        run: number of the run.
        lifetime: lifetime of the worker that the order was sent to.
        settled_at_s: monotonic time in seconds since when the order can no
            longer start the run unnoticed; None while it still can.
        is_sent: whether the order has been sent.
    """

    job: JobId
    key: TaskKey
    run: int
    lifetime: Lifetime
    settled_at_s: float | None
    is_sent: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reconciliation:
    """Result of the comparison of a report with the expected runs.

    Attributes:
        ended: ends of expected runs.
        present: expected runs that are on the worker, with their status.
        lost: expected runs that are missing and can no longer appear.
        unsettled: expected runs that are missing but may still appear.
        orphans: runs on the worker that are not expected.
        unexpected_ends: ends that were not applied before, of runs that are
            not expected.
    """

    ended: tuple[tuple[ExpectedRun, RunEnd], ...]
    present: tuple[tuple[ExpectedRun, RunStatus], ...]
    lost: tuple[ExpectedRun, ...]
    unsettled: tuple[ExpectedRun, ...]
    orphans: tuple[RunStatus, ...]
    unexpected_ends: tuple[RunEnd, ...]


def reconcile(
    expected: list[ExpectedRun],
    report: WorkerReport,
    *,
    requested_at_s: float,
    applied_end: int,
) -> Reconciliation:
    """Compares a report with the expected runs.

    Args:
        expected: runs that may be on the worker.
        report: the worker's report.
        requested_at_s: monotonic time in seconds at which the report was
            requested.
        applied_end: number of the last run end that was applied before.
    """
    by_run = {(str(e.job), e.key, e.run): e for e in expected}
    ended, unexpected_ends = _match_ends(by_run, report, applied_end)
    present, orphans = _match_running(by_run, report)
    matched_ids = {id(e) for e, _ in ended} | {id(e) for e, _ in present}
    lost: list[ExpectedRun] = []
    unsettled: list[ExpectedRun] = []
    for item in expected:
        if (
            id(item) in matched_ids
            or not item.is_sent
            or not report.is_complete
        ):
            continue
        if item.settled_at_s is None:
            unsettled.append(item)
        elif item.settled_at_s < requested_at_s:
            # The lifetime of the worker proves nothing: a restarted worker may
            # have started the run after it made the report.
            lost.append(item)
    return Reconciliation(
        ended=tuple(ended),
        present=tuple(present),
        lost=tuple(lost),
        unsettled=tuple(unsettled),
        orphans=tuple(orphans),
        unexpected_ends=tuple(unexpected_ends),
    )


def _match_ends(
    by_run: Mapping[tuple[str, TaskKey, int], ExpectedRun],
    report: WorkerReport,
    applied_end: int,
) -> tuple[list[tuple[ExpectedRun, RunEnd]], list[RunEnd]]:
    found: list[tuple[ExpectedRun, RunEnd]] = []
    unexpected: list[RunEnd] = []
    for end in report.ended:
        if end.number <= applied_end:
            continue
        item = _find(by_run, end.task, end.run)
        if item is None:
            unexpected.append(end)
        else:
            found.append((item, end))
    return found, unexpected


def _match_running(
    by_run: Mapping[tuple[str, TaskKey, int], ExpectedRun], report: WorkerReport
) -> tuple[list[tuple[ExpectedRun, RunStatus]], list[RunStatus]]:
    present: list[tuple[ExpectedRun, RunStatus]] = []
    orphans: list[RunStatus] = []
    for status in report.running:
        item = _find(by_run, status.task, status.run)
        if item is None:
            orphans.append(status)
        else:
            present.append((item, status))
    return present, orphans


def _find(
    by_run: Mapping[tuple[str, TaskKey, int], ExpectedRun], task: str, run: int
) -> ExpectedRun | None:
    parsed = parse_task_name(task)
    if parsed is None:
        return None
    job, key = parsed
    return by_run.get((str(job), key, run))
