"""Sends orders to workers and handles their outcomes."""

import collections
import functools
from collections.abc import Callable

from magnoliaglade import clock as clock_lib
from magnoliaglade import fleet
from magnoliaglade.coordinator import _late_starts
from magnoliaglade.coordinator._dispatcher import OrderDispatcher, Urgency
from magnoliaglade.coordinator._link import WorkerLink
from magnoliaglade.coordinator._permission import Permission
from magnoliaglade.coordinator._starts import StartRequest, StartSender
from magnoliaglade.coordinator._stops import StopRequest, StopSender
from magnoliaglade.jobs import (
    Attempt,
    AttemptState,
    JobProgress,
    RunOutcome,
    StepKey,
    StopCause,
    TaskKey,
)
from magnoliaglade.types import Epoch, Lifetime, WorkerId

# Kinds of orders; each has a queue and limits of its own.
ORDER_KINDS = ("start", "stop")

_LEAST_URGENT = Urgency()


class OrderSender:
    """Queues start and stop orders and sends them within limits.

    Attributes:
        links: links by worker.
        clock: source of time.
        epoch: epoch of the coordinator.
        permission: whether orders may be sent.
        on_end: called with job, task, run and outcome when a run is known not
            to exist.
        on_fenced: called when a worker has received the epoch of a successor.
    """

    def __init__(
        self,
        *,
        links: dict[WorkerId, WorkerLink],
        clock: clock_lib.Clock,
        epoch: Epoch,
        permission: Permission,
        on_end: Callable[[JobProgress, TaskKey, int, RunOutcome], None],
        on_fenced: Callable[[WorkerLink], None],
    ) -> None:
        self.links = links
        self.clock = clock
        self.epoch = epoch
        self.permission = permission
        self.on_end = on_end
        self.on_fenced = on_fenced
        self._unanswered_starts = _late_starts.UnansweredStarts(clock=clock)
        self._starts = StartSender(
            links=links,
            clock=clock,
            epoch=epoch,
            permission=permission,
            unanswered_starts=self._unanswered_starts,
            on_end=on_end,
            on_unsent=self._end_unsent,
            on_fenced=on_fenced,
        )
        self._stops = StopSender(
            links=links,
            clock=clock,
            epoch=epoch,
            permission=permission,
            on_fenced=on_fenced,
        )
        self._unsent_ends: collections.deque[
            tuple[JobProgress, TaskKey, int, RunOutcome]
        ] = collections.deque()
        self._is_ending_unsent = False

    def in_flight(self) -> dict[str, int]:
        """Returns the number of orders in flight by kind."""
        return {d.kind: d.in_flight for d in self._dispatchers()}

    def queued(self) -> dict[str, int]:
        """Returns the number of orders that wait to be sent by kind."""
        return {d.kind: d.queued for d in self._dispatchers()}

    def send_start(
        self,
        progress: JobProgress,
        key: TaskKey,
        attempt: Attempt,
        *,
        may_send: fleet.MaySend = fleet.may_always_send,
        urgency: Urgency = _LEAST_URGENT,
    ) -> None:
        """Orders the start of a planned run that has been stored.

        Until its turn comes the run stays planned. If it ends before that, or
        its worker leaves, restarts or no longer responds, it is reported as
        lost.

        Args:
            progress: the job.
            key: the task.
            attempt: the planned run.
            may_send: returns whether the order may be sent; called together
                with the permission to start.
            urgency: rank among the waiting starts.
        """
        self._starts.submit(
            StartRequest(
                progress=progress,
                key=key,
                attempt=attempt,
                may_send=may_send,
                urgency=urgency,
            )
        )

    def send_stop(
        self,
        progress: JobProgress,
        key: TaskKey,
        attempt: Attempt,
        cause: StopCause,
        *,
        urgency: Urgency | None = None,
    ) -> None:
        """Orders a run to stop; repeats the order until it is answered.

        Args:
            progress: the job.
            key: the task.
            attempt: the run.
            cause: why it is stopped.
            urgency: rank among the waiting stops. By default, the stops of a
                job that has ended come last, and others have the priority of
                their job.
        """
        if attempt.stop_cause is None:
            attempt.stop_cause = cause
        run_key = _late_starts.run_key(progress, key, attempt)
        if self._starts.is_queued(run_key):
            self._starts.end_queued(run_key)
            return
        if attempt.state is AttemptState.PLANNED:
            self._end_unsent(progress, key, attempt, RunOutcome.STOPPED)
            return
        attempt.state = AttemptState.STOPPING
        if urgency is None:
            is_ended = cause is StopCause.JOB_ENDED
            urgency = Urgency() if is_ended else Urgency(progress.job.priority)
        self._stops.submit(
            StopRequest(
                run_key=run_key,
                urgency=urgency,
                is_due=functools.partial(
                    _late_starts.is_current, progress, key, attempt
                ),
                on_settled=functools.partial(self._settle, attempt),
                repeats=True,
            )
        )

    def stop_step_runs(
        self,
        progress: JobProgress,
        key: StepKey,
        index: int | None,
        cause: StopCause,
        *,
        urgency: Urgency | None = None,
    ) -> None:
        """Orders one run of a step to stop, or all runs if `index` is None."""
        step = progress.steps.get(key)
        if step is None:
            return
        for number, attempt in list(step.attempts()):
            if index is None or number == index:
                self.send_stop(
                    progress,
                    TaskKey(*key, number),
                    attempt,
                    cause,
                    urgency=urgency,
                )

    def stop_orphan(self, link: WorkerLink, *, task: str, run: int) -> None:
        """Orders a run to stop that is not expected on its worker."""
        self._stops.submit(
            StopRequest(
                run_key=(task, run, link.worker),
                urgency=_LEAST_URGENT,
                is_due=lambda: True,
                on_settled=lambda _: None,
            )
        )

    def void_late_starts(self, link: WorkerLink) -> None:
        """Stops runs that late orders may start on a restarted worker.

        A stop makes a late start order void, but only for the lifetime of the
        worker that answers the stop. Called after each report of a worker.
        Queued starts for an earlier lifetime are reported as lost.
        """
        self._starts.drop_unsendable(link.worker)
        for start in self._unanswered_starts.valid_starts(link.worker):
            if start.lifetime == link.lifetime or _late_starts.is_current(
                start.progress, start.key, start.attempt
            ):
                continue
            self._stops.submit(
                StopRequest(
                    run_key=_late_starts.run_key(
                        start.progress, start.key, start.attempt
                    ),
                    urgency=_LEAST_URGENT,
                    is_due=lambda: True,
                    on_settled=functools.partial(setattr, start, "lifetime"),
                )
            )

    def check_queues(self) -> None:
        """Reports queued starts that cannot be sent; sends what is due.

        Handles workers that leave or no longer respond, and permission that
        has returned. Called before each plan.
        """
        self._starts.check_queue()
        self._stops.dispatcher.pump()

    async def close(self) -> None:
        """Cancels all orders; reports queued starts as lost."""
        await self._stops.close()
        await self._starts.close()

    def _dispatchers(self) -> tuple[OrderDispatcher, OrderDispatcher]:
        return (self._starts.dispatcher, self._stops.dispatcher)

    def _settle(self, attempt: Attempt, lifetime: Lifetime) -> None:
        del lifetime
        attempt.settled_at_s = self.clock.now()

    def _end_unsent(
        self,
        progress: JobProgress,
        key: TaskKey,
        attempt: Attempt,
        outcome: RunOutcome,
    ) -> None:
        """Reports the end of a run that was not sent.

        The end of a member ends the other members of its gang. They are handled
        in a loop, since nested calls exceed the recursion limit with large
        gangs.
        """
        attempt.state = AttemptState.STOPPING
        self._unsent_ends.append((progress, key, attempt.run, outcome))
        if self._is_ending_unsent:
            return
        self._is_ending_unsent = True
        try:
            while self._unsent_ends:
                self.on_end(*self._unsent_ends.popleft())
        finally:
            self._is_ending_unsent = False
