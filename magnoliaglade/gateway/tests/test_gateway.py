import asyncio

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import gateway, jobs, routing, store
from magnoliaglade.gateway import CallOutcome
from magnoliaglade.jobs import keys
from magnoliaglade.standins import FaultyStore
from magnoliaglade.types import AccountId, JobId, QueueName, ServiceName

JOB = JobId("5c0e7a21d94b36f8")
ACCOUNT = AccountId("studio")
QUEUE = routing.Queue(
    name=QueueName("proofs"),
    host="h",
    prefix="/p/",
    service=ServiceName("render"),
    priority=1,
    max_attempts=2,
    stretch=3.0,
    objective_s=1.0,
)
SPEC = jobs.JobSpec(
    payload="x",
    steps=(jobs.StepSpec(count=1, demand=jobs.Resources(), estimate_s=1.0),),
)


class GatewayHarness:
    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.memory = store.InMemoryStore(clock=self.clock)
        self.faulty = FaultyStore(store=self.memory, clock=self.clock)
        self.monitored = store.MonitoredStore(
            store=self.faulty, clock=self.clock
        )
        self.configuration_watcher = routing.ConfigurationWatcher(
            store=self.monitored,
            clock=self.clock,
            prefix="op/",
            decode=lambda _: routing.OperatorState(
                configuration=None, removed_zones=frozenset()
            ),
        )
        self.gateway = gateway.Gateway(
            store=self.monitored,
            clock=self.clock,
            configuration_watcher=self.configuration_watcher,
            revoke_s=5.0,
        )

    async def run(self, call, *, timeout_s=4.0):
        task = asyncio.ensure_future(call)
        started_at_s = self.clock.now()
        while not task.done() and self.clock.now() < started_at_s + timeout_s:
            await self.clock.advance(0.05)
        assert task.done()
        return task.result(), self.clock.now() - started_at_s

    async def submit(self, *, account=ACCOUNT, spec=SPEC):
        result, duration_s = await self.run(
            self.gateway.submit(
                job=JOB, queue=QUEUE, account=account, spec=spec, timeout_s=2.4
            )
        )
        return result.outcome, duration_s

    def cancel(self, *, account=ACCOUNT):
        return self.run(
            self.gateway.cancel(job=JOB, account=account, timeout_s=2.4)
        )

    async def is_stored(self):
        return await self.memory.get(keys.job_key(JOB)) is not None


@pytest.fixture
def harness():
    return GatewayHarness()


class TestTimeout:
    # Load pattern: the store stops replying while callers wait. Guards against
    # a store call that takes longer than the caller's timeout: the caller gets
    # no result, and so no indication that it may repeat the submission.

    async def test_submission_returns_within_the_timeout(self, harness):
        harness.faulty.delay_s = 1.0
        harness.faulty.lost_answers = 10
        outcome, duration_s = await harness.submit()
        assert outcome is CallOutcome.UNKNOWN
        assert duration_s <= 2.4 + 0.1

    async def test_state_query_returns_within_the_timeout(self, harness):
        await harness.submit()
        harness.faulty.delay_s = 5.0
        result, duration_s = await harness.run(
            harness.gateway.state(job=JOB, account=ACCOUNT, timeout_s=2.4)
        )
        assert result.outcome is CallOutcome.REFUSED
        assert duration_s <= 2.4 + 0.1

    async def test_cancellation_returns_within_the_timeout(self, harness):
        await harness.submit()
        harness.faulty.delay_s = 1.0
        harness.faulty.lost_answers = 10
        outcome, duration_s = await harness.run(
            harness.gateway.cancel(job=JOB, account=ACCOUNT, timeout_s=2.4)
        )
        assert outcome is CallOutcome.UNKNOWN
        assert duration_s <= 2.4 + 0.1


