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
        with pytest.raises(http.NoAnswerError):
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
