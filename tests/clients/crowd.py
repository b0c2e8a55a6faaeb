"""Clients that send what no ordinary caller sends, over many connections."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable

CONNECTIONS = 12
# Bytes that each connection sends unless it is closed before.
BYTES_PER_CONNECTION = 6_000_000
# Time after which a connection stops sending, in seconds.
SEND_S = 6.0
_BLOCK_BYTES = 65_536


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stream:
    """Bytes that a client sends.

    Attributes:
        start: bytes that are sent once.
        repeated: bytes that are repeated until the connection ends.
        reads: whether the client reads what it is sent.
    """

    start: bytes = b""
    repeated: bytes
    reads: bool = True


def request(method: str, path: str, key: str, host: str, body: bytes) -> bytes:
    """Returns a complete request."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        f"Authorization: Token {key}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def submission(prefix: str, key: str, host: str, number: int) -> bytes:
    """Returns a complete submission of the job with this number."""
    body = b'{"spec":"x","steps":[{"count":1,"cpu":10}]}'
    return request("POST", f"{prefix}{number:016x}", key, host, body)


_GET = b"GET / HTTP/1.1\r\n"
_CHUNKED = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"

STREAMS = {
    "endless header value": Stream(start=_GET + b"a: ", repeated=b"a" * 64),
    "endless header lines": Stream(start=_GET, repeated=b"a: b\r\n"),
    "endless request target": Stream(start=b"GET /", repeated=b"a" * 64),
    "heads over the limit": Stream(
        repeated=_GET + b"a: " + b"b" * 200_000 + b"\r\n\r\n"
    ),
    "endless empty lines": Stream(repeated=b"\r\n" * 32),
    "endless trailers": Stream(start=_CHUNKED + b"0\r\n", repeated=b"a: b\r\n"),
    "endless chunk extension": Stream(
        start=_CHUNKED + b"1;", repeated=b"a" * 64
    ),
    "endless body": Stream(
        start=_CHUNKED, repeated=b"40\r\n" + b"a" * 64 + b"\r\n"
    ),
    "pipelined requests": Stream(repeated=_GET + b"\r\n"),
    "pipelined requests, responses unread": Stream(
        repeated=_GET + b"\r\n", reads=False
    ),
    "pipelined requests without a version": Stream(repeated=b"GET /\r\n"),
}


class Crowd:
    """Connections to one address that send the same stream.

    Attributes:
        host: host of the address.
        port: port of the address.
        stream: returns the stream of the connection with a number.
        connections: number of connections.
        bytes_per_connection: bytes that each one sends unless it is closed.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        stream: Callable[[int], Stream],
        connections: int = CONNECTIONS,
        bytes_per_connection: int = BYTES_PER_CONNECTION,
    ) -> None:
        self.host = host
        self.port = port
        self.stream = stream
        self.connections = connections
        self.bytes_per_connection = bytes_per_connection
        self._writers: list[asyncio.StreamWriter] = []

    async def send(self) -> None:
        """Sends on all connections, which then remain open."""
        await asyncio.gather(*(self._send(n) for n in range(self.connections)))

    def close(self) -> None:
        """Closes the connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _send(self, number: int) -> None:
        stream = self.stream(number)
        reading = None
        repeats = _BLOCK_BYTES // len(stream.repeated) + 1
        block = stream.repeated * repeats
        blocks = self.bytes_per_connection // len(block) + 1
        # A closed connection is one of the allowed answers, and so is one that
        # is never accepted.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_S):
                reader, writer = await asyncio.open_connection(
                    self.host, self.port
                )
                self._writers.append(writer)
                if stream.reads:
                    reading = asyncio.ensure_future(_discard(reader))
                writer.write(stream.start)
                for _ in range(blocks):
                    writer.write(block)
                    await writer.drain()
        if reading is not None:
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)


async def _discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(_BLOCK_BYTES):
            pass
