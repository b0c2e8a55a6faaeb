"""Tests of the log, leases and stamped writes under store failures."""

import asyncio

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import standins
from magnoliaglade import store as store_lib
from magnoliaglade.types import Epoch, InstanceId


def make_store():
    clock = clock_lib.ManualClock()
    memory = store_lib.InMemoryStore(clock=clock)
    return clock, memory, standins.FaultyStore(store=memory, clock=clock)


def make_log(store, clock, *, writer="a", epoch=1, flush_interval_s=0.0):
    return store_lib.SingleWriterLog(
        store=store,
        clock=clock,
        name="claims.0",
        writer=InstanceId(writer),
        epoch=Epoch(epoch),
        flush_interval_s=flush_interval_s,
    )


class TestSingleWriterLog:
    async def test_successor_reads_records_in_order(self):
        clock, _, store = make_store()
        log = make_log(store, clock)
        assert await log.open() == []
        for n in range(5):
            await log.append(b"%d" % n)
        successor = make_log(store, clock, writer="b", epoch=2)
        assert await successor.open() == [b"0", b"1", b"2", b"3", b"4"]

    async def test_predecessor_is_fenced(self):
        """Guards against a paused writer that appends after a takeover."""
        clock, _, store = make_store()
        old = make_log(store, clock)
        await old.open()
        new = make_log(store, clock, writer="b", epoch=2)
        await new.open()
        with pytest.raises(store_lib.LogFencedError):
            await old.append(b"late")
        await new.append(b"new")
        third = make_log(store, clock, writer="c", epoch=3)
        assert await third.open() == [b"new"]

    async def test_lower_epoch_cannot_open(self):
        """Guards against an old owner that opens after its successor."""
        clock, _, store = make_store()
        await make_log(store, clock, writer="b", epoch=2).open()
        with pytest.raises(store_lib.LogFencedError):
            await make_log(store, clock, epoch=1).open()

    async def test_record_is_written_once_after_lost_response(self):
        """Guards against a duplicate record after a lost response."""
        clock, _, store = make_store()
        log = make_log(store, clock)
        await log.open()
        store.lost_answers = 1
        await log.append(b"x")
        await log.append(b"y")
        successor = make_log(store, clock, writer="b", epoch=2)
        assert await successor.open() == [b"x", b"y"]

    async def test_unknown_outcome_is_reported_and_resolved(self):
        """Guards against a later batch overtaking an unresolved one."""
        clock, _, store = make_store()
        log = make_log(store, clock)
        await log.open()
        store.lost_answers = 3
        store.lost_requests = 0
        first = asyncio.create_task(log.append(b"x"))
        await clock.advance(0.1)
        store.lost_answers = 0
        assert await first >= 0
        store.lost_requests = 3
        with pytest.raises(store_lib.StoreOutcomeUnknownError):
            await log.append(b"unknown")
        await log.append(b"z")
        successor = make_log(store, clock, writer="b", epoch=2)
        assert await successor.open() == [b"x", b"unknown", b"z"]

    async def test_append_fails_in_an_outage_and_recovers(self):
        """Guards against an append that succeeds while the store is down."""
        clock, _, store = make_store()
        log = make_log(store, clock)
        await log.open()
        store.is_down = True
        with pytest.raises(store_lib.LogUnavailableError):
            await log.append(b"refused")
        store.is_down = False
        await log.append(b"kept")
        successor = make_log(store, clock, writer="b", epoch=2)
        assert await successor.open() == [b"kept"]

    async def test_records_share_a_write(self):
        """Guards against one store write per record under load."""
        clock, memory, store = make_store()
        log = make_log(store, clock, flush_interval_s=0.04)
        await log.open()
        await log.append(b"first")
        before = memory.call_counts["put"]
        appends = [asyncio.create_task(log.append(b"r")) for _ in range(100)]
        await clock.advance(0.1)
        await asyncio.gather(*appends)
        assert memory.call_counts["put"] - before == 1

    async def test_snapshot_replaces_slots(self):
        """Guards against a log that grows without bound or loses records."""
        clock, _, store = make_store()
        log = make_log(store, clock)
        await log.open()
        for _ in range(10):
            await log.append(b"old")
        await log.compact([b"state"])
        await log.append(b"after")
        successor = make_log(store, clock, writer="b", epoch=2)
        assert await successor.open() == [b"state", b"after"]
        await clock.advance(1000)
        await log._garbage_collector.delete_due()
        third = make_log(store, clock, writer="c", epoch=3)
        assert await third.open() == [b"state", b"after"]

    async def make_compacted(self, clock, store, memory):
        """Returns a log at slot 3 and a successor that compacted it."""
        old = make_log(store, clock)
        await old.open()
        await old.append(b"1")
        await old.append(b"2")
        new = make_log(memory, clock, writer="b", epoch=2)
        records = await new.open()
        await new.append(b"3")
        await new.append(b"4")
        await new.compact([*records, b"3", b"4"])
        return old, new

    async def test_obsolete_keys_of_a_failed_owner_are_deleted(self):
        """Guards against obsolete slots and chunks that are never deleted."""
        clock, memory, store = make_store()
        old, failed = await self.make_compacted(clock, store, memory)
        # A chunk of a compaction that failed before the head referred to it.
        await memory.put("logs/claims.0/snapshot/000000000006-2-9/0000", b"x")
        await failed.append(b"5")
        successor = make_log(store, clock, writer="c", epoch=3)
        state = await successor.open()
        assert state == [b"1", b"2", b"3", b"4", b"5"]
        await successor.compact(state)
        await clock.advance(300)
        await successor.append(b"6")
        await successor.compact([*state, b"6"])
        kept = {f"logs/claims.0/slot/{n:012d}" for n in range(6)}
        assert kept <= set(memory._entries)
        await clock.advance(700)
        await successor.append(b"7")
        await successor.compact([*state, b"6", b"7"])
        await clock.advance(700)
        await successor.compact([*state, b"6", b"7"])
        await clock.advance(1)
        keys = [k for k in memory._entries if k.startswith("logs/")]
        # The head, the current snapshot and the previous one.
        assert len(keys) == 3
        last = make_log(memory, clock, writer="d", epoch=4)
        assert await last.open() == [*state, b"6", b"7"]

    async def test_failed_compaction_keeps_the_previous_snapshot(self):
        """Guards against a failed compaction that damages the snapshot.

        A second compaction at the same slot must not overwrite the chunks to
        which the head refers.
        """
        clock, memory, store = make_store()
        log = make_log(store, clock)
        await log.open()
        await log.append(b"x")
        await log.compact([b"a", b"b"])
        put = store.put

        async def interrupted_put(key, value, **options):
            if key.endswith("head"):
                raise store_lib.StoreUnavailableError("store is down")
            return await put(key, value, **options)

        store.put = interrupted_put
        with pytest.raises(store_lib.StoreUnavailableError):
            await log.compact([b"c"])
        successor = make_log(memory, clock, writer="b", epoch=2)
        assert await successor.open() == [b"a", b"b"]

    @pytest.mark.parametrize("is_suspended", [False, True])
    async def test_writer_paused_until_its_slots_were_deleted_is_fenced(
        self, is_suspended
    ):
        """Guards against a reported success in a slot that was deleted.

        The monotonic clock does not advance while a machine is suspended.
        """
        clock, memory, store = make_store()
        old, new = await self.make_compacted(clock, store, memory)
        await clock.advance(700)
        await new._garbage_collector.delete_due()
        assert await memory.get("logs/claims.0/slot/000000000003") is None
        if is_suspended:
            before_s = clock.now() - 700
            clock.now = lambda: before_s
        with pytest.raises(store_lib.LogFencedError):
            await old.append(b"late")
        with pytest.raises(store_lib.LogFencedError):
            await old.append(b"later")
        third = make_log(memory, clock, writer="c", epoch=3)
        assert await third.open() == [b"1", b"2", b"3", b"4"]

    async def test_open_paused_until_slots_are_deleted_reads_all_records(self):
        """Guards against an `open` that misses the newest records.

        After it has read the head, the slots are compacted and deleted before
        it reads them.
        """
        clock, memory, store = make_store()
        get, paused = store.get, []

        async def paused_get(key):
            entry = await get(key)
            if key.endswith("head") and not paused:
                paused.append(key)
                _, new = await self.make_compacted(clock, memory, memory)
                await clock.advance(700)
                await new._garbage_collector.delete_due()
            return entry

        store.get = paused_get
        late = make_log(store, clock, writer="c", epoch=3)
        assert await late.open() == [b"1", b"2", b"3", b"4"]
        await late.append(b"5")
        last = make_log(memory, clock, writer="d", epoch=4)
        assert await last.open() == [b"1", b"2", b"3", b"4", b"5"]


