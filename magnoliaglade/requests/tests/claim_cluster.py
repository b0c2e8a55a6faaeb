"""Entry instances over in-memory fakes, each of which can fail at any call."""

import asyncio
import collections
import contextlib
import hashlib

from magnoliaglade import clock as clock_lib
from magnoliaglade import configuration as configuration_lib
from magnoliaglade import membership, peers, requests, standins
from magnoliaglade import store as store_lib
from magnoliaglade.types import (
    AccountId,
    IdempotencyKey,
    InstanceId,
    RequestId,
    Revision,
    ZoneId,
)

CONFIGURATION = configuration_lib.Configuration(
    revision=Revision(1),
    accounts=(
        configuration_lib.AccountConfig(
            account=AccountId("acme"),
            key_digest=hashlib.sha256(b"secret").hexdigest(),
        ),
    ),
    services=(
        configuration_lib.ServiceConfig(
            service="render",
            kinds=(
                configuration_lib.RequestKind(
                    name="reprint", idempotent=False, deadline_s=10.0
                ),
                configuration_lib.RequestKind(name="proof", idempotent=True),
            ),
        ),
    ),
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


class Crossing:
    """Delegates async methods; the instance may die at each call."""

    def __init__(self, target, crashes, instance):
        self.target, self.crashes, self.instance = target, crashes, instance

    def __getattr__(self, name):
        method = getattr(self.target, name)

        async def call(*args, **options):
            return await self.crashes.around(
                self.instance, method(*args, **options)
            )

        return call


class CrashingPeers(peers.LocalPeerNetwork):
    def __init__(self, *, crashes, **params):
        super().__init__(**params)
        self.crashes = crashes

    async def request(self, peer, value, *, timeout_s):
        call = super().request(peer, value, timeout_s=timeout_s)
        return await self.crashes.around(self.instance, call)

    async def receive(self, sender, value):
        call = super().receive(sender, value)
        return await self.crashes.around(self.instance, call)


class Upstream:
    """Runs requests and counts the runs by request id and by body.

    Attributes:
        delay_s: time that a run takes.
        failures: raised in turn; OutcomeUnknownError only after a run.
        changes: fields of the coming answers that differ from correct ones.
    """

    def __init__(self, clock):
        self.clock = clock
        self.runs = collections.Counter()
        self.delay_s = 0.0
        self.failures = []
        self.changes = {}

    async def dispatch(self, request):
        failure = self.failures.pop(0) if self.failures else None
        if isinstance(failure, requests.NotSentError):
            raise failure
        self.runs[request.request_id] += 1
        self.runs[request.body] += 1
        if self.delay_s:
            await self.clock.sleep(self.delay_s)
        if failure:
            raise failure
        fields = {
            "status": 200,
            "body": b"printed",
            "request_id": request.request_id,
        }
        return requests.UpstreamResponse(**{**fields, **self.changes})


class Admission:
    def __init__(self):
        self.refusal = None

    @contextlib.asynccontextmanager
    async def admit(self, request):
        if self.refusal:
            raise requests.RefusedError(self.refusal)
        yield


class Retries:
    """Two retries after 0.1 s each."""

    def record_request(self):
        pass

    def next_delay_s(self, attempt, *, deadline_s):
        return 0.1 if attempt < 3 else None


class Node:
    """One entry instance: lease, claim service, claims client, gateway."""

    def __init__(self, cluster, name):
        self.instance = InstanceId(name)
        clock, crashes = cluster.clock, cluster.crashes
        self.faults = standins.FaultyStore(store=cluster.memory, clock=clock)
        store = Crossing(self.faults, crashes, self.instance)
        self.network = CrashingPeers(
            hub=cluster.hub, instance=self.instance, crashes=crashes
        )
        self.lease = store_lib.InstanceLease(store=store, clock=clock)
        self.service = requests.ClaimService(
            clock=clock,
            store=store,
            network=self.network,
            ownership=store_lib.OwnershipManager(
                store=store, instance=self.instance, lease=self.lease
            ),
            views=cluster,
            **cluster.options,
        )
        self.client = requests.ClaimsClient(
            clock=clock,
            network=self.network,
            service=self.service,
            incarnation="1",
        )
        self.admission = Admission()
        self.gateway = requests.Gateway(
            clock=clock,
            instance=self.instance,
            configurations=cluster,
            admission=self.admission,
            claims=self.client,
            dispatcher=Crossing(cluster.upstream, crashes, self.instance),
            retries=Retries(),
        )

    async def start(self):
        await self.lease.start()
        await self.service.start()
        await self.gateway.start()

    async def stop(self):
        await self.gateway.stop()
        await self.client.stop()
        await self.service.stop()
        await self.lease.stop()


class Cluster:
    def __init__(self, *, names="abc", **options):
        self.clock = clock_lib.ManualClock()
        self.options = options
        self.memory = store_lib.InMemoryStore(clock=self.clock)
        self.hub = peers.LocalHub(clock=self.clock)
        self.crashes = Crashes(self.hub)
        self.upstream = Upstream(self.clock)
        self.nodes = {n: Node(self, n) for n in names}

    configuration = CONFIGURATION

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

    def key_owned_by(self, name, *, skip=0):
        """Returns a key in one of the partitions that the instance owns."""
        owned = sorted(self.nodes[name].service._active())
        for n in range(1000):
            key = IdempotencyKey(f"key-{n}")
            digest = requests.digest_key(AccountId("acme"), key)
            if requests.partition_of(digest) == owned[skip]:
                return key
        raise AssertionError(f"no key in partition {owned[skip]}")

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

    def send(self, name, key, /, *, kind="reprint", **fields):
        """Starts a request through an instance; its body repeats the key."""
        request = requests.CallerRequest(
            **{
                "service": "render",
                "kind": kind,
                "authorization": "Bearer acme:secret",
                "body": key.encode(),
                "key": key,
                **fields,
            }
        )
        return asyncio.create_task(self.nodes[name].gateway.handle(request))

    async def claim(self, name, key, request_id, **options):
        spec, task = self.ask(name, key, request_id, **options)
        return spec, await self.wait(task)

    async def wait(self, task, wait_s=12.0):
        """Moves the time until the task is done; returns its result."""
        end_s = self.clock.now() + wait_s
        while not task.done() and self.clock.now() < end_s:
            await self.clock.advance(0.05)
        return task.result()
