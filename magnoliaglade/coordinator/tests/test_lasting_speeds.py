"""Tests of lasting speeds: learned, used for placement and stored."""

import dataclasses
import math

import msgpack
import pytest

from magnoliaglade import placement
from magnoliaglade.coordinator import _speed_store
from magnoliaglade.coordinator.tests import harness, uneven_load
from magnoliaglade.jobs import keys
from magnoliaglade.types import Lifetime, WorkerId

# More urgent gangs than usual, so that their places show within some seconds.
URGENT = dataclasses.replace(
    uneven_load.URGENT, per_worker_s=3.0 * uneven_load.URGENT.per_worker_s
)
SHAPES = (URGENT, *uneven_load.SHAPES[1:])


def known_speeds(current, load):
    """Returns the lasting speeds that the coordinator acts on, by true one."""
    found = {}
    for worker, speed in load.speeds.items():
        known = current.speeds.known_lasting_speed(worker)
        found.setdefault(speed, []).append(known)
    return found


def observe(current, rows):
    """Adds the evidence that stored rows stand for."""
    for worker, (log, variance, lifetime) in rows.items():
        current.speeds.lasting_.observe(
            worker, log / 1_000.0, precision=1_000.0 / variance
        )
        current.speeds.set_lifetime(worker, lifetime)
    current.speeds.refit(current.clock.now())


class TestUnevenPool:
    """An ordinary load on workers of 0.7, 0.7 and 1.7 times the speed."""

    async def test_urgent_gangs_use_fast_workers_in_every_term(self):
        """Guards against estimates that fade, or are lost with the term."""
        load = uneven_load.UnevenLoad(workers=24, seed=4)
        deployment = load.deployment
        first = await deployment.elect()
        await load.play(15.0, shapes=SHAPES)
        assert first.speeds.lasting_.spread_ > 0.3
        learned_at_s = deployment.clock.now()
        await load.play(15.0, shapes=SHAPES)
        replaced_at_s = deployment.clock.now()
        await deployment.kill(first)
        second = await deployment.elect()
        loaded = known_speeds(second, load)
        assert sum(s > 1.2 for s in loaded[1.7]) >= 6
        assert sum(s < 1.0 for s in loaded[0.7]) >= 8
        assert max(loaded[0.7]) <= 1.0
        assert min(loaded[1.7]) >= 1.0
        await load.play(10.0, shapes=SHAPES)
        # By chance a third of the single tasks, and far fewer whole gangs,
        # would be on fast workers.
        before = load.share_on_fast_workers(
            URGENT, from_s=learned_at_s, until_s=replaced_at_s
        )
        after = load.share_on_fast_workers(URGENT, from_s=replaced_at_s)
        assert before > 0.7
        assert after > 0.7
        await deployment.stop()

    async def test_equal_pool_is_served_as_without_lasting_speeds(self):
        """Guards against placement that follows noise in a pool of equals."""
        placements = []
        for max_spread in (0.0, placement.SpeedEstimator().max_lasting_spread):
            load = uneven_load.UnevenLoad(
                speeds=uneven_load.EQUAL_SPEEDS, workers=16, seed=1
            )
            deployment = load.deployment
            current = await deployment.elect()
            current.speeds.lasting_.max_spread = max_spread
            for _ in range(10):
                await load.play(2.0, shapes=SHAPES)
                assert known_speeds(current, load) == {1.0: [1.0] * 16}
            assert len(current.speeds.lasting_.evidence_) == 16
            assert await deployment.store.get(keys.SPEEDS_KEY) is None
            placements.append(
                {w: e.starts for w, e in deployment.engines.items()}
            )
            await deployment.stop()
        assert placements[0] == placements[1]


class TestShortRuns:
    async def test_runs_without_a_second_report_are_observed(self):
        """Guards against fast workers that no report ever shows at work."""
        deployment = harness.Deployment(workers=8, duration_s=0.9)
        current = await deployment.elect()
        await deployment.submit(
            harness.make_job(
                "short", harness.make_step(count=8, accelerators=8)
            )
        )
        await deployment.clock.advance(3.0)
        assert len(current.speeds.lasting_.evidence_) == 8
        assert current.speeds.records_ == {}
        await deployment.stop()


