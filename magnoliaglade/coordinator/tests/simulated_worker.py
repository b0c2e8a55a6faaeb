"""A worker that records what it runs, behind an unreliable network."""

import asyncio
import dataclasses

from magnoliaglade import fleet
from magnoliaglade.coordinator.tests import harness
from magnoliaglade.fleet import OrderOutcome, OrderReply
from magnoliaglade.jobs import RunOutcome
from magnoliaglade.standins.worker_engine import WorkerEngine
from magnoliaglade.types import Lifetime, WorkerId

CALL_TIMEOUT_S = 0.6
# Bounds, in seconds, of the delay with which a late call is executed.
SHORTEST_LATE_S = 2.0
LONGEST_LATE_S = 12.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rates:
    """Probabilities of the faults of one simulation.

    Attributes:
        late: a call gets no answer and is executed seconds later.
        lost: a call is executed and its answer is lost.
        slow_answer: an answer arrives up to half a second late.
        slow_request: a request arrives up to half a second late.
        crash, cut, unlist, drain: of one worker, each second.
        replace: a successor is elected, each second.
        outage: the store is down for seconds, each second.
        store_fault: a write of the store is lost or late, each second.
        outliving: calls that a later lifetime of the worker may carry out.
        heartbeat_s: time by which the list of workers may lag.
        filters_answers: acknowledged ends are left out of an answer, too.
        block: a plan blocks the event loop.
    """

    late: float = 0.0
    lost: float = 0.0
    slow_answer: float = 0.0
    slow_request: float = 0.0
    crash: float = 0.0
    cut: float = 0.0
    unlist: float = 0.0
    drain: float = 0.0
    replace: float = 0.0
    outage: float = 0.0
    store_fault: float = 0.0
    block: float = 0.0
    outliving: frozenset[str] = frozenset({"poll", "start", "stop"})
    heartbeat_s: float = 1.0
    filters_answers: bool = True


@dataclasses.dataclass(kw_only=True)
class RunRecord:
    """A run that a worker has carried out.

    Attributes:
        outcome: None while it runs; "crashed" if its worker crashed.
        acknowledged_at_s: time at which the coordinator acknowledged the end.
        is_excused: the worker's lease lapsed between end and acknowledgement.
        is_recorded: the start was in the store when it was carried out.
        is_late: the order was executed late.
    """

    task: str
    run: int
    worker: WorkerId
    lifetime: Lifetime
    started_at_s: float
    ended_at_s: float = float("inf")
    outcome: str | None = None
    acknowledged_at_s: float | None = None
    is_excused: bool = False
    is_recorded: bool = True
    is_late: bool = False


