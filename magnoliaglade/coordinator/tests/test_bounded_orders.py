"""Thousands of orders at once: orders in flight and connections are bounded.

The limits are those of `docs/design/bounded_orders.md`.
"""

import asyncio
import collections

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import fleet, platform
from magnoliaglade.coordinator import _link, _orders
from magnoliaglade.coordinator._dispatcher import Urgency
from magnoliaglade.coordinator.tests import harness
from magnoliaglade.http import _connection
from magnoliaglade.jobs import (
    AttemptState,
    JobProgress,
    LossCause,
    RunOutcome,
    StepKey,
    StopCause,
    TaskKey,
)
from magnoliaglade.standins.worker_engine import WorkerEngine
from magnoliaglade.types import Epoch, WorkerId

WORKERS = 24
# Limits for one kind, starts or stops, over all workers and for each worker.
MAX_IN_FLIGHT = 320
MAX_IN_FLIGHT_PER_WORKER = 8
# Calls that a connection takes part in before a call ends, in iterations of the
# event loop.
CALL_ITERATIONS = 5
CALL_TIMEOUT_S = 0.6
URGENT = Urgency(0, 0.0)
BATCH = Urgency(2, 0.0)


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


class FakeClient:
    """Records orders; answers them at once, or not at all if it is silent."""

    def __init__(self, pool, worker):
        self.pool = pool
        self.worker = worker
        self.is_silent = False

    async def start(self, order, *, may_send):
        return await self._answer("start", order.task, may_send)

    async def stop(self, *, task, run, epoch, may_send):
        del run, epoch
        return await self._answer("stop", task, may_send)

    async def _answer(self, kind, task, may_send):
        assert may_send()
        pool = self.pool
        pool.sent.append((kind, task))
        pool.in_flight[self.worker] += 1
        pool.most_in_flight = max(pool.most_in_flight, pool.in_flight.total())
        try:
            if self.is_silent:
                await pool.clock.sleep(CALL_TIMEOUT_S)
                raise fleet.OrderOutcomeUnknownError(self.worker)
            await asyncio.sleep(0)
        finally:
            pool.in_flight[self.worker] -= 1
        return fleet.OrderReply(outcome=fleet.OrderOutcome.DONE, clock_ms=1_000)


class Pool:
    """An `OrderSender` with links to workers and the runs that it handles."""

    def __init__(self, connect=None, *, workers=WORKERS):
        self.sent = []
        self.in_flight = collections.Counter()
        self.most_in_flight = 0
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
                connect=connect or self._connect,
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

    def plan_runs(self, name, count, *, on=None, priority=1, **step_fields):
        """Returns a job and its planned runs, dealt out over workers."""
        progress = JobProgress(
            job=harness.make_job(
                name,
                harness.make_step(count=count, **step_fields),
                priority=priority,
            )
        )
        workers = on or list(self.links)
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

    async def settle(self, condition, iterations=20_000):
        for _ in range(iterations):
            if condition():
                return
            await asyncio.sleep(0)
        raise AssertionError("the condition was not reached")

    def sent_at(self, progress):
        """Returns the ranks of a job's orders among all that were sent."""
        job = str(progress.job.job)
        return [i for i, (_, t) in enumerate(self.sent) if t.startswith(job)]

    def _connect(self, listed):
        return FakeClient(self, listed.worker)

    def _end_run(self, progress, key, run, outcome):
        attempt = progress.task(key).attempt
        progress.end_run(key, run, outcome, now_s=self.clock.now())
        self.ends.append((key, outcome, attempt.loss_cause))
        if progress.spec_of(StepKey(0, 0)).is_gang:
            # As the coordinator does for members that can't run alone.
            for index, other in list(progress.steps[StepKey(0, 0)].attempts()):
                if other.state is not AttemptState.STOPPING:
                    member = TaskKey(0, 0, index)
                    self.sender.send_stop(
                        progress, member, other, StopCause.GANG
                    )


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


