"""Tests of the renewal delegate while the store is down."""

import pytest

from magnoliaglade import execution, peers
from magnoliaglade.execution.tests import harness
from magnoliaglade.types import InstanceId, JobId


class Fixture:
    """An owner `a` with a running gang and its delegate `b`."""

    async def open(self, *, tasks=4, **options):
        self.cluster = harness.Cluster()
        self.old = harness.Node(self.cluster, "a")
        self.new = harness.Node(self.cluster, "b")
        self.has_grants = True
        self.hub = peers.LocalHub(clock=self.cluster.clock)
        first, second = (
            peers.LocalPeerNetwork(hub=self.hub, instance=InstanceId(n))
            for n in "ab"
        )
        self.delegate = execution.RenewalDelegate(
            clock=self.cluster.clock,
            network=second,
            client=self.new.links.__getitem__,
            is_store_reachable=lambda: not self.new.store.is_down,
            is_permitted=lambda *_: self.has_grants,
        )
        await self.delegate.start()
        notifier = execution.DelegateNotifier(
            domain=harness.DOMAIN,
            network=first,
            choose=lambda: InstanceId("b"),
        )
        await self.old.own(on_renewed=notifier.notify)
        spec = harness.make_spec(
            "j", tasks=tasks, command=("sleep", "70"), **options
        )
        await self.old.owner.submit(spec)
        await self.cluster.clock.advance(7)
        return self

    async def fail_owner(self, *, is_store_down=True):
        self.old.store.is_down = self.new.store.is_down = is_store_down
        await self.old.close()
        self.hub.remove(InstanceId("a"))

    async def close(self):
        await self.delegate.stop()
        await self.new.close()
        await self.old.close()


class TestRenewalDelegate:
    async def test_gang_outlives_owner_and_outage(self):
        """Guards against a night's work that ends with one instance."""
        fixture = await Fixture().open()
        await fixture.fail_owner()
        await fixture.cluster.clock.advance(50)
        assert len(fixture.cluster.running("j")) == 4
        fixture.new.store.is_down = False
        await fixture.new.own()
        await fixture.cluster.clock.advance(20)
        assert fixture.delegate.dump() == {}
        assert fixture.new.phase("j") is execution.JobPhase.FINISHED
        assert len(fixture.cluster.runs("j")) == 4
        await fixture.close()

    @pytest.mark.parametrize("case", ["grants", "store"])
    async def test_renews_only_with_grants_and_without_store(self, case):
        """Guards against a gang kept alive that a successor restarts."""
        fixture = await Fixture().open()
        fixture.has_grants = case != "grants"
        await fixture.fail_owner(is_store_down=case != "store")
        await fixture.cluster.clock.advance(2)
        assert bool(fixture.delegate.dump()) == (case == "grants")
        await fixture.cluster.clock.advance(19)
        assert fixture.cluster.running("j") == []
        assert fixture.delegate.dump() == {}
        await fixture.close()

    async def test_lost_member_ends_the_renewal(self):
        """Guards against part of a gang that a delegate keeps alive."""
        fixture = await Fixture().open()
        await fixture.fail_owner()
        fixture.cluster.workers["w0"].crash()
        await fixture.cluster.clock.advance(35)
        assert fixture.cluster.running("j") == []
        await fixture.close()

    async def test_higher_epoch_ends_the_delegation(self):
        """Guards against renewals that reach past a takeover."""
        fixture = await Fixture().open()
        await fixture.fail_owner()
        await fixture.cluster.clock.advance(10)
        await fixture.cluster.workers["w0"].fence(
            domain=harness.DOMAIN, epoch=9
        )
        await fixture.cluster.clock.advance(6)
        assert fixture.delegate.dump() == {}
        await fixture.close()

    async def test_owner_that_reaches_the_store_alone_restarts_once(self):
        """Guards against two runs in a partition that leaves no store to peers.

        The owner keeps its lease and loses the worker of a gang to the side of
        its delegate, which has the grants of the majority there.
        """
        fixture = await Fixture().open(tasks=2)
        cluster, old = fixture.cluster, fixture.old
        fixture.new.store.is_down = True
        fixture.hub.cut(InstanceId("a"), InstanceId("b"))
        old.links["w0"].is_cut = fixture.new.links["w1"].is_cut = True
        await cluster.clock.advance(40)
        assert old.lease.is_valid
        assert not cluster.overlaps("j")
        await fixture.close()

    async def test_eviction_waits_for_renewals_of_the_delegate(self):
        """Guards against a restart beside a gang that a delegate renewed.

        The owner was without grants for as long as its delegate had them.
        """
        fixture = await Fixture().open(checkpointable=False)
        cluster, old = fixture.cluster, fixture.old
        old.store.is_down = fixture.new.store.is_down = True
        fixture.hub.cut(InstanceId("a"), InstanceId("b"))
        for link in old.links.values():
            link.is_cut = True
        await cluster.clock.advance(24)
        assert len(cluster.running("j")) == 4
        fixture.has_grants, old.has_grants = False, True
        attempts = old.owner._term.attempts
        attempts.evict(JobId("j"))
        await cluster.clock.advance(0.1)
        assert attempts.holds(JobId("j"))
        assert len(cluster.running("j")) == 4
        await fixture.close()
