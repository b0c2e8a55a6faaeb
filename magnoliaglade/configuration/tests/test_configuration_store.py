"""Tests of accepting changes under races, lost responses and outages."""

import asyncio
import dataclasses

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import configuration as configuration_lib
from magnoliaglade import standins
from magnoliaglade import store as store_lib

REMOVED = configuration_lib.ZoneState.REMOVED


def first(**changes):
    zones = tuple(
        configuration_lib.ZoneConfig(zone=f"zone-{n}", region="r")
        for n in "abc"
    )
    return configuration_lib.Configuration(revision=1, zones=zones, **changes)


def following(configuration, **changes):
    return dataclasses.replace(
        configuration, revision=configuration.revision + 1, **changes
    )


class InterleavingStore(standins.FaultyStore):
    """Runs actions before a write of the current revision and after a read."""

    before_put_action = None
    after_get_action = None

    async def get(self, key):
        entry = await super().get(key)
        action, self.after_get_action = self.after_get_action, None
        if action is not None:
            await action()
        return entry

    async def put(self, key, value, **options):
        action = self.before_put_action
        if key == "config/current" and action is not None:
            self.before_put_action = None
            await action()
        return await super().put(key, value, **options)


def make_stores():
    clock = clock_lib.ManualClock()
    memory = store_lib.InMemoryStore(clock=clock)
    store = InterleavingStore(store=memory, clock=clock)
    mine, theirs = (
        configuration_lib.ConfigurationStore(store=s, writer=w)
        for s, w in ((store, "mine"), (memory, "theirs"))
    )
    return store, mine, theirs