class TestOutage:
    # Load pattern: the store is down for seconds, and jobs end meanwhile.
    # Guards against callers that receive the result only after the outage.

    async def query_state(self, harness, state, *, account=ACCOUNT):
        async def summary(job):
            assert job == JOB
            return jobs.JobSummary(state=state, account=ACCOUNT)

        harness.gateway.query_coordinator = summary
        return await harness.run(
            harness.gateway.state(job=JOB, account=account, timeout_s=2.4)
        )

    async def test_completion_is_read_from_the_coordinator(self, harness):
        await harness.submit()
        harness.faulty.is_down = True
        result, _ = await self.query_state(harness, jobs.JobState.COMPLETED)
        assert result.state is jobs.JobState.COMPLETED

    async def test_store_timeout_leaves_time_for_the_coordinator(self, harness):
        await harness.submit()
        harness.faulty.delay_s = 60.0
        result, duration_s = await self.query_state(
            harness, jobs.JobState.RUNNING
        )
        assert result.state is jobs.JobState.RUNNING
        assert duration_s <= 2.4

    async def test_query_of_another_account_is_refused(self, harness):
        harness.faulty.is_down = True
        other = AccountId("other")
        result, _ = await self.query_state(
            harness, jobs.JobState.COMPLETED, account=other
        )
        assert result.outcome is CallOutcome.REFUSED

    async def test_reported_completion_is_stored_after_the_outage(
        self, harness
    ):
        # Guards against a new leader that runs a job again whose completion was
        # reported to the caller but never stored.
        await harness.submit()
        harness.faulty.is_down = True
        await self.query_state(harness, jobs.JobState.COMPLETED)
        task = asyncio.ensure_future(harness.gateway.confirm_completions())
        await harness.clock.advance(2.0)
        key = keys.completion_key(JOB)
        assert await harness.memory.get(key) is None
        harness.faulty.is_down = False
        await harness.clock.advance(1.0)
        assert await harness.memory.get(key) is not None
        assert harness.gateway.dump()["unconfirmed_completions"] == 0
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_other_reported_states_are_not_stored(self, harness):
        harness.faulty.is_down = True
        await self.query_state(harness, jobs.JobState.RUNNING)
        assert harness.gateway.dump()["unconfirmed_completions"] == 0


class TestSubmission:
    async def test_accepted_job_is_stored(self, harness):
        outcome, _ = await harness.submit()
        assert outcome is CallOutcome.ACCEPTED
        assert await harness.is_stored()

    async def test_repeated_submission_creates_one_job(self, harness):
        await harness.submit()
        before = await harness.memory.get(keys.job_key(JOB))
        outcome, _ = await harness.submit()
        assert outcome is CallOutcome.ACCEPTED
        assert await harness.memory.get(keys.job_key(JOB)) == before

    async def test_id_of_another_account_conflicts(self, harness):
        await harness.submit()
        outcome, _ = await harness.submit(account=AccountId("other"))
        assert outcome is CallOutcome.CONFLICTING

    async def test_refused_submission_is_not_stored(self, harness):
        # Guards against a job that runs although its submission was refused.
        harness.faulty.is_down = True
        outcome, _ = await harness.submit()
        assert outcome is CallOutcome.REFUSED
        assert not await harness.is_stored()

    async def test_submission_during_known_outage_is_refused_at_once(
        self, harness
    ):
        # Guards against callers that wait for their whole timeout although the
        # outage is known.
        harness.faulty.is_down = True
        await harness.submit()
        await harness.clock.advance(1.0)
        outcome, duration_s = await harness.submit()
        assert outcome is CallOutcome.REFUSED
        assert duration_s <= 0.1
        assert harness.gateway.retry_after_s == 2

    async def test_write_with_lost_reply_is_accepted(self, harness):
        harness.faulty.lost_answers = 1
        outcome, _ = await harness.submit()
        assert outcome is CallOutcome.ACCEPTED

    async def test_write_that_may_be_applied_later_is_unknown(self, harness):
        # Guards against a refusal of a write that the store applies seconds
        # later.
        harness.faulty.defers_writes = True
        outcome, _ = await harness.submit()
        assert outcome is CallOutcome.UNKNOWN
        await harness.faulty.deliver_deferred()
        assert await harness.is_stored()


