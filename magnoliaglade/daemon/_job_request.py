"""A job as callers describe it."""

import dataclasses
import enum
import uuid
from typing import Any

from magnoliaglade import base, configuration, execution, scheduling
from magnoliaglade.types import AccountId, ZoneId

MAX_TASKS = 4096
MAX_TEXT = 256
MAX_COMMAND_PARTS = 256

_POSITIVE = base.Interval(kind=float, low=0, low_open=True, high=1e9)
_NOT_NEGATIVE = base.Interval(kind=float, low=0, high=1e6)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Text:
    def accepts(self, value: Any) -> bool:
        return isinstance(value, str) and len(value) <= MAX_TEXT

    def __str__(self) -> str:
        return f"a text of at most {MAX_TEXT} characters"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Command:
    def accepts(self, value: Any) -> bool:
        return 0 < len(value) <= MAX_COMMAND_PARTS

    def __str__(self) -> str:
        return f"a list of 1 to {MAX_COMMAND_PARTS} texts"


class JobPriority(enum.Enum):
    """Class of work."""

    BATCH = "batch"
    NORMAL = "normal"
    URGENT = "urgent"


_PRIORITIES = {
    JobPriority.BATCH: scheduling.Priority.BATCH,
    JobPriority.NORMAL: scheduling.Priority.NORMAL,
    JobPriority.URGENT: scheduling.Priority.URGENT,
}


def _field(rule: Any, **options: Any) -> Any:
    return dataclasses.field(metadata={"constraint": rule}, **options)


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobRequest:
    """Fields of a submission; times in seconds, memory in gigabytes.

    Attributes:
        command: program and arguments of every task.
        tasks: number of tasks, which run together or not at all.
        cores: cores of a task.
        memory_gb: memory of a task.
        accelerators: accelerators of a task.
        adjacency: how close the tasks must be.
        priority: class of work.
        run_s: expected run time.
        deadline_s: time from submission by which it should finish.
        checkpointable: whether it can continue from a checkpoint.
        at_most_once: whether it must never be started a second time.
        kind: label under which run times are learned.
        zones: zones that are allowed; all if empty.
        submission_id: repeating a submission with the same id is the same job.
    """

    command: tuple[str, ...] = _field(_Command())
    tasks: int = _field(
        base.Interval(kind=int, low=1, high=MAX_TASKS), default=1
    )
    cores: float = _field(_NOT_NEGATIVE, default=1.0)
    memory_gb: float = _field(_NOT_NEGATIVE, default=1.0)
    accelerators: int = _field(
        base.Interval(kind=int, low=0, high=1024), default=0
    )
    adjacency: scheduling.Adjacency = scheduling.Adjacency.ZONE
    priority: JobPriority = JobPriority.NORMAL
    run_s: float = _field(_POSITIVE, default=3600.0)
    deadline_s: float | None = _field(_POSITIVE, default=None)
    checkpointable: bool = True
    at_most_once: bool = False
    kind: str = _field(_Text(), default="")
    zones: tuple[ZoneId, ...] = ()
    submission_id: str = _field(_Text(), default="")


def parse_job(fields: Any) -> JobRequest:
    """Checks a submission.

    Raises:
        InvalidConfigurationError: naming field, value and what is allowed.
    """
    return configuration.decode(JobRequest, fields, source="job")


def make_spec(
    request: JobRequest, *, account: AccountId, now_s: float
) -> execution.JobSpec:
    """Returns the job of a submission.

    Args:
        request: the checked submission.
        account: the client account.
        now_s: wall time of the submission.
    """
    submission = request.submission_id or uuid.uuid4().hex
    deadline_s = None
    if request.deadline_s is not None:
        deadline_s = now_s + request.deadline_s
    gang = scheduling.Gang(
        job=execution.make_job_id(account, submission),
        account=account,
        tasks=request.tasks,
        shape=scheduling.Shape(
            cores=request.cores,
            memory_gb=request.memory_gb,
            accelerators=request.accelerators,
        ),
        adjacency=request.adjacency,
        priority=_PRIORITIES[request.priority],
        submitted_at_s=now_s,
        deadline_s=deadline_s,
        declared_run_s=request.run_s,
        checkpointable=request.checkpointable,
        at_most_once=request.at_most_once,
        kind=request.kind,
    )
    return execution.JobSpec(
        gang=gang,
        command=request.command,
        submission=f"{account}/{submission}",
    )
