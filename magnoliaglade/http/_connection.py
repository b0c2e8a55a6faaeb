"""One HTTP/1.1 client connection on asyncio streams.

blacksheep's client continues to read a body in a separate task and reuses the
connection after a cancelled call, so a reply could remain in its buffer. Here a
connection carries one call at a time and is closed after any error.
"""

import asyncio
import functools
from collections.abc import Callable
from urllib import parse

import h11
import httptools

_READ_BYTES = 65_536
# Heads of requests that are kept encoded. Orders to workers have few different
# heads, and h11 takes a third of the time of a call to check and encode one.
_MAX_CACHED_HEADS = 4_096
# Lower ones belong to interim replies.
_FIRST_FINAL_STATUS = 200


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
        self._is_idle = True

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        if self.writer.is_closing() or self.reader.at_eof():
            return False
        return self._is_idle

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
        base_headers = (("host", self.host), ("content-length", str(len(body))))
        try:
            # Targets with a query seldom repeat and would fill the cache.
            encode = _encode_head if "?" in target else _encode_cached_head
            head = encode(method, target, (*base_headers, *headers))
        except (h11.LocalProtocolError, UnicodeError) as error:
            raise InvalidRequestError(repr(error)) from error
        self._is_idle = False
        reply = _ReplyParser()
        try:
            self.writer.write(head + body)
            while not reply.is_complete:
                data = await self.reader.read(_READ_BYTES)
                on_data()
                reply.feed(data)
        except (httptools.HttpParserError, OSError) as error:
            raise ConnectionBrokenError(repr(error)) from error
        finally:
            reply.close()
        self._is_idle = reply.allows_reuse
        return reply.status, bytes(reply.content)


class _ReplyParser:
    """Parses one reply.

    Attributes:
        status: status of the reply.
        content: body received so far.
        is_complete: whether the reply has arrived.
        allows_reuse: whether the connection may carry another call after it.
    """

    def __init__(self) -> None:
        self.status = 0
        self.content = bytearray()
        self.is_complete = False
        self.allows_reuse = False
        self._has_head = False
        self._has_length = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Adds received data; none means that the server has closed.

        Raises:
            ConnectionBrokenError: the server has closed within the reply.
            httptools.HttpParserError: the reply is malformed.
        """
        if data:
            self._parser.feed_data(data)
            return
        if not self._has_head or self._has_length:
            raise ConnectionBrokenError("closed without an answer")
        # The end of the connection ends a body of unstated length.
        self.is_complete = True

    def close(self) -> None:
        """Releases the parser.

        It refers back to this object, and the cycle would keep the body, which
        may have a megabyte, until the next full garbage collection.
        """
        del self._parser

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Handles the beginning of a reply."""
        if self.is_complete:
            # Nothing may follow the reply to the only request.
            self.allows_reuse = False

    def on_header(self, name: bytes, _: bytes) -> None:
        """Handles a header."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Handles the end of the headers."""
        if not self.is_complete:
            self.status = self._parser.get_status_code()
            self._has_head = self.status >= _FIRST_FINAL_STATUS

    def on_body(self, data: bytes) -> None:
        """Handles a part of the body."""
        if not self.is_complete:
            self.content += data

    def on_message_complete(self) -> None:
        """Handles the end of a reply; interim ones precede the final one."""
        if self.status >= _FIRST_FINAL_STATUS and not self.is_complete:
            self.is_complete = True
            self.allows_reuse = self._parser.should_keep_alive()


def _encode_head(
    method: str, target: str, headers: tuple[tuple[str, str], ...]
) -> bytes:
    """Returns the head of a request.

    Raises:
        h11.LocalProtocolError: it is not valid.
        UnicodeError: it has characters outside ASCII.
    """
    request = h11.Request(method=method, target=target, headers=[*headers])
    return h11.Connection(h11.CLIENT).send(request) or b""


_encode_cached_head = functools.lru_cache(maxsize=_MAX_CACHED_HEADS)(
    _encode_head
)


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
