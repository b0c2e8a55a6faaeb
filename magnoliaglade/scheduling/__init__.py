"""Scheduling decisions as pure functions over a typed snapshot."""

from magnoliaglade.scheduling._model import (
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

__all__ = [
    "Adjacency",
    "ClusterSnapshot",
    "Eviction",
    "Gang",
    "GuaranteedCells",
    "Placement",
    "Plan",
    "Priority",
    "Refusal",
    "RefusalReason",
    "Reservation",
    "RunningGang",
    "Shape",
    "Worker",
    "WorkerState",
]
