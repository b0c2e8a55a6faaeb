"""Signals of runs that exist although they count as ended."""

import pytest

from magnoliaglade import fleet
from magnoliaglade.coordinator.tests import harness
from magnoliaglade.jobs import LossCause
from magnoliaglade.types import Epoch

RUN_S = 4.0


@pytest.fixture
async def deployment():
    deployment = harness.Deployment(workers=2, duration_s=RUN_S)
    yield deployment
    await deployment.stop()


def collect_loss_causes(current):
    """Returns a list that receives the cause of each lost run."""
    causes = []
    record = current._waste.record_run_end

    def record_run_end(progress, key, attempt, outcome, **fields):
        if attempt.loss_cause is not None:
            causes.append(attempt.loss_cause)
        record(progress, key, attempt, outcome, **fields)

    current._waste.record_run_end = record_run_end
    return causes


class TestUnexpectedRuns:
    async def test_run_and_end_that_nobody_expects_are_counted(
        self, deployment
    ):
        # Also guards against an error in the log line, which would end the
        # polling of the worker.
        current = await deployment.elect()
        await deployment.clock.advance(1.0)
        kinds = []
        current._reports.observe_unexpected = kinds.append
        engine = next(iter(deployment.engines.values()))
        engine._start(
            fleet.StartOrder(
                task=f"{harness.job_id('a')}.0.0.0",
                run=1,
                payload="",
                lease_until_ms=int((deployment.clock.now() + 6.0) * 1000),
                epoch=Epoch(current.epoch),
            )
        )
        await deployment.clock.advance(RUN_S + 2.0)
        assert kinds == ["run", "end"]
        assert engine.running == {}
        assert engine._ended == []


class TestLossCauses:
    async def lose(self, deployment, fault):
        current = await deployment.elect()
        causes = collect_loss_causes(current)
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        (holder,) = deployment.workers_running(f"{job}.0.0.0")
        fault(deployment, deployment.engines[holder])
        await deployment.clock.advance(10.0)
        return causes

    async def test_restart(self, deployment):
        causes = await self.lose(deployment, lambda _, e: e.restart())
        assert causes == [LossCause.RESTARTED]

    async def test_end_of_the_lease(self, deployment):
        def cut(_, engine):
            engine.faults.is_cut = True

        assert await self.lose(deployment, cut) == [LossCause.LEASE_ENDED]

    async def test_replacement(self, deployment):
        def replace(deployment, engine):
            engine.faults.is_replaced = True
            deployment.unlisted.add(engine.worker)

        assert await self.lose(deployment, replace) == [LossCause.REPLACED]

    async def test_run_that_its_worker_no_longer_lists(self, deployment):
        def forget(_, engine):
            engine._runs.clear()

        assert await self.lose(deployment, forget) == [LossCause.MISSING]
