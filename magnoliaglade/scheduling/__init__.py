"""Scheduling decisions as pure functions over a typed snapshot."""

from magnoliaglade.scheduling._cells import GuaranteeLedger, bind_guarantees
from magnoliaglade.scheduling._cells_policy import CellsPolicy
from magnoliaglade.scheduling._errors import InvalidPlanError, SchedulingError
from magnoliaglade.scheduling._estimators import (
    MemoryAction,
    MemoryEstimator,
    MemoryReport,
    Observation,
    QuantileEstimator,
    RunTimeEstimator,
    memory_action,
)
from magnoliaglade.scheduling._feasibility import feasible_zones
from magnoliaglade.scheduling._first_fit import FirstFitPolicy
from magnoliaglade.scheduling._model import (
    URGENT_CHECKPOINT_S,
    Adjacency,
    ClusterSnapshot,
    Eviction,
    Gang,
    GuaranteedCells,
    Placement,
    Plan,
    Priority,
    Refusal,
    RefusalReason,
    Reservation,
    RunningGang,
    Shape,
    Worker,
    WorkerState,
)
from magnoliaglade.scheduling._plan import apply_plan, decide
from magnoliaglade.scheduling._quarantine import (
    Quarantine,
    RetryVerdict,
    TaskOutcome,
)
from magnoliaglade.scheduling._zone_moves import (
    ZoneMove,
    plan_zone_removal,
    with_return_ramp,
)
from magnoliaglade.scheduling.base import Policy

__all__ = [
    "URGENT_CHECKPOINT_S",
    "Adjacency",
    "CellsPolicy",
    "ClusterSnapshot",
    "Eviction",
    "FirstFitPolicy",
    "Gang",
    "GuaranteeLedger",
    "GuaranteedCells",
    "InvalidPlanError",
    "MemoryAction",
    "MemoryEstimator",
    "MemoryReport",
    "Observation",
    "Placement",
    "Plan",
    "Policy",
    "Priority",
    "QuantileEstimator",
    "Quarantine",
    "Refusal",
    "RefusalReason",
    "Reservation",
    "RetryVerdict",
    "RunTimeEstimator",
    "RunningGang",
    "SchedulingError",
    "Shape",
    "TaskOutcome",
    "Worker",
    "WorkerState",
    "ZoneMove",
    "apply_plan",
    "bind_guarantees",
    "decide",
    "feasible_zones",
    "memory_action",
    "plan_zone_removal",
    "with_return_ramp",
]
