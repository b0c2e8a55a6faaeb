"""Workers that run tasks: interface, reports and lease bounds."""

from magnoliaglade.fleet._lease import CLOCK_DRIFT, LeaseBound, LeaseOffer
from magnoliaglade.fleet.base import (
    FleetError,
    ListedWorker,
    MaySend,
    OrderOutcome,
    OrderOutcomeUnknownError,
    OrderReply,
    OrderWithheldError,
    RunEnd,
    RunStatus,
    StartOrder,
    WorkerClient,
    WorkerFencedError,
    WorkerNotReachedError,
    WorkerReplacedError,
    WorkerReport,
    may_always_send,
)

__all__ = [
    "CLOCK_DRIFT",
    "FleetError",
    "LeaseBound",
    "LeaseOffer",
    "ListedWorker",
    "MaySend",
    "OrderOutcome",
    "OrderOutcomeUnknownError",
    "OrderReply",
    "OrderWithheldError",
    "RunEnd",
    "RunStatus",
    "StartOrder",
    "WorkerClient",
    "WorkerFencedError",
    "WorkerNotReachedError",
    "WorkerReplacedError",
    "WorkerReport",
    "may_always_send",
]
