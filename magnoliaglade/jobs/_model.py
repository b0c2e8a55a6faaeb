"""Jobs and their steps as submitted, and the resources of a task."""

import dataclasses
import enum
from collections.abc import Sequence
from typing import NamedTuple

from magnoliaglade.types import AccountId, JobId, QueueName, ServiceName

# Number of times that a demand for no resources fits.
UNBOUNDED_COUNT = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Resources:
    """Capacity of a worker, or resources that a task requires.

    Attributes:
        cores_m: thousandths of a processor core.
        memory_mb: memory in megabytes.
        accelerators: whole accelerators.
    """

    cores_m: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Returns the sum for each kind of resource."""
        return Resources(
            cores_m=self.cores_m + other.cores_m,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Returns the difference for each kind, which may be negative."""
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
    """Identifies a task within its job; all numbers count from 0."""

    occurrence: int
    step: int
    index: int


class StepKey(NamedTuple):
    """Identifies one run of a step within its job; numbers count from 0."""

    occurrence: int
    step: int


class JobState(enum.Enum):
    """State of a job as reported to clients."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self in _FINAL_STATES


_FINAL_STATES = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StepSpec:
    """One step of a job.

    Attributes:
        count: number of tasks.
        demand: resources of each task.
        estimate_s: declared duration of a task in seconds; often wrong.
        after: numbers of the steps that must be complete first.
        is_gang: whether the tasks only run all together, and end together.
        same_rack: whether the tasks take far longer on more than one rack.
        data_rack: rack near the data; "" for none.
        label: label that the worker must have; "" for none.
        max_per_worker: limit on tasks of the step per worker; 0 for no limit.
        is_checkpointable: whether a later run resumes from the last checkpoint.
        is_long_running: whether tasks run until the job is cancelled.
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
    """A job as submitted by a client.

    Attributes:
        payload: text passed unchanged to each task.
        steps: the steps; their positions are their numbers.
        repetitions: how many times the steps run; 0 for once, immediately.
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
        """How many times the steps run."""
        return max(1, self.repetitions)

    @property
    def is_timed(self) -> bool:
        """Whether each occurrence waits for its due time."""
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
        job: id chosen by the client.
        account: client account that the job belongs to.
        queue: queue that accepted the job.
        service: pool of workers that runs the job.
        priority: 0 is the highest and may preempt others.
        max_attempts: number of failed runs of a task, or of a gang, at which
            the job fails.
        stretch: factor on the critical path in the objective.
        objective_s: seconds added to that product.
        accepted_at_s: wall time of acceptance, seconds since 1970.
        spec: the job as submitted.
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
        """Returns the name that identifies a task to workers."""
        return f"{self.job}.{key.occurrence}.{key.step}.{key.index}"

    def arrived_at_s(self, occurrence: int) -> float:
        """Returns when an occurrence may start, seconds since 1970."""
        return max(self.accepted_at_s, self.spec.due_at_s(occurrence))

    def chain_lengths_s(self, run_times_s: Sequence[float]) -> list[float]:
        """Returns the length of the longest chain that begins with each step.

        Args:
            run_times_s: expected run time of a task of each step, in seconds.
        """
        lengths_s = list(run_times_s)
        # `after` only refers to earlier steps.
        for number in range(len(lengths_s) - 1, 0, -1):
            for earlier in self.spec.steps[number].after:
                lengths_s[earlier] = max(
                    lengths_s[earlier],
                    run_times_s[earlier] + lengths_s[number],
                )
        return lengths_s

    def objective_at_s(
        self, occurrence: int, chain_lengths_s: Sequence[float]
    ) -> float:
        """Returns when an occurrence should be complete, seconds since 1970.

        The objective is `stretch` times the critical path, plus `objective_s`,
        after the time at which the occurrence may start.

        Args:
            occurrence: number of the occurrence.
            chain_lengths_s: lengths from `chain_lengths_s`, in seconds.
        """
        critical_path_s = max(chain_lengths_s, default=0.0)
        allowed_s = self.stretch * critical_path_s + self.objective_s
        return self.arrived_at_s(occurrence) + allowed_s


def parse_task_name(name: str) -> tuple[JobId, TaskKey] | None:
    """Returns job and task of a name from `Job.task_name`, else None."""
    parts = name.split(".")
    if len(parts) != 4 or not all(p.isdecimal() for p in parts[1:]):
        return None
    return JobId(parts[0]), TaskKey(*(int(p) for p in parts[1:]))
