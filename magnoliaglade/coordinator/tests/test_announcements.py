"""Entries that are announced before the watch returns them."""

from magnoliaglade import store
from magnoliaglade.coordinator.tests import harness
from magnoliaglade.jobs import JobState, keys


class TestCancellations:
    async def test_cancellation_announced_before_its_job_is_applied(self):
        # Guards against a cancelled job that runs: the announcement of the job
        # is lost, the one of its cancellation is not, and the intake is then
        # read in full, which reports only the job as changed.
        deployment = harness.Deployment()
        used_store = deployment.faulty_store()
        watch = used_store.watch
        lost_histories = 0

        async def watch_or_fail(prefix, **options):
            nonlocal lost_histories
            if lost_histories:
                lost_histories -= 1
                raise store.HistoryLostError("history is lost")
            return await watch(prefix, **options)

        used_store.watch = watch_or_fail
        used_store.withholds_changes = True
        current = await deployment.elect(used_store=used_store)
        await deployment.clock.advance(0.5)
        job = await deployment.submit(harness.make_job("a"))
        await deployment.cancel(job)
        entry = await deployment.store.get(keys.cancellation_key(job))
        current.accept_entry(entry)
        lost_histories = 1
        await deployment.clock.advance(2.0)
        used_store.withholds_changes = False
        await deployment.clock.advance(3.0)
        starts = deployment.starts(job)
        state = await deployment.state(job)
        await deployment.stop()
        assert starts == []
        assert state is JobState.CANCELLED