class TestOrder:
    """Which of thousands of queued orders is sent next."""

    async def test_urgent_gang_precedes_queued_starts_and_stays_together(self):
        # Guards against members that wait for the others until they end.
        pool = Pool()
        batch, runs = pool.plan_runs("batch", 2_000)
        pool.start(batch, runs, urgency=BATCH)
        gang, members = pool.plan_runs("gang", 40, priority=0, is_gang=True)
        pool.start(gang, members, urgency=URGENT)
        await pool.settle(lambda: len(pool.sent) == 2_040)
        # All that was in flight before may come first.
        assert max(pool.sent_at(gang)) < MAX_IN_FLIGHT + 40
        await pool.sender.close()

    async def test_rest_of_a_begun_gang_precedes_a_more_urgent_gang(self):
        # Guards against two gangs that are both sent in part.
        pool = Pool(workers=4)
        first, members = pool.plan_runs("first", 100, is_gang=True)
        pool.start(first, members, urgency=BATCH)
        await asyncio.sleep(0)
        second, others = pool.plan_runs("second", 20, is_gang=True)
        pool.start(second, others, urgency=URGENT)
        await pool.settle(lambda: len(pool.sent) == 120)
        assert max(pool.sent_at(first)) < min(pool.sent_at(second))
        await pool.sender.close()

    async def test_stop_for_an_urgent_gang_precedes_other_stops(self):
        # Guards against a gang that waits for the stops of a cancelled job.
        pool = Pool()
        cancelled, runs = pool.plan_runs("cancelled", 4_000)
        victim, victim_runs = pool.plan_runs("victim", 8)
        for _, attempt in [*runs, *victim_runs]:
            attempt.state = AttemptState.RUNNING
        pool.stop(cancelled, runs)
        pool.stop(victim, victim_runs, StopCause.GUARANTEE, urgency=URGENT)
        await pool.settle(lambda: len(pool.sent) == 4_008)
        assert max(pool.sent_at(victim)) < MAX_IN_FLIGHT + 8
        await pool.sender.close()

    async def test_start_does_not_wait_for_queued_stops(self):
        # Guards against an urgent gang that is slower than on a calm pool: it
        # is sent in the next iteration of the event loop.
        pool = Pool()
        cancelled, runs = pool.plan_runs("cancelled", 4_000)
        for _, attempt in runs:
            attempt.state = AttemptState.RUNNING
        pool.stop(cancelled, runs)
        gang, members = pool.plan_runs("gang", 30, priority=0, is_gang=True)
        pool.start(gang, members, urgency=URGENT)
        await asyncio.sleep(0)
        assert len(pool.sent_at(gang)) == 30
        await pool.sender.close()


class TestErrors:
    async def test_error_does_not_hold_up_further_orders(self, monkeypatch):
        """Guards against a worker that gets no orders after one error."""
        pool = Pool(workers=1)
        job, runs = pool.plan_runs("job", 3)
        may_start = iter([True])

        def fail_once():
            if next(may_start, False):
                raise RuntimeError("unexpected")
            return True

        monkeypatch.setattr(pool.permission, "may_start", fail_once)
        pool.start(job, runs)
        await pool.settle(lambda: len(pool.sent_at(job)) >= 2)
        await pool.sender.close()


