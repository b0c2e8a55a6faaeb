"""Interface of a worker.

An adapter for another platform implements `WorkerClient`. A worker keeps, per
domain, the highest epoch that it has seen and rejects calls with a lower one.
Times to live are measured on the worker's own clock from the arrival of a call,
so a call that was delayed on the network cannot extend anything.

Life cycle of a task on a worker:

1. `reserve` reserves resources for `ttl_s` seconds.
2. `commit` turns a reservation that has not expired into held tasks, which do
   not run yet. A held task ends after `confirm_s` unless it is renewed.
3. `renew` with the job in `activate` starts its held tasks, whose lease is
   still `confirm_s`.
4. `renew` with the job in `keep` extends the lease to `lease_s`. Jobs of the
   domain that are not named are not extended and stop when their lease ends.
"""

import dataclasses
import enum
from typing import Protocol

from magnoliaglade import exceptions
from magnoliaglade.types import Epoch, JobId, TaskId, WorkerId

__all__ = [
    "CommitRequest",
    "RenewRequest",
    "ReservationReply",
    "ReserveRequest",
    "StaleEpochError",
    "TaskCommand",
    "TaskPhase",
    "TaskReport",
    "TaskSpec",
    "WorkerCallError",
    "WorkerClient",
    "WorkerOutcomeUnknownError",
    "WorkerRefusedError",
    "WorkerReport",
    "WorkerUnreachableError",
]


class WorkerCallError(exceptions.MagnoliagladeError):
    """Base class of errors of calls to a worker."""


class WorkerUnreachableError(WorkerCallError):
    """The worker could not be reached; the call had no effect."""


class WorkerOutcomeUnknownError(WorkerCallError):
    """The response is missing or malformed; the call may have taken effect."""


class WorkerRefusedError(WorkerCallError):
    """The worker refused: too few resources, or an expired reservation."""


class StaleEpochError(WorkerCallError):
    """The worker has seen a higher epoch for the domain."""


class TaskPhase(enum.Enum):
    """Phase of a task on its worker."""

    HELD = "held"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskSpec:
    """Command and resource demand of a task.

    Attributes:
        command: program and arguments, opaque to the scheduler.
        cores: number of processor cores.
        memory_gb: memory in gigabytes.
        accelerators: number of accelerators.
        checkpoint: reference of the checkpoint to resume from, or "".
    """

    command: tuple[str, ...]
    cores: float
    memory_gb: float
    accelerators: int
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReserveRequest:
    """Reserves resources for `count` tasks of a job's attempt."""

    domain: str
    epoch: Epoch
    job: JobId
    attempt: int
    count: int
    spec: TaskSpec
    ttl_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReservationReply:
    """A reservation, which expires by the worker's own clock."""

    reservation: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommitRequest:
    """Turns a reservation into held tasks."""

    domain: str
    epoch: Epoch
    reservation: str
    gang_size: int
    confirm_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RenewRequest:
    """Activates jobs of a domain on one worker and extends their leases.

    Attributes:
        domain: the scheduling domain.
        epoch: the owner's epoch.
        activate: jobs whose held tasks start running.
        keep: jobs whose lease is extended to `lease_s`.
        lease_s: the new lease of the kept jobs in seconds.
    """

    domain: str
    epoch: Epoch
    activate: tuple[JobId, ...] = ()
    keep: tuple[JobId, ...] = ()
    lease_s: float = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskReport:
    """State of one task according to its worker.

    Attributes:
        task: id of the task.
        job: job of the task.
        attempt: attempt of the job to which the task belongs.
        phase: phase of the task on the worker.
        gang_size: number of tasks of the whole gang.
        memory_gb: memory in use in gigabytes, reported with a lag.
        run_s: time in seconds since the task started running.
        checkpoint: reference of the last checkpoint, or "".
        detail: reason of a failure or the task's result.
    """

    task: TaskId
    job: JobId
    attempt: int
    phase: TaskPhase
    gang_size: int
    memory_gb: float = 0.0
    run_s: float = 0.0
    checkpoint: str = ""
    detail: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerReport:
    """State of the tasks of one domain on a worker."""

    worker: WorkerId
    epoch: Epoch
    tasks: tuple[TaskReport, ...]
    reserved_jobs: tuple[JobId, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskCommand:
    """A command for all tasks of a job's attempt on one worker."""

    domain: str
    epoch: Epoch
    job: JobId
    attempt: int


class WorkerClient(Protocol):
    """Calls to one worker.

    Every method may raise `WorkerUnreachableError`,
    `WorkerOutcomeUnknownError` and `StaleEpochError`.
    """

    async def reserve(self, request: ReserveRequest) -> ReservationReply:
        """Reserves resources.

        Raises:
            WorkerRefusedError: there are not enough free resources.
        """

    async def commit(self, request: CommitRequest) -> WorkerReport:
        """Commits a reservation; repeating it has no further effect.

        Raises:
            WorkerRefusedError: the reservation has expired.
        """

    async def release(self, request: TaskCommand) -> None:
        """Releases the reservations and held tasks of the attempt."""

    async def renew(self, request: RenewRequest) -> WorkerReport:
        """Activates jobs, extends their leases and returns the state."""

    async def checkpoint(self, request: TaskCommand) -> None:
        """Asks the tasks to write a checkpoint."""

    async def throttle(self, request: TaskCommand) -> None:
        """Slows the tasks down."""

    async def stop(self, request: TaskCommand) -> None:
        """Stops the tasks and returns when none of them runs any more."""

    async def fence(self, *, domain: str, epoch: Epoch) -> WorkerReport:
        """Raises the domain's epoch on the worker and returns its state."""
