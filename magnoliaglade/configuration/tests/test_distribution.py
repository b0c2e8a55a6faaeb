"""Tests of configuration agents, zone intents and gates under faults."""

import asyncio
import dataclasses
import random
import zlib

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import configuration as configuration_lib
from magnoliaglade import membership, peers, standins
from magnoliaglade import store as store_lib

NAMES = [f"entry-{n}" for n in range(5)]
ALL = frozenset({"zone-a", "zone-b", "zone-c"})
READERS = membership.rendezvous_order("configuration", NAMES)[:3]
OTHERS = [n for n in NAMES if n not in READERS]


class Instance:
    """Configuration components of one entry instance."""

    def __init__(self, cluster, name):
        self.starts = cluster.starts
        cluster.starts += 1
        clock = cluster.clock
        self.store = standins.FaultyStore(store=cluster.memory, clock=clock)
        self.configurations = configuration_lib.ConfigurationStore(
            store=self.store, writer=f"{name}/{self.starts}"
        )
        shared = {
            "configurations": self.configurations,
            "network": peers.LocalPeerNetwork(hub=cluster.hub, instance=name),
            "clock": clock,
            "view": cluster.view,
            "intents": configuration_lib.ZoneIntentTable(),
        }
        confirmations = membership.ConfirmationTracker(clock=clock)
        self.agent = configuration_lib.ConfigurationAgent(
            confirmations=confirmations, **shared
        )
        self.control = configuration_lib.ZoneControl(
            agent=self.agent, owner_of=lambda zone: cluster.owner, **shared
        )
        self.gate = configuration_lib.ZoneGate(
            agent=self.agent,
            confirmations=confirmations,
            intents=shared["intents"],
        )
        self.seen = []
        self.agent.add_listener(lambda c: self.seen.append(c.revision))

    async def start(self):
        await self.control.start()
        await self.agent.start()

    async def stop(self):
        await self.control.stop()
        await self.agent.stop()


class Cluster:
    """Five instances on one virtual clock."""

    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.memory = store_lib.InMemoryStore(clock=self.clock)
        self.hub = peers.LocalHub(clock=self.clock)
        self.starts = 0
        self.owner = None
        self.operator = configuration_lib.ConfigurationStore(
            store=self.memory, writer="operator"
        )
        self.instances = {n: Instance(self, n) for n in NAMES}

    def __getitem__(self, name):
        return self.instances[name]

    async def restart(self, name):
        is_down = self[name].store.is_down
        await self[name].stop()
        self.instances[name] = Instance(self, name)
        self[name].store.is_down = is_down
        await self[name].start()

    def view(self):
        members = tuple(
            membership.Member(
                instance=n,
                incarnation="",
                zone="zone-a",
                peer_address="",
                http_address="",
            )
            for n in NAMES
        )
        return membership.View(version=1, members=members)

    def set_outage(self, is_down, names=NAMES):
        for name in names:
            self[name].store.is_down = is_down

    def separate(self, side):
        for a in side:
            for b in set(NAMES) - set(side):
                self.hub.cut(a, b)

    async def change(self, **changes):
        return await self.operator.change(
            lambda c: dataclasses.replace(c, **changes)
        )

    async def run(self, seconds):
        for _ in range(round(seconds * 10)):
            await self.clock.advance(0.1)

    def revisions(self, names=NAMES):
        return {self[n].agent.revision for n in names}

    def startable(self, names=NAMES):
        return {self[n].gate.startable_zones() for n in names}


@pytest.fixture
async def cluster():
    value = Cluster()
    zones = tuple(
        configuration_lib.ZoneConfig(zone=z, region="r") for z in sorted(ALL)
    )
    await value.operator.accept(
        configuration_lib.Configuration(revision=1, zones=zones)
    )
    for instance in value.instances.values():
        await instance.start()
    await value.run(2)
    assert value.startable() == {ALL}
    yield value
    for instance in value.instances.values():
        await instance.stop()