class TestSpeedStore:
    async def make(self, value=None):
        deployment = harness.Deployment(workers=8)
        if value is not None:
            await deployment.store.put(keys.SPEEDS_KEY, value, expected=0)
        return deployment, await deployment.elect()

    def rows(self, count):
        """Half of the workers are slow, half fast, all of them certainly."""
        return {
            WorkerId(f"w{n}"): (500 if n % 2 else -500, 10, Lifetime(1))
            for n in range(count)
        }

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"\xc1",
            msgpack.packb([1]),
            msgpack.packb({"w0": 1}),
            msgpack.packb({1: [1, 10, 1]}),
            msgpack.packb({"w0": [1, 10]}),
            msgpack.packb({"w0": [1, 0, 1]}),
            msgpack.packb({"w0": [1.0, 10, 1]}),
            msgpack.packb({"w0": [99_999, 10, 1]}),
            msgpack.packb({"w0": [True, 10, 1]}),
        ],
    )
    async def test_unreadable_estimates_are_ignored(self, value):
        """Guards against a term that ends, or starts wrong, on bad data."""
        deployment, current = await self.make(value)
        assert current.speeds.lasting_.evidence_ == {}
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(6.0)
        assert await deployment.state(job) is harness.JobState.COMPLETED
        # A later estimate replaces the unreadable one.
        observe(current, self.rows(8))
        await deployment.clock.advance(3.0)
        entry = await deployment.store.get(keys.SPEEDS_KEY)
        assert len(_speed_store.decode_speeds(entry.value)) == 8
        await deployment.stop()

    async def test_unchanged_estimates_are_not_written_again(self):
        """Guards against a write every two seconds for each term."""
        value = _speed_store.encode_speeds(self.rows(8))
        deployment, current = await self.make(value)
        before = await deployment.store.get(keys.SPEEDS_KEY)
        current.speeds.lasting_.observe(WorkerId("w1"), 0.6, precision=5.0)
        current.speeds.refit(deployment.clock.now())
        await deployment.clock.advance(10.0)
        after = await deployment.store.get(keys.SPEEDS_KEY)
        assert after.revision == before.revision
        await deployment.stop()

    async def test_workers_that_left_between_terms_are_removed(self):
        """Guards against estimates of machines that no longer exist."""
        value = _speed_store.encode_speeds(self.rows(12))
        deployment, current = await self.make(value)
        await deployment.clock.advance(35.0)
        assert set(current.speeds.lasting_.evidence_) == set(deployment.engines)
        await deployment.stop()

    async def test_new_lifetime_is_less_certain(self):
        """Guards against trust in the estimate of a replaced machine."""
        worker = WorkerId("w1")
        rows = self.rows(8)
        rows[worker] = (*rows[worker][:2], Lifetime(7))
        deployment, current = await self.make(_speed_store.encode_speeds(rows))
        assert current.speeds.known_lasting_speed(worker) > 1.2
        await deployment.clock.advance(2.0)
        current.speeds.refit(deployment.clock.now())
        assert current.speeds.known_lasting_speed(worker) == 1.0
        assert 1.0 < current.speeds.lasting_speed(worker) < math.exp(0.5)
        await deployment.stop()

    async def test_write_of_a_replaced_coordinator_has_no_effect(self):
        """Guards against estimates of an old term over those of a new one."""
        deployment, current = await self.make()
        await deployment.store.put(
            keys.COORDINATOR_KEY,
            b"other",
            expected=(
                await deployment.store.get(keys.COORDINATOR_KEY)
            ).revision,
        )
        observe(current, self.rows(8))
        await deployment.clock.advance(3.0)
        assert await deployment.store.get(keys.SPEEDS_KEY) is None
        await deployment.stop()

    def test_value_stays_small(self):
        """Guards against a value that outgrows a transaction."""
        value = _speed_store.encode_speeds(self.rows(10_000))
        assert len(value) <= _speed_store.MAX_BYTES + 16
        assert len(_speed_store.decode_speeds(value)) > 1_500
