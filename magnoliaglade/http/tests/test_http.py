"""Tests of the HTTP client and server on loopback."""

import asyncio

import pytest

from magnoliaglade import http


async def serve(handle):
    server = http.HttpServer(
        application=http.new_application({("POST", "/x"): handle})
    )
    await server.start()
    client = http.HttpClient(url=f"http://127.0.0.1:{server.bound_port}")
    return server, client


class TestHttpClient:
    async def test_cancelled_call_does_not_reach_the_next_one(self):
        """Guards against an answer that is read by the wrong call."""
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

    async def test_not_sent_is_told_from_no_answer(self):
        """Guards against "not sent" for a call that may have arrived."""

        async def handle(request):
            raise AssertionError("not reached")

        server, client = await serve(handle)
        with pytest.raises(http.NotSentError):
            await client.call("POST", "/x", headers={"a": "bad\n"})
        await server.stop()
        await client.stop()
        with pytest.raises(http.NotSentError):
            await client.call("POST", "/x")

    async def test_body_over_the_limit_is_refused(self):
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


class TrickleServer:
    """Answers with parts of a body; each is sent when the test says so."""

    def __init__(self, *, parts):
        self.parts = parts
        self.may_send = asyncio.Semaphore(0)

    async def start(self):
        self.server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return http.HttpClient(url=f"http://127.0.0.1:{port}", timeout_s=1.0)

    async def _answer(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        size = sum(len(p) for p in self.parts)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size)
        for part in self.parts:
            await self.may_send.acquire()
            writer.write(part)

    async def stop(self):
        self.server.close()


class TestLongAnswers:
    """The timeout of a long answer applies to the silence within it.

    Guards against a successor that never reads what it takes over, because the
    whole answer takes longer than a call on the link of a small instance.
    """

    parts = (b"a" * 10, b"b" * 10, b"c" * 10)

    @pytest.mark.parametrize("is_long", [True, False])
    async def test_parts_extend_the_timeout(self, is_long):
        server = TrickleServer(parts=self.parts)
        client = await server.start()
        loop = asyncio.get_running_loop()
        call = asyncio.ensure_future(
            client.call("GET", "/x", is_long=is_long, timeout_s=1.0)
        )
        for _ in self.parts:
            # Each part comes within the timeout, all of them do not.
            deadline_s = loop.time() + 0.5
            while loop.time() < deadline_s:
                await asyncio.sleep(0.01)
            server.may_send.release()
        if is_long:
            assert (await call).body == b"".join(self.parts)
        else:
            with pytest.raises(http.NoReplyError):
                await call
        await client.stop()
        await server.stop()

    async def test_silence_ends_a_long_answer(self):
        server = TrickleServer(parts=self.parts)
        client = await server.start()
        server.may_send.release()
        with pytest.raises(http.NoReplyError):
            await client.call("GET", "/x", is_long=True)
        await client.stop()
        await server.stop()