class TestConfigurationAgent:
    async def test_only_readers_use_the_store(self, cluster):
        """Guards against store calls that grow with the instance count."""
        for name in NAMES:
            cluster[name].store.call_counts.clear()
        await cluster.run(20)
        await cluster.change(entry_instances=6)
        await cluster.run(0.1)
        assert cluster.revisions() == {2}
        for name in OTHERS:
            assert not cluster[name].store.call_counts
            assert cluster[name].seen == [1, 2]

    async def test_unchanged_document_is_rarely_read(self, cluster):
        """Guards against reading the whole document every second."""
        store, keys = cluster[READERS[0]].store, []
        get = store.get

        async def recording_get(key):
            keys.append(key)
            return await get(key)

        store.get = recording_get
        await cluster.run(30)
        assert keys.count("config/marker") >= 25
        assert keys.count("config/current") <= 6

    async def test_lost_watch_is_recovered(self, cluster):
        """Guards against a change that is missed because a watch was lost."""

        async def silent_watch(prefix, *, after, wait_s):
            await cluster.clock.sleep(1e6)

        cluster.memory.watch = silent_watch
        await cluster.run(15)
        await cluster.change(entry_instances=6)
        await cluster.run(2.5)
        assert cluster.revisions() == {2}

    async def test_reader_without_store_but_with_peers(self, cluster):
        """Guards against a reader that blocks starts without the store."""
        cut = cluster[READERS[0]]
        for fault in ("is_down", "delay_s"):
            setattr(cut.store, fault, 1000)
            for _ in range(20):
                await cluster.run(0.5)
                assert cluster.startable() == {ALL}
            await cluster.change(entry_instances=cluster.starts)
            cluster.starts += 1
            await cluster.run(0.2)
            assert len(cluster.revisions()) == 1
            setattr(cut.store, fault, 0)

    async def test_all_readers_without_store(self, cluster):
        """Guards against instances that depend on readers without a store."""
        cluster.set_outage(True, READERS)
        await cluster.run(5)
        assert cluster.startable() == {ALL}
        await cluster.change(entry_instances=6)
        await cluster.run(3)
        assert cluster.revisions() == {2}

    @pytest.mark.parametrize("is_overtaken", [False, True])
    async def test_rolled_back_store_is_refused(self, cluster, is_overtaken):
        """Guards against reverting to the revision of a rolled back store."""
        old = dict(cluster.memory._entries)
        last = await cluster.change(entry_instances=6)
        await cluster.run(1)
        cluster.memory._entries = old
        if is_overtaken:
            await cluster.change(entry_instances=4)
            await cluster.change(entry_instances=3)
        await cluster.run(5)
        assert cluster.revisions() == {2}
        assert cluster.startable() == {frozenset()}
        for name in READERS:
            dump = cluster[name].agent.dump()
            assert dump["state"] == "store-refused"
            assert "store has gone back" in dump["fault"]
            assert "revision 2 by operator" in dump["fault"]
        if is_overtaken:
            return
        repaired = dataclasses.replace(last.configuration, revision=3)
        await cluster.operator.accept(repaired, base=1)
        await cluster.run(3)
        assert cluster.startable() == {ALL}
        assert cluster.revisions() == {3}

    async def test_restart_without_store_keeps_configuration(self, cluster):
        """Guards against a restarted instance without a configuration."""
        cluster.set_outage(True)
        name = READERS[0]
        await cluster.restart(name)
        assert cluster[name].agent.revision == 1
        await cluster.run(4)
        assert cluster.startable() == {ALL}

    @pytest.mark.parametrize("document", [b"damaged", None])
    async def test_damaged_reply_is_ignored(self, cluster, document):
        """Guards against replies that stop the refresh or are oversized."""
        if document is None:
            document = zlib.compress(b"x" * 20_000_000)
        reader = cluster[READERS[0]].agent

        async def damaged(sender, request):
            return dataclasses.replace(
                reader._build_update(), revision=2, document=document
            )

        for name in READERS:
            cluster[name].agent.network.handle(
                configuration_lib._messages.ConfigRequest, damaged
            )
        await cluster.run(3)
        assert cluster.revisions() == {1}
        assert cluster.startable(READERS) == {ALL}

    async def test_damaged_value_is_refused(self, cluster):
        """Guards against a crash on a value that is not a configuration."""
        await cluster.memory.put("config/current", b"\xc1")
        await cluster.run(5)
        assert cluster.revisions() == {1}
        assert "config/current" in cluster[READERS[0]].agent.dump()["fault"]


