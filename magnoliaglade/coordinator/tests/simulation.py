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

from magnoliaglade import placement, store
from magnoliaglade.coordinator.tests import harness
from magnoliaglade.coordinator.tests.simulated_worker import (
    Rates,
    SimulatedClient,
    SimulatedWorker,
    step_of,
)
from magnoliaglade.jobs import (
    JobState,
    RunOutcome,
    decode_progress,
    decode_state,
    keys,
    parse_task_name,
)
from magnoliaglade.standins import FaultyStore
from magnoliaglade.types import WorkerId

# Time, in seconds, for which a member of a gang waits for the others.
GANG_TIMEOUT_S = 4.0
# Step of the virtual clock in seconds.
TICK_S = 0.05
# Time, in seconds, after a recorded end or a stored completion after which
# nothing starts.
START_GRACE_S = 1.0


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
                step = step_of(task)
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
