"""Tests of registration, views and grants."""

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import membership, peers, standins
from magnoliaglade import store as store_lib
from magnoliaglade.types import InstanceId, ZoneId


def make_member(name, incarnation="1"):
    return membership.Member(
        instance=InstanceId(name),
        incarnation=incarnation,
        zone=ZoneId("z"),
        peer_address="127.0.0.1:1",
        http_address="127.0.0.1:2",
    )


class Node:
    """Lease and registry of one instance on a shared store."""

    def __init__(self, clock, memory, name, hub):
        self.store = standins.FaultyStore(store=memory, clock=clock)
        self.lease = store_lib.InstanceLease(store=self.store, clock=clock)
        self.registry = membership.MemberRegistry(
            store=self.store,
            clock=clock,
            lease=self.lease,
            member=make_member(name),
            network=peers.LocalPeerNetwork(hub=hub, instance=InstanceId(name)),
        )

    async def start(self):
        await self.lease.start()
        await self.registry.start()

    async def stop(self):
        await self.registry.stop()
        await self.lease.stop()


class TestMemberRegistry:
    async def make(self, count=3):
        clock = clock_lib.ManualClock()
        memory = store_lib.InMemoryStore(clock=clock)
        hub = peers.LocalHub(clock=clock)
        nodes = [Node(clock, memory, n, hub) for n in "abc"[:count]]
        for node in nodes:
            await node.start()
        await clock.advance(1)
        return clock, memory, nodes

    async def test_all_members_read_the_same_view(self):
        _, _, nodes = await self.make()
        versions = {n.registry.view.version for n in nodes}
        assert len(versions) == 1
        assert nodes[0].registry.view.instances == ("a", "b", "c")
        for node in nodes:
            await node.stop()

    async def test_partitioned_member_is_removed_and_registers_again(self):
        """Guards against an instance that stays unregistered after a partition.

        Its lease lapses while it is paused or cannot reach the store.
        """
        clock, memory, nodes = await self.make()
        nodes[2].store.is_down = True
        for _ in range(8):
            await clock.advance(1)
            memory.expire_leases()
        assert nodes[0].registry.view.instances == ("a", "b")
        # Its peers report that it is no longer a member.
        assert nodes[2].registry.view.instances == ("a", "b")
        assert nodes[2].registry.view_age_s < 3
        nodes[2].store.is_down = False
        await clock.advance(3)
        assert nodes[0].registry.view.instances == ("a", "b", "c")
        for node in nodes:
            await node.stop()

    async def test_view_stays_confirmed_during_store_outage(self):
        """Guards against refusing requests because the store is down."""
        clock, _, nodes = await self.make()
        for node in nodes:
            node.store.is_down = True
        for _ in range(30):
            await clock.advance(1)
            assert all(n.registry.view_age_s < 3 for n in nodes)
        nodes[0].registry.network.hub.remove(InstanceId("c"))
        nodes[0].registry.network.hub.remove(InstanceId("b"))
        await clock.advance(4)
        assert nodes[0].registry.view_age_s > 3
        for node in nodes:
            await node.stop()

    async def test_unchanged_view_takes_one_store_call_per_second(self):
        """Guards against membership exhausting the rate limit of the store."""
        clock, memory, nodes = await self.make()
        before = memory.call_counts["list_prefix"] + memory.call_counts["watch"]
        await clock.advance(100)
        after = memory.call_counts["list_prefix"] + memory.call_counts["watch"]
        assert after - before <= 3 * 100 + 3
        for node in nodes:
            await node.stop()


