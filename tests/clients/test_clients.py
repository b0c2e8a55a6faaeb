"""Clients outside our control against an instance, over real sockets."""

import asyncio

import pytest

from tests.clients import crowd, served

# The smallest instance.
LIMITS = {"cpuShare": 1, "cores": 1, "memoryMb": 160, "maxFds": 1_638}
# Memory above rest in MB. The requirement is 60 MB with clients that send 12 MB
# on each connection; those of these tests send half of it.
PEAK_MB = 30.0
REST_MB = 12.0
_SETTLE_S = 30.0

_CASES = [
    (port, name)
    for port in ("calls", "ready", "internal")
    for name in crowd.STREAMS
]


async def check(instance, port, stream):
    """Checks an instance while clients send a stream, and afterwards."""
    rest_mb, rest_descriptors = (
        instance.memory_mb("VmRSS"),
        instance.descriptors(),
    )
    address = instance.addresses[port]
    clients = crowd.Crowd(host=address.host, port=address.port, stream=stream)
    try:
        await clients.send()
        peak_mb = instance.memory_mb("VmHWM") - rest_mb
        assert instance.process.poll() is None
        assert await instance.is_serving()
    finally:
        clients.close()
    async with asyncio.timeout(_SETTLE_S):
        while instance.descriptors() > rest_descriptors + 8:
            await asyncio.sleep(0.1)
    assert await instance.is_serving()
    assert peak_mb < PEAK_MB
    assert instance.memory_mb("VmRSS") - rest_mb < REST_MB


class TestMemory:
    """Guards against a process that a few clients end by using its memory."""

    @pytest.mark.parametrize(("port", "name"), _CASES)
    async def test_endless_input(self, start, port, name):
        instance = await start(limits=LIMITS)
        await check(instance, port, lambda _: crowd.STREAMS[name])

    @pytest.mark.parametrize("reads", [True, False])
    async def test_pipelined_submissions(self, start, reads):
        instance = await start(limits=LIMITS)
        host = instance.addresses["calls"].host

        def stream(number):
            request = crowd.submission(served.PREFIX, served.KEY, host, number)
            return crowd.Stream(repeated=request, reads=reads)

        await check(instance, "calls", stream)


class TestDescriptors:
    async def test_open_connections_leave_room_for_others(self, start):
        """Guards against clients that use up the descriptors of a process."""
        limits = LIMITS | {"maxFds": 320}
        instance = await start(limits=limits)
        address = instance.addresses["calls"]
        connections = []
        try:
            for _ in range(400):
                connections.append(
                    await asyncio.open_connection(address.host, address.port)
                )
            assert await instance.is_serving()
            assert instance.descriptors() < limits["maxFds"]
            assert instance.process.poll() is None
        finally:
            for _, writer in connections:
                writer.transport.abort()
