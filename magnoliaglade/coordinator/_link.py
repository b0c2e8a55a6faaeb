"""The coordinator's link to one worker: polls it and renews its lease."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol

from magnoliaglade import clock as clock_lib
from magnoliaglade import fleet, observability, supervision
from magnoliaglade.coordinator._permission import Permission
from magnoliaglade.fleet import ListedWorker, WorkerReport
from magnoliaglade.types import Epoch, Lifetime, WorkerId

# Longest wait of one poll of a worker that runs tasks, in seconds. Progress is
# reported at this interval; ends are reported at once.
BUSY_POLL_WAIT_S = 1.0
# Longest wait of one poll of a worker without runs, in seconds.
IDLE_POLL_WAIT_S = 2.0
# A worker that has not answered for this long, in seconds, gets no new tasks.
UNRESPONSIVE_AFTER_S = 3.2
# An answer is overdue this long, in seconds, after the poll should have ended.
OVERDUE_AFTER_S = 0.4
# Delay after a failed call, in seconds.
RETRY_DELAY_S = 0.3
# Longest wait, in seconds, for run ends to be stored before a poll that is to
# acknowledge them.
STORE_WAIT_S = 0.5
# Time in seconds for which a worker that refused an order gets no tasks.
COOLDOWN_S = 1.0
# Orders may be executed up to this long after they were sent, in seconds.
MAX_ORDER_DELAY_S = 13.0
# Safety margin after the end of a lease, in seconds, before it counts as ended.
LEASE_MARGIN_S = 0.1


class LinkOwner(Protocol):
    """Interface of the coordinator that a link uses."""

    epoch: Epoch
    permission: Permission

    def is_busy(self, worker: WorkerId) -> bool:
        """Returns whether a worker has, or may have, runs."""

    def handle_report(
        self, link: "WorkerLink", report: WorkerReport, requested_at_s: float
    ) -> int:
        """Applies a report; returns the journal position of its ends."""

    async def wait_stored(self, position: int, *, timeout_s: float) -> bool:
        """Waits for a journal position; returns whether it is stored."""

    def min_poll_interval_s(self) -> float:
        """Returns the shortest time from one poll of a worker to the next."""

    def handle_fencing(self, link: "WorkerLink") -> None:
        """Handles a worker that has received the epoch of a successor."""


class WorkerLink:
    """Polls one worker in a loop; each poll waits for ends of runs.

    Attributes:
        listed: the worker as last listed.
        is_listed: whether it is on the list now.
        lease: bound on the end of its lease.
        applied_end: number of the last run end that was applied.
        is_replaced: whether another worker answers at its address.
    """

    def __init__(
        self,
        *,
        listed: ListedWorker,
        owner: LinkOwner,
        clock: clock_lib.Clock,
        connect: Callable[[ListedWorker], fleet.WorkerClient],
        lease: fleet.LeaseBound,
    ) -> None:
        self.listed = listed
        self.owner = owner
        self.clock = clock
        self.lease = lease
        self.is_listed = True
        self.applied_end = 0
        self.lifetime = listed.lifetime
        self.client = connect(listed)
        self.reported_at_s = float("-inf")
        self.due_at_s = float("inf")
        self.cooldown_until_s = float("-inf")
        self.leaves_at_s = float("inf")
        self.is_replaced = False
        self._connect = connect
        self._stale_clients: list[fleet.WorkerClient] = []
        self._acknowledged_end = 0
        # Journal position and number of the last run end to acknowledge.
        self._unacknowledged_end: tuple[int, int] = (0, 0)
        self._may_have_restarted = False
        self._task: asyncio.Task[None] | None = None

    @property
    def worker(self) -> WorkerId:
        """Id of the worker."""
        return self.listed.worker

    @property
    def is_responsive(self) -> bool:
        """Whether the worker has answered recently and its clock is known."""
        since_report_s = self.clock.now() - self.reported_at_s
        is_recent = since_report_s <= UNRESPONSIVE_AFTER_S
        return is_recent and self.lease.is_synchronized and not self.is_replaced

    @property
    def is_overdue(self) -> bool:
        """Whether the answer to the current poll is overdue."""
        return self.clock.now() > self.due_at_s

    @property
    def is_schedulable(self) -> bool:
        """Whether the worker may be given tasks."""
        return (
            self.is_listed
            and not self.listed.is_draining
            and self.is_responsive
            and self.clock.now() >= self.cooldown_until_s
            and self.lifetime == self.listed.lifetime
        )

    def start(self) -> None:
        """Starts polling the worker in the background."""
        self._task = asyncio.create_task(
            supervision.keep_running(
                self._run, part=f"link to {self.worker}", clock=self.clock
            )
        )

    async def stop(self) -> None:
        """Stops polling and closes the connections."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._close_stale_clients()
        await self.client.close()

    def start_cooldown(self) -> None:
        """Withholds new tasks for `COOLDOWN_S` seconds."""
        self.cooldown_until_s = self.clock.now() + COOLDOWN_S

    def update(self, listed: ListedWorker) -> None:
        """Applies a newer entry of the list."""
        if listed.address != self.listed.address:
            observability.log_event("worker", state="moved", worker=self.worker)
            self._stale_clients.append(self.client)
            self.client = self._connect(listed)
            self.is_replaced = False
        if listed.is_draining:
            leaves_at_s = self.clock.now() + listed.leaves_in_s
            self.leaves_at_s = min(self.leaves_at_s, leaves_at_s)
        self.listed = listed
        self.is_listed = True

    @contextlib.asynccontextmanager
    async def offered_lease(
        self, *, renews: bool = True
    ) -> AsyncIterator[int | None]:
        """Offers a lease with the enclosed call; yields its end, or None.

        The offer is withdrawn, which leaves the bound unchanged, if the call
        was not sent or the worker has certainly not executed it. Otherwise it
        is confirmed, also after an error or a cancellation.
        """
        offer = None
        if renews:
            offer = self.lease.offer(
                self.clock.now(), self.lease.longest_lease_s
            )
        try:
            yield offer.until_ms if offer else None
        except (
            fleet.WorkerNotReachedError,
            fleet.WorkerReplacedError,
            fleet.WorkerFencedError,
        ):
            if offer:
                self.lease.withdraw(offer)
            raise
        except BaseException:
            if offer:
                self.lease.confirm(offer)
            raise
        if offer:
            self.lease.confirm(offer)

    def dump(self) -> dict[str, Any]:
        """Returns the state of the worker for diagnostics."""
        return {
            "zone": self.listed.zone,
            "open": self.is_schedulable,
            "listed": self.is_listed,
            "draining": self.listed.is_draining,
            "silent_s": round(self.clock.now() - self.reported_at_s, 3),
        }

    async def _run(self) -> None:
        while True:
            started_at_s = self.clock.now()
            try:
                await self._poll()
                await self._pause(started_at_s)
            except fleet.WorkerFencedError:
                self.owner.handle_fencing(self)
                await self.clock.sleep(RETRY_DELAY_S)
            except fleet.WorkerReplacedError:
                self._handle_replacement()
                await self.clock.sleep(RETRY_DELAY_S)
            except fleet.FleetError:
                await self.clock.sleep(RETRY_DELAY_S)

    async def _pause(self, started_at_s: float) -> None:
        """Waits until the shortest time since the start of a poll is over."""
        until_s = started_at_s + self.owner.min_poll_interval_s()
        remaining_s = until_s - self.clock.now()
        if remaining_s > 0:
            await self.clock.sleep(remaining_s)

    async def _close_stale_clients(self) -> None:
        while self._stale_clients:
            await self._stale_clients.pop().close()

    async def _poll(self) -> None:
        await self._close_stale_clients()
        permission = self.owner.permission
        position, number = self._unacknowledged_end
        acknowledged = self._acknowledged_end
        if number > acknowledged:
            is_stored = await self.owner.wait_stored(
                position, timeout_s=STORE_WAIT_S
            )
            if is_stored and permission.may_send_orders():
                acknowledged = number
        is_new = acknowledged > self._acknowledged_end
        requested_at_s = self.clock.now()
        wait_s = self._poll_wait_s(has_pending_end=number > acknowledged)
        # An overdue answer stays overdue until one arrives.
        if not self.is_overdue:
            self.due_at_s = requested_at_s + wait_s + OVERDUE_AFTER_S
        try:
            async with self.offered_lease(
                renews=permission.may_renew()
            ) as until_ms:
                report = await self.client.poll(
                    epoch=self.owner.epoch,
                    acknowledged=acknowledged,
                    lease_until_ms=until_ms,
                    wait_s=wait_s,
                    may_send=lambda: (
                        (until_ms is None or permission.may_renew())
                        and (not is_new or permission.may_send_orders())
                    ),
                )
        except BaseException:
            self._forget_end_numbers()
            self._may_have_restarted = True
            raise
        self._may_have_restarted = False
        self._acknowledged_end = acknowledged
        self._handle_answer(report)
        position = self.owner.handle_report(self, report, requested_at_s)
        if report.ended:
            self.applied_end = max(self.applied_end, report.ended[-1].number)
            self._unacknowledged_end = (position, self.applied_end)

    def _handle_replacement(self) -> None:
        if not self.is_replaced:
            self.is_replaced = True
            observability.log_event(
                "worker",
                state="replaced",
                worker=self.worker,
                address=self.listed.address,
                listed=self.is_listed,
            )

    def _handle_answer(self, report: WorkerReport) -> None:
        now_s = self.clock.now()
        was_responsive = self.is_responsive
        if report.lifetime != self.lifetime:
            self._handle_restart(report.lifetime)
        self.lease.observe_clock(report.clock_ms, now_s=now_s)
        self.reported_at_s = now_s
        self.due_at_s = float("inf")
        self.is_replaced = False
        if not was_responsive:
            observability.log_event(
                "worker",
                state="answers",
                worker=self.worker,
                lifetime=self.lifetime,
            )

    def _handle_restart(self, lifetime: Lifetime) -> None:
        observability.log_event(
            "worker",
            state="restarted",
            worker=self.worker,
            before=self.lifetime,
            now=lifetime,
        )
        self.lifetime = lifetime
        self.applied_end = 0
        self._forget_end_numbers()
        self.leaves_at_s = float("inf")
        self.lease.forget_clock()

    def _forget_end_numbers(self) -> None:
        """Acknowledges nothing until a report lists ends again.

        A worker that did not answer may have restarted; the numbers would
        acknowledge ends of its new lifetime that have not been reported. The
        same lifetime lists every unacknowledged end again.
        """
        self._acknowledged_end = 0
        self._unacknowledged_end = (0, 0)

    def _poll_wait_s(self, *, has_pending_end: bool) -> float:
        if has_pending_end or not self.lease.is_synchronized:
            return 0.0
        if self._may_have_restarted:
            # Its runs count as lost, and late starts are made void, only once
            # its lifetime is known.
            return 0.0
        if self.owner.is_busy(self.worker):
            return BUSY_POLL_WAIT_S
        return IDLE_POLL_WAIT_S
