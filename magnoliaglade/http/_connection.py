"""One HTTP/1.1 client connection on asyncio streams.

blacksheep's client continues to read a body in a separate task and reuses the
connection after a cancelled call, so a reply could remain in its buffer. Here a
connection carries one call at a time and is closed after any error.
"""

import asyncio
from collections.abc import Callable
from urllib import parse

import h11

_READ_BYTES = 65_536


class ConnectionBrokenError(Exception):
    """The connection failed or the reply is malformed."""


class InvalidRequestError(Exception):
    """The request cannot be encoded; nothing was sent."""


class ClientConnection:
    """Connection that carries one request and its reply at a time."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        host: str,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.host = host
        self._h11 = h11.Connection(h11.CLIENT)

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        if self.writer.is_closing() or self.reader.at_eof():
            return False
        return self._h11.our_state is h11.IDLE

    def close(self) -> None:
        """Closes the connection immediately; unsent data is dropped."""
        self.writer.transport.abort()

    async def exchange(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        on_data: Callable[[], None] = lambda: None,
    ) -> tuple[int, bytes]:
        """Sends a request and returns status and body of the complete reply.

        Args:
            method: method of the request.
            target: path and query.
            headers: names and values.
            body: body of the request.
            on_data: called whenever a part of the reply has arrived.

        Raises:
            InvalidRequestError: the request cannot be encoded.
            ConnectionBrokenError: no complete reply arrived.
        """
        try:
            data = self._encode(method, target, headers, body)
        except (h11.LocalProtocolError, UnicodeError) as error:
            raise InvalidRequestError(repr(error)) from error
        try:
            self.writer.write(data)
            status, content = await self._read_reply(on_data)
            if h11.DONE is self._h11.our_state is self._h11.their_state:
                self._h11.start_next_cycle()
        except (h11.ProtocolError, OSError) as error:
            raise ConnectionBrokenError(repr(error)) from error
        return status, content

    def _encode(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> bytes:
        base_headers = [("host", self.host), ("content-length", str(len(body)))]
        events: list[h11.Event] = [
            h11.Request(
                method=method, target=target, headers=[*base_headers, *headers]
            )
        ]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        return b"".join(self._h11.send(e) or b"" for e in events)

    async def _read_reply(
        self, on_data: Callable[[], None]
    ) -> tuple[int, bytes]:
        status = 0
        content = bytearray()
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                data = await self.reader.read(_READ_BYTES)
                on_data()
                self._h11.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                content += event.data
            elif isinstance(event, h11.EndOfMessage):
                return status, bytes(content)
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionBrokenError("closed without an answer")


async def connect(url: str) -> ClientConnection:
    """Connects to the host of a URL.

    Raises:
        OSError: the connection cannot be established.
    """
    parts = parse.urlsplit(url)
    port = parts.port or (443 if parts.scheme == "https" else 80)
    reader, writer = await asyncio.open_connection(
        parts.hostname, port, ssl=parts.scheme == "https" or None
    )
    return ClientConnection(reader=reader, writer=writer, host=parts.netloc)
