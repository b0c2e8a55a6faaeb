"""Tests of the launch of a gang with a failure at each step."""

import pytest

from magnoliaglade import execution, scheduling
from magnoliaglade import store as store_lib
from magnoliaglade.execution import _calls, _journal, _launch
from magnoliaglade.execution.tests import harness
from magnoliaglade.types import WorkerId

_BEFORE_ACTIVATION = (
    execution.LaunchStep.RESERVE,
    execution.LaunchStep.DECIDE,
    execution.LaunchStep.COMMIT,
)


class Fixture:
    """A launcher with two workers; the gang has one task on each."""

    async def open(self, *, on_step=None):
        self.cluster = harness.Cluster()
        self.node = harness.Node(self.cluster, "a")
        owned = await self.node.acquire()
        log = store_lib.SingleWriterLog(
            store=self.node.store,
            clock=self.cluster.clock,
            name=owned.domain,
            writer=self.node.name,
            epoch=owned.epoch,
        )
        await log.open()
        self.journal = _journal.Journal(log=log, table=execution.JobTable())
        self.is_permitted = self.is_cancelled = False
        self.launcher = _launch.Launcher(
            domain=owned.domain,
            clock=self.cluster.clock,
            calls=_calls.WorkerCalls(
                clock=self.cluster.clock,
                client=self.node.links.__getitem__,
                authority=_calls.OwnerAuthority(
                    owned=owned, is_permitted=lambda: self.is_permitted
                ),
            ),
            journal=self.journal,
            may_start=lambda: bool(self.node.startable),
            may_start_unrecorded=lambda: self.is_permitted,
            is_wanted=lambda *_: not self.is_cancelled,
            on_step=on_step,
        )
        return self

    async def launch(self, **options):
        spec = harness.make_spec("j", **options)
        await self.journal.write_eventually(execution.Accepted(spec=spec))
        placement = scheduling.Placement(
            job=spec.gang.job,
            assignments=((WorkerId("w0"), 1), (WorkerId("w1"), 1)),
        )
        return await self.launcher.launch(
            _launch.Launch(
                spec=spec, attempt=1, checkpoint="", placement=placement
            )
        )


class TestLauncher:
    async def test_whole_gang_starts(self):
        fixture = await Fixture().open()
        result = await fixture.launch()
        assert result.outcome is execution.LaunchOutcome.STARTED
        await fixture.cluster.clock.advance(10)
        assert len(fixture.cluster.running("j")) == 2
        await fixture.node.close()

    @pytest.mark.parametrize("step", execution.LaunchStep)
    @pytest.mark.parametrize("fault", ["cut", "lease", "zone", "cancel"])
    async def test_fault_before_a_step(self, step, fault):
        """Guards against part of a gang that runs beyond the bound."""
        fixture = Fixture()

        async def on_step(current, _):
            if current is not step:
                return
            if fault == "cut":
                fixture.node.links["w1"].is_cut = True
            elif fault == "lease":
                fixture.node.lease._granted = None
            elif fault == "zone":
                fixture.node.startable = frozenset()
            else:
                fixture.is_cancelled = True

        await fixture.open(on_step=on_step)
        result = await fixture.launch()
        if fault in ("zone", "cancel") and step in _BEFORE_ACTIVATION:
            for worker in fixture.cluster.workers.values():
                assert (worker._reservations, worker._tasks) == ({}, {})
        await fixture.cluster.clock.advance(execution.TASK_LEASE_TTL_S)
        passes = step is execution.LaunchStep.CONFIRM and fault == "zone"
        if passes:
            assert result.outcome is execution.LaunchOutcome.STARTED
        else:
            assert result.outcome is not execution.LaunchOutcome.STARTED
            is_confirming = step is execution.LaunchStep.CONFIRM
            # A member that is already confirmed runs until its lease ends
            # or the caller of the launch stops it.
            bound_s = 20.0 if is_confirming and fault == "cut" else 3.0
            assert fixture.cluster.partial_s("j") <= bound_s
        if step in _BEFORE_ACTIVATION:
            assert fixture.cluster.runs("j") == []
        await fixture.node.close()

    async def test_lost_answers_are_asked_for_again(self):
        """Guards against a launch that one lost answer brings down."""
        fixture = Fixture()

        async def on_step(step, _):
            if step is not execution.LaunchStep.DECIDE:
                fixture.node.links["w0"].lost_answers = 1

        await fixture.open(on_step=on_step)
        result = await fixture.launch()
        assert result.outcome is execution.LaunchOutcome.STARTED
        assert len(fixture.cluster.runs("j")) == 2
        await fixture.node.close()

    @pytest.mark.parametrize("at_most_once", [False, True])
    @pytest.mark.parametrize("is_permitted", [False, True])
    async def test_store_down(self, at_most_once, is_permitted):
        """Guards against an at-most-once start without a record."""
        fixture = Fixture()

        async def on_step(step, _):
            if step is execution.LaunchStep.DECIDE:
                fixture.node.store.is_down = True

        await fixture.open(on_step=on_step)
        fixture.is_permitted = is_permitted
        result = await fixture.launch(at_most_once=at_most_once)
        starts = is_permitted and not at_most_once
        is_started = result.outcome is execution.LaunchOutcome.STARTED
        assert is_started == starts
        assert bool(fixture.cluster.runs("j")) == starts
        assert fixture.journal.deferred_count == starts
        await fixture.node.close()

    async def test_worker_that_fails_starts_is_named(self):
        """Guards against quarantine of the wrong member."""
        fixture = await Fixture().open()
        fixture.cluster.workers["w1"].fails_starts = True
        result = await fixture.launch()
        assert result.outcome is execution.LaunchOutcome.MAY_HAVE_RUN
        assert result.error.worker == "w1"
        await fixture.node.close()
