"""Tests of the HTTP instance list client and of the inventory."""

from magnoliaglade import clock as clock_lib
from magnoliaglade import instances as instances_lib
from magnoliaglade.instances import instance_list
from magnoliaglade.standins import instance_list as standin
from magnoliaglade.types import InstanceId, ZoneId


def listed(name, *, address="127.0.0.1:1"):
    return instance_list.ListedInstance(
        instance=InstanceId(name),
        role=instance_list.InstanceRole.WORKER,
        zone=ZoneId("z"),
        address=address,
    )


class TestHttpInstanceList:
    async def test_unchanged_list_is_decoded_once(self):
        """Guards against decoding thousands of instances at every poll."""
        server = standin.InstanceListServer(clock=clock_lib.SystemClock())
        await server.start()
        client = instances_lib.HttpInstanceList(url=server.url)
        await client.start()
        try:
            server.put(listed("a"))
            first = await client.instances()
            second = await client.instances()
            assert second[0] is first[0]
            # A caller that modifies its list must not change the next result.
            second.clear()
            assert await client.instances() == first
            server.put(listed("a", address="127.0.0.1:2"))
            server.put(listed("b"))
            found = await client.instances()
            assert found == [listed("a", address="127.0.0.1:2"), listed("b")]
        finally:
            await client.stop()
            await server.stop()


class TestInstanceInventory:
    async def test_find_returns_the_last_listed_address(self):
        """Guards against calls to the old address of a replaced worker."""
        clock = clock_lib.ManualClock()
        source = standin.InstanceListServer(clock=clock)
        source.put(listed("a"))
        source.put(listed("b"))
        inventory = instances_lib.InstanceInventory(source=source, clock=clock)
        await inventory.start()
        assert inventory.find(InstanceId("a")) == listed("a")
        source.put(listed("a", address="127.0.0.1:2"))
        source.remove(InstanceId("b"))
        await clock.advance(1.0)
        assert inventory.find(InstanceId("a")).address == "127.0.0.1:2"
        assert inventory.find(InstanceId("b")) is None
        await inventory.stop()
