"""Tests of the connection pool with silent, closed and busy connections."""

import asyncio
import contextlib

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import upstreams
from magnoliaglade.types import RequestId, UpstreamId


class Upstream:
    """Answers every request except on the connections in `silent`."""

    def __init__(self):
        self.connections = 0
        self.open = 0
        self.max_open = 0
        self.silent = set()
        self.received = []

    async def serve(self, reader, writer):
        number, self.connections = self.connections, self.connections + 1
        self.open += 1
        self.max_open = max(self.max_open, self.open)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.received.append((number, head))
                if number in self.silent:
                    continue
                id_line = next(
                    h for h in head.split(b"\r\n") if b"x-request-id" in h
                )
                writer.write(
                    b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n"
                    + id_line
                    + b"\r\n\r\n"
                )
        self.open -= 1
        writer.close()


@contextlib.asynccontextmanager
async def running_pool(**params):
    clock, upstream = clock_lib.ManualClock(), Upstream()
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    pool = upstreams.ConnectionPool(
        upstream=UpstreamId("u"),
        host="127.0.0.1",
        port=server.sockets[0].getsockname()[1],
        clock=clock,
        **params,
    )
    await pool.start()
    yield clock, upstream, pool
    server.close()
    await pool.stop()
    await wait_until(lambda: upstream.open == 0)


async def wait_until(condition):
    for _ in range(5000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("condition not reached")


def make_request(clock, name="r", deadline_s=30.0):
    return upstreams.ExchangeRequest(
        request=RequestId(name),
        method="GET",
        target="/x",
        deadline_s=clock.now() + deadline_s,
    )


class TestConnectionPool:
    async def test_silent_connection_is_replaced(self):
        """Guards against requests waiting on a connection that went silent."""
        async with running_pool() as (clock, upstream, pool):
            await pool.exchange(make_request(clock))
            upstream.silent = {0}
            call = asyncio.ensure_future(pool.exchange(make_request(clock)))
            await wait_until(lambda: len(upstream.received) == 2)
            await clock.advance(2)
            await wait_until(lambda: pool.dump()["idle"] == 1)
            await clock.advance(3)
            with pytest.raises(upstreams.NoProgressError) as caught:
                await call
            assert caught.value.probe_answered
            await pool.exchange(make_request(clock))
            assert upstream.received[-1][0] == 1

    async def test_idle_connection_is_probed_before_use(self):
        """Guards against writing a request to a connection that went silent."""
        async with running_pool() as (clock, upstream, pool):
            await pool.exchange(make_request(clock))
            upstream.silent = {0}
            await clock.advance(5)
            call = asyncio.ensure_future(
                pool.exchange(make_request(clock, "again"))
            )
            await wait_until(lambda: len(upstream.received) == 2)
            assert b"/healthz" in upstream.received[1][1]
            await clock.advance(1)
            assert (await call).status == 200
            on_silent = [h for n, h in upstream.received if n == 0]
            assert not any(b"again" in h for h in on_silent)

    async def test_limit_holds_and_wait_ends_at_deadline(self):
        """Guards against exceeding the limit or waiting indefinitely."""
        async with running_pool(max_connections=3) as (clock, upstream, pool):
            upstream.silent = {0, 1}
            calls = [
                asyncio.ensure_future(pool.exchange(make_request(clock)))
                for _ in range(2)
            ]
            await wait_until(lambda: len(upstream.received) == 2)
            timed_out = asyncio.ensure_future(
                pool.exchange(make_request(clock, deadline_s=1.0))
            )
            await clock.advance(1)
            with pytest.raises(upstreams.NotSentError):
                await timed_out
            await clock.advance(1)
            await wait_until(lambda: len(upstream.received) >= 4)
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
            assert pool.active == 0
            await wait_until(lambda: upstream.open == pool.dump()["idle"])
            await pool.exchange(make_request(clock))
            assert upstream.max_open <= 3

    async def test_refused_connection_is_not_sent(self):
        async with running_pool() as (clock, _, pool):
            pool.port = 1
            with pytest.raises(upstreams.UpstreamRefusedError):
                await pool.exchange(make_request(clock))

    async def test_stop_waits_for_requests_in_flight(self):
        """Guards against a planned stop that interrupts a request."""
        async with running_pool() as (clock, upstream, pool):
            upstream.silent = {0}
            call = asyncio.ensure_future(pool.exchange(make_request(clock)))
            await wait_until(lambda: len(upstream.received) == 1)
            stop = asyncio.ensure_future(pool.stop())
            await clock.advance(1)
            assert not stop.done()
            assert not call.done()
            with pytest.raises(upstreams.NotSentError):
                await pool.exchange(make_request(clock))
            call.cancel()
            await stop
