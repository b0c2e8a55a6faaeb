"""States shown to callers while the store does not reply, across a takeover."""

import asyncio
import contextlib

import pytest

from magnoliaglade import gateway, routing, store
from magnoliaglade.coordinator.tests import harness
from magnoliaglade.gateway import CallOutcome
from magnoliaglade.jobs import JobState, keys

# Time, in seconds, after a job was shown as completed from which none of its
# tasks may start.
MAX_START_DELAY_S = 1.0


class Caller:
    """Asks one gateway, whose store can be down, for the state of a job.

    Attributes:
        store: the gateway's way to the store.
        shown: times and states that it was shown, in order.
    """

    def __init__(self, deployment, current):
        self.deployment = deployment
        self.clock = deployment.clock
        self.store = deployment.faulty_store()
        self.shown = []
        monitored = store.MonitoredStore(store=self.store, clock=self.clock)
        self.gateway = gateway.Gateway(
            store=monitored,
            clock=self.clock,
            configuration_watcher=routing.ConfigurationWatcher(
                store=monitored,
                clock=self.clock,
                prefix="op/",
                decode=lambda _: routing.OperatorState(
                    configuration=None, removed_zones=frozenset()
                ),
            ),
            revoke_s=5.0,
            query_coordinator=self._query_coordinator,
        )
        self.coordinator = current
        self._confirm_task = asyncio.ensure_future(
            self.gateway.confirm_completions()
        )

    async def ask(self, job):
        call = asyncio.ensure_future(
            self.gateway.state(job=job, account=harness.ACCOUNT, timeout_s=1.0)
        )
        while not call.done():
            await self.clock.advance(0.05)
        result = call.result()
        if result.outcome is CallOutcome.ACCEPTED:
            self.shown.append((self.clock.now(), result.state))
        return result.state

    async def stop(self):
        """Ends the gateway; what it has not stored is lost."""
        self._confirm_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._confirm_task

    def completed_at_s(self):
        """Returns when the job was first shown as completed."""
        times = [t for t, state in self.shown if state is JobState.COMPLETED]
        return min(times, default=float("inf"))

    async def _query_coordinator(self, job):
        # An instance whose term has ended answers nothing.
        for current, task in self.deployment.terms:
            if current is self.coordinator and not task.done():
                return current.summary(job)
        return None


def late_starts(deployment, caller, job):
    """Returns starts over a second after the job was shown as completed."""
    latest_s = caller.completed_at_s() + MAX_START_DELAY_S
    return [s for s in deployment.starts(job) if s.at_s > latest_s]


def lose_worker(deployment, worker, how):
    engine = deployment.engines[worker]
    if how == "restarts":
        engine.restart()
        return
    deployment.unlisted.add(worker)
    engine.faults.is_cut = True


@pytest.fixture
async def deployment():
    deployment = harness.Deployment()
    yield deployment
    await deployment.stop()


class OutageScenario:
    """A job whose only run ends while its coordinator lacks the store."""

    def __init__(self, deployment):
        self.deployment = deployment

    async def begin(self, *, fails=False, **fields):
        deployment = self.deployment
        self.first = await deployment.elect(deployment.faulty_store())
        self.caller = Caller(deployment, self.first)
        self.job = await deployment.submit(harness.make_job("a", **fields))
        await deployment.clock.advance(1.0)
        (self.worker,) = deployment.workers_running(f"{self.job}.0.0.0")
        deployment.engines[self.worker].faults.fails_all = fails
        self.first.store.is_down = True
        self.caller.store.is_down = True
        await deployment.clock.advance(5.0)
        assert not deployment.workers_running(f"{self.job}.0.0.0")

    async def show(self):
        await self.caller.ask(self.job)
        await self.deployment.clock.advance(MAX_START_DELAY_S + 0.05)


@pytest.fixture
async def scenario(deployment):
    scenario = OutageScenario(deployment)
    yield scenario
    await scenario.caller.stop()


class TestTakeoverAfterAnOutage:
    # Load pattern: the store is down, a job ends and its caller asks for it;
    # then coordinator and worker are lost. Guards against a second run of a job
    # that its caller has seen as completed.

    @pytest.mark.parametrize("loss", ["restarts", "leaves"])
    @pytest.mark.parametrize("gateway_store_delay_s", [0.0, 20.0])
    async def test_completed_job_does_not_start_again(
        self, deployment, scenario, loss, gateway_store_delay_s
    ):
        await scenario.begin()
        await scenario.show()
        await deployment.kill(scenario.first)
        lose_worker(deployment, scenario.worker, loss)
        if gateway_store_delay_s == 0.0:
            scenario.caller.store.is_down = False
        await deployment.elect()
        await deployment.clock.advance(20.0)
        scenario.caller.store.is_down = False
        await deployment.clock.advance(20.0)
        assert not late_starts(deployment, scenario.caller, scenario.job)
        assert await deployment.state(scenario.job) is JobState.COMPLETED

    async def test_completed_job_does_not_start_again_without_its_gateway(
        self, deployment, scenario
    ):
        await scenario.begin()
        await scenario.show()
        await scenario.caller.stop()
        await deployment.kill(scenario.first)
        lose_worker(deployment, scenario.worker, "leaves")
        await deployment.elect()
        await deployment.clock.advance(30.0)
        assert not late_starts(deployment, scenario.caller, scenario.job)

    async def test_failed_job_stays_failed(self, deployment, scenario):
        await scenario.begin(fails=True, max_attempts=1)
        await scenario.show()
        await deployment.kill(scenario.first)
        lose_worker(deployment, scenario.worker, "restarts")
        deployment.engines[scenario.worker].faults.fails_all = False
        await deployment.elect()
        await deployment.clock.advance(30.0)
        shown = {state for _, state in scenario.caller.shown}
        state = await deployment.state(scenario.job)
        assert JobState.FAILED not in shown or state is JobState.FAILED
        assert shown == {JobState.RUNNING}

    async def test_completed_job_is_not_cancelled_later(
        self, deployment, scenario
    ):
        await scenario.begin()
        await scenario.show()
        await deployment.kill(scenario.first)
        lose_worker(deployment, scenario.worker, "restarts")
        await deployment.cancel(scenario.job)
        await deployment.elect()
        await deployment.clock.advance(5.0)
        shown = {state for _, state in scenario.caller.shown}
        state = await deployment.state(scenario.job)
        assert JobState.COMPLETED not in shown or state is JobState.COMPLETED
        assert shown == {JobState.RUNNING}


