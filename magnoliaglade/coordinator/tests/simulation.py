"""A seeded random simulation of coordinators, workers and the store.

The workers record what they run; `Simulation.violations` judges only these
records. Faults stay within the platform's protocol: a call without an answer
may be executed seconds later, answers on different connections overtake each
other, and a worker may start again under its id and knows nothing then.
"""

import argparse
import asyncio
import collections
import dataclasses
import logging
import random

from magnoliaglade import fleet, placement, store
from magnoliaglade.coordinator.tests import harness
from magnoliaglade.fleet import OrderOutcome, OrderReply
from magnoliaglade.jobs import (
    JobState,
    RunOutcome,
    decode_progress,
    decode_state,
    keys,
    parse_task_name,
)
from magnoliaglade.standins import FaultyStore
from magnoliaglade.standins.worker_engine import WorkerEngine
from magnoliaglade.types import Lifetime, WorkerId

GANG_TIMEOUT_S = 4.0
CALL_TIMEOUT_S = 0.6
SHORTEST_LATE_S = 2.0
LONGEST_LATE_S = 12.0
TICK_S = 0.05
# Time after a recorded end or a stored completion after which nothing starts.
START_GRACE_S = 1.0


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
        size = self.simulation.gang_sizes.get(_step_of(order.task))
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


class BlockingPlanner(placement.Planner):
    """A planner that blocks the event loop now and then."""

    simulation = None

    def plan(self, snapshot):
        plan = super().plan(snapshot)
        simulation = self.simulation
        if simulation.random.random() < simulation.rates.block:
            simulation.clock._now += simulation.random.uniform(0.1, 0.5)
        return plan


@dataclasses.dataclass(kw_only=True)
class _Term:
    store: FaultyStore
    elected_at_s: float
    cut_at_s: float = float("inf")
    is_outage: bool = False


