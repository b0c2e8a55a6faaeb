"""Tests of the published loads of overloaded queues."""

import dataclasses

import pytest

from magnoliaglade import placement, routing
from magnoliaglade.coordinator.tests import harness
from magnoliaglade.jobs import keys
from magnoliaglade.types import QueueName

PROOFS = QueueName("proofs")
NIGHTLY = QueueName("nightly")


def make_queue(name, priority):
    return routing.Queue(
        name=name,
        host="h",
        prefix=f"/{name}/",
        service=harness.SERVICE,
        priority=priority,
        max_attempts=3,
        stretch=3.0,
        objective_s=1.0,
    )


@pytest.fixture
async def deployment():
    deployment = harness.Deployment()
    deployment.deferred = []
    deployment.configuration = dataclasses.replace(
        deployment.configuration,
        queues=(make_queue(PROOFS, 1), make_queue(NIGHTLY, 2)),
    )
    deployment.term = await deployment.elect(
        observe_deferred=deployment.deferred.append
    )
    yield deployment
    await deployment.stop()


async def submit_batch(deployment, count):
    """Submits gangs that use the whole pool for 4 s each."""
    step = harness.make_step(
        count=4, accelerators=8, is_gang=True, estimate_s=4.0
    )
    for n in range(count):
        await deployment.submit(
            harness.make_job(
                f"batch{n}",
                step,
                queue=PROOFS,
                accepted_at_s=deployment.clock.time(),
            )
        )


async def submit_nightly(deployment, name="nightly"):
    step = harness.make_step(accelerators=8, estimate_s=1.0)
    job = harness.make_job(
        name,
        step,
        queue=NIGHTLY,
        priority=2,
        accepted_at_s=deployment.clock.time(),
    )
    return await deployment.submit(job)


async def published(deployment):
    entry = await deployment.store.get(keys.COUNTS_KEY)
    return entry.revision, *placement.decode_counts(entry.value)


class TestPublication:
    # Load pattern: a queue whose work waits behind that of another one for
    # longer than it is useful. Guards against callers that wait for nothing.

    async def test_load_of_an_overloaded_queue_is_published(self, deployment):
        await submit_batch(deployment, 12)
        await submit_nightly(deployment)
        await deployment.clock.advance(2.0)
        _, counts, loads = await published(deployment)
        assert counts[NIGHTLY] == 1
        assert loads.keys() == {NIGHTLY}
        # A job of 1 s has 4 s, and is worth nothing if it starts after 11 s.
        # The batch jobs that remain useful start for 35 s and run for 4 s.
        assert 11.0 < min(loads[NIGHTLY].waits_s) < 35.0

    async def test_load_is_renewed_until_the_overload_ends(self, deployment):
        await submit_batch(deployment, 12)
        await submit_nightly(deployment)
        await deployment.clock.advance(2.0)
        first, _, _ = await published(deployment)
        await deployment.clock.advance(0.85)
        second, _, loads = await published(deployment)
        assert second > first
        assert loads
        await deployment.clock.advance(60.0)
        assert not (await published(deployment))[2]

    async def test_queue_that_is_served_in_time_is_not_overloaded(
        self, deployment
    ):
        await submit_batch(deployment, 3)
        await submit_nightly(deployment)
        await deployment.clock.advance(2.0)
        assert not (await published(deployment))[2]

    async def test_counts_are_published_without_loads_after_an_error(
        self, deployment
    ):
        deployment.configuration = dataclasses.replace(
            deployment.configuration, queues=(None,)
        )
        await submit_batch(deployment, 12)
        await submit_nightly(deployment)
        await deployment.clock.advance(2.0)
        _, counts, loads = await published(deployment)
        assert counts[NIGHTLY] == 1
        assert not loads


class TestDeferredDemands:
    async def test_each_deferred_demand_is_counted_once(self, deployment):
        # Guards against a count that grows with the number of plans.
        await submit_batch(deployment, 8)
        await deployment.clock.advance(2.0)
        assert deployment.deferred
        assert set(deployment.deferred) == {1}
        assert len(deployment.deferred) <= 8
