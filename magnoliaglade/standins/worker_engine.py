"""A worker that runs tasks under leases, in memory, with faults on request.

It implements `fleet.WorkerClient` directly, for tests on a virtual clock, and
is the core of the worker that the platform stand-in serves over HTTP.
"""

import dataclasses
from collections.abc import Callable

from magnoliaglade import clock as clock_lib
from magnoliaglade import fleet
from magnoliaglade.fleet import OrderOutcome, OrderReply, RunEnd, RunStatus
from magnoliaglade.jobs import Resources, RunOutcome
from magnoliaglade.types import (
    Epoch,
    Lifetime,
    RackId,
    ServiceName,
    WorkerId,
    ZoneId,
)

# Interval in seconds at which a waiting look checks for ends.
_POLL_S = 0.02


@dataclasses.dataclass(kw_only=True)
class _Run:
    run: int
    payload: str
    checkpoint: str
    started_at_s: float
    duration_s: float
    stops_at_s: float = float("inf")


@dataclasses.dataclass(kw_only=True)
class Faults:
    """What goes wrong on a worker.

    Attributes:
        is_cut: calls do not arrive.
        loses_answers: calls are done and not answered.
        defers_orders: orders are not answered and wait in `deferred`.
        deferred_orders: number of coming orders that are handled so.
        fails_all: every run ends as failed.
        refuses_starts: starts are refused, as by an unhealthy worker.
        failing_jobs: jobs whose runs end as failed.
        stands_still: runs make no progress.
        is_replaced: another worker answers at its address.
        is_ahead: runs show 100 percent long before they end, as members of a
            gang do that wait for slower ones.
        report_delay_s: reports arrive this many seconds after they are made.
        loses_polls: polls get no answer and new ones do not arrive, as on a
            silent connection, while orders on other connections do.
    """

    is_cut: bool = False
    loses_answers: bool = False
    defers_orders: bool = False
    deferred_orders: int = 0
    fails_all: bool = False
    refuses_starts: bool = False
    failing_jobs: set[str] = dataclasses.field(default_factory=set)
    stands_still: bool = False
    is_ahead: bool = False
    is_replaced: bool = False
    report_delay_s: float = 0.0
    loses_polls: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartRecord:
    """A start that the worker has carried out."""

    task: str
    run: int
    at_s: float
    epoch: Epoch
    checkpoint: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderRecord:
    """A start or stop that has arrived, obeyed or not."""

    epoch: Epoch
    at_s: float


