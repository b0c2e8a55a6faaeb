import asyncio
import types

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import (
    configuration,
    execution,
    membership,
    peers,
    scheduling,
    standins,
)
from magnoliaglade import store as store_lib
from magnoliaglade.execution import _routing_messages
from magnoliaglade.execution.tests import harness
from magnoliaglade.types import AccountId, InstanceId, WorkerId, ZoneId

ZONES = frozenset({ZoneId("x"), ZoneId("y")})


class Directory:
    """Knows the owner of each domain without heartbeats."""

    def __init__(self):
        self.owners = {}

    def owner_of(self, domain):
        return self.owners.get(domain)


class Entry:
    """An entry instance with a router, and owners of domains."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = InstanceId(name)
        self.store = standins.FaultyStore(
            store=cluster.memory, clock=cluster.clock
        )
        self.lease = store_lib.InstanceLease(
            store=self.store, clock=cluster.clock
        )
        self.ownership = store_lib.OwnershipManager(
            store=self.store, instance=self.name, lease=self.lease
        )
        self.owners = {}
        self.network = peers.LocalPeerNetwork(
            hub=cluster.hub, instance=self.name
        )
        loads = types.SimpleNamespace(load=lambda _: execution.DomainLoad())
        self.router = execution.JobRouter(
            network=self.network,
            directory=cluster.directory,
            loads=loads,
            owner=self.owners.get,
            zones=lambda: ZONES,
            startable_zones=lambda: cluster.startable,
            workers=lambda: cluster.workers,
        )

    async def own(self, zone):
        if not self.lease.is_valid:
            await self.lease.start()
        domain = execution.domain_of(zone)
        owned = await self.ownership.acquire(domain)
        owner = execution.DomainOwner(
            zone=zone,
            instance=self.name,
            store=self.store,
            clock=self.cluster.clock,
            ownership=self.ownership,
            owned=owned,
            hooks=execution.OwnerHooks(
                decide=lambda _: scheduling.Plan(),
                workers=dict,
                client={}.__getitem__,
                startable_zones=lambda: self.cluster.startable,
                zone_policy=lambda: self.cluster.policy(zone),
                choose_domain=lambda spec: self.router.choose_domain(
                    spec, exclude=domain
                ),
                forward=self.router.forward,
            ),
        )
        await owner.start()
        self.owners[domain] = owner
        self.cluster.directory.owners[domain] = membership.OwnerRecord(
            instance=self.name, epoch=owned.epoch
        )

    async def die(self):
        self.cluster.hub.remove(self.name)
        self.store.is_down = True
        for owner in self.owners.values():
            await owner.abandon()
        self.owners.clear()
        if self.lease._task is not None:
            self.lease._task.cancel()


class Cluster:
    """Instances a, b and c; a owns zone x and b owns zone y."""

    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.memory = store_lib.InMemoryStore(clock=self.clock)
        self.hub = peers.LocalHub(clock=self.clock)
        self.directory = Directory()
        self.startable = ZONES
        self.removed = frozenset()
        shape = scheduling.Shape(cores=64, memory_gb=128, accelerators=8)
        self.workers = {
            WorkerId(z): scheduling.Worker(
                worker=WorkerId(z), zone=z, rack="r", shape=shape
            )
            for z in ZONES
        }
        self.a, self.b, self.c = (Entry(self, n) for n in "abc")

    def policy(self, zone):
        if zone not in self.removed:
            return None
        return configuration.ZonePolicy.CHECKPOINT

    def jobs(self):
        """Returns domain and phase of every job that a domain holds."""
        return [
            (domain, entry.phase)
            for node in (self.a, self.b, self.c)
            for domain, owner in node.owners.items()
            for phase in execution.JobPhase
            for entry in owner.jobs.in_phase(phase)
        ]


@pytest.fixture
async def cluster():
    cluster = Cluster()
    for node in (cluster.a, cluster.b, cluster.c):
        await node.router.start()
    await cluster.a.own(ZoneId("x"))
    await cluster.b.own(ZoneId("y"))
    yield cluster
    for node in (cluster.a, cluster.b, cluster.c):
        await node.die()


def spec_by(registrar, **options):
    """Returns a job whose registrar is the owner of a zone."""
    for n in range(100):
        spec = harness.make_spec(f"j{n}", **options)
        order = membership.rendezvous_order(
            f"submission.{spec.submission}", ZONES
        )
        if order[0] == registrar:
            return spec
    raise AssertionError(registrar)


async def advance_until(cluster, task):
    while not task.done():
        await cluster.clock.advance(0.5)
    return await task


class TestSubmission:
    async def test_repeated_through_another_instance(self, cluster):
        """Guards against a second job when zones change between calls."""
        spec = spec_by("x")
        cluster.startable = frozenset({"x"})
        first = await cluster.b.router.submit(spec)
        cluster.startable = frozenset({"y"})
        second = await cluster.c.router.submit(spec)
        assert first.entry.job == second.entry.job
        assert len(cluster.jobs()) == 1

    async def test_registrar_dies_before_its_reply(self, cluster):
        """Guards against a false refusal, and against a second job."""
        spec = spec_by("x")
        cluster.startable = frozenset({"y"})
        cluster.hub.lost_replies = 1
        with pytest.raises(execution.OutcomeUnknownError):
            await cluster.c.router.submit(spec, is_repeated=False)
        assert [d for d, _ in cluster.jobs()] == ["jobs.y"]
        await cluster.a.die()
        # Without its owner a domain cannot be asked for the submission.
        with pytest.raises(execution.OutcomeUnknownError):
            await cluster.c.router.submit(spec)
        await cluster.clock.advance(5)
        await cluster.c.own(ZoneId("x"))
        cluster.startable = frozenset({"x"})
        await cluster.c.router.submit(spec)
        assert [d for d, _ in cluster.jobs()] == ["jobs.y"]

    async def test_late_message_of_a_former_registrar(self, cluster):
        """Guards against a job accepted after its successor's search."""
        spec = spec_by("x")
        late = _routing_messages.JobAccept(
            domain="jobs.y",
            record=execution.encode_record(execution.Accepted(spec=spec)),
            registrar="jobs.x",
            epoch=cluster.a.owners["jobs.x"].owned.epoch,
        )
        await cluster.a.die()
        await cluster.clock.advance(5)
        await cluster.c.own(ZoneId("x"))
        cluster.startable = frozenset({"x"})
        await cluster.c.router.submit(spec)
        reply = await cluster.b.network.receive(cluster.a.name, late)
        assert reply.state == _routing_messages.JobState.UNKNOWN.value
        assert [d for d, _ in cluster.jobs()] == ["jobs.x"]

    async def test_acceptance_in_doubt_stays_with_its_domain(self, cluster):
        """Guards against a second job while the first is being written."""
        spec = spec_by("x")
        cluster.startable = frozenset({"y"})
        cluster.b.store.delay_s = 3
        slow = asyncio.create_task(cluster.c.router.submit(spec))
        with pytest.raises(execution.OutcomeUnknownError):
            await advance_until(cluster, slow)
        cluster.startable = frozenset({"x"})
        again = asyncio.create_task(cluster.c.router.submit(spec))
        await asyncio.sleep(0)
        with pytest.raises(execution.OutcomeUnknownError):
            await advance_until(cluster, again)
        cluster.b.store.delay_s = 0
        await cluster.clock.advance(5)
        await cluster.c.router.submit(spec)
        assert [d for d, _ in cluster.jobs()] == ["jobs.y"]

    async def test_target_owner_moves(self, cluster):
        """Guards against a refusal that says unknown, or a lost job."""
        spec = spec_by("x")
        cluster.startable = frozenset({"y"})
        owner = cluster.b.owners.pop("jobs.y")
        with pytest.raises(execution.NotRunError):
            await cluster.c.router.submit(spec, is_repeated=False)
        # An earlier attempt may have been accepted by the owner before.
        with pytest.raises(execution.OutcomeUnknownError):
            await cluster.c.router.submit(spec)
        await owner.stop()
        await cluster.c.own(ZoneId("y"))
        found = await cluster.a.router.submit(spec)
        assert found.domain == "jobs.y"

    @pytest.mark.parametrize("zone", ["x", "y"])
    async def test_domain_that_does_not_answer(self, cluster, zone):
        """Guards against not run while another domain may have the job."""
        spec = spec_by("x")
        cluster.hub.remove(cluster.directory.owner_of(f"jobs.{zone}").instance)
        with pytest.raises(execution.OutcomeUnknownError):
            await cluster.c.router.submit(spec)
        cluster.startable = frozenset({zone})
        with pytest.raises(execution.NotRunError):
            await cluster.c.router.submit(spec, is_repeated=False)
        assert cluster.jobs() == []

    async def test_owner_without_a_valid_lease(self, cluster):
        """Guards against not found from an owner that was replaced."""
        spec = spec_by("x")
        cluster.b.lease._task.cancel()
        cluster.startable = frozenset({"x"})
        await cluster.clock.advance(4)
        with pytest.raises(execution.OutcomeUnknownError):
            await cluster.c.router.submit(spec)

    async def test_job_that_can_never_run(self, cluster):
        spec = spec_by("x", tasks=5)
        with pytest.raises(execution.NotRunError, match="never run"):
            await cluster.c.router.submit(spec)

    def test_job_id_tells_accounts_apart(self):
        make = execution.make_job_id
        assert make(AccountId("a"), "s") == make(AccountId("a"), "s")
        assert make(AccountId("a"), "b/s") != make(AccountId("a/b"), "s")


class TestMovedJob:
    async def test_status_cancel_and_submission_follow_it(self, cluster):
        """Guards against a job that is lost to its submitter by a move."""
        spec = spec_by("x")
        cluster.startable = frozenset({"x"})
        first = await cluster.c.router.submit(spec)
        cluster.startable = frozenset({"y"})
        cluster.removed = frozenset({"x"})
        await cluster.clock.advance(3)
        router, job = cluster.c.router, first.entry.job
        again = await router.submit(spec)
        assert again.domain == "jobs.y"
        assert (await router.status(first.domain, job)).domain == "jobs.y"
        cancelled = await router.cancel(first.domain, job)
        assert cancelled.entry.phase is execution.JobPhase.CANCELLED
        listed = await router.list_jobs("a")
        assert [f.domain for f in listed] == ["jobs.y"]
        with pytest.raises(execution.UnknownJobError):
            await router.status("jobs.y", "other")