class TestZones:
    async def test_removal_and_return_with_store(self, cluster):
        """Guards against an intent that stays open after it is stored."""
        report = await cluster[OTHERS[0]].control.remove("zone-a")
        assert report.is_stored and report.is_in_effect
        for zones in cluster.startable():
            assert "zone-a" not in zones
        await cluster.run(0.1)
        assert cluster.startable() == {ALL - {"zone-a"}}
        report = await cluster[READERS[0]].control.return_zone("zone-a")
        assert report.is_stored and not report.unconfirmed
        await cluster.run(2)
        assert cluster.startable() == {ALL}
        assert not any(i.agent.intents.open for i in cluster.instances.values())

    async def test_intent_while_the_store_is_down(self, cluster):
        """Guards against starts in a zone removed during an outage."""
        cluster.set_outage(True)
        await cluster.run(6)
        assert cluster.startable() == {ALL}
        report = await cluster[OTHERS[0]].control.remove("zone-a")
        assert report.is_in_effect and not report.is_stored
        assert cluster.startable() == {ALL - {"zone-a"}}
        await cluster.run(10)
        assert cluster.startable() == {ALL - {"zone-a"}}
        cluster.set_outage(False)
        await cluster.run(5)
        current = (await cluster.operator.current()).configuration
        assert current.zones_in_service == ALL - {"zone-a"}
        assert (await cluster[OTHERS[0]].control.report("zone-a")).is_stored

    async def test_withdrawn_intent_is_never_stored(self, cluster):
        """Guards against a delayed removal after the zone's return."""
        cluster.set_outage(True)
        await cluster[OTHERS[0]].control.remove("zone-a")
        await cluster[READERS[0]].control.return_zone("zone-a")
        await cluster.run(4)
        assert cluster.startable() == {ALL}
        cluster.set_outage(False)
        await cluster.run(5)
        assert cluster.startable() == {ALL}
        history = await cluster.operator.history()
        assert all(s.configuration.zones_in_service == ALL for s in history)

    @pytest.mark.parametrize("fault", ["lost_answers", "lost_requests"])
    async def test_lost_answer_of_a_removal(self, cluster, fault):
        """Guards against an intent that stays open or is stored twice."""
        setattr(cluster[OTHERS[0]].store, fault, 3)
        await cluster[OTHERS[0]].control.remove("zone-a")
        await cluster.run(3)
        assert cluster.startable() == {ALL - {"zone-a"}}
        assert not cluster[OTHERS[0]].agent.intents.open
        assert cluster.revisions() == {2}

    async def test_owner_without_majority_stops_within_3_s(self, cluster):
        """Guards against starts after a removal that the owner missed."""
        cluster.owner = NAMES[0]
        minority, majority = NAMES[:2], NAMES[2:]
        cluster.set_outage(True)
        await cluster.run(4)
        cluster.separate(minority)
        report = await cluster[majority[0]].control.remove("zone-a")
        assert report.unconfirmed == frozenset(minority)
        assert not report.is_in_effect
        await cluster.run(3.1)
        assert cluster.startable(minority) == {frozenset()}
        await cluster.run(3)
        assert cluster.startable(majority) == {ALL - {"zone-a"}}
        cluster.hub.heal()
        await cluster.run(3)
        assert cluster.startable() == {ALL - {"zone-a"}}
        report = await cluster[majority[0]].control.report("zone-a")
        assert report.is_in_effect and not report.is_stored

    async def test_full_partition_stops_starts(self, cluster):
        """Guards against starts by an instance that is fully partitioned."""
        cluster.set_outage(True)
        for name in NAMES:
            cluster.separate([name])
        await cluster.run(3.1)
        assert cluster.startable() == {frozenset()}
        cluster.hub.heal()
        cluster.set_outage(False)
        await cluster.run(3)
        assert cluster.startable() == {ALL}

    async def test_missed_return_is_applied(self, cluster):
        """Guards against a zone that stays removed at one instance."""
        await cluster[OTHERS[0]].control.remove("zone-a")
        intents = cluster[READERS[0]].agent.intents
        held = dataclasses.replace(intents.get("zone-a"), settled_revision=0)
        await cluster.operator.set_zone_state(
            "zone-a", configuration_lib.ZoneState.IN_SERVICE
        )
        await cluster.run(2)
        intents._by_zone["zone-a"] = held
        await cluster.run(2)
        assert cluster.startable() == {ALL}

    async def test_new_owner_receives_intents(self, cluster):
        """Guards against starts by an owner that did not receive an intent."""
        cluster.set_outage(True)
        cluster.separate([NAMES[0]])
        await cluster[NAMES[1]].control.remove("zone-a")
        cluster.hub.heal()
        assert await cluster[NAMES[0]].agent.sync_from_peers() == set(NAMES)
        assert "zone-a" not in cluster[NAMES[0]].gate.startable_zones()

    async def test_restarted_holder_keeps_a_removal_in_effect(self, cluster):
        """Guards against starts in a zone whose removal was in effect."""
        cluster.set_outage(True)
        await cluster.run(4)
        cluster.separate(NAMES[3:])
        report = await cluster[NAMES[0]].control.remove("zone-a")
        assert report.is_in_effect and not report.is_stored
        cluster.hub.heal()
        cluster.separate(NAMES[:2])
        await cluster.restart(NAMES[2])
        for _ in range(10):
            await cluster.run(1)
            for zones in cluster.startable(NAMES[2:]):
                assert "zone-a" not in zones

    @pytest.mark.parametrize("is_stored_first", [False, True])
    async def test_partitioned_writer_does_not_repeat_removal(
        self, cluster, is_stored_first
    ):
        """Guards against a removal repeated after the zone's return."""
        writer, others = OTHERS[0], [n for n in NAMES if n != OTHERS[0]]
        cluster.set_outage(True)
        await cluster[writer].control.remove("zone-a")
        cluster.separate([writer])
        if is_stored_first:
            cluster.set_outage(False, others)
            await cluster.run(5)
            in_service = configuration_lib.ZoneState.IN_SERVICE
            await cluster.operator.set_zone_state("zone-a", in_service)
        else:
            await cluster[others[0]].control.return_zone("zone-a")
        cluster.set_outage(False, others)
        await cluster.run(3)
        if not is_stored_first:
            cluster.hub.heal()
        cluster[writer].store.is_down = False
        await cluster.run(5)
        cluster.hub.heal()
        await cluster.run(5)
        assert cluster.startable() == {ALL}
        current = (await cluster.operator.current()).configuration
        assert current.zones_in_service == ALL

    async def test_return_in_partition_overrides_removal(self, cluster):
        """Guards against a removal stored after a return in a partition."""
        cluster.set_outage(True)
        await cluster[OTHERS[0]].control.remove("zone-a")
        cluster.separate([OTHERS[1]])
        await cluster.restart(OTHERS[1])
        cluster[OTHERS[1]].store.is_down = False
        await cluster.run(2)
        report = await cluster[OTHERS[1]].control.return_zone("zone-a")
        assert report.is_stored and not report.is_in_effect
        cluster.set_outage(False)
        await cluster.run(4)
        assert cluster.startable() == {ALL}
        history = await cluster.operator.history()
        assert all(s.configuration.zones_in_service == ALL for s in history)

    async def test_command_without_configuration(self, cluster):
        """Guards against a silently dropped command at an empty instance."""
        cluster.separate([NAMES[0]])
        cluster[NAMES[0]].store.is_down = True
        await cluster.restart(NAMES[0])
        with pytest.raises(configuration_lib.ConfigurationUnavailableError):
            await cluster[NAMES[0]].control.remove("zone-a")

    async def test_writer_that_fails_is_replaced(self, cluster):
        """Guards against an intent that no instance stores."""
        cluster.set_outage(True)
        await cluster[OTHERS[0]].control.remove("zone-a")
        await cluster[OTHERS[0]].stop()
        cluster.hub.remove(OTHERS[0])
        cluster.set_outage(False)
        await cluster.run(5)
        current = (await cluster.operator.current()).configuration
        assert "zone-a" not in current.zones_in_service