class TestGrants:
    def make(self, names="abcde"):
        clock = clock_lib.ManualClock()
        hub = peers.LocalHub(clock=clock)
        view = membership.make_view(make_member(n) for n in names)
        reachable = dict.fromkeys(names, False)
        collectors = {}
        for name in names:
            network = peers.LocalPeerNetwork(hub=hub, instance=InstanceId(name))
            membership.GrantIssuer(
                network=network,
                clock=clock,
                store_reachable=lambda n=name: reachable[n],
            )
            collectors[name] = membership.GrantCollector(
                network=network, clock=clock
            )
        return clock, hub, view, reachable, collectors

    async def collect(self, collector, view, purpose, epoch=1):
        return await collector.collect(
            domain="jobs.z",
            epoch=epoch,
            purpose=membership.GrantPurpose(purpose),
            view=view,
        )

    async def test_takeover_is_refused_until_grants_expire(self):
        """Guards against two owners after an outage."""
        clock, _, view, reachable, collectors = self.make()
        assert await self.collect(collectors["a"], view, "act")
        assert collectors["a"].remaining_s("jobs.z") > 3
        for name in reachable:
            reachable[name] = True
        assert not await self.collect(collectors["b"], view, "take-over", 2)
        await clock.advance(3.6)
        assert collectors["a"].remaining_s("jobs.z") == 0
        assert not await self.collect(collectors["b"], view, "take-over", 2)
        await clock.advance(0.5)
        assert await self.collect(collectors["b"], view, "take-over", 2)

    async def test_agreed_takeover_ends_grants_of_earlier_epochs(self):
        """Guards against grants to a former owner after a takeover."""
        clock, _, view, _, collectors = self.make()
        assert await self.collect(collectors["b"], view, "take-over", 2)
        await clock.advance(10)
        assert not await self.collect(collectors["a"], view, "act", 1)
        assert await self.collect(collectors["b"], view, "act", 2)

    def restart(self, clock, hub, name):
        """Begins a new lifetime of a member that still lacks the store."""
        membership.GrantIssuer(
            network=peers.LocalPeerNetwork(hub=hub, instance=InstanceId(name)),
            clock=clock,
            store_reachable=lambda: False,
        )

    async def test_restarted_member_keeps_to_its_grant(self):
        """Guards against a takeover while the former owner may act."""
        clock, hub, view, reachable, collectors = self.make("abc")
        hub.cut(InstanceId("a"), InstanceId("b"))
        assert await self.collect(collectors["a"], view, "act")
        await clock.advance(0.5)
        self.restart(clock, hub, "c")
        reachable["b"] = True
        assert not await self.collect(collectors["b"], view, "take-over", 2)
        assert collectors["a"].remaining_s("jobs.z") > 0

    async def test_restarted_member_keeps_to_its_consent(self):
        """Guards against grants to a former owner after a takeover."""
        clock, hub, view, reachable, collectors = self.make("abc")
        hub.cut(InstanceId("a"), InstanceId("b"))
        reachable["b"] = True
        assert await self.collect(collectors["b"], view, "take-over", 2)
        await clock.advance(10)
        self.restart(clock, hub, "c")
        assert not await self.collect(collectors["a"], view, "act", 1)

    @pytest.mark.parametrize("first", ["a", "b"])
    async def test_owner_and_delegate_never_act_concurrently(self, first):
        """Guards against a gang that is renewed while its owner restarts it."""
        clock, hub, view, _, collectors = self.make()
        outages = {
            name: membership.OutageGrantManager(
                clock=clock,
                collector=collectors[name],
                owned=lambda: {"jobs.z": 1},
                view=lambda: view,
                store_reachable=lambda: False,
            )
            for name in (first, *({"a", "b"} - {first}))
        }
        hub.cut(InstanceId("a"), InstanceId("b"))
        for outage in outages.values():
            await outage.start()
        acting_by_step = []
        for step in range(80):
            if step == 40:
                hub.remove(InstanceId(first))
            await clock.advance(0.25)
            acting_by_step.append(
                {n for n, x in outages.items() if x.may_act("jobs.z")}
            )
        assert all(len(names) <= 1 for names in acting_by_step)
        assert acting_by_step[39] == {first}
        assert acting_by_step[-1] == {"a", "b"} - {first}
        for outage in outages.values():
            await outage.stop()

    async def test_minority_obtains_no_grant(self):
        """Guards against starts on the smaller side of a partition."""
        _, hub, view, _, collectors = self.make()
        for name in "cde":
            hub.cut(InstanceId("a"), InstanceId(name))
        assert not await self.collect(collectors["a"], view, "act")

    async def test_members_that_reach_the_store_refuse_grants(self):
        """Guards against an owner that alone cannot reach the store."""
        _, _, view, reachable, collectors = self.make()
        for name in "bcde":
            reachable[name] = True
        assert not await self.collect(collectors["a"], view, "act")
