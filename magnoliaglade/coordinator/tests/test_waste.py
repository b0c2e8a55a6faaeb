import pytest

from magnoliaglade.coordinator import _waste
from magnoliaglade.coordinator.tests import harness
from magnoliaglade.jobs import JobState, RunOutcome

SPEC = harness.make_step(accelerators=1, cores_m=2_000)
# Two cores, and eight that the accelerator counts as.
CORES = 10.0


class TestWaste:
    def test_stopped_run_is_wasted(self):
        wasted = _waste.wasted_core_s(SPEC, RunOutcome.STOPPED, 3.0)
        assert wasted == pytest.approx(3.0 * CORES)

    def test_completed_or_saved_work_is_not_wasted(self):
        checkpointable = harness.make_step(is_checkpointable=True)
        long_running = harness.make_step(is_long_running=True)
        assert not _waste.wasted_core_s(SPEC, RunOutcome.DONE, 3.0)
        assert not _waste.wasted_core_s(checkpointable, RunOutcome.STOPPED, 3.0)
        assert not _waste.wasted_core_s(long_running, RunOutcome.LAPSED, 3.0)


class TestCauses:
    async def test_preemption_is_counted_by_its_cause(self):
        deployment = harness.Deployment(duration_s=30.0)
        current = await deployment.elect()
        counted = []
        current._waste.observe_waste = lambda *waste: counted.append(waste)
        for i in range(4):
            await deployment.submit(
                harness.make_job(f"low{i}", harness.make_step(accelerators=8))
            )
        await deployment.clock.advance(2.0)
        urgent = harness.make_job(
            "urgent", harness.make_step(accelerators=8), priority=0
        )
        await deployment.submit(urgent)
        await deployment.clock.advance(2.0)
        (waste,) = counted
        assert waste[0] == "guarantee"
        assert waste[1] > 0.0
        await deployment.cancel(urgent.job)
        await deployment.clock.advance(1.0)
        assert counted[1][0] == "job ended"
        assert await deployment.state(urgent.job) is JobState.CANCELLED
        await deployment.stop()