class Simulation(harness.Deployment):
    """Random jobs and faults from one seed; see `Rates`."""

    def __init__(self, *, seed, rates, workers=5, duration_s=45.0, jobs=14):
        super().__init__(workers=0)
        self.random = random.Random(seed)
        self.rates = rates
        self.length_s = duration_s
        self.job_count = jobs
        self.records = []
        self.events = []
        self.gang_sizes = {}
        self.jobs = {}
        self.completed_at_s = {}
        self.background = set()
        self.store_down_until_s = float("-inf")
        self.store_term = None
        self.hidden_until_s = collections.defaultdict(lambda: float("-inf"))
        self._entries = {}
        self._begun = {}
        self.origin_s = self.clock.now()
        for i in range(workers):
            name = WorkerId(f"w{i}")
            self.engines[name] = SimulatedWorker(
                simulation=self,
                slow=self.random.choice((0.0, 0.01, 0.02)),
                clock=self.clock,
                worker=name,
                duration_s=lambda task: self.durations.get(task, 3.0),
                rack=f"r{i // 3}",
                zone="ab"[i % 2],
            )

    def log(self, *words):
        at_s = round(self.clock.now() - self.origin_s, 3)
        self.events.append((at_s, *words))

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.background.add(task)

        def finish(done):
            self.background.discard(done)
            if not done.cancelled():
                done.exception()

        task.add_done_callback(finish)
        return task

    def is_recorded(self, order):
        """Returns whether the store has a record of a run."""
        job, key = parse_task_name(order.task)
        entry = self.store._entries.get(keys.progress_key(job))
        if entry is None:
            return False
        progress = decode_progress(entry.value, job=self.jobs[job])
        task = progress.task(key)
        return task is None or task.run >= order.run

    async def elect_term(self):
        term = _Term(store=self.faulty_store(), elected_at_s=self.clock.now())
        self.store_term = term
        self.log("elect")
        planner = BlockingPlanner()
        planner.simulation = self
        clients = {
            w: SimulatedClient(simulation=self, worker=e)
            for w, e in self.engines.items()
        }

        async def list_workers():
            if term.store.is_down:
                raise store.StoreUnavailableError("store is down")
            await self.clock.sleep(0.01)
            return self._listing()

        return await self.elect(
            term.store,
            connect=lambda listed: clients[listed.worker],
            list_workers=list_workers,
            unconfirmed_s=lambda: self._unconfirmed_s(term),
            planner=planner,
        )

    def _unconfirmed_s(self, term):
        if term.cut_at_s == float("inf"):
            return 0.2
        return 0.2 + self.clock.now() - term.cut_at_s

    def _listing(self):
        now_s = self.clock.now()
        found = []
        for name, engine in self.engines.items():
            at_s, entry = self._entries.get(name, (float("-inf"), None))
            is_due = now_s - at_s >= self.rates.heartbeat_s
            if engine.is_up and is_due:
                entry = engine.listed()
                self._entries[name] = now_s, entry
            elif now_s - at_s > 3.0 * max(0.5, self.rates.heartbeat_s):
                entry = None
            if entry is not None and now_s >= self.hidden_until_s[name]:
                found.append(entry)
        return found

    def _make_jobs(self):
        for i in range(self.job_count):
            draw = self.random.random
            steps = []
            for number in range(self.random.choice((1, 1, 2))):
                is_gang = draw() < 0.3
                count = self.random.choice((2, 3) if is_gang else (1, 2, 4))
                estimate_s = self.random.choice((0.3, 1.0, 2.0, 4.0, 8.0))
                steps.append(
                    harness.make_step(
                        count=count,
                        accelerators=self.random.choice((1, 2, 4, 8)),
                        estimate_s=estimate_s,
                        is_gang=is_gang,
                        after=(number - 1,) if number else (),
                    )
                )
            job = harness.make_job(
                f"j{i}", *steps, priority=0 if draw() < 0.25 else 1
            )
            at_s = draw() * self.length_s * 0.7
            for number, step in enumerate(steps):
                if step.is_gang:
                    name = f"{job.job}.0.{number}"
                    self.gang_sizes[name] = (step.count, step.estimate_s)
                for index in range(step.count):
                    task = f"{job.job}.0.{number}.{index}"
                    self.durations[task] = step.estimate_s * (
                        0.8 + 0.4 * draw()
                    )
            yield (
                at_s,
                dataclasses.replace(job, accepted_at_s=self.origin_s + at_s),
            )

    async def run(self):
        """Runs the simulation; returns the violations."""
        waiting = sorted(self._make_jobs(), key=lambda x: x[0])
        await self.elect_term()
        successor_at_s = None
        next_second_s = 1.0
        while (elapsed_s := self.clock.now() - self.origin_s) < (
            self.length_s + 25.0
        ):
            while waiting and waiting[0][0] <= elapsed_s:
                _, job = waiting.pop(0)
                self.jobs[job.job] = job
                await self.submit(job)
            if elapsed_s >= next_second_s:
                next_second_s += 1.0
                if elapsed_s < self.length_s:
                    successor_at_s = await self._disturb(
                        elapsed_s, successor_at_s
                    )
                else:
                    self.rates = Rates(
                        outliving=self.rates.outliving,
                        heartbeat_s=self.rates.heartbeat_s,
                        filters_answers=self.rates.filters_answers,
                    )
            if successor_at_s is not None and elapsed_s >= successor_at_s:
                successor_at_s = None
                await self.elect_term()
            self._end_outage()
            await self.clock.advance(TICK_S)
            self._observe()
        for task in list(self.background):
            task.cancel()
        await self.stop()
        return self.violations()

    def _end_outage(self):
        term = self.store_term
        if term.is_outage and self.clock.now() >= self.store_down_until_s:
            term.cut_at_s = float("inf")
            term.store.is_down = False
            term.is_outage = False

    async def _disturb(self, elapsed_s, successor_at_s):
        self._disturb_workers()
        self._disturb_writes()
        rates, draw = self.rates, self.random.random
        now_s = self.clock.now()
        term = self.store_term
        if successor_at_s is None and not term.is_outage:
            if draw() < rates.outage:
                self.store_down_until_s = now_s + self.random.uniform(0.5, 6)
                term.cut_at_s = now_s
                term.store.is_down = True
                term.is_outage = True
                self.log("store down")
            elif draw() < rates.replace:
                term.cut_at_s = now_s
                term.store.is_down = True
                current = self.terms[-1][0]
                if draw() < 0.5:
                    await self.kill(current)
                    self.log("killed")
                else:
                    self.log("cut off from the store")
                successor_at_s = elapsed_s + self.random.uniform(1.2, 3.0)
        return successor_at_s

    def _disturb_workers(self):
        rates, draw = self.rates, self.random.random
        now_s = self.clock.now()
        for name, engine in self.engines.items():
            if draw() < rates.cut and engine.is_up:
                engine.cut_until_s = now_s + self.random.uniform(0.5, 12.0)
                self.log("cut", name)
            if draw() < rates.crash and engine.is_up:
                self.spawn(self._crash(engine))
            if draw() < rates.unlist:
                self.hidden_until_s[name] = now_s + self.random.uniform(
                    0.5, 10.0
                )
                self.log("unlist", name)
            if draw() < rates.drain and not engine.is_draining:
                self.spawn(self._drain(engine))

    def _disturb_writes(self):
        rates, draw = self.rates, self.random.random
        term = self.store_term
        if draw() < rates.store_fault:
            kind = self.random.choice(("answer", "request", "late", "slow"))
            self.log("store", kind)
            if kind == "answer":
                term.store.lost_answers = 1
            elif kind == "request":
                term.store.lost_requests = 1
            elif kind == "slow":
                self.spawn(self._slow_store(term.store))
            else:
                self.spawn(self._late_write(term.store))

    async def _slow_store(self, faulty):
        faulty.delay_s = self.random.uniform(0.1, 0.8)
        await self.clock.sleep(2.0)
        faulty.delay_s = 0.0

    async def _late_write(self, faulty):
        faulty.defers_writes = True
        await self.clock.sleep(0.5)
        faulty.defers_writes = False
        await self.clock.sleep(self.random.uniform(0.0, 5.0))
        await faulty.deliver_deferred()

    async def _crash(self, engine):
        self.log("crash", engine.worker)
        engine.crash()
        await self.clock.sleep(self.random.choice((0.05, 0.5, 2.0, 5.0)))
        engine.begin_lifetime()
        self.log("restart", engine.worker, engine.lifetime)

    async def _drain(self, engine):
        engine.is_draining = True
        engine.leaves_in_s = 3.0
        self.log("drain", engine.worker)
        await self.clock.sleep(self.random.uniform(3.0, 6.0))
        if engine.is_up:
            engine.crash()
            await self.clock.sleep(2.0)
            engine.begin_lifetime()
        engine.is_draining = False
        engine.leaves_in_s = 0.0

    def _observe(self):
        for engine in self.engines.values():
            if engine.is_up:
                engine._advance()
        self._run_gangs()
        for job in self.jobs:
            entry = self.store._entries.get(keys.progress_key(job))
            if (
                entry
                and job not in self.completed_at_s
                and decode_state(entry.value) is JobState.COMPLETED
            ):
                self.completed_at_s[job] = self.clock.now()

    def _run_gangs(self):
        """Ends the members of gangs together."""
        present = collections.defaultdict(dict)
        for engine in self.engines.values():
            for task, run in engine._runs.items():
                step = _step_of(task)
                if engine.is_up and step in self.gang_sizes:
                    present[(step, run.run)][task] = (engine, run)
        begun = self._begun
        now_s = self.clock.now()
        for key, members in present.items():
            count, duration_s = self.gang_sizes[key[0]]
            if len(members) == count:
                begun.setdefault(key, now_s)
                if now_s - begun[key] < duration_s:
                    continue
                outcome = RunOutcome.DONE
            elif key in begun:
                outcome = RunOutcome.BROKEN
            else:
                outcome = RunOutcome.ALONE
            for task, (engine, run) in members.items():
                waits_s = now_s - run.started_at_s
                if outcome is not RunOutcome.ALONE or waits_s > GANG_TIMEOUT_S:
                    engine.end(task, outcome, now_s)

    def violations(self):
        """Returns what must not happen, in order of time."""
        found = []
        by_task = collections.defaultdict(list)
        for record in self.records:
            by_task[record.task].append(record)
            if not record.is_recorded:
                found.append((record.started_at_s, "not recorded", record))
            job, _ = parse_task_name(record.task)
            completed_at_s = self.completed_at_s.get(job, float("inf"))
            if record.started_at_s > completed_at_s + START_GRACE_S:
                found.append((record.started_at_s, "after completion", record))
        for records in by_task.values():
            found.extend(_compare(records))
        return [
            (round(at_s - self.origin_s, 3), *rest)
            for at_s, *rest in sorted(found, key=lambda x: x[0])
        ]


