"""Typed snapshot that the scheduling decisions work on.

All values are immutable and carry no clock: the snapshot says what time it is.
Memory is in gigabytes (10^9 bytes), time in seconds.
"""

import dataclasses
import enum
from collections.abc import Mapping

from magnoliaglade.configuration import CellLevel
from magnoliaglade.types import AccountId, JobId, RackId, WorkerId, ZoneId

# Largest time between the decision to evict for urgent work and the stop of
# the evicted gang; with it, urgent work starts within 3.2 s (design 1.4).
URGENT_CHECKPOINT_S = 2.0


class Adjacency(enum.Enum):
    """How close the tasks of a gang must be."""

    ANY = "any"
    ZONE = "zone"
    RACK = "rack"
    WORKER = "worker"


class Priority(enum.IntEnum):
    """Order of classes of work; a higher value goes first."""

    BATCH = 0
    NORMAL = 1
    URGENT = 2


class WorkerState(enum.Enum):
    """Whether a worker may get new tasks."""

    AVAILABLE = "available"
    PROBATION = "probation"
    QUARANTINED = "quarantined"
    LEAVING = "leaving"
    LOST = "lost"


class RefusalReason(enum.Enum):
    """Why a gang is not started."""

    NO_SHAPE = "no-shape"
    QUOTA = "quota"
    NO_CAPACITY = "no-capacity"
    ZONE_NOT_CONFIRMED = "zone-not-confirmed"
    RETRIES_EXHAUSTED = "retries-exhausted"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Shape:
    """Resources of one task."""

    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Gang:
    """A job: `tasks` equal tasks that run together or not at all.

    Attributes:
        job: id of the job.
        account: the client account that pays.
        tasks: number of tasks, 1 to 256 and more.
        shape: resources of each task as declared.
        adjacency: closeness asked for.
        priority: class of work.
        submitted_at_s: time of acceptance.
        deadline_s: time by which it should finish; None if there is none.
        declared_run_s: declared run time; often wrong.
        checkpointable: whether it can continue from a checkpoint.
        at_most_once: whether it must never be started a second time.
        attempt: number of the attempt, from 1.
        kind: label under which estimates are learned.
    """

    job: JobId
    account: AccountId
    tasks: int
    shape: Shape
    adjacency: Adjacency = Adjacency.ZONE
    priority: Priority = Priority.NORMAL
    submitted_at_s: float = 0.0
    deadline_s: float | None = None
    declared_run_s: float = 3600.0
    checkpointable: bool = True
    at_most_once: bool = False
    attempt: int = 1
    kind: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Worker:
    """A worker with its total resources."""

    worker: WorkerId
    zone: ZoneId
    rack: RackId
    shape: Shape
    state: WorkerState = WorkerState.AVAILABLE


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """Where a gang's tasks run.

    Attributes:
        job: id of the job.
        assignments: worker and number of tasks on it, by worker id.
        borrowed: whether it uses capacity beyond the account's guarantee, so
            that others' guarantees may evict it.
    """

    job: JobId
    assignments: tuple[tuple[WorkerId, int], ...]
    borrowed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunningGang:
    """A gang with its placement and start time."""

    gang: Gang
    placement: Placement
    started_at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GuaranteedCells:
    """Cells of one level that an account can always reclaim in one zone.

    Attributes:
        account: the guaranteed account.
        zone: zone of the cells.
        level: unit of a cell.
        count: number of cells.
        accelerators: accelerators per cell at level ACCELERATOR.
    """

    account: AccountId
    zone: ZoneId
    level: CellLevel
    count: int
    accelerators: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """A gang that is not started.

    Attributes:
        job: id of the job.
        reason: the cause.
        permanent: whether no change of load can lift it.
        detail: text for the submitter.
    """

    job: JobId
    reason: RefusalReason
    permanent: bool = False
    detail: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Eviction:
    """A running gang to checkpoint and stop, and the job it makes room for."""

    job: JobId
    beneficiary: JobId | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Workers kept free for a waiting gang until `until_s`."""

    job: JobId
    workers: frozenset[WorkerId]
    until_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClusterSnapshot:
    """Everything that a decision depends on.

    Attributes:
        now_s: time of the snapshot.
        workers: all known workers by id.
        running: gangs that hold resources, by job.
        pending: gangs that wait.
        guarantees: guaranteed cells bound to zones in service.
        startable_zones: zones in which starts are allowed now: in service and
            freshly confirmed.
        quotas: largest number of accelerators in use, by account.
        weights: fair-share weight by account; 1 if missing.
        expected_run_s: learned run time by job; the declared one if missing.
        exhausted: jobs that have failed too often to be started again.
        avoided: workers on which a job has failed lately, by job.
    """

    now_s: float
    workers: Mapping[WorkerId, Worker]
    running: Mapping[JobId, RunningGang]
    pending: tuple[Gang, ...]
    guarantees: tuple[GuaranteedCells, ...] = ()
    startable_zones: frozenset[ZoneId] = frozenset()
    quotas: Mapping[AccountId, int] = dataclasses.field(default_factory=dict)
    weights: Mapping[AccountId, float] = dataclasses.field(default_factory=dict)
    expected_run_s: Mapping[JobId, float] = dataclasses.field(
        default_factory=dict
    )
    exhausted: frozenset[JobId] = frozenset()
    avoided: Mapping[JobId, frozenset[WorkerId]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """What to do now, in this order: evictions, then starts."""

    starts: tuple[Placement, ...] = ()
    evictions: tuple[Eviction, ...] = ()
    reservations: tuple[Reservation, ...] = ()
    refusals: tuple[Refusal, ...] = ()
