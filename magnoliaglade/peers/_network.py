"""Peer network over TCP with one outgoing stream to each known peer."""

import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from magnoliaglade import base as root_base
from magnoliaglade import clock as clock_lib
from magnoliaglade.peers import _frames, _stream, base
from magnoliaglade.types import InstanceId

HEARTBEAT_INTERVAL_S = 1.0
# A stream on which no frame arrives for this long is closed and opened again.
SILENCE_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0


@base.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class Hello(base.Message):
    """First message on a stream; the reply identifies the accepting side."""

    instance: str
    incarnation: str


@dataclasses.dataclass(kw_only=True)
class _Link:
    """State of the outgoing connection to one peer."""

    peer: InstanceId
    address: str
    stream: _stream.PeerStream | None = None
    incarnation: str = ""
    task: "asyncio.Task[None] | None" = None


class TcpPeerNetwork(root_base.Component):
    """Peer network over TCP; see `peers.PeerNetwork`.

    Attributes:
        heartbeat: returns the message that is sent to every peer each
            `heartbeat_s` seconds; to be set before `start`. A `Hello` is sent
            if it is None.
        silent_s: silence timeout of a stream, in seconds.
    """

    _parameter_constraints = {
        "port": [root_base.Interval(kind=int, low=0, high=65535)],
        "heartbeat_s": [root_base.Interval(kind=float, low=0, low_open=True)],
        "silent_s": [root_base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        instance: InstanceId,
        incarnation: str,
        clock: clock_lib.Clock,
        host: str,
        port: int,
        heartbeat_s: float = HEARTBEAT_INTERVAL_S,
        silent_s: float = SILENCE_TIMEOUT_S,
    ) -> None:
        self._instance = instance
        self.incarnation = incarnation
        self.clock = clock
        self.host = host
        self.port = port
        self.heartbeat_s = heartbeat_s
        self.silent_s = silent_s
        self.heartbeat: Callable[[], base.Message] | None = None
        self.counts: collections.Counter[str] = collections.Counter()
        self._handlers: dict[type[base.Message], base.Handler] = {}
        self._links: dict[InstanceId, _Link] = {}
        self._accepted: dict[asyncio.Task[Any], _stream.PeerStream] = {}
        self._server: asyncio.Server | None = None
        self._silence_task: asyncio.Task[None] | None = None
        self.handle(Hello, self._on_hello)

    @property
    def instance(self) -> InstanceId:
        """This instance."""
        return self._instance

    @property
    def live_peers(self) -> frozenset[InstanceId]:
        """Peers that completed the handshake and are not silent."""
        return frozenset(
            link.peer
            for link in self._links.values()
            if link.stream is not None
            and link.incarnation
            and link.stream.is_open
            and link.stream.silent_s < self.silent_s
        )

    @property
    def bound_port(self) -> int:
        """Port of the listener; differs from `port` if that is 0.

        Raises:
            PeerError: the listener is not started.
        """
        if self._server is None:
            raise base.PeerError("the listener is not started")
        return self._server.sockets[0].getsockname()[1]

    def incarnation_of(self, peer: InstanceId) -> str:
        """Returns the incarnation from the peer's Hello; empty if unknown."""
        link = self._links.get(peer)
        return link.incarnation if link else ""

    def handle(self, cls: type[base.Message], handler: base.Handler) -> None:
        """Sets the handler of a message class."""
        self._handlers[cls] = handler

    async def start(self) -> None:
        """Opens the listener.

        Raises:
            PeerError: the address cannot be bound.
        """
        self.validate_params()
        try:
            self._server = await asyncio.start_server(
                self._accept, self.host, self.port
            )
        except OSError as error:
            raise base.PeerError(f"{self.host}:{self.port}: {error}") from error
        self._silence_task = asyncio.create_task(self._close_silent_accepted())

    async def stop(self) -> None:
        """Closes the listener and all streams."""
        self.set_members({})
        if self._silence_task is not None:
            self._silence_task.cancel()
            await asyncio.gather(self._silence_task, return_exceptions=True)
        if self._server is not None:
            self._server.close()
        for stream in list(self._accepted.values()):
            stream.close()
        await asyncio.gather(*self._accepted, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Returns the peers, the live peers and the traffic counters."""
        return {
            "peers": {
                p: {"address": x.address, "incarnation": x.incarnation}
                for p, x in sorted(self._links.items())
            },
            "live": sorted(self.live_peers),
            "counts": dict(self.counts),
        }

    def set_members(self, members: Mapping[InstanceId, str]) -> None:
        """Sets the peers to keep streams to.

        Args:
            members: `host:port` of each peer by its id; this instance is
                ignored.
        """
        for peer in list(self._links):
            if members.get(peer) != self._links[peer].address:
                self._remove_link(peer)
        for peer, address in members.items():
            if peer == self._instance or peer in self._links:
                continue
            link = _Link(peer=peer, address=address)
            self._links[peer] = link
            link.task = asyncio.ensure_future(self._keep_connected(link))

    async def send(self, peer: InstanceId, value: base.Message) -> None:
        """See `peers.PeerNetwork.send`."""
        if peer == self._instance:
            await self._dispatch(peer, value)
            return
        self._stream_to(peer).send(value)

    async def request(
        self, peer: InstanceId, value: base.Message, *, timeout_s: float
    ) -> Any:
        """See `peers.PeerNetwork.request`."""
        if peer == self._instance:
            return await self._request_self(value, timeout_s)
        return await self._stream_to(peer).request(value, timeout_s=timeout_s)

    async def broadcast(self, value: base.Message) -> None:
        """See `peers.PeerNetwork.broadcast`."""
        for peer in sorted(self.live_peers):
            with contextlib.suppress(base.PeerUnreachableError):
                await self.send(peer, value)

    async def _request_self(self, value: base.Message, timeout_s: float) -> Any:
        try:
            return await self.clock.wait_for(
                self._dispatch(self._instance, value), timeout_s
            )
        except TimeoutError as error:
            raise base.PeerUnknownError(str(error)) from error

    def _stream_to(self, peer: InstanceId) -> _stream.PeerStream:
        link = self._links.get(peer)
        if link is None or link.stream is None or not link.incarnation:
            raise base.PeerUnreachableError(f"no stream to {peer}")
        return link.stream

    def _remove_link(self, peer: InstanceId) -> None:
        link = self._links.pop(peer)
        if link.task is not None:
            link.task.cancel()
        if link.stream is not None:
            link.stream.close()

    async def _keep_connected(self, link: _Link) -> None:
        while True:
            with contextlib.suppress(OSError, TimeoutError, base.PeerError):
                await self._connect_and_run(link)
            link.stream, link.incarnation = None, ""
            await self.clock.sleep(self.heartbeat_s / 2)

    async def _connect_and_run(self, link: _Link) -> None:
        reader, writer = await self._connect(link.address)
        stream = self._make_stream(reader, writer)
        link.stream = stream
        read_task = asyncio.ensure_future(stream.run())
        try:
            await self._handshake(link, stream)
            await self._send_heartbeats(stream)
        finally:
            stream.close()
            read_task.cancel()
            await asyncio.gather(read_task, return_exceptions=True)

    async def _connect(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = address.rpartition(":")
        connecting = asyncio.ensure_future(
            asyncio.open_connection(host, int(port))
        )
        try:
            return await self.clock.wait_for(connecting, CONNECT_TIMEOUT_S)
        except BaseException:
            # A connection that is made while this is cancelled has no owner.
            connecting.add_done_callback(_close_unowned)
            raise

    async def _handshake(self, link: _Link, stream: _stream.PeerStream) -> None:
        hello = Hello(instance=self._instance, incarnation=self.incarnation)
        reply = await stream.request(hello, timeout_s=CONNECT_TIMEOUT_S)
        if reply.instance != link.peer:
            raise base.PeerError(
                f"{link.address} belongs to another instance: {reply.instance}"
            )
        link.incarnation = reply.incarnation
        self.counts["streams_opened"] += 1

    async def _send_heartbeats(self, stream: _stream.PeerStream) -> None:
        while stream.is_open and stream.silent_s < self.silent_s:
            if self.heartbeat is not None:
                stream.send(self.heartbeat())
            else:
                hello = Hello(
                    instance=self._instance, incarnation=self.incarnation
                )
                stream.send(hello)
            await self.clock.sleep(self.heartbeat_s)
        self.counts["streams_silent"] += stream.is_open

    async def _close_silent_accepted(self) -> None:
        while True:
            await self.clock.sleep(self.heartbeat_s)
            for stream in list(self._accepted.values()):
                if stream.silent_s > self.silent_s:
                    stream.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is None:
            return
        stream = self._make_stream(reader, writer)
        self._accepted[task] = stream
        try:
            await stream.run()
        finally:
            del self._accepted[task]

    def _make_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> _stream.PeerStream:
        return _stream.PeerStream(
            reader=reader,
            writer=writer,
            clock=self.clock,
            instance=self._instance,
            incarnation=self.incarnation,
            serve=self._serve,
            counts=self.counts,
        )

    async def _serve(self, frame: _frames.Frame) -> base.Message | None:
        value = base.decode_message(frame.type, frame.payload)
        return await self._dispatch(frame.sender, value)

    async def _dispatch(
        self, sender: InstanceId, value: base.Message
    ) -> base.Message | None:
        handler = self._handlers.get(type(value))
        if handler is None:
            raise base.PeerRefusedError(
                f"no handler for {type(value).__name__}"
            )
        return await handler(sender, value)

    async def _on_hello(self, sender: InstanceId, hello: Hello) -> Hello:
        return Hello(instance=self._instance, incarnation=self.incarnation)


def _close_unowned(connecting: asyncio.Future[Any]) -> None:
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result()[1].transport.abort()