class TestInstanceLease:
    async def test_lapses_before_it_expires_in_the_store(self):
        """Guards against acting after a pause longer than the lease."""
        clock, memory, store = make_store()
        lease = store_lib.InstanceLease(store=store, clock=clock)
        await lease.start()
        lease.check()
        store.is_down = True
        await clock.advance(3.6)
        with pytest.raises(store_lib.LeaseLapsedError):
            lease.check()
        memory.expire_leases()
        await memory.renew_lease(lease.lease)
        await lease.stop()

    async def test_is_replaced_after_expiry(self):
        clock, _, store = make_store()
        lease = store_lib.InstanceLease(store=store, clock=clock)
        await lease.start()
        first = lease.lease
        store.is_down = True
        await clock.advance(10)
        store.is_down = False
        await clock.advance(2)
        assert lease.is_valid
        assert lease.lease != first
        await lease.stop()


class TestOwnership:
    async def test_one_owner_and_increasing_epochs(self):
        """Guards against two owners and against an epoch used twice."""
        clock, _, store = make_store()
        leases = [
            store_lib.InstanceLease(store=store, clock=clock) for _ in range(2)
        ]
        for lease in leases:
            await lease.start()
        first, second = (
            store_lib.OwnershipManager(
                store=store, instance=InstanceId(n), lease=x
            )
            for n, x in zip("ab", leases, strict=True)
        )
        owned = await first.acquire("jobs.z")
        assert await second.acquire("jobs.z") is None
        await first.release(owned)
        next_owned = await second.acquire("jobs.z")
        assert next_owned.epoch > owned.epoch
        assert await second.owner_of("jobs.z") == "b"
        assert await first.owners("jobs.") == {"jobs.z": "b"}
        for lease in leases:
            await lease.stop()

    @pytest.mark.parametrize("lost", [0, 2])
    async def test_previous_members_after_lost_responses(self, lost):
        """Guards against previous members taken from the successor's view.

        After a lost response the stored epoch is the successor's own.
        """
        clock, _, store = make_store()
        lease = store_lib.InstanceLease(store=store, clock=clock)
        await lease.start()
        views = [("a", "b"), ("b", "c")]
        ownership = store_lib.OwnershipManager(
            store=store,
            instance=InstanceId("b"),
            lease=lease,
            members=lambda: views[0],
        )
        owned = await ownership.acquire("jobs.z")
        assert owned.previous_members == ()
        await ownership.release(owned)
        del views[0]
        store.lost_answers = lost
        owned = await ownership.acquire("jobs.z")
        assert owned.previous_members == ("a", "b")
        await lease.stop()

    async def test_epoch_is_not_reused_after_lost_responses(self):
        """Guards against one epoch for two owners after a lost response."""
        clock, _, store = make_store()
        lease = store_lib.InstanceLease(store=store, clock=clock)
        await lease.start()
        ownership = store_lib.OwnershipManager(
            store=store, instance=InstanceId("a"), lease=lease
        )
        store.lost_answers = 2
        owned = await ownership.acquire("jobs.z")
        assert owned is not None
        assert owned.epoch == 2
        await lease.stop()
