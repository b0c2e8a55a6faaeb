"""Gangs that hold workers, as far as the owner knows them."""

import dataclasses
import enum
from collections.abc import Iterable

from magnoliaglade.execution import _calls, _launch
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.types import JobId, WorkerId

# A worker that does not answer two renewals in a row has lost its members.
MISSES_MAX = 2

_ALIVE = (worker_lib.TaskPhase.RUNNING, worker_lib.TaskPhase.FINISHED)


class Verdict(enum.Enum):
    """What the reports of all members say together."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finding:
    """A verdict with the member that decided it and its reason."""

    verdict: Verdict
    worker: WorkerId | None = None
    detail: str = ""


@dataclasses.dataclass(kw_only=True)
class Member:
    """The tasks of a gang on one worker.

    Attributes:
        worker: the worker.
        count: number of tasks.
        last_sent_s: monotonic time of the last call that may have extended
            the lease.
        misses: renewals in a row without an answer.
        tasks: as last reported; None before the first report.
    """

    worker: WorkerId
    count: int
    last_sent_s: float
    misses: int = 0
    tasks: tuple[worker_lib.TaskReport, ...] | None = None

    @property
    def ended_after_s(self) -> float:
        """Time after which no task runs without another renewal.

        The lease counts from the arrival of the last call, which is at most
        the call timeout after it was sent.
        """
        timeout_s = _calls.WORKER_CALL_TIMEOUT_S
        return self.last_sent_s + _launch.TASK_LEASE_TTL_S + timeout_s

    @property
    def is_finished(self) -> bool:
        """Whether every task is reported as finished."""
        return self.count_in(worker_lib.TaskPhase.FINISHED) == self.count

    def count_in(self, *phases: worker_lib.TaskPhase) -> int:
        """Returns the number of reported tasks in the phases."""
        return sum(t.phase in phases for t in self.tasks or ())


@dataclasses.dataclass(kw_only=True)
class ActiveGang:
    """An attempt whose members are renewed."""

    launch: _launch.Launch
    members: dict[WorkerId, Member]

    @property
    def job(self) -> JobId:
        """Id of the job."""
        return self.launch.job

    @property
    def attempt(self) -> int:
        """Number of the attempt."""
        return self.launch.attempt

    @property
    def checkpoint(self) -> str:
        """The checkpoint that every task has written, or "".

        Members that report different checkpoints have none in common.
        """
        tasks = [t for m in self.members.values() for t in m.tasks or ()]
        found = {t.checkpoint for t in tasks}
        if len(tasks) != self.launch.spec.gang.tasks or len(found) != 1:
            return ""
        return found.pop()

    def observe(
        self, worker: WorkerId, report: worker_lib.WorkerReport | None
    ) -> None:
        """Notes a worker's report, or that it did not answer."""
        member = self.members[worker]
        if report is not None:
            member.misses = 0
            member.tasks = _launch.tasks_of(report, self.job, self.attempt)
        elif not member.is_finished:
            member.misses += 1

    def judge(self) -> Finding:
        """Returns the verdict over all members."""
        members = self.members.values()
        for member in members:
            for task in member.tasks or ():
                if task.phase is worker_lib.TaskPhase.FAILED:
                    return Finding(
                        verdict=Verdict.FAILED,
                        worker=member.worker,
                        detail=task.detail,
                    )
        for member in members:
            is_short = (
                member.tasks is not None
                and member.count_in(*_ALIVE) != member.count
            )
            if is_short or member.misses >= MISSES_MAX:
                return Finding(
                    verdict=Verdict.LOST,
                    worker=member.worker,
                    detail=f"{member.worker}: member lost",
                )
        if all(m.is_finished for m in members):
            detail = next(t.detail for m in members for t in m.tasks or ())
            return Finding(verdict=Verdict.FINISHED, detail=detail)
        return Finding(verdict=Verdict.RUNNING)


def make_gang(
    launch: _launch.Launch,
    *,
    now_s: float,
    reports: dict[WorkerId, worker_lib.WorkerReport],
) -> ActiveGang:
    """Returns the gang of a launch; workers without a report are a miss."""
    gang = make_unseen_gang(launch, now_s=now_s)
    for worker in gang.members:
        gang.observe(worker, reports.get(worker))
    return gang


def make_unseen_gang(launch: _launch.Launch, *, now_s: float) -> ActiveGang:
    """Returns the gang of a launch before any report of its members."""
    return ActiveGang(
        launch=launch,
        members={
            worker: Member(worker=worker, count=count, last_sent_s=now_s)
            for worker, count in launch.counts.items()
        },
    )


def jobs_by_worker(
    gangs: Iterable[ActiveGang],
) -> dict[WorkerId, list[ActiveGang]]:
    """Groups gangs by the workers of their members."""
    found: dict[WorkerId, list[ActiveGang]] = {}
    for gang in gangs:
        for worker in gang.members:
            found.setdefault(worker, []).append(gang)
    return found
