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


class TestUnansweredStarts:
    """Workers leave orders unanswered and carry them out seconds later."""

    async def start_gang(self, deployment, *, deferred_orders):
        await deployment.elect()
        await deployment.clock.advance(0.5)
        for engine in deployment.engines.values():
            engine.faults.deferred_orders = deferred_orders
        return await deployment.submit(
            harness.make_job(
                "a", harness.make_step(count=4, accelerators=8, is_gang=True)
            )
        )

    async def test_repeated_order_starts_the_gang(self, deployment):
        # Guards against a gang that is stopped, and starts anew, since one
        # order had no answer.
        job = await self.start_gang(deployment, deferred_orders=1)
        await deployment.clock.advance(2.0)
        assert [s.run for s in deployment.starts(job)] == [1] * 4

    async def test_order_that_is_carried_out_late_starts_nothing(
        self, deployment
    ):
        # Guards against a second run of a task that has ended meanwhile.
        job = await self.start_gang(deployment, deferred_orders=1)
        await deployment.clock.advance(2.0)
        for engine in deployment.engines.values():
            engine.deliver_deferred()
        await deployment.clock.advance(6.0)
        assert [s.run for s in deployment.starts(job)] == [1] * 4

    async def test_order_without_any_answer_is_settled_by_a_stop(
        self, deployment
    ):
        # Guards against capacity that is given away while an order may still
        # be carried out.
        job = await self.start_gang(deployment, deferred_orders=100)
        await deployment.clock.advance(5.0)
        for engine in deployment.engines.values():
            engine.faults.deferred_orders = 0
            engine.deliver_deferred()
        await deployment.clock.advance(12.0)
        runs = [s.run for s in deployment.starts(job)]
        assert len(runs) == 4
        assert len(set(runs)) == 1
