"""A loopback proxy that delays, silences and resets connections."""

import asyncio
import contextlib
import dataclasses

_READ_BYTES = 65_536


@dataclasses.dataclass
class Link:
    """State of a proxied link.

    Attributes:
        delay_s: added to each chunk, in seconds.
        is_silent: chunks are dropped in both directions.
        loses_answers: chunks from the server are dropped.
        refuses: new connections are closed at once.
    """

    delay_s: float = 0.0
    is_silent: bool = False
    loses_answers: bool = False
    refuses: bool = False


class Proxy:
    """Forwards connections to one server."""

    def __init__(self, *, host, port):
        self.host = host
        self.port = port
        self.link = Link()
        self._writers = set()
        self._server = None

    @property
    def address(self):
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def stop(self):
        self.reset()
        self._server.close()

    def reset(self):
        """Resets all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        if self.link.refuses:
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(
                self.host, self.port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, up_writer}
        await asyncio.gather(
            self._pump(reader, up_writer, is_answer=False),
            self._pump(up_reader, writer, is_answer=True),
        )
        self._writers -= {writer, up_writer}

    async def _pump(self, reader, writer, *, is_answer):
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                if self.link.delay_s:
                    await asyncio.sleep(self.link.delay_s)
                is_lost = is_answer and self.link.loses_answers
                if not (self.link.is_silent or is_lost):
                    writer.write(data)
                    await writer.drain()
        writer.transport.abort()
