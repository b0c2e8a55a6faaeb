import pytest

from magnoliaglade.coordinator.tests import harness
from magnoliaglade.jobs import StepKey, StopCause


@pytest.fixture
async def deployment():
    deployment = harness.Deployment()
    yield deployment
    await deployment.stop()


class TestStartAndStop:
    async def test_stop_right_after_start_leaves_no_run(self, deployment):
        # Guards against a start order that is sent after its run was given up.
        # On a full pool a plan may preempt a run that the plan before has just
        # sent, and the next run then conflicts with it on the worker.
        current = await deployment.elect()
        await deployment.clock.advance(0.5)
        progress = current.table.add(harness.make_job("a"))
        (link,) = [x for w, x in current.links.items() if w == "w0"]
        (key,) = current.table.add_planned_runs(
            progress,
            StepKey(0, 0),
            [(0, link.worker, link.lifetime)],
            now_s=deployment.clock.time(),
        )
        attempt = progress.task(key).attempt
        current.sender.send_start(progress, key, attempt)
        current.sender.send_stop(progress, key, attempt, StopCause.PRIORITY)
        was_given_up = progress.task(key).attempt is None
        await deployment.clock.advance(0.02)
        is_running = bool(deployment.engines["w0"].running)
        assert not (was_given_up and is_running)
        await deployment.clock.advance(1.0)
        # Any run that is running now was planned after the stop.
        assert 1 not in deployment.engines["w0"].running.values()
