"""Sends starts: queued, sent within limits, repeated if unanswered."""

import asyncio
import dataclasses
import functools
from collections.abc import Callable

from magnoliaglade import clock as clock_lib
from magnoliaglade import fleet, observability
from magnoliaglade.coordinator import _late_starts
from magnoliaglade.coordinator._dispatcher import (
    MAX_STEP_ORDERS,
    Decision,
    OrderDispatcher,
    QueuedOrder,
    Urgency,
)
from magnoliaglade.coordinator._link import WorkerLink
from magnoliaglade.coordinator._permission import Permission
from magnoliaglade.fleet import OrderOutcome
from magnoliaglade.jobs import (
    Attempt,
    AttemptState,
    JobProgress,
    LossCause,
    RunOutcome,
    StepKey,
    TaskKey,
)
from magnoliaglade.types import Epoch, WorkerId

# Outcomes of a start after which the run certainly does not exist.
_NOT_STARTED = frozenset(
    {
        OrderOutcome.LEASE_EXPIRED,
        OrderOutcome.NO_CAPACITY,
        OrderOutcome.INVALID,
        OrderOutcome.UNHEALTHY,
    }
)


# Number of times that an unanswered start order is sent. With the timeout of a
# call, all of them stay well below the time for which a gang waits for its
# members.
MAX_START_CALLS = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartRequest:
    """A start to send.

    Attributes:
        progress: the job.
        key: the task.
        attempt: the planned run.
        may_send: returns whether the order may be sent.
        urgency: rank among the waiting starts.
    """

    progress: JobProgress
    key: TaskKey
    attempt: Attempt
    may_send: fleet.MaySend
    urgency: Urgency

    @property
    def run_key(self) -> _late_starts.RunKey:
        """Name of the task, number of the run, and worker."""
        return _late_starts.run_key(self.progress, self.key, self.attempt)

    @property
    def is_current(self) -> bool:
        """Whether the run has not ended."""
        return _late_starts.is_current(self.progress, self.key, self.attempt)

    @property
    def gang(self) -> str:
        """Identifies the run of a gang; "" if the task is in none."""
        step = StepKey(self.key.occurrence, self.key.step)
        if not self.progress.spec_of(step).is_gang:
            return ""
        return f"{self.progress.job.job}.{step}.{self.attempt.run}"


