import asyncio

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import gateway, jobs, routing, store
from magnoliaglade.gateway import Verdict
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


class Front:
    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.memory = store.InMemoryStore(clock=self.clock)
        self.faulty = FaultyStore(store=self.memory, clock=self.clock)
        self.monitored = store.MonitoredStore(
            store=self.faulty, clock=self.clock
        )
        self.follower = routing.ConfigurationWatcher(
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
            follower=self.follower,
            revoke_s=5.0,
        )

    async def run(self, call, *, limit_s=4.0):
        task = asyncio.ensure_future(call)
        began_s = self.clock.now()
        while not task.done() and self.clock.now() < began_s + limit_s:
            await self.clock.advance(0.05)
        assert task.done()
        return task.result(), self.clock.now() - began_s

    def submit(self, *, account=ACCOUNT, spec=SPEC):
        return self.run(
            self.gateway.submit(
                job=JOB, queue=QUEUE, account=account, spec=spec, limit_s=2.4
            )
        )

    async def is_stored(self):
        return await self.memory.get(keys.job_key(JOB)) is not None


@pytest.fixture
def front():
    return Front()


class TestTimeLimit:
    # Load pattern: the store falls silent while callers wait. A call of the
    # store that outlasts the caller's time limit leaves the caller without an
    # answer, and it does not know that it may repeat the submission.

    async def test_a_submission_is_answered_in_time(self, front):
        front.faulty.delay_s = 1.0
        front.faulty.lost_answers = 10
        verdict, took_s = await front.submit()
        assert verdict is Verdict.UNKNOWN
        assert took_s <= 2.4 + 0.1

    async def test_a_state_is_answered_in_time(self, front):
        await front.submit()
        front.faulty.delay_s = 5.0
        answer, took_s = await front.run(
            front.gateway.state(job=JOB, account=ACCOUNT, limit_s=2.4)
        )
        assert answer.verdict is Verdict.REFUSED
        assert took_s <= 2.4 + 0.1

    async def test_a_cancellation_is_answered_in_time(self, front):
        await front.submit()
        front.faulty.delay_s = 1.0
        front.faulty.lost_answers = 10
        verdict, took_s = await front.run(
            front.gateway.cancel(job=JOB, account=ACCOUNT, limit_s=2.4)
        )
        assert verdict is Verdict.UNKNOWN
        assert took_s <= 2.4 + 0.1


class TestOutage:
    # Load pattern: the store is down for seconds, and jobs end meanwhile. A
    # caller that learns of the end only afterwards has its result late.

    async def ask(self, front, state, *, account=ACCOUNT):
        async def summary(job):
            assert job == JOB
            return jobs.JobSummary(state=state, account=ACCOUNT)

        front.gateway.ask_coordinator = summary
        return await front.run(
            front.gateway.state(job=JOB, account=account, limit_s=2.4)
        )

    async def test_an_end_is_shown_from_the_coordinator(self, front):
        await front.submit()
        front.faulty.is_down = True
        answer, _ = await self.ask(front, jobs.JobState.COMPLETED)
        assert answer.state is jobs.JobState.COMPLETED

    async def test_a_silent_store_leaves_time_to_ask(self, front):
        await front.submit()
        front.faulty.delay_s = 60.0
        answer, took_s = await self.ask(front, jobs.JobState.RUNNING)
        assert answer.state is jobs.JobState.RUNNING
        assert took_s <= 2.4

    async def test_other_accounts_learn_nothing(self, front):
        front.faulty.is_down = True
        other = AccountId("other")
        answer, _ = await self.ask(
            front, jobs.JobState.COMPLETED, account=other
        )
        assert answer.verdict is Verdict.REFUSED

    async def test_what_was_shown_is_stored_afterwards(self, front):
        # Guards against a successor that runs a job again whose end was shown
        # and never stored.
        await front.submit()
        front.faulty.is_down = True
        await self.ask(front, jobs.JobState.COMPLETED)
        task = asyncio.ensure_future(front.gateway.confirm_completions())
        await front.clock.advance(2.0)
        key = keys.completion_key(JOB)
        assert await front.memory.get(key) is None
        front.faulty.is_down = False
        await front.clock.advance(1.0)
        assert await front.memory.get(key) is not None
        assert front.gateway.dump()["unconfirmed_completions"] == 0
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_other_states_are_not_stored(self, front):
        front.faulty.is_down = True
        await self.ask(front, jobs.JobState.RUNNING)
        assert front.gateway.dump()["unconfirmed_completions"] == 0


class TestSubmission:
    async def test_an_accepted_job_is_stored(self, front):
        verdict, _ = await front.submit()
        assert verdict is Verdict.ACCEPTED
        assert await front.is_stored()

    async def test_a_repeated_submission_is_one_job(self, front):
        await front.submit()
        before = await front.memory.get(keys.job_key(JOB))
        verdict, _ = await front.submit()
        assert verdict is Verdict.ACCEPTED
        assert await front.memory.get(keys.job_key(JOB)) == before

    async def test_another_accounts_id_is_in_conflict(self, front):
        await front.submit()
        verdict, _ = await front.submit(account=AccountId("other"))
        assert verdict is Verdict.CONFLICTING

    async def test_a_refusal_is_true(self, front):
        # Guards against a job that runs although its caller was refused.
        front.faulty.is_down = True
        verdict, _ = await front.submit()
        assert verdict is Verdict.REFUSED
        assert not await front.is_stored()

    async def test_a_known_outage_is_refused_at_once(self, front):
        # Guards against callers who wait out their time for nothing.
        front.faulty.is_down = True
        await front.submit()
        await front.clock.advance(1.0)
        verdict, duration_s = await front.submit()
        assert verdict is Verdict.REFUSED
        assert duration_s <= 0.1
        assert front.gateway.retry_after_s == 2

    async def test_a_lost_answer_is_resolved(self, front):
        front.faulty.lost_answers = 1
        verdict, _ = await front.submit()
        assert verdict is Verdict.ACCEPTED

    async def test_a_write_that_may_come_later_is_never_refused(self, front):
        # Guards against a refusal before a write that is done seconds later.
        front.faulty.defers_writes = True
        verdict, _ = await front.submit()
        assert verdict is Verdict.UNKNOWN
        await front.faulty.deliver_deferred()
        assert await front.is_stored()


class TestState:
    async def test_unknown_jobs_are_absent(self, front):
        answer, _ = await front.run(
            front.gateway.state(job=JOB, account=ACCOUNT, limit_s=1.0)
        )
        assert answer.verdict is Verdict.ABSENT

    async def test_an_accepted_job_is_queued_without_a_coordinator(self, front):
        await front.submit()
        answer, _ = await front.run(
            front.gateway.state(job=JOB, account=ACCOUNT, limit_s=1.0)
        )
        assert answer.state is jobs.JobState.QUEUED

    async def test_an_outage_is_no_absence(self, front):
        # Guards against an accepted job that is said not to exist.
        await front.submit()
        front.faulty.is_down = True
        answer, _ = await front.run(
            front.gateway.state(job=JOB, account=ACCOUNT, limit_s=1.0)
        )
        assert answer.verdict is Verdict.REFUSED


class TestKeys:
    async def test_an_old_configuration_serves_no_keys(self, front):
        # Guards against a revoked key that an instance still serves because
        # it is cut off from the store.
        await front.follower.start()
        await front.clock.advance(0.5)
        assert front.gateway.is_fresh
        front.faulty.is_down = True
        await front.clock.advance(5.0)
        assert not front.gateway.is_fresh
        await front.follower.stop()
