import asyncio

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import coordinator, store
from magnoliaglade.standins import FaultyStore

GUARD = "guard"


class Writer:
    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.memory = store.InMemoryStore(clock=self.clock)
        self.faulty = FaultyStore(store=self.memory, clock=self.clock)

    async def start(self):
        revision = await self.memory.put(GUARD, b"me", expected=0)
        self.journal = coordinator.Journal(
            store=self.faulty, clock=self.clock, guard=(GUARD, revision)
        )
        self.task = asyncio.ensure_future(self.journal.run())

    async def value(self, key):
        entry = await self.memory.get(key)
        return entry.value if entry else None


@pytest.fixture
async def writer():
    writer = Writer()
    await writer.start()
    yield writer
    writer.task.cancel()
    await asyncio.gather(writer.task, return_exceptions=True)


class TestJournal:
    async def test_many_records_share_transactions(self, writer):
        for n in range(40):
            writer.journal.write(f"k{n}", lambda: b"v")
        await writer.clock.advance(0.1)
        assert writer.journal.is_idle
        assert writer.journal.transactions == 3

    async def test_large_records_are_split_over_transactions(self, writer):
        # Guards against a transaction that exceeds the timeout of a call over
        # the link of a small instance: nothing would be stored any more.
        for n in range(6):
            writer.journal.write(f"k{n}", lambda: b"v" * 30_000)
        writer.journal.write("huge", lambda: b"v" * 200_000)
        await writer.clock.advance(0.1)
        assert writer.journal.is_idle
        assert writer.journal.transactions == 4
        assert await writer.value("huge") == b"v" * 200_000

    async def test_record_is_encoded_when_it_is_written(self, writer):
        state = {"value": b"old"}
        writer.journal.write("k", lambda: state["value"])
        state["value"] = b"new"
        await writer.clock.advance(0.1)
        assert await writer.value("k") == b"new"

    async def test_delayed_write_does_not_overwrite_a_newer_one(self, writer):
        # Guards against a transaction without an answer that is applied seconds
        # later, after its record has been written again.
        writer.faulty.defers_writes = True
        writer.journal.write("k", lambda: b"old")
        await writer.clock.advance(0.05)
        writer.faulty.defers_writes = False
        writer.journal.write("k", lambda: b"new")
        await writer.clock.advance(0.3)
        await writer.faulty.deliver_deferred()
        assert await writer.value("k") == b"new"

    async def test_write_whose_answer_was_lost_is_resolved(self, writer):
        writer.faulty.lost_answers = 1
        position = writer.journal.write("k", lambda: b"v")
        await writer.clock.advance(0.3)
        assert writer.journal.stored_position >= position
        assert await writer.value("k") == b"v"

    async def test_replaced_coordinator_writes_nothing(self, writer):
        # Guards against writes of a coordinator that has been replaced.
        await writer.memory.put(GUARD, b"other")
        writer.journal.write("k", lambda: b"v")
        await writer.clock.advance(0.3)
        assert await writer.value("k") is None
        assert isinstance(
            writer.task.exception(), coordinator.CoordinatorLostError
        )

    async def test_wait_stored_returns_false_on_timeout(self, writer):
        writer.faulty.is_down = True
        position = writer.journal.write("k", lambda: b"v")
        waiting = asyncio.ensure_future(
            writer.journal.wait_stored(position, timeout_s=0.5)
        )
        await writer.clock.advance(0.6)
        assert waiting.result() is False

    async def test_record_is_deleted(self, writer):
        writer.journal.write("k", lambda: b"v")
        await writer.clock.advance(0.1)
        writer.journal.write("k", lambda: None)
        await writer.clock.advance(0.1)
        assert await writer.value("k") is None
