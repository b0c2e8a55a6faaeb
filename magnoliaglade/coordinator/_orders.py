"""Sends orders to workers and notes what became of them."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from magnoliaglade import clock as clock_lib
from magnoliaglade import fleet, observability
from magnoliaglade.coordinator._link import RETRY_S, WorkerLink
from magnoliaglade.coordinator._permission import Permission
from magnoliaglade.fleet import OrderOutcome
from magnoliaglade.jobs import (
    Attempt,
    AttemptState,
    JobProgress,
    RunOutcome,
    StepKey,
    StopCause,
    TaskKey,
)
from magnoliaglade.types import Epoch, WorkerId

# Outcomes of a start after which the run is surely not there.
_NOT_STARTED = frozenset(
    {
        OrderOutcome.LATE,
        OrderOutcome.NO_ROOM,
        OrderOutcome.INVALID,
        OrderOutcome.UNHEALTHY,
    }
)


class OrderSender:
    """Sends starts and stops; each runs as a task of its own.

    Attributes:
        links: links by worker.
        clock: source of time.
        epoch: epoch of the coordinator.
        permission: whether orders may be sent.
        on_end: called with job, task, run and outcome when a run is known not
            to exist.
        on_fenced: called when a worker obeys a later coordinator.
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
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping: set[tuple[str, int, WorkerId]] = set()

    def send_start(
        self,
        progress: JobProgress,
        key: TaskKey,
        attempt: Attempt,
        *,
        may_send: fleet.MaySend = fleet.may_always_send,
    ) -> None:
        """Orders the start of a planned run that is stored.

        Args:
            progress: the job.
            key: the task.
            attempt: the planned run.
            may_send: asked together with the permission to start.
        """
        # From here on only the worker's word ends the run.
        attempt.state = AttemptState.SENT
        self._spawn(self._start(progress, key, attempt, may_send))

    def send_stop(
        self,
        progress: JobProgress,
        key: TaskKey,
        attempt: Attempt,
        cause: StopCause,
    ) -> None:
        """Orders a run to stop until the worker has answered."""
        if attempt.stop_cause is None:
            attempt.stop_cause = cause
        if attempt.state is AttemptState.PLANNED:
            self.on_end(progress, key, attempt.run, RunOutcome.STOPPED)
            return
        attempt.state = AttemptState.STOPPING
        task = progress.job.task_name(key)
        mark = (task, attempt.run, attempt.worker)
        if mark not in self._stopping:
            self._stopping.add(mark)
            self._spawn(self._stop(progress, key, attempt, mark))

    def stop_unit(
        self,
        progress: JobProgress,
        key: StepKey,
        index: int | None,
        cause: StopCause,
    ) -> None:
        """Orders one run of a step to stop, or all if `index` is None."""
        step = progress.steps.get(key)
        if step is None:
            return
        for number, attempt in list(step.attempts()):
            if index is None or number == index:
                self.send_stop(progress, TaskKey(*key, number), attempt, cause)

    def stop_stray(self, link: WorkerLink, *, task: str, run: int) -> None:
        """Orders a run to stop that nobody expects."""
        mark = (task, run, link.worker)
        if mark not in self._stopping:
            self._stopping.add(mark)
            self._spawn(self._stop_stray(link, task, run, mark))

    async def close(self) -> None:
        """Abandons all orders in flight."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start(
        self,
        progress: JobProgress,
        key: TaskKey,
        attempt: Attempt,
        may_send: fleet.MaySend,
    ) -> None:
        link = self.links.get(attempt.worker)
        if link is None or link.lifetime != attempt.lifetime:
            self.on_end(progress, key, attempt.run, RunOutcome.LOST)
            return
        try:
            reply = await self._order_start(
                progress, key, attempt, link, may_send
            )
        except fleet.OrderWithheldError:
            self.on_end(progress, key, attempt.run, RunOutcome.LOST)
        except (
            fleet.WorkerNotReachedError,
            fleet.WorkerReplacedError,
        ) as error:
            link.cool_down()
            self._log_start(progress, key, attempt, repr(error))
            self.on_end(progress, key, attempt.run, RunOutcome.LOST)
        except Exception as error:
            # The next report tells whether the run is there. Errors that are
            # not foreseen are treated in the same way, or the run would stay
            # unsettled for ever.
            attempt.call_ended_at_s = self.clock.now()
            link.cool_down()
            self._log_start(progress, key, attempt, repr(error))
        else:
            self._note_start(progress, key, attempt, link, reply)

    async def _order_start(
        self,
        progress: JobProgress,
        key: TaskKey,
        attempt: Attempt,
        link: WorkerLink,
        may_send: fleet.MaySend,
    ) -> fleet.OrderReply:
        async with link.offered_lease() as until_ms:
            if until_ms is None:
                raise fleet.WorkerNotReachedError("its clock is unknown")
            order = fleet.StartOrder(
                task=progress.job.task_name(key),
                run=attempt.run,
                payload=progress.job.spec.payload,
                lease_until_ms=until_ms,
                epoch=self.epoch,
                checkpoint=progress.checkpoint_of(key),
            )
            return await link.client.start(
                order,
                may_send=lambda: self.permission.may_start() and may_send(),
            )

    def _note_start(
        self,
        progress: JobProgress,
        key: TaskKey,
        attempt: Attempt,
        link: WorkerLink,
        reply: fleet.OrderReply,
    ) -> None:
        if reply.outcome is not OrderOutcome.DONE:
            # What is started is in the line on the placement.
            self._log_start(progress, key, attempt, reply.outcome.value)
        if reply.outcome is OrderOutcome.FENCED:
            self.on_fenced(link)
            return
        attempt.settled_at_s = self.clock.now()
        if reply.outcome in _NOT_STARTED:
            link.cool_down()
            self.on_end(progress, key, attempt.run, RunOutcome.LOST)
        elif (
            reply.outcome is OrderOutcome.DONE
            and attempt.state is AttemptState.SENT
        ):
            attempt.state = AttemptState.RUNNING

    def _log_start(
        self,
        progress: JobProgress,
        key: TaskKey,
        attempt: Attempt,
        outcome: str,
    ) -> None:
        observability.log_event(
            "start",
            task=progress.job.task_name(key),
            run=attempt.run,
            worker=attempt.worker,
            outcome=outcome,
            epoch=self.epoch,
            has_checkpoint=bool(progress.checkpoint_of(key)),
        )

    async def _stop(
        self,
        progress: JobProgress,
        key: TaskKey,
        attempt: Attempt,
        mark: tuple[str, int, WorkerId],
    ) -> None:
        """Repeats a stop until it is answered or the run has ended."""
        try:
            while _is_current(progress, key, attempt):
                link = self.links.get(attempt.worker)
                if link and await self._try_stop(link, *mark[:2]):
                    attempt.settled_at_s = self.clock.now()
                    return
                await self.clock.sleep(RETRY_S)
        finally:
            self._stopping.discard(mark)

    async def _stop_stray(
        self,
        link: WorkerLink,
        task: str,
        run: int,
        mark: tuple[str, int, WorkerId],
    ) -> None:
        try:
            await self._try_stop(link, task, run)
        finally:
            self._stopping.discard(mark)

    async def _try_stop(self, link: WorkerLink, task: str, run: int) -> bool:
        try:
            reply = await link.client.stop(
                task=task,
                run=run,
                epoch=self.epoch,
                may_send=self.permission.may_act,
            )
        except fleet.OrderWithheldError:
            return False
        except Exception as error:
            # Any error, or a run that must end would go on unnoticed.
            observability.log_event(
                "stop",
                task=task,
                run=run,
                worker=link.worker,
                outcome=repr(error),
            )
            return False
        if reply.outcome is not OrderOutcome.DONE:
            # The decision to stop and the end that follows have their lines.
            observability.log_event(
                "stop",
                task=task,
                run=run,
                worker=link.worker,
                outcome=reply.outcome.value,
            )
        if reply.outcome is OrderOutcome.FENCED:
            self.on_fenced(link)
            return False
        return reply.outcome is not OrderOutcome.UNHEALTHY


def _is_current(progress: JobProgress, key: TaskKey, attempt: Attempt) -> bool:
    task = progress.task(key)
    return task is not None and task.attempt is attempt
