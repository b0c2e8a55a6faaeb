"""Small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib import parse

Handler = Callable[..., Awaitable[tuple[int, dict[str, Any]]]]


class Server:
    """Serves JSON calls on a free port of a loopback address.

    Attributes:
        handler: called with method, path, query, headers and body.
        is_silent: whether calls are read and then neither executed nor
            answered.
    """

    def __init__(self, *, handler: Handler, host: str = "127.0.0.1") -> None:
        self.handler = handler
        self.host = host
        self.port = 0
        self.is_silent = False
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """`host:port` of the server."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Binds a free port, or the same one again after a stop."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._connections:
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            while True:
                call = await _read_request(reader)
                if self.is_silent:
                    await asyncio.Event().wait()
                status, fields = await self.handler(*call)
                if self.is_silent:
                    await asyncio.Event().wait()
                body = json.dumps(fields).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json"
                    f"\r\ncontent-length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(task)
            writer.transport.abort()


async def _read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, str, dict[str, str], dict[str, str], Any]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    data = await reader.readexactly(int(headers.get("content-length", 0)))
    path, _, query = target.partition("?")
    body = json.loads(data) if data else {}
    return method, path, dict(parse.parse_qsl(query)), headers, body


async def call(
    address: str,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: Any = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Makes one call on a new connection; status 0 means no answer."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(data)}"]
    if body is not None:
        lines.append("content-type: application/json")
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
    if not any(line.lower().startswith("host:") for line in lines):
        lines.append(f"host: {address}")
    request = "\r\n".join([*lines, "connection: close", "", ""]).encode() + data
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ")[1])
            reply = await reader.read()
            return status, json.loads(reply) if reply else {}
    except (OSError, EOFError, TimeoutError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.transport.abort()
