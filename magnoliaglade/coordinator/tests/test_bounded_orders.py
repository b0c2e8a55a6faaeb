"""Thousands of orders at once: orders in flight and connections are bounded.

The limits are those of `docs/design/bounded_orders.md`.
"""

import asyncio
import collections

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import fleet, platform
from magnoliaglade.coordinator import _link, _orders
from magnoliaglade.coordinator.tests import harness
from magnoliaglade.http import _connection
from magnoliaglade.jobs import (
    AttemptState,
    JobProgress,
    StepKey,
    StopCause,
)
from magnoliaglade.standins.worker_engine import WorkerEngine
from magnoliaglade.types import Epoch, WorkerId

WORKERS = 24
# Of one kind, starts or stops, over all workers and for each worker.
MAX_IN_FLIGHT = 320
MAX_IN_FLIGHT_PER_WORKER = 8
# Calls that a connection takes part in before a call ends, in iterations of the
# event loop.
CALL_ITERATIONS = 5


class FakeConnection:
    """Answers every order after some iterations of the event loop."""

    is_reusable = True

    def __init__(self, network, url):
        self.network = network
        self.url = url

    def close(self):
        self.network.open[self.url] -= 1

    async def exchange(self, method, target, headers, body, on_data):
        del method, target, headers, body, on_data
        with self.network.count_call(self.url):
            for _ in range(CALL_ITERATIONS):
                await asyncio.sleep(0)
        return 200, b'{"clockMs": 1000}'


class FakeNetwork:
    """Counts connections and calls in flight, by address of the worker."""

    def __init__(self):
        self.opened = 0
        self.answered = 0
        self.open = collections.Counter()
        self.in_flight = collections.Counter()
        self.most_open_per_worker = 0
        self.most_in_flight = 0
        self.most_in_flight_per_worker = 0

    async def connect(self, url):
        self.opened += 1
        self.open[url] += 1
        self.most_open_per_worker = max(
            self.most_open_per_worker, self.open[url]
        )
        await asyncio.sleep(0)
        return FakeConnection(self, url)

    def count_call(self, url):
        return _CountedCall(self, url)


class _CountedCall:
    def __init__(self, network, url):
        self.network = network
        self.url = url

    def __enter__(self):
        network = self.network
        network.in_flight[self.url] += 1
        network.most_in_flight = max(
            network.most_in_flight, network.in_flight.total()
        )
        network.most_in_flight_per_worker = max(
            network.most_in_flight_per_worker, network.in_flight[self.url]
        )

    def __exit__(self, *_):
        self.network.in_flight[self.url] -= 1
        self.network.answered += 1


class GrantedPermission:
    """Grants orders, and starts, as its attributes say."""

    orders = True
    starts = True

    def may_send_orders(self):
        return self.orders

    def may_start(self):
        return self.orders and self.starts


class Pool:
    """An `OrderSender` with links to workers and the runs that it handles."""

    def __init__(self, connect, *, workers=WORKERS):
        self.clock = clock_lib.ManualClock()
        self.permission = GrantedPermission()
        self.ends = []
        self.links = {}
        for number in range(workers):
            engine = WorkerEngine(
                clock=self.clock,
                worker=WorkerId(f"w{number}"),
                duration_s=lambda _: 60.0,
            )
            engine.address = f"127.0.0.1:{number + 1}"
            link = _link.WorkerLink(
                listed=engine.listed(),
                owner=None,
                clock=self.clock,
                connect=connect,
                lease=fleet.LeaseBound(longest_lease_s=6.0),
            )
            link.lease.observe_clock(1_000, now_s=self.clock.now())
            link.reported_at_s = self.clock.now()
            self.links[link.worker] = link
        self.sender = _orders.OrderSender(
            links=self.links,
            clock=self.clock,
            epoch=Epoch(1),
            permission=self.permission,
            on_end=self._end_run,
            on_fenced=lambda _: None,
        )

    def plan_runs(self, name, count, *, workers=None, **step_fields):
        """Returns a job and its planned runs, dealt out over the workers."""
        progress = JobProgress(
            job=harness.make_job(
                name, harness.make_step(count=count, **step_fields)
            )
        )
        workers = workers or list(self.links)
        placed = [
            (i, w, self.links[w].lifetime)
            for i in range(count)
            for w in [workers[i % len(workers)]]
        ]
        keys = progress.add_planned_runs(StepKey(0, 0), placed, now_s=0.0)
        return progress, [(k, progress.task(k).attempt) for k in keys]

    def start(self, progress, runs, **fields):
        for key, attempt in runs:
            self.sender.send_start(progress, key, attempt, **fields)

    def stop(self, progress, runs, cause=StopCause.JOB_ENDED, **fields):
        for key, attempt in runs:
            self.sender.send_stop(progress, key, attempt, cause, **fields)

    async def settle(self, condition, iterations=100_000):
        for _ in range(iterations):
            if condition():
                return
            await asyncio.sleep(0)
        raise AssertionError("the condition was not reached")

    def _end_run(self, progress, key, run, outcome):
        attempt = progress.task(key).attempt
        progress.end_run(key, run, outcome, now_s=self.clock.now())
        self.ends.append((key, outcome, attempt.loss_cause))


@pytest.fixture
def network(monkeypatch):
    network = FakeNetwork()
    monkeypatch.setattr(_connection, "connect", network.connect)
    return network


def connect(listed):
    return platform.PlatformWorker(worker=listed.worker, address=listed.address)


class TestThousandsOfOrders:
    """Guards against a term that is lost while its orders open connections."""

    def check_limits(self, network):
        assert network.most_in_flight <= MAX_IN_FLIGHT
        assert network.most_in_flight_per_worker <= MAX_IN_FLIGHT_PER_WORKER
        assert network.most_open_per_worker <= MAX_IN_FLIGHT_PER_WORKER
        # Connections are reused: their number does not grow with the orders.
        assert network.opened <= 2 * MAX_IN_FLIGHT

    async def test_starts_after_a_power_failure(self, network):
        pool = Pool(connect)
        planned = [pool.plan_runs(f"j{n}", 700) for n in range(8)]
        for progress, runs in planned:
            pool.start(progress, runs)
        await pool.settle(lambda: network.answered == 5_600)
        self.check_limits(network)
        await pool.sender.close()
        states = {a.state for _, runs in planned for _, a in runs}
        assert states == {AttemptState.RUNNING}

    async def test_stops_of_cancelled_jobs(self, network):
        pool = Pool(connect)
        planned = [pool.plan_runs(f"j{n}", 500) for n in range(8)]
        for progress, runs in planned:
            for _, attempt in runs:
                attempt.state = AttemptState.RUNNING
            pool.stop(progress, runs)
        await pool.settle(lambda: network.answered == 4_000)
        self.check_limits(network)
        await pool.sender.close()
        assert not pool.ends
