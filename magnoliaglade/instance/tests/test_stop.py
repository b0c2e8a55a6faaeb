"""A planned stop ends within the grace period, whichever component hangs."""

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


class FakeComponent:
    """Stops after a fixed time and records when `stop` was called."""

    def __init__(self, clock, stop_duration_s):
        self.clock = clock
        self.stop_duration_s = stop_duration_s
        self.stop_called_at_s = None

    async def stop(self):
        self.stop_called_at_s = self.clock.now()
        await self.clock.sleep(self.stop_duration_s)


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
    instance.election = FakeComponent(clock, election_s)
    instance._servers = [FakeComponent(clock, servers_s) for _ in range(3)]
    return instance


async def measure_stop(**durations):
    """Returns the duration of a stop in seconds, and the instance."""
    clock = clock_lib.ManualClock()
    instance = make_instance(clock, **durations)
    started_at_s = clock.now()
    task = asyncio.ensure_future(instance.stop())
    took_s = 0.0
    while not task.done():
        await clock.advance(0.05)
        took_s = clock.now() - started_at_s
        assert took_s < 60.0
    return took_s, instance


class TestGracePeriod:
    @pytest.mark.parametrize("election_s", [0.0, 3.0, 50.0])
    @pytest.mark.parametrize("servers_s", [0.0, 1.0, 50.0])
    async def test_a_stop_ends_within_the_grace_period(
        self, election_s, servers_s
    ):
        # Guards against a process that is killed at the end of its grace period
        # because its components stop one after the other.
        took_s, _ = await measure_stop(
            election_s=election_s, servers_s=servers_s
        )
        assert took_s < GRACE_S - 0.5

    async def test_listeners_close_together(self):
        _, instance = await measure_stop(election_s=0.0, servers_s=1.0)
        assert len({s.stop_called_at_s for s in instance._servers}) == 1

    async def test_listeners_stay_open_for_the_drain_delay(self):
        _, instance = await measure_stop(election_s=0.2, servers_s=0.0)
        server = instance._servers[0]
        delay_s = server.stop_called_at_s - instance.election.stop_called_at_s
        assert delay_s >= _instance.DRAIN_DELAY_S - 0.05