class TestConfigurationStore:
    async def test_unchanged_revision_is_decoded_once(self):
        """Guards against decoding an unchanged document on every read."""
        _, mine, theirs = make_stores()
        base = await mine.accept(first())
        found = await mine.current()
        assert await mine.current() is found
        changed = following(base.configuration, entry_instances=3)
        await theirs.accept(changed, base=1)
        assert (await mine.current()).configuration == changed

    async def test_rewritten_value_is_decoded_again(self):
        """Guards against a cache that hides a rewritten value."""
        store, mine, _ = make_stores()
        await mine.accept(first())
        found = await mine.current()
        value = (await store.get("config/current")).value
        await store.delete("config/current")
        assert await mine.current() is None
        await store.put("config/current", value, expected=0)
        again = await mine.current()
        assert again.store_revision > found.store_revision

    @pytest.mark.parametrize("is_late", [False, True])
    async def test_conflict_reports_the_other_change(self, is_late):
        """Guards against a change that overwrites another operator's."""
        store, mine, theirs = make_stores()
        base = (await mine.accept(first())).configuration

        async def race():
            await theirs.accept(following(base, entry_instances=6))

        if is_late:
            store.before_put_action = race
        else:
            await race()
        policy = configuration_lib.ZonePolicy.FINISH
        with pytest.raises(configuration_lib.ConflictingChangeError) as e:
            await mine.accept(following(base, zone_policy=policy))
        assert [str(c) for c in e.value.changes] == [
            "~ entry_instances: 9 -> 6"
        ]
        assert e.value.current.revision == 2
        assert (await mine.current()).configuration.entry_instances == 6

    async def test_lost_answer_is_accepted_once(self):
        """Guards against an accepted change that is reported as failed."""
        store, mine, _ = make_stores()
        base = (await mine.accept(first())).configuration
        # The announcement and the write itself.
        store.lost_answers = 2
        stored = await mine.accept(following(base, entry_instances=6))
        assert store.lost_answers == 0
        assert await mine.current() == stored
        assert [s.configuration.revision for s in await mine.history()] == [
            1,
            2,
        ]

    async def test_accepted_and_superseded_write_is_found(self):
        """Guards against a conflict reported for an accepted change."""
        store, mine, theirs = make_stores()
        base = (await mine.accept(first())).configuration
        put = store.store.put

        async def superseded_put(key, value, **options):
            if key != "config/current":
                return await put(key, value, **options)
            store.store.put = put
            await put(key, value, **options)
            await theirs.change(
                lambda c: dataclasses.replace(c, entry_instances=4)
            )
            raise store_lib.StoreOutcomeUnknownError("answer lost")

        store.store.put = superseded_put
        stored = await mine.accept(following(base, entry_instances=6))
        assert stored.configuration.entry_instances == 6
        assert (await mine.current()).configuration.entry_instances == 4
        changes = await mine.diff(2, 3)
        assert [str(c) for c in changes] == ["~ entry_instances: 6 -> 4"]

    @pytest.mark.parametrize("pause", ["get", "put"])
    async def test_marker_never_confirms_a_replaced_write(self, pause):
        """Guards against a retried announcement that hides a new revision.

        Either the retry reads the marker first or the newer write is announced
        first; then the newer write is accepted.
        """
        store, mine, theirs = make_stores()
        base = await mine.accept(first())
        pending, loser = (
            configuration_lib.PendingWrite(
                configuration=following(base.configuration, entry_instances=n),
                base=1,
                expected=base.store_revision,
                stamp=store_lib.Stamp(writer=f"writer-{n}", sequence=1),
            )
            for n in (6, 7)
        )
        accepted = await mine.resolve(pending)
        assert await mine.is_current(accepted.stamp)
        with pytest.raises(configuration_lib.ConflictingChangeError):
            await theirs.resolve(loser)
        assert not await mine.is_current(accepted.stamp)
        newer = following(accepted.configuration)
        if pause == "put":
            store.before_put_action = lambda: theirs.resolve(pending)
            await mine.accept(newer)
        else:
            store.after_get_action = lambda: theirs.accept(newer)
            await mine.resolve(pending)
        assert (await mine.current()).configuration.revision == 3
        assert not await mine.is_current(accepted.stamp)

    @pytest.mark.parametrize("fault", ["lost_answers", "lost_requests"])
    async def test_unknown_outcome_is_resolved_after_the_outage(self, fault):
        """Guards against a second write after an unknown outcome."""
        store, mine, _ = make_stores()
        base = (await mine.accept(first())).configuration

        put = store.store.put

        async def last_put(key, value, **options):
            revision = await put(key, value, **options)
            store.is_down = key == "config/current"
            store.lost_answers = int(store.is_down)
            return revision

        if fault == "lost_answers":
            store.store.put = last_put
        else:
            store.lost_requests = 3
        with pytest.raises(
            configuration_lib.ConfigurationOutcomeUnknownError
        ) as e:
            await mine.accept(following(base, entry_instances=6))
        store.is_down, store.store.put = False, put
        before = store.store.revision
        stored = await mine.resolve(e.value.pending)
        assert (await mine.current()).stamp == stored.stamp
        wrote = fault == "lost_requests"
        current = await store.get("config/current")
        assert (current.revision > before) is wrote

    async def test_outage_is_reported_as_nothing_changed(self):
        """Guards against reporting an unknown outcome if nothing was sent."""
        store, mine, _ = make_stores()
        store.is_down = True
        with pytest.raises(configuration_lib.ConfigurationUnavailableError):
            await mine.accept(first())

    async def test_zone_changes_lose_no_concurrent_change(self):
        """Guards against a zone removal that reverts a concurrent change."""
        store, mine, theirs = make_stores()
        await mine.accept(first())

        async def increment(n):
            for _ in range(n):
                await theirs.change(
                    lambda c: dataclasses.replace(
                        c, entry_instances=c.entry_instances + 1
                    )
                )

        store.before_put_action = lambda: increment(3)
        await mine.set_zone_state("zone-a", REMOVED)
        other = configuration_lib.ConfigurationStore(
            store=store, writer="other"
        )
        await asyncio.gather(
            increment(5),
            mine.set_zone_state("zone-b", REMOVED),
            other.set_zone_state("zone-c", REMOVED),
        )
        current = (await mine.current()).configuration
        assert current.entry_instances == 9 + 8
        assert current.zones_in_service == frozenset()
        assert len(await mine.history()) == current.revision == 12

    async def test_unknown_zone_and_duplicates_are_refused(self):
        """Guards against a stored configuration that is ambiguous."""
        _, mine, _ = make_stores()
        base = (await mine.accept(first())).configuration
        with pytest.raises(configuration_lib.InvalidConfigurationError) as e:
            await mine.set_zone_state("zone-x", REMOVED)
        assert "one of zone-a, zone-b, zone-c" in str(e.value)
        with pytest.raises(configuration_lib.InvalidConfigurationError):
            await mine.accept(following(base, zones=base.zones * 2))

    async def test_history_is_bounded(self):
        """Guards against unbounded history and conflicts for pruned writes."""
        clock = clock_lib.ManualClock()
        memory = store_lib.InMemoryStore(clock=clock)
        store = standins.FaultyStore(store=memory, clock=clock)
        writer = configuration_lib.ConfigurationStore(
            store=store, writer="w", history_revisions=10
        )
        base = await writer.accept(first())
        pending = configuration_lib.PendingWrite(
            configuration=following(base.configuration),
            base=1,
            expected=base.store_revision,
            stamp=store_lib.Stamp(writer="slow", sequence=1),
        )
        accepted = await writer.resolve(pending)

        async def change(times):
            for _ in range(times):
                await writer.change(
                    lambda c: dataclasses.replace(
                        c, entry_instances=c.entry_instances % 9 + 1
                    )
                )
                await clock.advance(0.1)

        await change(9)
        assert (await writer.resolve(pending)).stamp == accepted.stamp
        delete = store.delete

        async def lost_delete(key, **options):
            store.delete = delete
            raise store_lib.StoreOutcomeUnknownError("request lost")

        store.delete = lost_delete
        await change(21)
        assert store.delete == delete
        kept = [s.configuration.revision for s in await writer.history()]
        assert kept == list(range(23, 33))
        entries, _ = await memory.list_prefix("config/history/")
        assert len(entries) == 10
        with pytest.raises(configuration_lib.ConfigurationOutcomeUnknownError):
            await writer.resolve(pending)
