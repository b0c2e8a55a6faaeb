"""What a new owner makes of the records and of the workers' reports."""

import dataclasses

from magnoliaglade import scheduling
from magnoliaglade.execution import _gangs, _launch, _records, _table
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.types import AccountId, JobId, WorkerId

Reports = dict[WorkerId, worker_lib.WorkerReport]

_STARTABLE = (_records.JobPhase.PENDING, _records.JobPhase.ACTIVE)
_ALIVE = (worker_lib.TaskPhase.RUNNING, worker_lib.TaskPhase.FINISHED)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ending:
    """A gang to stop; `cause` is recorded afterwards unless it is None."""

    gang: _gangs.ActiveGang
    cause: _records.FailureCause | None
    detail: str = ""


@dataclasses.dataclass(kw_only=True)
class TakeoverPlan:
    """What to do with the gangs that the predecessor left.

    Attributes:
        adopted: gangs to renew, some of whose members may not have answered.
        unrecorded: those of them whose decision is missing in the log, since
            they were started under grants while the store was down.
        ended: gangs that all members finished, or of which a task failed.
        endings: gangs to stop.
    """

    adopted: list[_gangs.ActiveGang] = dataclasses.field(default_factory=list)
    unrecorded: list[_gangs.ActiveGang] = dataclasses.field(
        default_factory=list
    )
    ended: list[tuple[_gangs.ActiveGang, _gangs.Finding]] = dataclasses.field(
        default_factory=list
    )
    endings: list[Ending] = dataclasses.field(default_factory=list)


def plan_takeover(
    table: _table.JobTable, reports: Reports, *, now_s: float
) -> TakeoverPlan:
    """Classifies every active job and every reported attempt.

    Args:
        table: state of the log.
        reports: reports of the workers that were fenced.
        now_s: monotonic time; leases of the others may have been extended
            until now.
    """
    plan = TakeoverPlan()
    reported = _reported(reports)
    newest: dict[JobId, int] = {}
    for job, attempt in reported:
        newest[job] = max(attempt, newest.get(job, 0))
    known = set()
    for entry in table.in_phase(_records.JobPhase.ACTIVE):
        # A restart under grants may have no record yet; the attempt before
        # it has ended then.
        if newest.get(entry.job, 0) > entry.attempt:
            continue
        known.add((entry.job, entry.attempt))
        _plan_active(plan, entry, reports, now_s)
    for (job, attempt), counts in reported.items():
        if (job, attempt) in known:
            continue
        entry = table.get(job)
        is_newer = (
            entry is not None
            and entry.phase in _STARTABLE
            and attempt > entry.attempt
            and attempt == newest[job]
        )
        launch = _make_launch(entry, job, attempt, counts)
        gang = _gangs.make_gang(launch, now_s=now_s, reports=reports)
        _plan_unknown(plan, gang, is_newer=is_newer)
    return plan


def _plan_active(
    plan: TakeoverPlan,
    entry: _records.JobEntry,
    reports: Reports,
    now_s: float,
) -> None:
    assert entry.placement is not None
    launch = _launch.Launch(
        spec=entry.spec,
        attempt=entry.attempt,
        checkpoint=entry.checkpoint,
        placement=entry.placement,
    )
    gang = _gangs.make_gang(launch, now_s=now_s, reports=reports)
    finding = gang.judge()
    if finding.verdict is _gangs.Verdict.RUNNING:
        plan.adopted.append(gang)
    elif finding.verdict is not _gangs.Verdict.LOST:
        plan.ended.append((gang, finding))
    elif _is_held_whole(gang):
        # Tasks are activated only after all are held, and the fence keeps
        # the predecessor from activating them now.
        cause = _records.FailureCause.NOT_STARTED
        plan.endings.append(Ending(gang=gang, cause=cause))
    else:
        cause = _records.FailureCause.OWNER_LOST
        detail = "owner lost; the gang is not whole and may have run"
        plan.endings.append(Ending(gang=gang, cause=cause, detail=detail))


def _plan_unknown(
    plan: TakeoverPlan, gang: _gangs.ActiveGang, *, is_newer: bool
) -> None:
    if not is_newer:
        plan.endings.append(Ending(gang=gang, cause=None))
        return
    spec = gang.launch.spec.gang
    alive = sum(m.count_in(*_ALIVE) for m in gang.members.values())
    if alive == spec.tasks and not spec.at_most_once:
        plan.unrecorded.append(gang)
        return
    cause = _records.FailureCause.OWNER_LOST
    plan.endings.append(Ending(gang=gang, cause=cause))


def _make_launch(
    entry: _records.JobEntry | None,
    job: JobId,
    attempt: int,
    counts: dict[WorkerId, int],
) -> _launch.Launch:
    return _launch.Launch(
        spec=entry.spec if entry is not None else _placeholder(job),
        attempt=attempt,
        checkpoint="",
        placement=scheduling.Placement(
            job=job, assignments=tuple(sorted(counts.items()))
        ),
    )


def _is_held_whole(gang: _gangs.ActiveGang) -> bool:
    held = worker_lib.TaskPhase.HELD
    return all(m.count_in(held) == m.count for m in gang.members.values())


def _reported(
    reports: Reports,
) -> dict[tuple[JobId, int], dict[WorkerId, int]]:
    found: dict[tuple[JobId, int], dict[WorkerId, int]] = {}
    for worker, report in reports.items():
        for task in report.tasks:
            counts = found.setdefault((task.job, task.attempt), {})
            counts[worker] = counts.get(worker, 0) + 1
    return found


def _placeholder(job: JobId) -> _records.JobSpec:
    """Stands for a job that the log does not know, to stop its tasks."""
    gang = scheduling.Gang(
        job=job,
        account=AccountId(""),
        tasks=1,
        shape=scheduling.Shape(),
    )
    return _records.JobSpec(gang=gang, command=(), submission="")
