"""Tests of submissions to overloaded queues."""

import asyncio
import dataclasses

import msgpack
import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import gateway, jobs, placement, routing, store
from magnoliaglade.gateway import CallOutcome, _admission
from magnoliaglade.jobs import keys
from magnoliaglade.standins import FaultyStore
from magnoliaglade.types import AccountId, JobId, QueueName, ServiceName

JOB = JobId("7a41c09e5b2d83f6")
GUARANTEED = AccountId("guaranteed")
QUEUE = routing.Queue(
    name=QueueName("proofs"),
    host="h",
    prefix="/p/",
    service=ServiceName("render"),
    priority=1,
    max_attempts=2,
    stretch=2.0,
    objective_s=1.0,
)
# A job of 4 s has 9 s, and is worth something if it starts within 23 s.
STEP = jobs.StepSpec(
    count=2,
    demand=jobs.Resources(cores_m=500, accelerators=1),
    estimate_s=4.0,
)
SPEC = jobs.JobSpec(payload="x", steps=(STEP,))
MEAN_CORE_S = 68.0


def load(*waits_s):
    return placement.QueueLoad(path_s=2.0, core_s=MEAN_CORE_S, waits_s=waits_s)


class AdmissionHarness:
    """A gateway that receives a submission every 0.1 s of virtual time."""

    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.memory = store.InMemoryStore(clock=self.clock)
        self.faulty = FaultyStore(store=self.memory, clock=self.clock)
        self.monitored = store.MonitoredStore(
            store=self.faulty, clock=self.clock
        )
        configuration = routing.Configuration(
            version=1,
            queues=(QUEUE,),
            services=frozenset({QUEUE.service}),
            accounts={
                GUARANTEED: routing.Account(
                    name=GUARANTEED,
                    key_digests=frozenset(),
                    guaranteed_accelerators=8,
                )
            },
            max_body_bytes=0,
            accounts_by_digest={},
        )
        self.refused = []
        self.gateway = gateway.Gateway(
            store=self.monitored,
            clock=self.clock,
            configuration_watcher=_Watcher(configuration),
            revoke_s=5.0,
            observe_refused=self.refused.append,
        )

    async def publish(self, queue_load, *, renewals=2):
        """Publishes a load several times while submissions arrive."""
        loads = {QUEUE.name: queue_load} if queue_load else {}
        for _ in range(renewals):
            record = placement.encode_counts({QUEUE.name: 3}, loads)
            await self.memory.put(keys.COUNTS_KEY, record)
            for _ in range(8):
                await self.submit(job=JobId("0" * 16))
                await self.clock.advance(0.1)

    async def submit(
        self, *, job=JOB, spec=SPEC, account="studio", queue=QUEUE
    ):
        task = asyncio.ensure_future(
            self.gateway.submit(
                job=job,
                queue=queue,
                account=AccountId(account),
                spec=spec,
                timeout_s=2.4,
            )
        )
        while not task.done():
            await self.clock.advance(0.01)
        return task.result()

    async def is_stored(self):
        return await self.memory.get(keys.job_key(JOB)) is not None


@dataclasses.dataclass
class _Watcher:
    configuration: routing.Configuration
    age_s: float = 0.0


@pytest.fixture
async def harness():
    harness = AdmissionHarness()
    yield harness
    await harness.gateway.close()


class TestRefusal:
    # Load pattern: an overload that lasts. Guards against callers that wait
    # for results that are worth nothing, and against refusing useful work.

    async def test_job_that_would_be_worth_nothing_is_refused(self, harness):
        await harness.publish(load(30.0))
        result = await harness.submit()
        assert result.outcome is CallOutcome.OVERLOADED
        # It would be on time if it started within 5 s; 25 s are more than the
        # attempts of a caller last.
        assert result.retry_after_s == _admission.MAX_RETRY_AFTER_S
        assert harness.refused[-1] == "overloaded"
        assert not await harness.is_stored()

    async def test_caller_is_not_told_to_wait_longer_than_needed(self, harness):
        # A job that is worth something within 3.5 s, and on time within 0.5 s.
        spec = jobs.JobSpec(
            payload="x", steps=(dataclasses.replace(STEP, estimate_s=0.5),)
        )
        queue = dataclasses.replace(QUEUE, stretch=1.0, objective_s=0.5)
        short = placement.QueueLoad(
            path_s=1.0, core_s=MEAN_CORE_S, waits_s=(5.2,)
        )
        await harness.publish(short)
        result = await harness.submit(spec=spec, queue=queue)
        assert result.outcome is CallOutcome.OVERLOADED
        assert result.retry_after_s in (4, 5)

    @pytest.mark.parametrize(
        ("queue_load", "fields"),
        [
            # It may start in time, by its own run time or the queue's mean one.
            (load(22.9), {}),
            (
                placement.QueueLoad(
                    path_s=8.0, core_s=MEAN_CORE_S, waits_s=(30.0,)
                ),
                {},
            ),
            # Only larger jobs have to wait that long.
            (load(1.0, 1.0, 1.0, 30.0, 30.0), {}),
            # Jobs that are due later, last, or may be within a guarantee.
            (
                load(30.0),
                {
                    "spec": jobs.JobSpec(
                        payload="x", steps=(STEP,), repetitions=1
                    )
                },
            ),
            (
                load(30.0),
                {
                    "spec": jobs.JobSpec(
                        payload="x",
                        steps=(
                            dataclasses.replace(STEP, is_long_running=True),
                        ),
                    )
                },
            ),
            (
                load(30.0),
                {
                    "account": GUARANTEED,
                    "queue": dataclasses.replace(QUEUE, priority=0),
                },
            ),
            # Another queue is overloaded.
            (
                load(30.0),
                {"queue": dataclasses.replace(QUEUE, name=QueueName("other"))},
            ),
        ],
    )
    async def test_job_that_may_be_useful_is_accepted(
        self, harness, queue_load, fields
    ):
        await harness.publish(queue_load)
        result = await harness.submit(**fields)
        assert result.outcome is CallOutcome.ACCEPTED

    async def test_refused_job_is_accepted_after_the_overload(self, harness):
        await harness.publish(load(30.0))
        await harness.submit()
        await harness.publish(None)
        result = await harness.submit()
        assert result.outcome is CallOutcome.ACCEPTED
        assert await harness.is_stored()

    async def test_cancelled_job_stays_withdrawn_after_a_refusal(self, harness):
        await harness.publish(load(30.0))
        await harness.submit()
        await harness.gateway.cancel(
            job=JOB, account=AccountId("studio"), timeout_s=1.0
        )
        result = await harness.submit()
        assert result.outcome is CallOutcome.WITHDRAWN


