"""Snapshot that a plan is computed from, and the plan.

All times are in seconds on one clock, which the caller chooses.
"""

import dataclasses
import enum
from collections.abc import Mapping
from typing import NamedTuple

from magnoliaglade.jobs import Resources, StepKey
from magnoliaglade.types import (
    AccountId,
    JobId,
    RackId,
    ServiceName,
    WorkerId,
    ZoneId,
)


class UnitId(NamedTuple):
    """Identifies a unit of scheduling: one run of a step of a job."""

    job: JobId
    step: StepKey


class PlacementOption(enum.Enum):
    """How an urgent gang with a rack constraint gets its workers.

    Attributes:
        ON_RACK: on its rack at once.
        LATER: on its rack, after a wait for capacity.
        PREEMPTION: on its rack, after runs there were preempted.
        OFF_RACK: off its rack at once, or when stopping runs have ended.
        OFF_RACK_PREEMPTION: off its rack, after runs were preempted.
    """

    ON_RACK = "on-rack"
    LATER = "later"
    PREEMPTION = "preemption"
    OFF_RACK = "off-rack"
    OFF_RACK_PREEMPTION = "off-rack-preemption"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GangChoice:
    """The option that was taken for a gang, and why.

    Attributes:
        option: the option.
        reason: why it was taken.
        values: the options that were weighed, with the value of each for the
            caller as a ratio to a result on time, less its cost.
    """

    option: PlacementOption
    reason: str
    values: tuple[tuple[PlacementOption, float], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A worker, as input to a plan.

    Attributes:
        worker: id of the worker.
        service: pool that the worker belongs to.
        zone: availability zone.
        rack: rack.
        labels: kind and rack.
        capacity: total capacity for tasks, whether free or in use.
        is_schedulable: the worker may be given tasks now.
        suspicion: suspicion level, 0 for a healthy worker; workers with higher
            levels are used later.
        speed: estimated present speed; 1 for an average worker.
        lasting_speed: the part of it that lasts; 1 unless it is known with
            some certainty.
        is_overdue: an answer of the worker is overdue.
        is_quarantined: runs on the worker fail or stall; it is used only if
            this holds for most of the workers that a demand may use.
    """

    worker: WorkerId
    service: ServiceName
    zone: ZoneId
    rack: RackId
    labels: frozenset[str]
    capacity: Resources
    is_schedulable: bool
    suspicion: float = 0.0
    speed: float = 1.0
    lasting_speed: float = 1.0
    is_overdue: bool = False
    is_quarantined: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Allocation:
    """Capacity that a run holds on a worker.

    Attributes:
        unit: the step run that the task belongs to.
        index: index of the task.
        worker: the worker.
        demand: resources that the run uses.
        priority: priority of the job.
        account: client account of the job.
        is_protected: the run is within a guarantee and is never preempted.
        is_stopping: the run is stopping; its capacity becomes free shortly.
        is_gang: the run belongs to a gang; stopping it breaks all runs of the
            unit.
        loss_s: work, as run time in seconds, that a stop now would throw away.
        ends_at_s: expected time of the end; infinity for a run that lasts.
        latest_end_s: latest end with which the job still meets its objective;
            infinity if there is none.
        estimate_s: expected run time of the task as a whole.
    """

    unit: UnitId
    index: int
    worker: WorkerId
    demand: Resources
    priority: int
    account: AccountId
    is_protected: bool
    is_stopping: bool
    is_gang: bool
    loss_s: float
    ends_at_s: float
    latest_end_s: float = float("inf")
    estimate_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Tasks of one step run that wait for workers.

    Attributes:
        unit: the step run.
        service: pool whose workers may run it.
        indexes: indexes of the waiting tasks; a gang is placed as a whole or
            not at all.
        resources: resources of each task.
        is_gang: the tasks are placed together.
        same_rack: the tasks are far slower on more than one rack.
        data_rack: rack off which the tasks are far slower; "" for none.
        label: label that the worker must have; "" for none.
        max_per_worker: limit on tasks of the step per worker; 0 for no limit.
        excluded_workers: workers that must not be used now, for example since
            a task failed there; see `excluded_workers`.
        priority: 0 is the highest.
        account: client account of the job.
        is_guaranteed: the demand is within the account's guarantee.
        arrived_at_s: earliest time at which it could have started.
        estimate_s: expected run time of a task near its data.
        latest_start_s: latest start that still meets the objective.
        latest_useful_start_s: latest start at which the result is still worth
            something.
        has_begun: a run of the job has begun before.
        value: value of the tasks if they are on time, relative to an average
            job of the queue.
    """

    unit: UnitId
    service: ServiceName
    indexes: tuple[int, ...]
    resources: Resources
    is_gang: bool
    same_rack: bool
    data_rack: str
    label: str
    max_per_worker: int
    excluded_workers: frozenset[WorkerId]
    priority: int
    account: AccountId
    is_guaranteed: bool
    arrived_at_s: float
    estimate_s: float
    latest_start_s: float
    latest_useful_start_s: float
    has_begun: bool = False
    value: float = 1.0

    @property
    def has_rack(self) -> bool:
        """Whether the tasks are far slower off a rack."""
        return self.same_rack or bool(self.data_rack)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """Capacity that is held for a unit while preempted runs stop.

    Attributes:
        unit: the step run.
        placement: pairs of task index and worker.
        ordered_at_s: when the stops were ordered, or the wait began.
        choice: the option that was taken, for a gang with a rack constraint.
        is_wait: the gang waits for runs that end by themselves. The placement
            is chosen again by each plan.
    """

    unit: UnitId
    placement: tuple[tuple[int, WorkerId], ...]
    ordered_at_s: float
    choice: GangChoice | None = None
    is_wait: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """State that a plan is computed from.

    Attributes:
        now_s: time of the plan.
        candidates: workers.
        allocations: allocations of the runs on the workers.
        demands: waiting demands.
        claims: claims of the previous plan.
        lost_core_s: work thrown away so far in favour of each unit, in
            core-seconds.
    """

    now_s: float
    candidates: tuple[Candidate, ...]
    allocations: tuple[Allocation, ...]
    demands: tuple[Demand, ...]
    claims: tuple[Claim, ...] = ()
    lost_core_s: Mapping[UnitId, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Start:
    """Tasks of a unit to start.

    Attributes:
        unit: the step run.
        placement: pairs of task index and worker.
        is_spread: the tasks are a gang and run on more than one rack.
        choice: the option that was taken, for an urgent gang with a rack
            constraint.
    """

    unit: UnitId
    placement: tuple[tuple[int, WorkerId], ...]
    is_spread: bool = False
    choice: GangChoice | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Preemption:
    """A run, or all runs of a gang, to stop in favour of another unit.

    Attributes:
        victim: step run to stop.
        index: index of the task; None for a whole gang.
        beneficiary: step run that gets the capacity.
        is_guaranteed: the beneficiary is within its account's guarantee.
    """

    victim: UnitId
    index: int | None
    beneficiary: UnitId
    is_guaranteed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """Decisions of one planning pass.

    Attributes:
        starts: tasks to start.
        preemptions: runs to stop.
        claims: claims to pass to the next plan.
        lost_core_s: work that this plan throws away in favour of each unit, in
            core-seconds.
        is_complete: every demand was considered in full; otherwise another
            plan should be made soon.
        deferred: units that could be on time alone, but not together with
            others of their priority that are worth more.
    """

    starts: tuple[Start, ...] = ()
    preemptions: tuple[Preemption, ...] = ()
    claims: tuple[Claim, ...] = ()
    lost_core_s: Mapping[UnitId, float] = dataclasses.field(
        default_factory=dict
    )
    is_complete: bool = True
    deferred: frozenset[UnitId] = frozenset()
