"""Entry instances over in-memory fakes, each of which can fail at any call."""

import asyncio
import collections

from magnoliaglade import clock as clock_lib
from magnoliaglade import membership, peers, requests, standins
from magnoliaglade import store as store_lib
from magnoliaglade.types import (
    AccountId,
    IdempotencyKey,
    InstanceId,
    RequestId,
    ZoneId,
)

STORE_CALLS = frozenset(
    (
        "get",
        "list_prefix",
        "put",
        "delete",
        "grant_lease",
        "renew_lease",
        "revoke_lease",
    )
)


class Crashes:
    """Stops an instance before or after its nth call to the outside."""

    def __init__(self, hub):
        self.hub = hub
        self.is_armed = False
        self.crossed = 0
        self.crash_at = None
        self.dead = set()

    async def cross(self, instance):
        if self.is_armed:
            self.crossed += 1
            if self.crossed == self.crash_at:
                self.crash(instance)
        if instance in self.dead:
            await asyncio.get_running_loop().create_future()

    def crash(self, instance):
        """Lets every later call of the instance wait for ever."""
        self.dead.add(instance)
        self.hub.remove(instance)

    async def around(self, instance, call):
        try:
            await self.cross(instance)
        except BaseException:
            call.close()
            raise
        result = await call
        await self.cross(instance)
        return result


class CrashingStore:
    def __init__(self, store, crashes, instance):
        self.store, self.crashes, self.instance = store, crashes, instance

    def __getattr__(self, name):
        if name not in STORE_CALLS:
            raise AttributeError(name)

        async def call(*args, **options):
            method = getattr(self.store, name)
            return await self.crashes.around(
                self.instance, method(*args, **options)
            )

        return call


class CrashingPeers(peers.LocalPeers):
    def __init__(self, *, crashes, **params):
        super().__init__(**params)
        self.crashes = crashes

    async def request(self, peer, value, *, timeout_s):
        call = super().request(peer, value, timeout_s=timeout_s)
        return await self.crashes.around(self.instance, call)

    async def receive(self, sender, value):
        call = super().receive(sender, value)
        return await self.crashes.around(self.instance, call)


class Node:
    """One entry instance: lease, claim service and claims client."""

    def __init__(self, cluster, name):
        self.instance = InstanceId(name)
        clock, crashes = cluster.clock, cluster.crashes
        self.faults = standins.FaultyStore(store=cluster.memory, clock=clock)
        store = CrashingStore(self.faults, crashes, self.instance)
        self.network = CrashingPeers(
            hub=cluster.hub, instance=self.instance, crashes=crashes
        )
        self.lease = store_lib.InstanceLease(store=store, clock=clock)
        self.service = requests.ClaimService(
            clock=clock,
            store=store,
            network=self.network,
            ownership=store_lib.Ownership(
                store=store, instance=self.instance, lease=self.lease
            ),
            views=cluster,
            compact_records=cluster.compact_records,
        )
        self.client = requests.ClaimsClient(
            clock=clock,
            network=self.network,
            service=self.service,
            incarnation="1",
        )

    async def start(self):
        await self.lease.start()
        await self.service.start()

    async def stop(self):
        await self.client.stop()
        await self.service.stop()
        await self.lease.stop()


class Cluster:
    def __init__(self, *, names="abc", compact_records=10_000):
        self.clock = clock_lib.ManualClock()
        self.compact_records = compact_records
        self.memory = store_lib.InMemoryStore(clock=self.clock)
        self.hub = peers.LocalHub(clock=self.clock)
        self.crashes = Crashes(self.hub)
        self.runs = collections.Counter()
        self.nodes = {n: Node(self, n) for n in names}

    @property
    def view(self):
        members = tuple(
            membership.Member(
                instance=i,
                incarnation="1",
                zone=ZoneId("z"),
                peer_address="",
                http_address="",
            )
            for i in self.hub.members
        )
        return membership.View(version=1, members=members)

    async def start(self):
        for node in self.nodes.values():
            await node.start()
        await self.clock.advance(3)

    def key_owned_by(self, name):
        """Returns a key whose partition the instance owns."""
        service = self.nodes[name].service
        for n in range(1000):
            key = IdempotencyKey(f"key-{n}")
            digest = requests.digest_key(AccountId("acme"), key)
            if service.owner_of(requests.partition_of(digest)) == name:
                return key
        raise AssertionError(f"{name} owns no partition")

    def partition(self, name, key):
        digest = requests.digest_key(AccountId("acme"), key)
        number = requests.partition_of(digest)
        return self.nodes[name].service._partitions[number]

    def ask(self, name, key, request_id, *, body=b"body", timeout_s=10.0):
        """Starts a claim through an instance; returns its spec and task."""
        spec = requests.ClaimSpec(
            request_id=RequestId(request_id),
            account=AccountId("acme"),
            key=key,
            body_digest=requests.digest_body("render", "reprint", body),
        )
        call = self.nodes[name].client.claim(
            spec, deadline_s=self.clock.now() + timeout_s
        )
        return spec, asyncio.create_task(call)

    async def claim(self, name, key, request_id, *, wait_s=11.0, **options):
        spec, task = self.ask(name, key, request_id, **options)
        for _ in range(int(wait_s / 0.05)):
            if task.done():
                break
            await self.clock.advance(0.05)
        assert task.done()
        return spec, task.result()
