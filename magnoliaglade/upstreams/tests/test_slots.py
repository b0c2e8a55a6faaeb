"""Tests of slot leases with failures, view changes, delays and losses."""

import asyncio
import random

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import membership, peers, upstreams
from magnoliaglade.types import InstanceId, UpstreamId, ZoneId

UPSTREAM_ID = UpstreamId("u")
SLOTS = 8
INSTANCE_NAMES = ("a", "b", "c")


class DelayedPeers(peers.LocalPeerNetwork):
    """Delivers some messages and replies late, after the sender's timeout."""

    def __init__(self, *, hub, instance, rng):
        super().__init__(hub=hub, instance=instance)
        self.rng = rng
        self.delays = (0.0,)

    async def receive(self, sender, value):
        return await asyncio.shield(
            asyncio.ensure_future(self._delayed(sender, value))
        )

    async def _delayed(self, sender, value):
        await self.hub.clock.sleep(self.rng.choice(self.delays))
        reply = await super().receive(sender, value)
        await self.hub.clock.sleep(self.rng.choice(self.delays))
        return reply


class Instance:
    """Holder and coordinator with a view that may lag behind."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = InstanceId(name)
        self.view = cluster.view
        self.confirmed_s = cluster.clock.now()
        self.peers = DelayedPeers(
            hub=cluster.hub, instance=self.name, rng=cluster.rng
        )
        self.coordinator = upstreams.SlotCoordinator(
            network=self.peers,
            clock=cluster.clock,
            view=lambda: self.view,
            view_age_s=lambda: cluster.clock.now() - self.confirmed_s,
            slots=lambda: {UPSTREAM_ID: SLOTS},
        )
        self.holder = upstreams.SlotHolder(
            network=self.peers, clock=cluster.clock, view=lambda: self.view
        )

    async def start(self):
        await self.coordinator.start()
        await self.holder.start()

    def confirm(self):
        self.view = self.cluster.view
        self.confirmed_s = self.cluster.clock.now()


class Cluster:
    def __init__(self, seed=0, names=INSTANCE_NAMES):
        self.clock = clock_lib.ManualClock()
        self.hub = peers.LocalHub(clock=self.clock)
        self.rng = random.Random(seed)
        self.view = membership.View()
        self.set_view(names)
        self.all = {n: Instance(self, n) for n in names}

    def set_view(self, names):
        self.view = membership.View(
            version=self.view.version + 1,
            members=tuple(
                membership.Member(
                    instance=InstanceId(n),
                    incarnation="",
                    zone=ZoneId("z"),
                    peer_address="",
                    http_address="",
                )
                for n in names
            ),
        )

    async def run(self, duration_s, *, lagging=()):
        """Advances in steps and returns the largest sum of leased slots."""
        max_leased = 0
        for _ in range(int(duration_s / 0.25)):
            for name, instance in self.all.items():
                if name not in lagging:
                    instance.confirm()
            await self.clock.advance(0.25)
            max_leased = max(max_leased, self.leased())
        return max_leased

    def leased(self):
        return sum(i.holder.leased(UPSTREAM_ID) for i in self.all.values())

    async def start(self):
        for instance in self.all.values():
            await instance.start()
            instance.holder.set_demand(UPSTREAM_ID, SLOTS)

    async def stop(self):
        for instance in self.all.values():
            await instance.holder.stop()
            await instance.coordinator.stop()


class TestSlotLeases:
    @pytest.mark.parametrize("seed", range(12))
    async def test_sum_never_exceeds_slots(self, seed):
        """Guards against more slots in use than an upstream has."""
        cluster = Cluster(seed)
        rng = cluster.rng
        await cluster.start()
        for _ in range(25):
            cluster.hub.heal()
            cluster.hub.lost_replies = rng.choice((0, 0, 1, 3))
            cluster.set_view(rng.sample(INSTANCE_NAMES, rng.choice((2, 3, 3))))
            if rng.random() < 0.5:
                cluster.hub.cut(*map(InstanceId, rng.sample(INSTANCE_NAMES, 2)))
            for instance in cluster.all.values():
                instance.peers.delays = rng.choice(((0.0,), (0.0, 0.3, 2.5)))
                instance.holder.set_demand(
                    UPSTREAM_ID, rng.choice((0, 3, SLOTS))
                )
            lagging = rng.sample(INSTANCE_NAMES, rng.choice((0, 1, 2)))
            duration_s = rng.choice((0.5, 2, 4, 9))
            max_leased = await cluster.run(duration_s, lagging=lagging)
            assert max_leased <= SLOTS
        cluster.hub.heal()
        cluster.set_view(INSTANCE_NAMES)
        for instance in cluster.all.values():
            instance.peers.delays = (0.0,)
            instance.holder.set_demand(UPSTREAM_ID, SLOTS)
        assert await cluster.run(12) == SLOTS
        await cluster.stop()

    async def test_same_coordinator_keeps_granting_in_a_new_view(self):
        """Guards against a pause of all requests at every view change."""
        cluster = Cluster()
        await cluster.start()
        await cluster.run(8)
        first = upstreams.coordinator_of(UPSTREAM_ID, cluster.view)
        cluster.set_view([first, next(n for n in INSTANCE_NAMES if n != first)])
        for _ in range(16):
            await cluster.run(0.25)
            assert cluster.leased() > 0
        await cluster.stop()

    async def test_new_coordinator_waits_for_old_grants(self):
        cluster = Cluster()
        await cluster.start()
        await cluster.run(8)
        dead = upstreams.coordinator_of(UPSTREAM_ID, cluster.view)
        held = cluster.all[dead].holder.leased(UPSTREAM_ID)
        assert held > 0
        cluster.hub.remove(dead)
        cluster.set_view([n for n in INSTANCE_NAMES if n != dead])
        await cluster.run(5.5, lagging=(dead,))
        assert cluster.leased() == 0
        assert await cluster.run(2, lagging=(dead,)) == SLOTS
        await cluster.stop()

    async def test_only_member_of_a_first_view_waits(self):
        """Guards against two coordinators that grant at once.

        The only member has lost its registration but still uses its old view;
        its successor has a view without it and cannot reach it.
        """
        cluster = Cluster(names=("a", "b"))
        old, new = cluster.all["a"], cluster.all["b"]
        cluster.set_view(["a"])
        old.confirm()
        await old.start()
        old.holder.set_demand(UPSTREAM_ID, SLOTS)
        assert await cluster.run(8, lagging=("b",)) == SLOTS
        cluster.hub.cut(InstanceId("a"), InstanceId("b"))
        cluster.set_view(["b"])
        new.confirm()
        await new.start()
        new.holder.set_demand(UPSTREAM_ID, SLOTS)
        assert await cluster.run(9, lagging=("a",)) == SLOTS
        assert new.holder.leased(UPSTREAM_ID) == SLOTS
        await cluster.stop()

    async def test_demand_is_shared_and_unused_slots_move(self):
        cluster = Cluster()
        await cluster.start()
        await cluster.run(10)
        shares = sorted(
            i.holder.leased(UPSTREAM_ID) for i in cluster.all.values()
        )
        assert shares == [2, 3, 3]
        for name in INSTANCE_NAMES[1:]:
            cluster.all[name].holder.set_demand(UPSTREAM_ID, 0)
        await cluster.run(3)
        assert cluster.all["a"].holder.leased(UPSTREAM_ID) == SLOTS
        await cluster.stop()

    async def test_slot_acquired_before_lease_expiry_cannot_be_used(self):
        """Guards against a paused holder using a slot granted to another.

        The lease expires while the holder is cut off, and is granted anew.
        """
        cluster = Cluster()
        await cluster.start()
        await cluster.run(8)
        holder = cluster.all["a"].holder
        slot = holder.try_acquire(UPSTREAM_ID)
        slot.check()
        for other in INSTANCE_NAMES[1:]:
            cluster.hub.cut(InstanceId("a"), InstanceId(other))
        cluster.all["a"].view = membership.View()
        await cluster.run(3, lagging=("a",))
        cluster.hub.heal()
        await cluster.run(3)
        assert holder.leased(UPSTREAM_ID) > 0
        with pytest.raises(upstreams.SlotLapsedError):
            slot.check()
        slot.release()
        await cluster.stop()

    async def test_waiter_gets_released_slot_or_times_out(self):
        cluster = Cluster(names=("a",))
        await cluster.start()
        await cluster.run(8)
        holder = cluster.all["a"].holder
        slots = [holder.try_acquire(UPSTREAM_ID) for _ in range(SLOTS)]
        first, second = (
            asyncio.ensure_future(
                holder.acquire(UPSTREAM_ID, deadline_s=cluster.clock.now() + 2)
            )
            for _ in range(2)
        )
        await cluster.run(1)
        slots[0].release()
        await cluster.run(0.25)
        (await first).check()
        await cluster.run(1)
        with pytest.raises(upstreams.NoSlotError):
            await second
        third = asyncio.ensure_future(
            holder.acquire(UPSTREAM_ID, deadline_s=1e9)
        )
        await cluster.run(0.25)
        await cluster.stop()
        with pytest.raises(upstreams.NoSlotError):
            await third

    async def test_outdated_message_frees_no_slots(self):
        """Guards against a delayed report that lowers the reserved slots."""
        cluster = Cluster(names=("a", "b"))
        await cluster.start()
        for name in ("a", "b"):
            cluster.all[name].holder.set_demand(UPSTREAM_ID, 0)
        await cluster.run(10)
        first = upstreams.coordinator_of(UPSTREAM_ID, cluster.view)
        granted = []
        for sender, count, sequence in (("a", 8, 2), ("a", 0, 1), ("b", 8, 1)):
            message = upstreams.SlotRequest(
                upstream=UPSTREAM_ID,
                count=count,
                view=cluster.view.version,
                held=0,
                incarnation="i",
                sequence=sequence,
            )
            network = cluster.all[sender].peers
            reply = await network.request(first, message, timeout_s=1.0)
            granted.append(reply.count)
        assert granted == [8, 0, 0]
        await cluster.stop()

    async def test_unconfirmed_view_grants_no_slots(self):
        """Guards against a stale coordinator granting after its successor."""
        cluster = Cluster()
        await cluster.start()
        await cluster.run(8)
        await cluster.run(6, lagging=INSTANCE_NAMES)
        assert cluster.leased() == 0
        await cluster.stop()

    async def test_spread_demand_follows_eligible_upstreams(self):
        """Guards against slots kept on an upstream that is not eligible."""
        cluster = Cluster(names=("a",))
        await cluster.start()
        await cluster.run(8)
        holder = cluster.all["a"].holder
        holder.spread_demand(5, [UpstreamId("v"), UPSTREAM_ID])
        await cluster.run(2)
        assert holder.leased(UPSTREAM_ID) == 3
        holder.spread_demand(5, [UpstreamId("v")])
        await cluster.run(2)
        assert holder.leased(UPSTREAM_ID) == 0
        await cluster.stop()