class TestUnresponsiveWorkers:
    @pytest.mark.parametrize("workers", [24, 176])
    @pytest.mark.parametrize("kind", ["start", "stop"])
    async def test_half_of_the_workers_do_not_delay_the_others(
        self, kind, workers
    ):
        # Guards against unanswered orders that use up the limit: the orders of
        # the other workers would wait for one call timeout after the other.
        pool = Pool(workers=workers)
        names = list(pool.links)
        silent, others = names[::2], names[1::2]
        for worker in silent:
            pool.links[worker].client.is_silent = True
        # The orders of the silent workers come first.
        first, silent_runs = pool.plan_runs("a", 20 * workers, on=silent)
        second, runs = pool.plan_runs("b", 20 * workers, on=others)
        if kind == "start":
            pool.start(first, silent_runs, urgency=URGENT)
            pool.start(second, runs, urgency=BATCH)
        else:
            for _, attempt in [*silent_runs, *runs]:
                attempt.state = AttemptState.RUNNING
            cause = StopCause.PRIORITY
            pool.stop(first, silent_runs, cause, urgency=URGENT)
            pool.stop(second, runs, cause, urgency=BATCH)
        # No unanswered call has ended by then.
        await pool.clock.advance(CALL_TIMEOUT_S - 0.1)
        await pool.settle(
            lambda: all(a.settled_at_s is not None for _, a in runs)
        )
        assert pool.most_in_flight <= MAX_IN_FLIGHT
        await pool.sender.close()


class TestQueuedOrders:
    """What becomes of queued orders that must not be sent."""

    def end_job(self, pool, progress, runs):
        pool.stop(progress, runs)

    def restart_workers(self, pool, progress, runs):
        del progress, runs
        for link in pool.links.values():
            link.lifetime += 1
            pool.sender.void_late_starts(link)

    def remove_workers(self, pool, progress, runs):
        del progress, runs
        pool.links.clear()
        pool.sender.check_queues()

    def lose_permission(self, pool, progress, runs):
        del progress, runs
        pool.permission.starts = False

    @pytest.mark.parametrize(
        "event",
        ["end_job", "restart_workers", "remove_workers", "lose_permission"],
    )
    async def test_start_is_reported_as_not_sent(self, event):
        # Guards against a run that starts although nothing waits for it, and
        # against one that stays planned for ever.
        pool = Pool()
        progress, runs = pool.plan_runs("a", 1_000)
        pool.start(progress, runs)
        getattr(self, event)(pool, progress, runs)
        in_flight = [a for _, a in runs if a.state is AttemptState.SENT]
        await pool.settle(lambda: not pool.sender.queued()["start"])
        sent = len(pool.sent)
        assert sent <= len(in_flight) <= MAX_IN_FLIGHT
        lost = [
            e
            for e in pool.ends
            if e[1:] == (RunOutcome.LOST, LossCause.NOT_SENT)
        ]
        assert len(lost) >= 1_000 - MAX_IN_FLIGHT
        await pool.sender.close()

    async def test_large_gang_is_reported_without_recursion(self):
        # Guards against a gang whose members end one within the other.
        pool = Pool()
        progress, runs = pool.plan_runs("a", 3_000, is_gang=True)
        pool.start(progress, runs)
        pool.permission.starts = False
        await pool.settle(lambda: not pool.sender.queued()["start"])
        assert len(pool.ends) >= 3_000 - MAX_IN_FLIGHT
        await pool.sender.close()

    async def test_end_of_the_term_reports_queued_starts(self):
        # Guards against a queued start that is sent after its term.
        pool = Pool()
        progress, runs = pool.plan_runs("a", 1_000)
        pool.start(progress, runs)
        await pool.sender.close()
        assert not pool.sent
        assert all(end[2] is LossCause.NOT_SENT for end in pool.ends)
        assert len(pool.ends) >= 1_000 - MAX_IN_FLIGHT

    async def test_stops_wait_for_the_permission(self):
        # Guards against stops that are lost while the store is unreachable.
        pool = Pool()
        progress, runs = pool.plan_runs("a", 1_000)
        for _, attempt in runs:
            attempt.state = AttemptState.RUNNING
        pool.permission.orders = False
        pool.stop(progress, runs)
        await pool.clock.advance(1.0)
        assert not pool.sent
        pool.permission.orders = True
        pool.sender.check_queues()
        await pool.settle(lambda: len(pool.sent) == 1_000)
        await pool.sender.close()