class TestDeposedCoordinator:
    # Load pattern: the coordinator alone is cut off from the store, and callers
    # ask the gateway of its instance. Guards against answers that its successor
    # does not know.

    async def test_job_shown_before_the_takeover_does_not_start_again(
        self, deployment, scenario
    ):
        await scenario.begin()
        await scenario.show()
        lose_worker(deployment, scenario.worker, "restarts")
        await deployment.elect()
        await deployment.clock.advance(10.0)
        assert not late_starts(deployment, scenario.caller, scenario.job)

    async def test_job_shown_after_the_takeover_does_not_start_again(
        self, deployment, scenario
    ):
        # The predecessor reaches no worker either, so none tells it of its
        # successor, which waits for the lease of the lost worker to end.
        await scenario.begin()
        for link in scenario.first.links.values():
            await link.stop()
        lose_worker(deployment, scenario.worker, "leaves")
        await deployment.elect()
        await deployment.clock.advance(10.0)
        assert len(deployment.starts(scenario.job)) == 1
        await scenario.show()
        await deployment.clock.advance(20.0)
        assert not late_starts(deployment, scenario.caller, scenario.job)


class TestLateCompletionEntry:
    async def test_run_of_the_successor_is_stopped(self, deployment, scenario):
        # An entry of a gateway arrives after the successor has started the job
        # again: the second run ends, and no further one starts.
        await scenario.begin()
        await deployment.kill(scenario.first)
        lose_worker(deployment, scenario.worker, "restarts")
        await deployment.elect()
        await deployment.clock.advance(1.0)
        assert len(deployment.starts(scenario.job)) == 2
        await deployment.store.put(
            keys.completion_key(scenario.job), b"", expected=0
        )
        await deployment.clock.advance(1.0)
        assert deployment.workers_running(f"{scenario.job}.0.0.0") == []
        await deployment.clock.advance(20.0)
        assert len(deployment.starts(scenario.job)) == 2
        assert await deployment.state(scenario.job) is JobState.COMPLETED


class TestShownStates:
    async def test_end_is_shown_once_it_is_stored(self, deployment, scenario):
        # Guards against a completion that stays hidden after the store replies
        # to the coordinator again.
        await scenario.begin()
        scenario.first.store.is_down = False
        await deployment.clock.advance(0.5)
        assert await scenario.caller.ask(scenario.job) is JobState.COMPLETED

    async def test_stored_end_is_shown_without_the_store(
        self, deployment, scenario
    ):
        await scenario.begin()
        scenario.first.store.is_down = False
        await deployment.clock.advance(0.5)
        scenario.first.store.is_down = True
        deployment.unconfirmed_s = 60.0
        assert await scenario.caller.ask(scenario.job) is JobState.COMPLETED

    async def test_end_that_is_not_stored_becomes_unknown(
        self, deployment, scenario
    ):
        # A successor may have started the job again, or ended it, by then.
        await scenario.begin()
        deployment.unconfirmed_s = 9.0
        assert await scenario.caller.ask(scenario.job) is None

    @pytest.mark.parametrize("fails", [False, True])
    async def test_end_is_not_shown_before_it_is_stored(
        self, deployment, scenario, fails
    ):
        await scenario.begin(fails=fails, max_attempts=1)
        shown = await scenario.caller.ask(scenario.job)
        assert shown is await deployment.state(scenario.job)

    async def test_stored_cancellation_is_shown_at_once(self, deployment):
        # The cancellation itself is stored, so each successor applies it.
        deployment.duration_s = 60.0
        first = await deployment.elect(deployment.faulty_store())
        caller = Caller(deployment, first)
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        first.store.transact = _refuse
        caller.store.is_down = True
        await deployment.cancel(job)
        await deployment.clock.advance(0.5)
        assert await deployment.state(job) is JobState.RUNNING
        assert await caller.ask(job) is JobState.CANCELLED
        await caller.stop()


async def _refuse(**_):
    raise store.StoreUnavailableError("refused")
