"""Silent, slow and paused machines."""

import pytest

from magnoliaglade.coordinator.tests import harness

RUN_S = 12.0
# Shorter than the lease of a run, longer than a stalled run is waited for.
CUT_S = 4.4


@pytest.fixture
async def deployment():
    found = harness.Deployment(duration_s=RUN_S)
    yield found
    await found.stop()


async def submit_many(deployment, **fields):
    return [
        await deployment.submit(
            harness.make_job(
                f"j{i}", harness.make_step(estimate_s=RUN_S, **fields)
            )
        )
        for i in range(8)
    ]


class TestSilentWorkers:
    async def test_runs_go_on_through_a_cut(self, deployment):
        # Guards against runs that are given up as standing still because
        # their worker could not report.
        await deployment.elect()
        jobs = await submit_many(deployment, accelerators=4)
        for at_s in (3.0, 0.5):
            await deployment.clock.advance(at_s)
            for engine in deployment.engines.values():
                engine.faults.is_cut = True
            await deployment.clock.advance(CUT_S)
            for engine in deployment.engines.values():
                engine.faults.is_cut = False
        await deployment.clock.advance(RUN_S)
        assert len(deployment.starts()) == len(jobs)


class TestGangs:
    async def test_a_member_that_is_through_is_waited_for(self, deployment):
        # Guards against a gang that is thrown away because its fast members
        # stand at 100 percent until the slow ones are through.
        job = await deployment.submit(
            harness.make_job(
                "a",
                harness.make_step(
                    count=3, accelerators=8, estimate_s=RUN_S, is_gang=True
                ),
            )
        )
        for engine in list(deployment.engines.values())[:2]:
            engine.faults.is_ahead = True
        await deployment.elect()
        await deployment.clock.advance(RUN_S + 2.0)
        assert len(deployment.starts(job)) == 3