class TestCancellationBeforeSubmission:
    async def test_late_write_creates_no_job_after_its_cancellation(
        self, harness
    ):
        # Guards against a job that runs although its cancellation was answered
        # with "no such job" while the write of its submission was delayed.
        harness.faulty.defers_writes = True
        await harness.submit()
        harness.faulty.defers_writes = False
        outcome, _ = await harness.cancel()
        assert outcome is CallOutcome.ABSENT
        await harness.faulty.deliver_deferred()
        assert not await harness.is_stored()

    async def test_repeated_submission_does_not_bring_the_job_back(
        self, harness
    ):
        await harness.cancel()
        outcome, _ = await harness.submit()
        assert outcome is CallOutcome.WITHDRAWN
        assert not await harness.is_stored()

    async def test_other_account_cannot_withdraw_a_job(self, harness):
        # Guards against a caller that prevents jobs of another account.
        for account in (AccountId("other"), None):
            outcome, _ = await harness.cancel(account=account)
            assert outcome is CallOutcome.ABSENT
        outcome, _ = await harness.submit()
        assert outcome is CallOutcome.ACCEPTED

    async def test_job_without_an_account_is_withdrawn(self, harness):
        await harness.cancel(account=None)
        outcome, _ = await harness.submit(account=AccountId(""))
        assert outcome is CallOutcome.WITHDRAWN

    async def test_job_stored_after_the_read_is_cancelled(
        self, harness, monkeypatch
    ):
        # Guards against a job that is stored between the read and the write of
        # its cancellation.
        read = harness.memory.get

        async def read_then_submit(key):
            entry = await read(key)
            monkeypatch.undo()
            await harness.gateway.submit(
                job=JOB, queue=QUEUE, account=ACCOUNT, spec=SPEC, timeout_s=2.4
            )
            return entry

        monkeypatch.setattr(harness.memory, "get", read_then_submit)
        outcome, _ = await harness.cancel()
        assert outcome is CallOutcome.ACCEPTED
        assert await harness.memory.get(keys.cancellation_key(JOB)) is not None

    async def test_unstored_cancellation_is_not_confirmed(self, harness):
        # Guards against "no such job" before it is certain that none follows.
        harness.faulty.defers_writes = True
        outcome, duration_s = await harness.cancel()
        assert outcome is CallOutcome.UNKNOWN
        assert duration_s <= 2.4 + 0.1

    async def test_cancellation_with_a_lost_answer_is_repeated(self, harness):
        harness.faulty.lost_answers = 1
        outcome, _ = await harness.cancel()
        assert outcome is CallOutcome.ABSENT


class TestState:
    async def test_unknown_job_is_absent(self, harness):
        result, _ = await harness.run(
            harness.gateway.state(job=JOB, account=ACCOUNT, timeout_s=1.0)
        )
        assert result.outcome is CallOutcome.ABSENT

    async def test_accepted_job_is_queued_without_a_coordinator(self, harness):
        await harness.submit()
        result, _ = await harness.run(
            harness.gateway.state(job=JOB, account=ACCOUNT, timeout_s=1.0)
        )
        assert result.state is jobs.JobState.QUEUED

    async def test_job_is_not_absent_during_an_outage(self, harness):
        # Guards against an accepted job that is reported as absent.
        await harness.submit()
        harness.faulty.is_down = True
        result, _ = await harness.run(
            harness.gateway.state(job=JOB, account=ACCOUNT, timeout_s=1.0)
        )
        assert result.outcome is CallOutcome.REFUSED


class TestKeys:
    async def test_stale_configuration_serves_no_keys(self, harness):
        # Guards against an instance that cannot reach the store and still
        # serves a revoked key.
        await harness.configuration_watcher.start()
        await harness.clock.advance(0.5)
        assert harness.gateway.has_fresh_configuration
        harness.faulty.is_down = True
        await harness.clock.advance(5.0)
        assert not harness.gateway.has_fresh_configuration
        await harness.configuration_watcher.stop()


class TestAnnouncements:
    @pytest.fixture
    def announced(self, harness):
        found = []

        async def announce(entry):
            found.append(entry)

        harness.gateway.announce = announce
        return found

    async def test_stored_job_is_announced_once(self, harness, announced):
        await harness.submit()
        await harness.submit()
        stored = await harness.memory.get(keys.job_key(JOB))
        assert [(e.key, e.revision) for e in announced] == [
            (stored.key, stored.revision)
        ]

    async def test_refused_job_is_not_announced(self, harness, announced):
        harness.faulty.is_down = True
        await harness.submit()
        assert announced == []

    async def test_announcements_in_flight_are_bounded(self, harness):
        """Guards against calls that pile up for a coordinator that is silent.

        Each one holds a connection. The coordinator's watch finds the others.
        """
        in_flight, gate = [], asyncio.Event()

        async def announce(entry):
            in_flight.append(entry.key)
            await gate.wait()

        harness.gateway.announce = announce
        for number in range(200):
            result, _ = await harness.run(
                harness.gateway.submit(
                    job=JobId(f"{number:016x}"),
                    queue=QUEUE,
                    account=ACCOUNT,
                    spec=SPEC,
                    timeout_s=2.4,
                )
            )
            assert result.outcome is CallOutcome.ACCEPTED
        assert len(in_flight) == 64
        gate.set()
        await harness.clock.advance(0.1)
        await harness.submit()
        assert in_flight[-1] == keys.job_key(JOB)

    async def test_unanswered_announcement_does_not_delay_the_answer(
        self, harness
    ):
        async def announce(_):
            await asyncio.Event().wait()

        harness.gateway.announce = announce
        outcome, duration_s = await harness.submit()
        assert outcome is CallOutcome.ACCEPTED
        assert duration_s <= 0.1
