"""Tests of the HTTP client and server on loopback."""

import asyncio
import gc

import pytest

from magnoliaglade import http
from magnoliaglade.http import _client, _connection


async def serve(handle):
    server = http.HttpServer(
        application=http.new_application({("POST", "/x"): handle})
    )
    await server.start()
    client = http.HttpClient(url=f"http://127.0.0.1:{server.bound_port}")
    return server, client


class TestHttpClient:
    async def test_late_reply_is_not_read_by_the_next_call(self):
        """Guards against a reply that a later call on the connection reads.

        It arises if a connection is reused after its call has timed out.
        """
        gate = asyncio.Event()

        async def handle(request):
            body = await http.read_body(request, max_bytes=10)
            if body == b"first":
                await gate.wait()
            return http.json_response(200, body.decode())

        server, client = await serve(handle)
        with pytest.raises(http.NoReplyError):
            await client.call("POST", "/x", body=b"first", timeout_s=0.1)
        gate.set()
        for text in (b"second", b"third"):
            reply = await client.call("POST", "/x", body=text)
            assert reply.json() == text.decode()
        await client.stop()
        await server.stop()

    async def test_unsent_request_raises_not_sent(self):
        """Guards against "not sent" for a request that may have arrived."""

        async def handle(request):
            raise AssertionError("not reached")

        server, client = await serve(handle)
        with pytest.raises(http.NotSentError):
            await client.call("POST", "/x", headers={"a": "bad\n"})
        await server.stop()
        await client.stop()
        with pytest.raises(http.NotSentError):
            await client.call("POST", "/x")

    async def test_body_over_the_limit_is_rejected(self):
        async def handle(request):
            try:
                await http.read_body(request, max_bytes=10)
            except http.BodyTooLargeError:
                return http.json_response(413, {})
            return http.json_response(200, {})

        server, client = await serve(handle)
        reply = await client.call("POST", "/x", body=b"x" * 11)
        assert reply.status == 413
        await client.stop()
        await server.stop()

    async def test_call_that_outlives_the_stop_closes_its_connection(self):
        """Guards against connections that a discarded client keeps open."""
        arrived, gate = asyncio.Event(), asyncio.Event()

        async def handle(request):
            arrived.set()
            await gate.wait()
            return http.json_response(200, {})

        server, client = await serve(handle)
        call = asyncio.ensure_future(client.call("POST", "/x"))
        await arrived.wait()
        await client.stop()
        gate.set()
        assert (await call).status == 200
        open_connections = [c for _, c in client._idle_connections]
        for connection in open_connections:
            connection.close()
        await server.stop()
        assert open_connections == []


class TrickleServer:
    """Sends a reply in parts; `may_send` is released once for each part."""

    def __init__(self, *, parts):
        self.parts = parts
        self.may_send = asyncio.Semaphore(0)
        self._answers = []

    async def start(self):
        self.server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return http.HttpClient(url=f"http://127.0.0.1:{port}", timeout_s=1.0)

    async def _answer(self, reader, writer):
        self._answers.append((asyncio.current_task(), writer))
        await reader.readuntil(b"\r\n\r\n")
        size = sum(len(p) for p in self.parts)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size)
        for part in self.parts:
            await self.may_send.acquire()
            writer.write(part)

    async def stop(self):
        """Ends the connections, which must not outlive the event loop."""
        self.server.close()
        for task, writer in self._answers:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            writer.transport.abort()


class TestIdleConnections:
    async def test_surplus_is_closed_after_a_burst(self, monkeypatch):
        """Guards against descriptors that run out with hundreds of clients."""
        monkeypatch.setattr(_client, "_SURPLUS_IDLE_TIMEOUT_S", 0.0)

        async def handle(request):
            await http.read_body(request, max_bytes=10)
            return http.json_response(200, "")

        server, client = await serve(handle)
        calls = [client.call("POST", "/x", body=b"") for _ in range(8)]
        await asyncio.gather(*calls)
        kept = len(client._idle_connections)
        await client.stop()
        await server.stop()
        assert kept == _client._KEPT_IDLE_CONNECTIONS


class TestReplies:
    """Guards against replies of one call that a later one reads, or that end
    too early."""

    @pytest.mark.parametrize(
        ("parts", "expected", "is_reused"),
        [
            ([b"content-length: 3\r\n\r\na", b"bc"], b"abc", True),
            (
                [
                    b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
                    b"\r\n",
                ],
                b"abc",
                True,
            ),
            ([b"connection: close\r\ncontent-length: 1\r\n\r\na"], b"a", False),
            ([b"content-length: 1\r\n\r\naHTTP/1.1 200 OK\r\n"], b"a", False),
            ([b"\r\na", b"bc"], b"abc", False),
            ([b"content-length: 5\r\n\r\nabc"], None, False),
            ([b"content-length: -1\r\n\r\n"], None, False),
            ([b"content-le"], None, False),
        ],
    )
    async def test_reply_is_complete(self, parts, expected, is_reused):
        is_closed = asyncio.Event()

        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n")
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)
            if is_reused:
                await reader.read()
            writer.close()
            is_closed.set()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await _connection.connect(f"http://127.0.0.1:{port}")
        if expected is None:
            with pytest.raises(_connection.ConnectionBrokenError):
                await connection.exchange("GET", "/x", [], b"")
        else:
            reply = await connection.exchange("GET", "/x", [], b"")
            assert reply == (200, expected)
        assert connection.is_reusable == is_reused
        connection.close()
        server.close()
        await is_closed.wait()


class TestReplyMemory:
    async def test_reply_is_released_without_a_garbage_collection(self):
        """Guards against bodies that reference cycles keep in memory."""

        async def handle(request):
            return http.json_response(200, "x" * 100_000)

        server, client = await serve(handle)
        gc.collect()
        gc.disable()
        try:
            for _ in range(3):
                await client.call("POST", "/x")
            kept = [
                o
                for o in gc.get_objects()
                if isinstance(o, _connection._ReplyParser)
            ]
        finally:
            gc.enable()
        assert not kept
        await client.stop()
        await server.stop()


class TestExtendedTimeout:
    """Each part of a long reply restarts the timeout.

    Guards against a new leader that never finishes reading the state it takes
    over, because the complete reply takes longer than the timeout of a call on
    the network link of a small instance.
    """

    parts = (b"a" * 10, b"b" * 10, b"c" * 10)

    @pytest.mark.parametrize("extends_timeout", [True, False])
    async def test_parts_extend_the_timeout(self, extends_timeout):
        server = TrickleServer(parts=self.parts)
        client = await server.start()
        loop = asyncio.get_running_loop()
        call = asyncio.ensure_future(
            client.call(
                "GET", "/x", extends_timeout=extends_timeout, timeout_s=1.0
            )
        )
        for _ in self.parts:
            # Each part arrives within the timeout, the complete reply does not.
            deadline_s = loop.time() + 0.5
            while loop.time() < deadline_s:
                await asyncio.sleep(0.01)
            server.may_send.release()
        if extends_timeout:
            assert (await call).body == b"".join(self.parts)
        else:
            with pytest.raises(http.NoReplyError):
                await call
        await client.stop()
        await server.stop()

    async def test_missing_part_ends_the_call(self):
        server = TrickleServer(parts=self.parts)
        client = await server.start()
        server.may_send.release()
        with pytest.raises(http.NoReplyError):
            await client.call("GET", "/x", extends_timeout=True)
        await client.stop()
        await server.stop()
