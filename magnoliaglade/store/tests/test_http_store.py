"""Tests of the HTTP client of the store against the stand-in on loopback."""

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import store as store_lib
from magnoliaglade.standins import store as standin


class TestHttpStore:
    async def make(self):
        server = standin.StoreServer(clock=clock_lib.SystemClock())
        await server.start()
        client = store_lib.HttpStore(url=server.url)
        await client.start()
        return server, client

    async def test_compare_and_swap_leases_and_watch(self):
        server, client = await self.make()
        revision = await client.put("a/1", b"\x00x", expected=0)
        with pytest.raises(store_lib.ConflictError) as caught:
            await client.put("a/1", b"y", expected=0)
        assert caught.value.actual == revision
        lease = await client.grant_lease(60)
        await client.put("a/2", b"z", lease=lease)
        await client.renew_lease(lease)
        await client.revoke_lease(lease)
        with pytest.raises(store_lib.LeaseLostError):
            await client.renew_lease(lease)
        assert await client.get("a/2") is None
        entries, _ = await client.list_prefix("a/")
        assert [e.value for e in entries] == [b"\x00x"]
        events = await client.watch("a/", after=revision, wait_s=1)
        assert [e.kind.value for e in events] == ["put", "delete"]
        await client.stop()
        await server.stop()

    async def test_outage_and_lost_response_raise_different_errors(self):
        """Guards against `StoreUnavailableError` for a write that is stored."""
        server, client = await self.make()
        server.faults.is_down = True
        with pytest.raises(store_lib.StoreUnavailableError):
            await client.put("k", b"1")
        server.faults.is_down = False
        server.faults.lost_answers = 1
        with pytest.raises(store_lib.StoreOutcomeUnknownError):
            await client.put("k", b"2")
        assert (await client.get("k")).value == b"2"
        await server.stop()
        with pytest.raises(store_lib.StoreError):
            await client.get("k")
        await client.stop()