class SimulatedWorker(WorkerEngine):
    """A worker with a clock of its own that records its runs."""

    def __init__(self, *, simulation, slow=0.0, **fields):
        super().__init__(**fields)
        self.simulation = simulation
        self.slow = slow
        self.born_at_s = self.clock.now()
        self.is_up = True
        self.cut_until_s = float("-inf")
        self.records = {}
        self.unacknowledged = {}
        self.lapsed_at_s = float("-inf")

    @property
    def is_cut(self):
        return self.clock.now() < self.cut_until_s

    def _clock_ms(self):
        elapsed_s = self.clock.now() - self.born_at_s
        return 5 + int(elapsed_s * 1000.0 * (1.0 - self.slow))

    def _lease_end_s(self):
        elapsed_s = (self._lease_until_ms - 5) / 1000.0 / (1.0 - self.slow)
        return self.born_at_s + elapsed_s

    def _extend(self, until_ms):
        # A lease that has ended is noticed before it is extended.
        self._advance()
        longest_ms = self._clock_ms() + int(harness.LONGEST_LEASE_S * 1000)
        super()._extend(min(until_ms, longest_ms))

    def crash(self):
        self._advance()
        for record in self.records.values():
            record.ended_at_s = self.clock.now()
            record.outcome = "crashed"
        self.records.clear()
        self.unacknowledged.clear()
        self.is_up = False

    def begin_lifetime(self):
        self.born_at_s = self.clock.now()
        self.restart()
        self.lapsed_at_s = float("-inf")
        self.is_up = True

    def acknowledge(self, number, *, is_late):
        for end in [e for e in self.unacknowledged if e <= number]:
            record = self.unacknowledged.pop(end)
            record.acknowledged_at_s = self.clock.now()
            record.is_excused = self.lapsed_at_s >= record.ended_at_s
            self.simulation.log(
                "acknowledged",
                record.task,
                record.run,
                self.worker,
                self.lifetime,
                f"end {end} by {number}",
                "late" if is_late else "",
            )
        self._ended = [e for e in self._ended if e.number > number]

    def start_run(self, order, *, is_late):
        before = self._runs.get(order.task)
        count = len(self.starts)
        outcome = self._start(order)
        if len(self.starts) == count:
            return outcome
        if before is not None:
            self._close_record(order.task, before.run, "overwritten")
        record = RunRecord(
            task=order.task,
            run=order.run,
            worker=self.worker,
            lifetime=self.lifetime,
            started_at_s=self.clock.now(),
            is_recorded=self.simulation.is_recorded(order),
            is_late=is_late,
        )
        self.records[(order.task, order.run)] = record
        self.simulation.records.append(record)
        size = self.simulation.gang_sizes.get(step_of(order.task))
        if size is not None:
            # The members of a gang work once all of them are present.
            self._runs[order.task].duration_s = float("inf")
        return outcome

    def _close_record(self, task, run, outcome, *, number=None, at_s=None):
        record = self.records.pop((task, run))
        record.ended_at_s = self.clock.now() if at_s is None else at_s
        record.outcome = outcome
        if number is not None:
            self.unacknowledged[number] = record

    def _advance(self):
        lapses_at_s = self._lease_end_s()
        if lapses_at_s <= self.clock.now() and self._lease_until_ms:
            self.lapsed_at_s = max(self.lapsed_at_s, lapses_at_s)
        for task, run in list(self._runs.items()):
            done_at_s = run.started_at_s + run.duration_s
            end_s = min(done_at_s, run.stops_at_s, lapses_at_s)
            if end_s > self.clock.now():
                continue
            outcome = RunOutcome.LAPSED
            if done_at_s == end_s:
                outcome = RunOutcome.DONE
                if self.simulation.random.random() < 0.05:
                    outcome = RunOutcome.FAILED
            elif run.stops_at_s == end_s:
                outcome = RunOutcome.STOPPED
            self.end(task, outcome, end_s)

    def end(self, task, outcome, at_s):
        number, run = self._next_end, self._runs[task].run
        self._end(task, outcome)
        self._close_record(task, run, outcome.value, number=number, at_s=at_s)