class StartSender:
    """Queues starts; a run is on its worker only once its turn has come.

    Permission and lease of a start are taken when it is sent.

    Attributes:
        links: links by worker.
        clock: source of time.
        epoch: epoch of the coordinator.
        permission: whether orders may be sent.
        unanswered_starts: starts that workers may execute late.
        on_end: called with job, task, run and outcome when a run is known not
            to exist.
        on_unsent: called with job, task, run and outcome when a queued start is
            not sent.
        on_fenced: called when a worker has received the epoch of a successor.
        dispatcher: queue of the starts.
    """

    def __init__(
        self,
        *,
        links: dict[WorkerId, WorkerLink],
        clock: clock_lib.Clock,
        epoch: Epoch,
        permission: Permission,
        unanswered_starts: _late_starts.UnansweredStarts,
        on_end: Callable[[JobProgress, TaskKey, int, RunOutcome], None],
        on_unsent: Callable[[JobProgress, TaskKey, Attempt, RunOutcome], None],
        on_fenced: Callable[[WorkerLink], None],
    ) -> None:
        self.links = links
        self.clock = clock
        self.epoch = epoch
        self.permission = permission
        self.unanswered_starts = unanswered_starts
        self.on_end = on_end
        self.on_unsent = on_unsent
        self.on_fenced = on_fenced
        self.dispatcher = OrderDispatcher(
            kind="start", clock=clock, count_workers=links.__len__
        )
        self._queued: dict[
            _late_starts.RunKey, tuple[StartRequest, QueuedOrder]
        ] = {}
        self._by_worker: dict[WorkerId, set[_late_starts.RunKey]] = {}

    def submit(self, start: StartRequest) -> None:
        """Queues a start, or sends it at once if a slot is free."""
        order = QueuedOrder(
            worker=start.attempt.worker,
            urgency=start.urgency,
            group=start.gang,
            decide=functools.partial(self._decide, start),
            send=functools.partial(self._start, start),
        )
        run_key = start.run_key
        self._queued[run_key] = (start, order)
        self._by_worker.setdefault(order.worker, set()).add(run_key)
        self.dispatcher.submit(order)

    def is_queued(self, run_key: _late_starts.RunKey) -> bool:
        """Returns whether the start of a run waits to be sent."""
        return run_key in self._queued

    def end_queued(self, run_key: _late_starts.RunKey) -> None:
        """Removes a queued start, and reports its run as lost."""
        start, order = self._pop_queued(run_key)
        self.dispatcher.drop(order)
        start.attempt.loss_cause = LossCause.NOT_SENT
        self.on_unsent(
            start.progress, start.key, start.attempt, RunOutcome.LOST
        )

    def drop_unsendable(self, worker: WorkerId) -> None:
        """Ends queued starts for a worker that cannot take them."""
        link = self.links.get(worker)
        can_take = (
            link is not None
            and link.is_listed
            and link.is_responsive
            and not link.listed.is_draining
        )
        lifetime = link.lifetime if link and can_take else None
        for run_key in list(self._by_worker.get(worker, ())):
            # The end of a member may have ended others of its gang.
            start, _ = self._queued.get(run_key, (None, None))
            if start and start.attempt.lifetime != lifetime:
                self.end_queued(run_key)

    def check_queue(self) -> None:
        """Ends queued starts that cannot be sent, and sends what is due."""
        for worker in list(self._by_worker):
            self.drop_unsendable(worker)
        self.dispatcher.pump()

    async def close(self) -> None:
        """Cancels all starts in flight; ends the queued ones."""
        await self.dispatcher.close()
        for number, run_key in enumerate(list(self._queued)):
            if run_key in self._queued:
                self.end_queued(run_key)
            if number % MAX_STEP_ORDERS == 0:
                await asyncio.sleep(0)

    def _pop_queued(
        self, run_key: _late_starts.RunKey
    ) -> tuple[StartRequest, QueuedOrder]:
        start, order = self._queued.pop(run_key)
        queued = self._by_worker[order.worker]
        queued.discard(run_key)
        if not queued:
            del self._by_worker[order.worker]
        return start, order

    def _decide(self, start: StartRequest) -> Decision:
        if not start.is_current:
            self._pop_queued(start.run_key)
            return Decision.DROP
        link = self.links.get(start.attempt.worker)
        if (
            link is None
            or link.lifetime != start.attempt.lifetime
            or not self.permission.may_start()
            or not start.may_send()
        ):
            self.end_queued(start.run_key)
            return Decision.DROP
        self._pop_queued(start.run_key)
        # From here on the end of the run has to be confirmed by the worker.
        start.attempt.state = AttemptState.SENT
        return Decision.SEND

    async def _start(self, start: StartRequest) -> bool | None:
        """Sends a start; returns whether the worker has answered."""
        attempt = start.attempt
        link = self.links.get(attempt.worker)
        if link is None or link.lifetime != attempt.lifetime:
            self._end_lost_run(start, LossCause.NOT_SENT)
            return None
        lifetime = link.lifetime
        try:
            reply = await self._request_start(start, link)
        except fleet.OrderWithheldError:
            self._end_lost_run(start, LossCause.NOT_SENT)
            return None
        except (
            fleet.WorkerNotReachedError,
            fleet.WorkerReplacedError,
        ) as error:
            link.start_cooldown()
            self._log_start(start, repr(error))
            self._end_lost_run(start, LossCause.NOT_SENT)
            return isinstance(error, fleet.WorkerReplacedError)
        except Exception as error:
            # Unexpected errors are handled like missing answers; otherwise the
            # run would stay unsettled forever.
            link.start_cooldown()
            self._log_start(start, repr(error))
            unanswered = self.unanswered_starts.record(
                start.progress, start.key, attempt, lifetime=lifetime
            )
            self._end_unanswered_call(start, unanswered, link, calls=1)
            return False
        self._handle_start_reply(start, link, reply)
        return True

    def _end_unanswered_call(
        self,
        start: StartRequest,
        unanswered: _late_starts.UnansweredStart,
        link: WorkerLink,
        *,
        calls: int,
    ) -> None:
        """Queues an unanswered start again, up to `MAX_START_CALLS` calls.

        Handles workers that leave orders unanswered: the other members of a
        gang wait for the missing one, and all of them end without it. The order
        starts the run at most once, since it names the run. Only a confirmation
        settles the run, as an earlier call may still take effect.
        """
        self.unanswered_starts.extend(unanswered)
        # The next report shows whether the run exists, unless the order is sent
        # again before.
        start.attempt.call_ended_at_s = self.clock.now()
        if calls >= MAX_START_CALLS:
            return
        order = QueuedOrder(
            worker=link.worker,
            urgency=start.urgency,
            group=start.gang,
            decide=functools.partial(self._decide_repeat, start, link),
            send=functools.partial(
                self._repeat_start, start, unanswered, link, calls=calls + 1
            ),
        )
        self.dispatcher.submit(order)

    def _decide_repeat(self, start: StartRequest, link: WorkerLink) -> Decision:
        is_waiting = (
            start.is_current
            and start.attempt.state is AttemptState.SENT
            and link.lifetime == start.attempt.lifetime
        )
        if not is_waiting:
            return Decision.DROP
        start.attempt.call_ended_at_s = float("inf")
        return Decision.SEND

    async def _repeat_start(
        self,
        start: StartRequest,
        unanswered: _late_starts.UnansweredStart,
        link: WorkerLink,
        *,
        calls: int,
    ) -> bool | None:
        """Sends an unanswered start again; returns whether it is answered."""
        is_answered: bool | None = False
        try:
            reply = await self._request_start(start, link)
        except Exception as error:
            self._log_start(start, repr(error))
            if isinstance(error, fleet.OrderWithheldError):
                is_answered = None
        else:
            is_answered = True
            self._log_start(start, reply.outcome.value)
            if reply.outcome in (OrderOutcome.DONE, OrderOutcome.FENCED):
                self._handle_start_reply(start, link, reply)
                calls = MAX_START_CALLS
        self._end_unanswered_call(start, unanswered, link, calls=calls)
        return is_answered

    async def _request_start(
        self, start: StartRequest, link: WorkerLink
    ) -> fleet.OrderReply:
        progress = start.progress
        async with link.offered_lease() as until_ms:
            if until_ms is None:
                raise fleet.WorkerNotReachedError(
                    "the worker's clock is unknown"
                )
            order = fleet.StartOrder(
                task=progress.job.task_name(start.key),
                run=start.attempt.run,
                payload=progress.job.spec.payload,
                lease_until_ms=until_ms,
                epoch=self.epoch,
                checkpoint=progress.checkpoint_of(start.key),
            )
            return await link.client.start(
                order,
                may_send=lambda: (
                    self.permission.may_start() and start.may_send()
                ),
            )

    def _handle_start_reply(
        self, start: StartRequest, link: WorkerLink, reply: fleet.OrderReply
    ) -> None:
        if reply.outcome is not OrderOutcome.DONE:
            # Successful starts are covered by the log line of the placement.
            self._log_start(start, reply.outcome.value)
        if reply.outcome is OrderOutcome.FENCED:
            self.on_fenced(link)
            return
        start.attempt.settled_at_s = self.clock.now()
        if reply.outcome in _NOT_STARTED:
            link.start_cooldown()
            self._end_lost_run(start, LossCause.REFUSED)
        elif reply.outcome is OrderOutcome.DONE:
            start.progress.confirm_start(start.attempt)

    def _end_lost_run(self, start: StartRequest, cause: LossCause) -> None:
        start.attempt.loss_cause = cause
        self.on_end(
            start.progress, start.key, start.attempt.run, RunOutcome.LOST
        )

    def _log_start(self, start: StartRequest, outcome: str) -> None:
        progress, attempt = start.progress, start.attempt
        observability.log_event(
            "start",
            task=progress.job.task_name(start.key),
            run=attempt.run,
            worker=attempt.worker,
            outcome=outcome,
            epoch=self.epoch,
            has_checkpoint=bool(progress.checkpoint_of(start.key)),
        )
