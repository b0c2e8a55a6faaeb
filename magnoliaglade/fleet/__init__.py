"""Workers that run tasks: interface, reports and lease bounds."""

from magnoliaglade.fleet._lease import CLOCK_DRIFT, LeaseBound, Offer
from magnoliaglade.fleet.base import (
    FleetError,
    ListedWorker,
    OrderOutcome,
    OrderReply,
    OrderUnknownError,
    RunEnd,
    RunStatus,
    StartOrder,
    WorkerClient,
    WorkerFencedError,
    WorkerNotReachedError,
    WorkerReplacedError,
    WorkerReport,
)

__all__ = [
    "CLOCK_DRIFT",
    "FleetError",
    "LeaseBound",
    "ListedWorker",
    "Offer",
    "OrderOutcome",
    "OrderReply",
    "OrderUnknownError",
    "RunEnd",
    "RunStatus",
    "StartOrder",
    "WorkerClient",
    "WorkerFencedError",
    "WorkerNotReachedError",
    "WorkerReplacedError",
    "WorkerReport",
]
