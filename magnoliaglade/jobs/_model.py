"""What callers ask for: jobs, steps and the capacity of a task."""

import dataclasses
import enum
from typing import NamedTuple

from magnoliaglade.types import AccountId, JobId, QueueName, ServiceName

# Times that a demand for nothing fits.
UNBOUNDED_COUNT = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Resources:
    """Capacity of a worker or demand of a task.

    Attributes:
        cores_m: thousandths of a processor core.
        memory_mb: memory in megabytes.
        accelerators: whole accelerators.
    """

    cores_m: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Returns the sum of each kind."""
        return Resources(
            cores_m=self.cores_m + other.cores_m,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Returns the difference of each kind, which may be negative."""
        return Resources(
            cores_m=self.cores_m - other.cores_m,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def fit_count(self, demand: "Resources") -> int:
        """Returns how many times `demand` fits, 0 if not at all."""
        count = UNBOUNDED_COUNT
        if demand.accelerators > 0:
            count = self.accelerators // demand.accelerators
        if demand.cores_m > 0:
            count = min(count, self.cores_m // demand.cores_m)
        if demand.memory_mb > 0:
            count = min(count, self.memory_mb // demand.memory_mb)
        return max(0, count)


class TaskKey(NamedTuple):
    """A task within its job: occurrence, step and index, each from 0."""

    occurrence: int
    step: int
    index: int


class StepKey(NamedTuple):
    """One run of a step: occurrence and step, each from 0."""

    occurrence: int
    step: int


class JobState(enum.Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job can change no more."""
        return self in _FINAL


_FINAL = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StepSpec:
    """One step of a job.

    Attributes:
        count: number of tasks.
        demand: capacity of each task.
        estimate_s: declared duration of a task in seconds; often wrong.
        after: numbers of the steps that must be complete first.
        is_gang: tasks work only together and end together.
        same_rack: on several racks the tasks take far longer.
        data_rack: rack near the data, or "".
        label: label that the worker must have, or "".
        max_per_worker: most tasks of the step on one worker; 0 for no limit.
        is_checkpointable: a later run resumes from the last checkpoint.
        is_long_running: tasks run until the job is cancelled.
    """

    count: int
    demand: Resources
    estimate_s: float
    after: tuple[int, ...] = ()
    is_gang: bool = False
    same_rack: bool = False
    data_rack: str = ""
    label: str = ""
    max_per_worker: int = 0
    is_checkpointable: bool = False
    is_long_running: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobSpec:
    """What a caller submits.

    Attributes:
        payload: text handed to each task unchanged.
        steps: the steps by number.
        repetitions: times the steps run; 0 stands for once, at once.
        start_at_s: due time of the first occurrence, seconds since 1970.
        interval_s: seconds between due times.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    start_at_s: float = 0.0
    interval_s: float = 0.0

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.repetitions)

    @property
    def is_timed(self) -> bool:
        """Whether occurrences wait for a due time."""
        return self.repetitions > 0

    def due_at_s(self, occurrence: int) -> float:
        """Returns the due time in seconds since 1970; 0 if not timed."""
        if not self.is_timed:
            return 0.0
        return self.start_at_s + occurrence * self.interval_s


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """An accepted job.

    Attributes:
        job: id chosen by the caller.
        account: client account that it belongs to.
        queue: route that accepted it.
        service: pool of workers that runs it.
        priority: 0 comes first and may preempt others.
        max_attempts: failed runs of a task, or gang, that fail the job.
        stretch: factor on the shortest run time in the objective.
        objective_s: seconds added to it.
        accepted_at_s: wall time of acceptance, seconds since 1970.
        spec: what was submitted.
    """

    job: JobId
    account: AccountId
    queue: QueueName
    service: ServiceName
    priority: int
    max_attempts: int
    stretch: float
    objective_s: float
    accepted_at_s: float
    spec: JobSpec

    def task_name(self, key: TaskKey) -> str:
        """Returns the name under which workers know a task."""
        return f"{self.job}.{key.occurrence}.{key.step}.{key.index}"

    def arrived_at_s(self, occurrence: int) -> float:
        """Returns when an occurrence may begin, seconds since 1970."""
        return max(self.accepted_at_s, self.spec.due_at_s(occurrence))

    def critical_path_s(self) -> float:
        """Returns the longest chain of declared step durations."""
        lengths: list[float] = []
        for step in self.spec.steps:
            before = max((lengths[i] for i in step.after), default=0.0)
            lengths.append(before + step.estimate_s)
        return max(lengths, default=0.0)

    def objective_at_s(self, occurrence: int) -> float:
        """Returns the time by which an occurrence should be complete."""
        allowed_s = self.stretch * self.critical_path_s() + self.objective_s
        return self.arrived_at_s(occurrence) + allowed_s


def parse_task_name(name: str) -> tuple[JobId, TaskKey] | None:
    """Returns job and task of a name that `Job.task_name` made."""
    parts = name.split(".")
    if len(parts) != 4 or not all(p.isdecimal() for p in parts[1:]):
        return None
    return JobId(parts[0]), TaskKey(*(int(p) for p in parts[1:]))
