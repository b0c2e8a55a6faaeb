"""Tests of acquiring, losing and handing over domains."""

import asyncio

from magnoliaglade import clock as clock_lib
from magnoliaglade import membership, peers, standins
from magnoliaglade import store as store_lib
from magnoliaglade.types import InstanceId, ZoneId

DOMAINS = ["jobs.a", "jobs.b", "jobs.c", "jobs.d"]


class RecordingService:
    """Service that acquires its domain again after an outage, as owners do."""

    def __init__(self, owned, ownership, clock):
        self.owned = owned
        self.ownership = ownership
        self.clock = clock
        self.end_state = ""
        self.is_lost = False
        self.task = None

    async def start(self):
        self.task = asyncio.create_task(self.renew_ownership())

    async def renew_ownership(self):
        while not self.is_lost:
            await self.clock.sleep(0.5)
            lease = self.ownership.lease
            if lease.is_valid and not self.owned.is_valid:
                owned = await self.ownership.acquire(self.owned.domain)
                self.is_lost = owned is None
                self.owned = owned or self.owned

    async def stop(self):
        self.task.cancel()
        self.end_state = "stopped"

    async def abandon(self):
        self.task.cancel()
        self.end_state = "abandoned"

    def dump(self):
        return {}


class Node:
    def __init__(self, clock, memory, hub, name):
        self.store = standins.FaultyStore(store=memory, clock=clock)
        self.lease = store_lib.InstanceLease(store=self.store, clock=clock)
        self.network = peers.LocalPeerNetwork(
            hub=hub, instance=InstanceId(name)
        )
        self.exchange = membership.HeartbeatExchange(network=self.network)
        self.registry = membership.MemberRegistry(
            store=self.store,
            clock=clock,
            lease=self.lease,
            network=self.network,
            member=membership.Member(
                instance=InstanceId(name),
                incarnation="1",
                zone=ZoneId("z"),
                peer_address="",
                http_address="",
            ),
        )
        self.ownership = store_lib.OwnershipManager(
            store=self.store, instance=InstanceId(name), lease=self.lease
        )
        self.campaign = membership.OwnershipCampaign(
            ownership=self.ownership,
            directory=membership.OwnerDirectory(
                network=self.network, exchange=self.exchange
            ),
            network=self.network,
            clock=clock,
            view=lambda: self.registry.view,
            domains=lambda: DOMAINS,
            factory=lambda o: RecordingService(o, self.ownership, clock),
            may_take_over=self.permit_takeover,
        )

    async def permit_takeover(self, domain):
        return True

    async def start(self):
        for component in (self.lease, self.registry, self.campaign):
            await component.start()

    async def stop(self):
        for component in (self.campaign, self.registry, self.lease):
            await component.stop()


async def start_nodes(count=3):
    clock = clock_lib.ManualClock()
    memory = store_lib.InMemoryStore(clock=clock)
    hub = peers.LocalHub(clock=clock)
    nodes = [Node(clock, memory, hub, n) for n in "xyz"[:count]]
    for node in nodes:
        await node.start()
    return clock, memory, hub, nodes


async def run(clock, memory, nodes, seconds):
    for _ in range(int(seconds / 0.5)):
        await clock.advance(0.5)
        memory.expire_leases()
        for node in nodes:
            if node.network.instance in node.network.hub.members:
                await node.network.broadcast(node.exchange.make())


def owners(nodes):
    return sorted(d for n in nodes for d in n.campaign.owned)


class TestOwnershipCampaign:
    async def test_each_domain_has_one_owner_and_moves_to_the_first(self):
        """Guards against two owners of a domain and against unbalanced owners.

        The first instance to start must not keep all domains.
        """
        clock, memory, _, nodes = await start_nodes()
        await run(clock, memory, nodes, 15)
        assert owners(nodes) == DOMAINS
        for node in nodes:
            expected = [
                d
                for d in DOMAINS
                if membership.rendezvous_order(d, ["x", "y", "z"])[0]
                == node.network.instance
            ]
            assert sorted(node.campaign.owned) == expected
        for node in nodes:
            await node.stop()

    async def test_domains_of_crashed_owner_are_taken_over_within_5_s(self):
        """Guards against a domain that has no owner after a crash."""
        clock, memory, hub, nodes = await start_nodes()
        await run(clock, memory, nodes, 15)
        crashed = next(n for n in nodes if n.campaign.owned)
        crashed.store.is_down = True
        hub.remove(crashed.network.instance)
        survivors = [n for n in nodes if n is not crashed]
        await run(clock, memory, survivors, 5)
        assert owners(survivors) == DOMAINS

    async def test_service_keeps_running_during_store_outage(self):
        """Guards against abandoning running work while the store is down."""
        clock, memory, _, nodes = await start_nodes()
        await run(clock, memory, nodes, 15)
        before = {
            d: n.campaign.service(d) for n in nodes for d in n.campaign.owned
        }
        for node in nodes:
            node.store.is_down = True
        await run(clock, memory, nodes, 30)
        assert owners(nodes) == DOMAINS
        assert all(not s.end_state for s in before.values())
        for node in nodes:
            node.store.is_down = False
        await run(clock, memory, nodes, 15)
        assert owners(nodes) == DOMAINS
        for domain, service in before.items():
            holders = [n for n in nodes if domain in n.campaign.owned]
            assert [n.campaign.service(domain) for n in holders] == [service]
            assert service.owned.is_valid

    async def test_service_of_lost_domain_is_abandoned(self):
        """Guards against two services of a domain after a partition.

        The former owner can reach neither the store nor its peer, and another
        instance acquires the domain.
        """
        clock, memory, hub, nodes = await start_nodes(2)
        await run(clock, memory, nodes, 15)
        isolated = next(n for n in nodes if n.campaign.owned)
        other = next(n for n in nodes if n is not isolated)
        services = [
            isolated.campaign.service(d) for d in isolated.campaign.owned
        ]
        isolated.store.is_down = True
        hub.cut(isolated.network.instance, other.network.instance)
        await run(clock, memory, nodes, 10)
        assert owners([other]) == DOMAINS
        isolated.store.is_down = False
        await run(clock, memory, nodes, 3)
        assert owners(nodes) == DOMAINS
        assert all(s.end_state == "abandoned" for s in services)
        for node in nodes:
            await node.stop()

    async def test_graceful_stop_hands_domains_over_at_once(self):
        """Guards against a handover that waits for the lease to lapse."""
        clock, memory, hub, nodes = await start_nodes(2)
        await run(clock, memory, nodes, 15)
        leaving = next(n for n in nodes if n.campaign.owned)
        other = next(n for n in nodes if n is not leaving)
        services = [leaving.campaign.service(d) for d in leaving.campaign.owned]
        await leaving.stop()
        hub.remove(leaving.network.instance)
        await run(clock, memory, [other], 1)
        assert owners([other]) == DOMAINS
        assert all(s.end_state == "stopped" for s in services)
        await other.stop()
