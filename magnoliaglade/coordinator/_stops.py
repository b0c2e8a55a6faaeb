"""Sends stops: queued, sent within limits, repeated until answered."""

import asyncio
import dataclasses
import functools
from collections.abc import Callable

from magnoliaglade import clock as clock_lib
from magnoliaglade import fleet, observability
from magnoliaglade.coordinator._dispatcher import (
    Decision,
    OrderDispatcher,
    QueuedOrder,
    Urgency,
)
from magnoliaglade.coordinator._late_starts import RunKey
from magnoliaglade.coordinator._link import RETRY_DELAY_S, WorkerLink
from magnoliaglade.coordinator._permission import Permission
from magnoliaglade.fleet import OrderOutcome
from magnoliaglade.types import Epoch, Lifetime, WorkerId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopRequest:
    """A stop to send.

    Attributes:
        run_key: the run.
        urgency: rank among the waiting stops.
        is_due: returns whether the run still has to be stopped.
        on_settled: called once a worker has answered, with the lifetime that
            the stop was sent to.
        repeats: whether the stop is sent until it is answered.
    """

    run_key: RunKey
    urgency: Urgency
    is_due: Callable[[], bool]
    on_settled: Callable[[Lifetime], None]
    repeats: bool = False


class StopSender:
    """Queues stops, at most one for each run.

    Attributes:
        links: links by worker.
        clock: source of time.
        epoch: epoch of the coordinator.
        permission: whether orders may be sent; without it, stops stay queued.
        on_fenced: called when a worker has received the epoch of a successor.
        dispatcher: queue of the stops.
    """

    def __init__(
        self,
        *,
        links: dict[WorkerId, WorkerLink],
        clock: clock_lib.Clock,
        epoch: Epoch,
        permission: Permission,
        on_fenced: Callable[[WorkerLink], None],
    ) -> None:
        self.links = links
        self.clock = clock
        self.epoch = epoch
        self.permission = permission
        self.on_fenced = on_fenced
        self.dispatcher = OrderDispatcher(
            kind="stop", clock=clock, count_workers=links.__len__
        )
        self._stopping: set[RunKey] = set()
        self._retries: set[asyncio.Task[None]] = set()

    def submit(self, stop: StopRequest) -> None:
        """Queues a stop unless one of the run is queued or in flight."""
        if stop.run_key in self._stopping:
            return
        self._stopping.add(stop.run_key)
        self._enqueue(stop)

    async def close(self) -> None:
        """Cancels all stops."""
        for task in self._retries:
            task.cancel()
        await asyncio.gather(*self._retries, return_exceptions=True)
        await self.dispatcher.close()

    def _enqueue(self, stop: StopRequest) -> None:
        order = QueuedOrder(
            worker=stop.run_key[2],
            urgency=stop.urgency,
            decide=functools.partial(self._decide, stop),
            send=functools.partial(self._send, stop),
        )
        self.dispatcher.submit(order)

    def _decide(self, stop: StopRequest) -> Decision:
        if not stop.is_due():
            self._stopping.discard(stop.run_key)
            return Decision.DROP
        if not self.permission.may_send_orders():
            return Decision.HOLD
        return Decision.SEND

    async def _send(self, stop: StopRequest) -> bool | None:
        """Sends a stop; returns whether the worker has answered."""
        task, run, worker = stop.run_key
        link = self.links.get(worker)
        is_answered: bool | None = None
        is_settled = False
        if link is not None:
            lifetime = link.lifetime
            is_answered, is_settled = await self._try_stop(link, task, run)
            if is_settled:
                stop.on_settled(lifetime)
        if is_settled or not stop.repeats:
            self._stopping.discard(stop.run_key)
            return is_answered
        retry = asyncio.ensure_future(self._enqueue_later(stop))
        self._retries.add(retry)
        retry.add_done_callback(self._retries.discard)
        return is_answered

    async def _enqueue_later(self, stop: StopRequest) -> None:
        await self.clock.sleep(RETRY_DELAY_S)
        self._enqueue(stop)

    async def _try_stop(
        self, link: WorkerLink, task: str, run: int
    ) -> tuple[bool | None, bool]:
        """Returns whether the worker has answered and the run is stopped."""
        try:
            reply = await link.client.stop(
                task=task,
                run=run,
                epoch=self.epoch,
                may_send=self.permission.may_send_orders,
            )
        except fleet.OrderWithheldError:
            return None, False
        except Exception as error:
            # Catches every error: otherwise a run that must end would continue
            # unnoticed.
            observability.log_event(
                "stop",
                task=task,
                run=run,
                worker=link.worker,
                outcome=repr(error),
            )
            return isinstance(error, fleet.WorkerReplacedError), False
        if reply.outcome is not OrderOutcome.DONE:
            # The decision to stop and the end of the run have their own lines.
            observability.log_event(
                "stop",
                task=task,
                run=run,
                worker=link.worker,
                outcome=reply.outcome.value,
            )
        if reply.outcome is OrderOutcome.FENCED:
            self.on_fenced(link)
            return True, False
        return True, reply.outcome is not OrderOutcome.UNHEALTHY