def _compare(records):
    for i, first in enumerate(records):
        for second in records[i + 1 :]:
            start_s = max(first.started_at_s, second.started_at_s)
            if start_s < min(first.ended_at_s, second.ended_at_s):
                yield start_s, "at the same time", first, second
            earlier, later = sorted(
                (first, second), key=lambda r: r.started_at_s
            )
            if (
                earlier.outcome == "done"
                and earlier.acknowledged_at_s is not None
                and not earlier.is_excused
                and later.started_at_s > earlier.ended_at_s
            ):
                yield later.started_at_s, "after the end", earlier, later


def _step_of(task):
    return task.rpartition(".")[0]


PROFILES = {
    # Takeovers, cuts and late calls, without restarts of workers.
    "takeover": Rates(
        slow_answer=0.3,
        slow_request=0.2,
        late=0.1,
        lost=0.05,
        cut=0.1,
        replace=0.12,
        outage=0.04,
        store_fault=0.2,
        block=0.2,
        unlist=0.04,
    ),
    # Restarts under the same id; calls do not outlive a lifetime.
    "restart": Rates(
        slow_answer=0.3,
        slow_request=0.2,
        late=0.1,
        lost=0.05,
        crash=0.06,
        block=0.15,
        drain=0.01,
        outliving=frozenset(),
        filters_answers=False,
    ),
    # Restarts; calls without an answer may reach the next lifetime.
    "late restart": Rates(
        slow_answer=0.3,
        slow_request=0.2,
        late=0.1,
        lost=0.05,
        crash=0.06,
        block=0.15,
        drain=0.01,
    ),
    "all": Rates(
        slow_answer=0.3,
        slow_request=0.2,
        late=0.1,
        lost=0.05,
        crash=0.05,
        cut=0.04,
        replace=0.08,
        outage=0.03,
        store_fault=0.1,
        block=0.15,
        unlist=0.02,
        drain=0.005,
    ),
}


def main():
    """Runs many seeds; prints violations, and all events of a single seed."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("profile", choices=sorted(PROFILES))
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int, nargs="?", default=1)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    bad = 0
    for seed in range(options.first, options.first + options.count):
        simulation = Simulation(seed=seed, rates=PROFILES[options.profile])
        found = asyncio.run(simulation.run())
        bad += bool(found)
        for violation in found:
            print(options.profile, seed, *violation, sep="\n    ")
        if options.count == 1:
            for event in simulation.events:
                print(*event)
    print(f"{options.profile}: {bad} of {options.count} seeds violate")


if __name__ == "__main__":
    main()
