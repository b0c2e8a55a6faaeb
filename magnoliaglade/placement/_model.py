"""Typed snapshot that placement decides on, and the plan that it returns.

All times are seconds on one clock of the caller's choice.
"""

import dataclasses
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
    """A step run of a job: what waits and is placed as one demand."""

    job: JobId
    step: StepKey


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A worker as placement sees it.

    Attributes:
        worker: id.
        service: pool.
        zone: availability zone.
        rack: rack.
        labels: kind and rack.
        capacity: all that its tasks may use.
        is_schedulable: it may be given tasks now.
        suspicion: 0 for a sound worker; a higher one is used later.
    """

    worker: WorkerId
    service: ServiceName
    zone: ZoneId
    rack: RackId
    labels: frozenset[str]
    capacity: Resources
    is_schedulable: bool
    suspicion: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Allocation:
    """Capacity that a run uses on a worker.

    Attributes:
        unit: the step run that it belongs to.
        index: index of the task.
        worker: the worker.
        demand: capacity that it uses.
        priority: priority of the job.
        account: client account of the job.
        is_protected: it runs within a guarantee and is never preempted.
        is_stopping: its capacity becomes free shortly.
        is_gang: stopping it breaks all runs of the unit.
        loss_s: work in seconds that a stop now would throw away.
        ends_at_s: when it is expected to end.
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Tasks of one step run that wait for workers.

    Attributes:
        unit: the step run.
        service: pool that may run it.
        indexes: the waiting tasks; a gang is placed whole or not at all.
        resources: capacity of each task.
        is_gang: the tasks are placed together.
        same_rack: they run far slower on several racks.
        data_rack: they run far slower off this rack; "" for none.
        label: label that the worker must have, or "".
        max_per_worker: most tasks of the step on one worker; 0 for no limit.
        excluded_workers: workers that must not be used, since a task failed
            there.
        priority: 0 comes first.
        account: client account.
        is_guaranteed: it is within the account's guarantee.
        arrived_at_s: when it could first have started.
        estimate_s: expected run time of a task near its data.
        latest_start_s: last start that still meets the objective.
        latest_useful_start_s: last start that is still worth something.
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """Room that was cleared for a unit and waits for stops.

    Attributes:
        unit: the step run.
        placement: pairs of index and worker.
        since_s: when the stops were ordered.
    """

    unit: UnitId
    placement: tuple[tuple[int, WorkerId], ...]
    since_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """Everything that a plan depends on.

    Attributes:
        now_s: time of the plan.
        candidates: workers.
        allocations: runs on them.
        demands: what waits.
        claims: claims that the last plan left.
        lost_core_s: work thrown away so far for a unit, in core-seconds.
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
    """Tasks of a unit to start, as pairs of index and worker."""

    unit: UnitId
    placement: tuple[tuple[int, WorkerId], ...]
    is_spread: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Preemption:
    """A run, or all runs of a gang, to stop in favour of another unit.

    Attributes:
        victim: step run of what is stopped.
        index: index of the task; None stands for the whole gang.
        beneficiary: what gets the room.
        is_guaranteed: it is within its account's guarantee.
    """

    victim: UnitId
    index: int | None
    beneficiary: UnitId
    is_guaranteed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """What to do now.

    Attributes:
        starts: tasks to start.
        preemptions: runs to stop.
        claims: claims to hand to the next plan.
        lost_core_s: work thrown away by this plan for a unit, in core-seconds.
        is_complete: every demand was considered to the end; otherwise another
            plan should be made soon.
    """

    starts: tuple[Start, ...] = ()
    preemptions: tuple[Preemption, ...] = ()
    claims: tuple[Claim, ...] = ()
    lost_core_s: Mapping[UnitId, float] = dataclasses.field(
        default_factory=dict
    )
    is_complete: bool = True
