"""Interface to the workers that run tasks, and to the list of them.

An adapter implements `WorkerClient` for one worker. Orders carry the epoch of
the coordinator; a worker ignores orders whose epoch is below the highest that
it has received. Lease times are on the worker's own clock, in milliseconds.
"""

import dataclasses
import enum
from collections.abc import Callable
from typing import Protocol

from magnoliaglade import exceptions
from magnoliaglade.jobs import Resources, RunOutcome
from magnoliaglade.types import (
    Epoch,
    Lifetime,
    RackId,
    ServiceName,
    WorkerId,
    ZoneId,
)

__all__ = [
    "FleetError",
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


MaySend = Callable[[], bool]


class FleetError(exceptions.MagnoliagladeError):
    """Base class of errors of calls to workers."""


class WorkerNotReachedError(FleetError):
    """The order was not sent; the worker has not received it."""


class OrderWithheldError(WorkerNotReachedError):
    """The sender's permission had expired; the order was not sent."""


class OrderOutcomeUnknownError(FleetError):
    """No answer arrived; the order may be executed, possibly later."""


class WorkerReplacedError(FleetError):
    """Another lifetime of the worker answered; the order was not executed."""


class WorkerFencedError(FleetError):
    """The worker has received a higher epoch; the order was not executed."""


class OrderOutcome(enum.Enum):
    """Result of an order, as returned by the worker.

    SUPERSEDED: the run number is not above that of a run that has ended on
    the worker. LEASE_EXPIRED: the lease of the order has ended. NO_CAPACITY:
    the worker lacks free capacity.
    """

    DONE = "done"
    SUPERSEDED = "superseded"
    LEASE_EXPIRED = "late"
    NO_CAPACITY = "no_room"
    FENCED = "fenced"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListedWorker:
    """A worker as given in the platform's list.

    Attributes:
        worker: id.
        lifetime: start of this lifetime; it differs after a restart under the
            same id.
        address: `host:port`.
        service: pool that the worker belongs to.
        zone: availability zone.
        rack: rack.
        labels: kind and rack.
        capacity: resources that its tasks may use in total.
        is_draining: whether it leaves soon and must get no new work.
        leaves_in_s: minimum time until it leaves, in seconds, if it is
            draining.
    """

    worker: WorkerId
    lifetime: Lifetime
    address: str
    service: ServiceName
    zone: ZoneId
    rack: RackId
    labels: frozenset[str]
    capacity: Resources
    is_draining: bool = False
    leaves_in_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunStatus:
    """A run that is on a worker.

    Attributes:
        task: name of the task.
        run: number of the run.
        checkpoint: last checkpoint, or "" if there is none.
        percent: percentage of the work that is done, or of the start-up if the
            task is long-running.
    """

    task: str
    run: int
    checkpoint: str
    percent: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunEnd:
    """The end of a run; `number` increases by one with each end on a worker."""

    number: int
    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerReport:
    """All runs on a worker, and ends that have not been acknowledged.

    Attributes:
        lifetime: the lifetime that answered.
        clock_ms: the worker's clock when it answered, in milliseconds.
        running: runs that use capacity.
        ended: ends in order of their numbers.
        is_complete: whether no further ends are pending.
    """

    lifetime: Lifetime
    clock_ms: int
    running: tuple[RunStatus, ...]
    ended: tuple[RunEnd, ...]
    is_complete: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartOrder:
    """An order to start a run under a lease."""

    task: str
    run: int
    payload: str
    lease_until_ms: int
    epoch: Epoch
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OrderReply:
    """A worker's answer to an order; `clock_ms` is 0 if it gave none."""

    outcome: OrderOutcome
    clock_ms: int = 0


def may_always_send() -> bool:
    """Returns True, for calls that need no permission."""
    return True


class WorkerClient(Protocol):
    """Calls to one worker; every method may raise a `FleetError`.

    `may_send` is called after the connection is established, with no await
    between its answer and the sending of the call; if it returns False,
    `OrderWithheldError` is raised.
    """

    async def poll(
        self,
        *,
        epoch: Epoch,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_s: float,
        may_send: MaySend = may_always_send,
    ) -> WorkerReport:
        """Renews the lease of all runs and returns a report of them.

        Args:
            epoch: epoch of the caller.
            acknowledged: number of the last end that is stored.
            lease_until_ms: new end of the lease on the worker's clock; None
                leaves it unchanged.
            wait_s: longest time to wait for an end, in seconds.
            may_send: permission for the call.
        """

    async def start(
        self, order: StartOrder, *, may_send: MaySend = may_always_send
    ) -> OrderReply:
        """Orders the start of a run."""

    async def stop(
        self,
        *,
        task: str,
        run: int,
        epoch: Epoch,
        may_send: MaySend = may_always_send,
    ) -> OrderReply:
        """Orders a run to stop; if it is not on the worker, it never starts."""

    async def close(self) -> None:
        """Closes the connections."""