class TestRandomFaults:
    @pytest.mark.parametrize("seed", range(8))
    async def test_instances_agree_after_any_faults(self, cluster, seed):
        """Guards against combined faults that lose or revert a command."""
        rng = random.Random(seed)
        expected = set(ALL)
        for _ in range(25):
            await self.fault(cluster, rng)
            if rng.random() < 0.4:
                expected = await self.command(cluster, rng, expected)
            await cluster.run(rng.choice([0.1, 1, 4]))
            for instance in cluster.instances.values():
                assert instance.seen == sorted(set(instance.seen))
        cluster.hub.heal()
        cluster.set_outage(False)
        for instance in cluster.instances.values():
            instance.store.lost_answers = instance.store.lost_requests = 0
        await cluster.run(12)
        current = (await cluster.operator.current()).configuration
        assert current.zones_in_service == expected
        assert cluster.startable() == {frozenset(expected)}
        assert cluster.revisions() == {current.revision}
        history = await cluster.operator.history()
        assert len(history) == current.revision

    async def fault(self, cluster, rng):
        """Injects one fault, or repairs all."""
        names = rng.sample(NAMES, rng.randint(1, 5))
        kind = rng.choice(["store", "answers", "split", "restart", "heal"])
        if kind == "store":
            cluster.set_outage(True, names)
        elif kind == "answers":
            cluster[names[0]].store.lost_answers = rng.randint(1, 4)
            cluster[names[-1]].store.lost_requests = rng.randint(1, 4)
        elif kind == "split":
            cluster.separate(names)
        elif kind == "restart":
            await cluster.restart(names[0])
        else:
            cluster.hub.heal()
            cluster.set_outage(False)

    async def command(self, cluster, rng, expected):
        """Repeats a command until it is stored or a removal is in effect."""
        zone = rng.choice(sorted(ALL))
        is_removal = zone in expected
        while True:
            control = cluster[rng.choice(NAMES)].control
            call = control.remove if is_removal else control.return_zone
            task = asyncio.ensure_future(call(zone))
            while not task.done():
                await cluster.run(0.1)
            if task.exception() is None:
                report = task.result()
                if report.is_stored or (is_removal and report.is_in_effect):
                    return expected ^ {zone}
            if rng.random() < 0.3:
                cluster.hub.heal()
                cluster.set_outage(False)
