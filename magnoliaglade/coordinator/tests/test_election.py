import asyncio
import random

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import coordinator, store
from magnoliaglade.coordinator import _election
from magnoliaglade.jobs import keys
from magnoliaglade.standins import FaultyStore
from magnoliaglade.types import InstanceId


class Candidates:
    """Instances that stand for election; records epochs of their terms."""

    def __init__(self, count=3):
        self.clock = clock_lib.ManualClock()
        self.memory = store.InMemoryStore(clock=self.clock)
        self.stores = [
            FaultyStore(store=self.memory, clock=self.clock)
            for _ in range(count)
        ]
        self.elected = set()
        self.epochs = []
        self.elections = [self.make(n) for n in range(count)]

    def make(self, number):
        async def term(epoch):
            self.epochs.append(epoch)
            self.elected.add(number)
            try:
                await asyncio.Event().wait()
            finally:
                self.elected.discard(number)

        return coordinator.Election(
            store=self.stores[number],
            clock=self.clock,
            instance=InstanceId(f"e{number}"),
            incarnation="1",
            term=term,
            random=random.Random(number),
        )

    async def advance(self, seconds):
        for _ in range(int(seconds * 10)):
            await self.clock.advance(0.1)
            self.memory.expire_leases()


@pytest.fixture
async def candidates():
    candidates = Candidates()
    for election in candidates.elections:
        await election.start()
    yield candidates
    for election in candidates.elections:
        await election.stop()


class TestElection:
    async def test_one_instance_is_elected(self, candidates):
        await candidates.advance(1.0)
        assert len(candidates.elected) == 1

    async def test_instance_with_enough_cores_is_preferred(self):
        # Guards against a coordinator on an instance too small for it.
        candidates = Candidates()
        small, large = candidates.elections[:2]
        small.election_delay_s = coordinator.election_delay_s(0.5)
        large.election_delay_s = coordinator.election_delay_s(2.0)
        for election in (small, large):
            await election.start()
        await candidates.advance(1.0)
        assert candidates.elected == {1}
        await large.stop()
        await candidates.advance(1.0)
        assert candidates.elected == {0}
        await small.stop()

    async def test_planned_stop_hands_over_at_once(self, candidates):
        # Guards against a pool without a coordinator during a planned stop.
        await candidates.advance(1.0)
        (first,) = candidates.elected
        await candidates.elections[first].stop()
        await candidates.advance(0.3)
        assert len(candidates.elected) == 1
        assert first not in candidates.elected

    async def test_epochs_increase(self, candidates):
        await candidates.advance(1.0)
        for _ in range(2):
            (first,) = candidates.elected
            await candidates.elections[first].stop()
            await candidates.advance(0.5)
        assert candidates.epochs == sorted(set(candidates.epochs))
        assert len(candidates.epochs) == 3

    async def test_coordinator_that_the_store_refuses_is_replaced(
        self, candidates
    ):
        # Guards against a coordinator that is refused by the store while other
        # instances are not.
        await candidates.advance(1.0)
        (first,) = candidates.elected
        candidates.stores[first].is_down = True
        await candidates.advance(4.0)
        assert len(candidates.elected - {first}) == 1

    async def test_short_store_outage_keeps_the_coordinator(self, candidates):
        # Guards against a change of coordinator after a store outage that is
        # shorter than the lease minus one renewal and its retry.
        await candidates.advance(1.0)
        before = set(candidates.elected)
        for faulty in candidates.stores:
            faulty.is_down = True
        outage_s = _election.LEASE_TTL_S - (
            _election.RENEW_INTERVAL_S + _election.RENEW_RETRY_DELAY_S
        )
        for _ in range(10):
            await candidates.clock.advance(outage_s / 10)
        for faulty in candidates.stores:
            faulty.is_down = False
        await candidates.advance(0.8)
        assert candidates.elected == before

    async def test_key_whose_creation_got_no_answer_is_found(self):
        # Guards against a key that exists while no instance is coordinator.
        candidates = Candidates(count=1)
        candidates.stores[0].lost_answers = 0
        original = candidates.stores[0].put

        async def put(*args, **options):
            candidates.stores[0].put = original
            candidates.stores[0].lost_answers = 1
            return await original(*args, **options)

        candidates.stores[0].put = put
        await candidates.elections[0].start()
        await candidates.advance(1.0)
        assert candidates.elected == {0}
        entry = await candidates.memory.get(keys.COORDINATOR_KEY)
        assert entry.revision == candidates.epochs[0]
        await candidates.elections[0].stop()


class TestEventLoopLag:
    async def test_lagging_coordinator_steps_down(self, candidates):
        # Guards against a coordinator on a slow machine that keeps its lease
        # while reports, renewals and plans are delayed.
        await candidates.advance(2.0)
        (first,) = candidates.elected
        candidates.elections[first].is_loop_lagging = lambda: True
        await candidates.advance(4.0)
        assert len(candidates.elected) == 1
        assert first not in candidates.elected

    async def test_lagging_instance_lets_others_be_elected(self, candidates):
        await candidates.advance(2.0)
        (first,) = candidates.elected
        second, third = (n for n in range(3) if n != first)
        candidates.elections[second].is_loop_lagging = lambda: True
        await candidates.elections[first].stop()
        await candidates.advance(2.0)
        assert candidates.elected == {third}

    async def test_lagging_instance_is_elected_if_all_lag(self, candidates):
        await candidates.advance(2.0)
        for election in candidates.elections:
            election.is_loop_lagging = lambda: True
        (first,) = candidates.elected
        await candidates.elections[first].stop()
        await candidates.advance(7.0)
        assert len(candidates.elected) == 1
