"""A planned stop ends within the grace time, whatever hangs."""

import asyncio

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade.instance import (
    Address,
    InstanceSettings,
    TimeBounds,
    _instance,
)
from magnoliaglade.types import InstanceId, ZoneId

GRACE_S = 6.0


class Part:
    """Stops after a fixed time; notes when it was asked to."""

    def __init__(self, clock, takes_s):
        self.clock = clock
        self.takes_s = takes_s
        self.asked_at_s = None

    async def stop(self):
        self.asked_at_s = self.clock.now()
        await self.clock.sleep(self.takes_s)


def make_instance(clock, *, election_s, servers_s):
    def address(port):
        return Address(host="127.0.0.1", port=port)

    settings = InstanceSettings(
        instance=InstanceId("e1"),
        zone=ZoneId("a"),
        api_address=address(1),
        readiness_address=address(2),
        internal_address=address(3),
        store_address="127.0.0.1:4",
        bounds=TimeBounds(grace_s=GRACE_S),
    )
    instance = _instance.Instance(settings=settings, clock=clock)
    instance.election = Part(clock, election_s)
    instance._servers = [Part(clock, servers_s) for _ in range(3)]
    return instance


async def stop_time(**parts):
    """Returns the seconds that a stop takes, and the servers."""
    clock = clock_lib.ManualClock()
    instance = make_instance(clock, **parts)
    began_s = clock.now()
    task = asyncio.ensure_future(instance.stop())
    took_s = 0.0
    while not task.done():
        await clock.advance(0.05)
        took_s = clock.now() - began_s
        assert took_s < 60.0
    return took_s, instance


class TestGraceTime:
    @pytest.mark.parametrize("election_s", [0.0, 3.0, 50.0])
    @pytest.mark.parametrize("servers_s", [0.0, 1.0, 50.0])
    async def test_a_stop_ends_within_it(self, election_s, servers_s):
        # Guards against a process that is killed at the end of its grace time
        # because its parts stop one after the other.
        took_s, _ = await stop_time(election_s=election_s, servers_s=servers_s)
        assert took_s < GRACE_S - 0.5

    async def test_listeners_close_together(self):
        _, instance = await stop_time(election_s=0.0, servers_s=1.0)
        assert len({s.asked_at_s for s in instance._servers}) == 1

    async def test_callers_are_served_until_the_balancer_has_noticed(self):
        _, instance = await stop_time(election_s=0.2, servers_s=0.0)
        server = instance._servers[0]
        asked_after_s = server.asked_at_s - instance.election.asked_at_s
        assert asked_after_s >= _instance.DRAIN_S - 0.05
