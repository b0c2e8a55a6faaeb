"""Tasks that run twice: at the same time, or again after they are done.

The cases by hand involve a worker that restarts under its id, so that calls
meant for the earlier lifetime reach the later one.
"""

import dataclasses

import pytest

from magnoliaglade import fleet
from magnoliaglade.coordinator import _reconcile
from magnoliaglade.coordinator.tests import harness, simulation
from magnoliaglade.jobs import TaskKey
from magnoliaglade.types import Lifetime

# Time in which the coordinator polls a worker that has restarted, in seconds.
DETECTION_S = 3.0


@pytest.fixture
async def deployment():
    deployment = harness.Deployment(workers=2)
    yield deployment
    await deployment.stop()


async def defer_start(deployment):
    """Leaves a start unanswered; returns the task and its worker."""
    deployment.duration_s = 30.0
    await deployment.clock.advance(0.5)
    for engine in deployment.engines.values():
        engine.faults.defers_orders = True
    job = await deployment.submit(harness.make_job("a"))
    await deployment.clock.advance(0.1)
    for engine in deployment.engines.values():
        engine.faults.defers_orders = False
    (holder,) = [e for e in deployment.engines.values() if e.deferred]
    # The next run is on the other worker.
    holder.is_draining = True
    holder.leaves_in_s = 4.0
    return f"{job}.0.0.0", holder


class TestStartThatReachesTheNextLifetime:
    async def restart_and_deliver(self, deployment, task, holder, *, delay_s):
        await deployment.clock.advance(5.0)
        assert deployment.workers_running(task) != []
        assert task not in holder.running
        holder.restart()
        holder.is_draining = False
        await deployment.clock.advance(delay_s)
        holder.deliver_deferred()
        for _ in range(20):
            assert len(deployment.workers_running(task)) <= 1
            await deployment.clock.advance(0.05)

    async def test_stopped_start_runs_beside_the_next_run(self, deployment):
        # Guards against a start that was settled by a stop, and then reaches a
        # lifetime of the worker that does not know of the stop.
        await deployment.elect()
        task, holder = await defer_start(deployment)
        holder.faults.defers_orders = True
        await deployment.clock.advance(1.2)
        holder.faults.defers_orders = False
        await self.restart_and_deliver(
            deployment, task, holder, delay_s=DETECTION_S
        )

    async def test_start_of_a_predecessor_runs_beside_the_next_run(
        self, deployment
    ):
        first = await deployment.elect()
        task, holder = await defer_start(deployment)
        await deployment.kill(first)
        await deployment.elect()
        await self.restart_and_deliver(
            deployment, task, holder, delay_s=DETECTION_S
        )


class TestEndInTheNextLifetime:
    async def test_end_is_acknowledged_before_it_was_reported(self):
        # Guards against a poll that acknowledges the ends of an earlier
        # lifetime, and makes the later one forget ends with these numbers.
        deployment = harness.Deployment(workers=1)
        (engine,) = deployment.engines.values()
        await deployment.elect()
        deployment.duration_s = 0.1
        await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        engine.restart()
        job = await deployment.submit(harness.make_job("b"))
        await deployment.clock.advance(5.0)
        await deployment.stop()
        assert [s.run for s in deployment.starts(job)] == [1]


class TestOvertakenReport:
    def test_run_that_started_after_the_report_is_not_lost(self):
        # Guards against a second run of a task that the next lifetime has
        # started between its report and the arrival of that report.
        item = _reconcile.ExpectedRun(
            job=harness.job_id("a"),
            key=TaskKey(0, 0, 0),
            run=1,
            lifetime=Lifetime(1),
            settled_at_s=10.0,
            is_sent=True,
        )
        report = fleet.WorkerReport(
            lifetime=Lifetime(2), clock_ms=1, running=(), ended=()
        )
        result = _reconcile.reconcile(
            [item], report, requested_at_s=9.9, applied_end=0
        )
        assert result.lost == ()


class TestRandomFaults:
    """See `simulation.py`, which also runs many seeds by hand."""

    @pytest.mark.parametrize("seed", range(3))
    async def test_takeovers_run_no_task_twice(self, seed):
        rates = simulation.PROFILES["takeover"]
        run = simulation.Simulation(
            seed=seed, rates=rates, duration_s=20.0, jobs=8
        )
        assert await run.run() == []
        assert run.records

    @pytest.mark.parametrize("seed", range(2))
    async def test_quick_restarts_run_no_task_twice(self, seed):
        rates = dataclasses.replace(simulation.PROFILES["restart"], late=0.0)
        run = simulation.Simulation(
            seed=seed, rates=rates, duration_s=20.0, jobs=8
        )
        assert await run.run() == []
        assert run.records