class TestStoredJobs:
    # Guards against a 503, which says that a job never runs, for a job that is
    # stored or will be.

    async def test_repeated_submission_of_a_stored_job_is_accepted(
        self, harness
    ):
        assert (await harness.submit()).outcome is CallOutcome.ACCEPTED
        await harness.publish(load(30.0))
        assert (await harness.submit()).outcome is CallOutcome.ACCEPTED

    async def test_delayed_creation_fails_after_a_refusal(self, harness):
        # The creation of an earlier call, on another instance, is still on its
        # way when the refusal is sent; so is one that follows a refusal.
        expected = {
            keys.job_key(JOB): 0,
            keys.withdrawal_key(JOB, AccountId("studio")): 0,
        }
        put = store.Put(key=keys.job_key(JOB), value=b"delayed")
        await harness.publish(load(30.0))
        for _ in range(2):
            result = await harness.submit()
            assert result.outcome is CallOutcome.OVERLOADED
            with pytest.raises(store.TransactionConflictError):
                await harness.memory.transact(expected=expected, puts=[put])
            refusal = await harness.memory.get(
                keys.withdrawal_key(JOB, AccountId("studio"))
            )
            expected[refusal.key] = refusal.revision

    async def test_refusal_without_an_answer_is_unknown(self, harness):
        await harness.publish(load(30.0))
        harness.faulty.lost_answers = 100
        result = await harness.submit()
        assert result.outcome is CallOutcome.UNKNOWN


class TestFigures:
    # Guards against refusals by figures of an overload that is over, and
    # against submissions that wait for figures.

    async def test_figures_that_are_not_renewed_are_ignored(self, harness):
        # The coordinator was lost.
        await harness.publish(load(30.0))
        for _ in range(21):
            await harness.clock.advance(0.1)
            await harness.submit(job=JobId("0" * 16))
        assert (await harness.submit()).outcome is CallOutcome.ACCEPTED

    async def test_figures_of_unknown_age_are_ignored(self, harness):
        # The first read of an instance may return an old record.
        await harness.publish(load(30.0), renewals=1)
        assert (await harness.submit()).outcome is CallOutcome.ACCEPTED

    async def test_submissions_do_not_wait_for_figures(self, harness):
        # The store answers writes, and not reads of the figures.
        reads = []

        async def get(key):
            reads.append(key)
            await asyncio.Event().wait()

        harness.memory.get = get
        started_at_s = harness.clock.now()
        for _ in range(10):
            result = await harness.submit(job=JobId("1" * 16))
            harness.memory.transact = _accept
            assert result.outcome is CallOutcome.ACCEPTED
        assert harness.clock.now() - started_at_s < 0.5
        assert reads == [keys.COUNTS_KEY]

    async def test_reads_do_not_grow_with_submissions(self, harness):
        before = harness.monitored.calls
        for _ in range(200):
            await harness.submit(job=JobId("2" * 16))
        elapsed_s = harness.clock.now()
        writes = harness.monitored.writes
        reads = harness.monitored.calls - before - writes
        assert reads <= 200 + elapsed_s / _admission.COUNTS_CACHE_TTL_S + 1

    @pytest.mark.parametrize(
        "loads", [7, {"proofs": 3}, {"proofs": [1.0, "x", None]}]
    )
    async def test_counts_of_a_record_with_odd_loads_are_read(self, loads):
        record = msgpack.packb({"proofs": 3, b"loads": loads})
        assert placement.decode_counts(record) == ({"proofs": 3}, {})

    async def test_reader_of_an_earlier_version_reads_the_counts(self):
        record = placement.encode_counts(
            {QUEUE.name: 3}, {QUEUE.name: load(30.0)}
        )
        assert msgpack.unpackb(record).get(QUEUE.name, 0) == 3
        assert placement.decode_counts(msgpack.packb({"proofs": 2})) == (
            {"proofs": 2},
            {},
        )


async def _accept(**_):
    return 1