class WorkerEngine:
    """One worker; see `fleet.WorkerClient`.

    Attributes:
        clock: source of time; lease times are its milliseconds.
        worker: id.
        duration_s: returns the run time of a task in seconds by its name.
        stop_s: time that a stop takes, in seconds.
        longest_lease_s: longest lease of a run, in seconds.
        faults: what goes wrong.
        starts: every start, in order.
        orders: every start or stop that has arrived, in order.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        worker: WorkerId,
        duration_s: Callable[[str], float],
        zone: str = "a",
        rack: str = "r1",
        kind: str = "kind",
        service: str = "render",
        capacity: Resources | None = None,
        stop_s: float = 0.2,
        longest_lease_s: float = float("inf"),
    ) -> None:
        self.clock = clock
        self.longest_lease_s = longest_lease_s
        self.born_at_s = 0.0
        self.worker = worker
        self.duration_s = duration_s
        self.zone = zone
        self.rack = rack
        self.kind = kind
        self.service = service
        self.capacity = capacity or Resources(
            cores_m=64_000, memory_mb=131_072, accelerators=8
        )
        self.stop_s = stop_s
        self.faults = Faults()
        self.lifetime = Lifetime(1)
        self.is_draining = False
        self.leaves_in_s = 0.0
        self.address = "127.0.0.1:1"
        self.starts: list[StartRecord] = []
        self.orders: list[OrderRecord] = []
        self.deferred: list[fleet.StartOrder] = []
        self.highest_epoch = Epoch(0)
        self._runs: dict[str, _Run] = {}
        self._ended: list[RunEnd] = []
        self._next_end = 1
        self._closed_runs: dict[str, int] = {}
        self._lease_until_ms = 0

    @property
    def running(self) -> dict[str, int]:
        """Run numbers of the tasks that run now, by name."""
        self._advance()
        return {task: r.run for task, r in self._runs.items()}

    def listed(self) -> fleet.ListedWorker:
        """Returns the worker's entry on the list."""
        return fleet.ListedWorker(
            worker=self.worker,
            lifetime=self.lifetime,
            address=self.address,
            service=ServiceName(self.service),
            zone=ZoneId(self.zone),
            rack=RackId(self.rack),
            labels=frozenset({self.kind, self.rack}),
            capacity=self.capacity,
            is_draining=self.is_draining,
            leaves_in_s=self.leaves_in_s,
        )

    def restart(self) -> None:
        """Begins a new lifetime that knows nothing; its clock starts anew."""
        self.born_at_s = self.clock.now()
        self.lifetime = Lifetime(self.lifetime + 1)
        self.highest_epoch = Epoch(0)
        self._runs.clear()
        self._ended.clear()
        self._closed_runs.clear()
        self._next_end = 1
        self._lease_until_ms = 0

    def deliver_deferred(self) -> None:
        """Carries out the orders that were deferred."""
        orders, self.deferred = self.deferred, []
        for order in orders:
            self._start(order)

    async def poll(
        self,
        *,
        epoch: Epoch,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_s: float,
        may_send: fleet.MaySend = fleet.may_always_send,
    ) -> fleet.WorkerReport:
        """See `WorkerClient.poll`."""
        await self._arrive(may_send)
        if self.faults.loses_polls:
            await self.clock.sleep(wait_s)
            raise fleet.OrderOutcomeUnknownError(self.worker)
        if not self._accepts(epoch):
            raise fleet.WorkerFencedError(self.worker)
        if lease_until_ms is not None:
            self._extend(lease_until_ms)
        self._ended = [e for e in self._ended if e.number > acknowledged]
        lifetime = self.lifetime
        deadline_s = self.clock.now() + wait_s
        while not self._has_end() and self.clock.now() < deadline_s:
            await self.clock.sleep(_POLL_S)
            if self.lifetime != lifetime:
                raise fleet.OrderOutcomeUnknownError(self.worker)
        await self._answer()
        if self.faults.loses_polls:
            raise fleet.OrderOutcomeUnknownError(self.worker)
        report = self._report()
        await self.clock.sleep(self.faults.report_delay_s)
        return report

    async def start(
        self,
        order: fleet.StartOrder,
        *,
        may_send: fleet.MaySend = fleet.may_always_send,
    ) -> OrderReply:
        """See `WorkerClient.start`."""
        await self._arrive(may_send)
        self.orders.append(
            OrderRecord(epoch=order.epoch, at_s=self.clock.now())
        )
        if self.faults.defers_orders or self.faults.deferred_orders > 0:
            self.faults.deferred_orders -= 1
            self.deferred.append(order)
            raise fleet.OrderOutcomeUnknownError("deferred")
        outcome = OrderOutcome.UNHEALTHY
        if not self.faults.refuses_starts:
            outcome = self._start(order)
        await self._answer()
        return OrderReply(outcome=outcome, clock_ms=self._clock_ms())

    async def stop(
        self,
        *,
        task: str,
        run: int,
        epoch: Epoch,
        may_send: fleet.MaySend = fleet.may_always_send,
    ) -> OrderReply:
        """See `WorkerClient.stop`."""
        await self._arrive(may_send)
        self._note_order(epoch)
        outcome = OrderOutcome.FENCED
        if self._accepts(epoch):
            self._stop(task, run)
            outcome = OrderOutcome.DONE
        await self._answer()
        return OrderReply(outcome=outcome, clock_ms=self._clock_ms())

    async def close(self) -> None:
        """See `WorkerClient.close`."""

    async def _arrive(self, may_send: fleet.MaySend) -> None:
        # A connection takes a moment; the permission is asked after it.
        await self.clock.sleep(0)
        if not may_send():
            raise fleet.OrderWithheldError(self.worker)
        if self.faults.is_cut:
            raise fleet.WorkerNotReachedError(self.worker)
        if self.faults.is_replaced:
            raise fleet.WorkerReplacedError(self.worker)
        self._advance()

    def _note_order(self, epoch: Epoch) -> None:
        self.orders.append(OrderRecord(epoch=epoch, at_s=self.clock.now()))

    async def _answer(self) -> None:
        if self.faults.is_cut or self.faults.loses_answers:
            raise fleet.OrderOutcomeUnknownError(self.worker)

    def _accepts(self, epoch: Epoch) -> bool:
        if epoch < self.highest_epoch:
            return False
        self.highest_epoch = epoch
        return True

    def _start(self, order: fleet.StartOrder) -> OrderOutcome:
        self._advance()
        if not self._accepts(order.epoch):
            return OrderOutcome.FENCED
        present = self._runs.get(order.task)
        if present is not None and present.run == order.run:
            return OrderOutcome.DONE
        if order.run <= self._closed_runs.get(order.task, 0):
            return OrderOutcome.SUPERSEDED
        if order.lease_until_ms <= self._clock_ms():
            return OrderOutcome.LEASE_EXPIRED
        self._extend(order.lease_until_ms)
        self._runs[order.task] = _Run(
            run=order.run,
            payload=order.payload,
            checkpoint=order.checkpoint,
            started_at_s=self.clock.now(),
            duration_s=self.duration_s(order.task),
        )
        self.starts.append(
            StartRecord(
                task=order.task,
                run=order.run,
                at_s=self.clock.now(),
                epoch=order.epoch,
                checkpoint=order.checkpoint,
            )
        )
        return OrderOutcome.DONE

    def _stop(self, task: str, run: int) -> None:
        present = self._runs.get(task)
        if present is not None and present.run <= run:
            present.stops_at_s = min(
                present.stops_at_s, self.clock.now() + self.stop_s
            )
        elif present is None:
            self._closed_runs[task] = max(self._closed_runs.get(task, 0), run)

    def _extend(self, until_ms: int) -> None:
        longest_ms = self._clock_ms() + self.longest_lease_s * 1000.0
        until_ms = int(min(until_ms, longest_ms))
        self._lease_until_ms = max(self._lease_until_ms, until_ms)

    def _clock_ms(self) -> int:
        # A reading of 0 stands for an answer without one.
        return 1 + int((self.clock.now() - self.born_at_s) * 1000)

    def _advance(self) -> None:
        now_s = self.clock.now()
        lapsed = self._clock_ms() >= self._lease_until_ms
        for task, run in list(self._runs.items()):
            ends_at_s = run.started_at_s + run.duration_s
            if self.faults.stands_still:
                ends_at_s = float("inf")
            if ends_at_s <= now_s:
                job = task.partition(".")[0]
                is_failed = (
                    self.faults.fails_all or job in self.faults.failing_jobs
                )
                self._end(
                    task,
                    RunOutcome.FAILED if is_failed else RunOutcome.DONE,
                )
            elif run.stops_at_s <= now_s:
                self._end(task, RunOutcome.STOPPED)
            elif lapsed:
                self._end(task, RunOutcome.LAPSED)

    def _end(self, task: str, outcome: RunOutcome) -> None:
        run = self._runs.pop(task)
        self._closed_runs[task] = run.run
        self._ended.append(
            RunEnd(
                number=self._next_end,
                task=task,
                run=run.run,
                outcome=outcome,
                checkpoint="",
            )
        )
        self._next_end += 1

    def _has_end(self) -> bool:
        self._advance()
        return bool(self._ended)

    def _report(self) -> fleet.WorkerReport:
        self._advance()
        return fleet.WorkerReport(
            lifetime=self.lifetime,
            clock_ms=self._clock_ms(),
            running=tuple(
                RunStatus(
                    task=task,
                    run=r.run,
                    checkpoint=r.checkpoint,
                    percent=self._percent(r),
                )
                for task, r in self._runs.items()
            ),
            ended=tuple(self._ended),
        )

    def _percent(self, run: _Run) -> float:
        if self.faults.stands_still:
            return 0.0
        if self.faults.is_ahead:
            return 100.0
        elapsed_s = self.clock.now() - run.started_at_s
        return float(int(min(99.0, 100.0 * elapsed_s / run.duration_s)))
