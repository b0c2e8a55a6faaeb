"""Tests of the client of the coordinator on loopback."""

from magnoliaglade import http
from magnoliaglade.instance import _coordinator_calls


async def serve():
    application = http.new_application(
        _coordinator_calls.make_routes(
            find_summary=lambda job: None, accept_entry=lambda entry: False
        )
    )
    server = http.HttpServer(application=application)
    await server.start()
    return server


class TestCoordinatorClient:
    async def test_change_of_coordinator_closes_the_old_connections(self):
        """Guards against connections to every former coordinator."""
        servers = [await serve(), await serve()]
        addresses = [f"127.0.0.1:{s.bound_port}" for s in servers]
        client = _coordinator_calls.CoordinatorClient(
            address=lambda: addresses[0]
        )
        await client.find_summary("0" * 16)
        ((_, old),) = client._client._idle_connections
        addresses.pop(0)
        await client.find_summary("0" * 16)
        is_closed = old.writer.is_closing()
        old.close()
        await client.stop()
        for server in servers:
            await server.stop()
        assert is_closed