class SimulatedClient:
    """Calls to a worker over an unreliable network; a `WorkerClient`."""

    def __init__(self, *, simulation, worker):
        self.simulation = simulation
        self.worker = worker
        self.random = simulation.random
        self.clock = simulation.clock

    async def poll(
        self,
        *,
        epoch,
        acknowledged,
        lease_until_ms,
        wait_s,
        may_send=fleet.may_always_send,
    ):
        engine = self.worker

        async def execute(*, is_late):
            engine._advance()
            if not engine._accepts(epoch):
                raise fleet.WorkerFencedError(engine.worker)
            if lease_until_ms is not None:
                engine._extend(lease_until_ms)
            engine.acknowledge(acknowledged, is_late=is_late)
            lifetime = engine.lifetime
            deadline_s = self.clock.now() + wait_s
            while not engine._has_end() and self.clock.now() < deadline_s:
                await self.clock.sleep(0.04)
                if engine.lifetime != lifetime or not engine.is_up:
                    raise fleet.OrderOutcomeUnknownError("connection reset")
                if self.simulation.rates.filters_answers:
                    engine.acknowledge(acknowledged, is_late=is_late)
            return engine._report()

        return await self._call("poll", execute, may_send, wait_s)

    async def start(self, order, *, may_send=fleet.may_always_send):
        async def execute(*, is_late):
            outcome = self.worker.start_run(order, is_late=is_late)
            self.simulation.log(
                "start",
                order.task,
                order.run,
                self.worker.worker,
                self.worker.lifetime,
                outcome.value,
                "late" if is_late else "",
            )
            return OrderReply(outcome=outcome, clock_ms=self.worker._clock_ms())

        return await self._call("start", execute, may_send, 0.0)

    async def stop(self, *, task, run, epoch, may_send=fleet.may_always_send):
        async def execute(*, is_late):
            engine = self.worker
            engine._advance()
            outcome = OrderOutcome.FENCED
            if engine._accepts(epoch):
                engine._stop(task, run)
                outcome = OrderOutcome.DONE
            self.simulation.log(
                "stop",
                task,
                run,
                engine.worker,
                engine.lifetime,
                outcome.value,
                "late" if is_late else "",
            )
            return OrderReply(outcome=outcome, clock_ms=engine._clock_ms())

        return await self._call("stop", execute, may_send, 0.0)

    async def close(self):
        pass

    async def _call(self, name, execute, may_send, wait_s):
        rates = self.simulation.rates
        draw = self.random.random
        await self.clock.sleep(0.001 + 0.004 * draw())
        if not may_send():
            raise fleet.OrderWithheldError(self.worker.worker)
        if not self.worker.is_up:
            raise fleet.WorkerNotReachedError(self.worker.worker)
        is_late = draw() < rates.late
        if self.worker.is_cut:
            if draw() < 0.5:
                await self.clock.sleep(CALL_TIMEOUT_S)
                raise fleet.WorkerNotReachedError(self.worker.worker)
            is_late = is_late or draw() < 0.2
            if not is_late:
                await self.clock.sleep(CALL_TIMEOUT_S + wait_s)
                raise fleet.OrderOutcomeUnknownError(self.worker.worker)
        if is_late:
            self.simulation.log("deferred", name, self.worker.worker)
            self.simulation.spawn(self._execute_late(name, execute))
            await self.clock.sleep(CALL_TIMEOUT_S + wait_s)
            raise fleet.OrderOutcomeUnknownError(self.worker.worker)
        call = self.simulation.spawn(self._transfer(execute))
        try:
            return await self.clock.wait_for(
                asyncio.shield(call), CALL_TIMEOUT_S + wait_s
            )
        except TimeoutError as error:
            raise fleet.OrderOutcomeUnknownError("timeout") from error

    async def _execute_late(self, name, execute):
        lifetime = self.worker.lifetime
        await self.clock.sleep(
            self.random.uniform(SHORTEST_LATE_S, LONGEST_LATE_S)
        )
        # A call does not pass a cut, and needs a worker.
        is_allowed = (
            self.worker.lifetime == lifetime
            or name in self.simulation.rates.outliving
        )
        if self.worker.is_up and not self.worker.is_cut and is_allowed:
            await execute(is_late=True)

    async def _transfer(self, execute):
        rates = self.simulation.rates
        draw = self.random.random
        lifetime = self.worker.lifetime
        delay_s = 0.001 + 0.01 * draw()
        if draw() < rates.slow_request:
            delay_s += 0.5 * draw()
        await self.clock.sleep(delay_s)
        if (
            not self.worker.is_up
            or self.worker.is_cut
            or self.worker.lifetime != lifetime
        ):
            # A connection does not survive its worker.
            raise fleet.OrderOutcomeUnknownError("connection reset")
        result = await execute(is_late=False)
        delay_s = 0.001 + 0.01 * draw()
        if draw() < rates.slow_answer:
            delay_s += 0.5 * draw()
        is_lost = draw() < rates.lost
        await self.clock.sleep(delay_s)
        if is_lost or self.worker.is_cut:
            await self.clock.sleep(CALL_TIMEOUT_S)
            raise fleet.OrderOutcomeUnknownError("answer lost")
        return result


def step_of(task):
    """Returns the name of a task's step."""
    return task.rpartition(".")[0]
