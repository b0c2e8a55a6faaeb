"""In-process peer network, the fake for tests of other subpackages."""

from typing import Any

import msgpack

from magnoliaglade import clock as clock_lib
from magnoliaglade.peers import base
from magnoliaglade.types import InstanceId


class LocalHub:
    """Connects instances of `LocalPeerNetwork`; tests can cut links.

    Attributes:
        clock: clock of the request timeouts.
        members: connected networks by instance.
        blocked_links: (sender, receiver) of the links that drop messages.
        lost_replies: number of next replies to drop after the handler ran.
    """

    def __init__(self, *, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.members: dict[InstanceId, LocalPeerNetwork] = {}
        self.blocked_links: set[tuple[InstanceId, InstanceId]] = set()
        self.lost_replies = 0

    def cut(self, a: InstanceId, b: InstanceId) -> None:
        """Drops all messages between two instances in both directions."""
        self.blocked_links |= {(a, b), (b, a)}

    def heal(self) -> None:
        """Restores all links."""
        self.blocked_links.clear()

    def remove(self, instance: InstanceId) -> None:
        """Removes an instance, as if its process had crashed."""
        self.members.pop(instance, None)

    def reaches(self, sender: InstanceId, receiver: InstanceId) -> bool:
        """Returns whether messages pass from sender to receiver."""
        return (
            receiver in self.members
            and (sender, receiver) not in self.blocked_links
        )


class LocalPeerNetwork:
    """Peer network of one instance on a `LocalHub`; see `peers.PeerNetwork`.

    Messages are encoded and decoded as on the wire, so a field that msgpack
    cannot encode fails here as well.
    """

    def __init__(self, *, hub: LocalHub, instance: InstanceId) -> None:
        self.hub = hub
        self._instance = instance
        self._handlers: dict[type[base.Message], base.Handler] = {}
        hub.members[instance] = self

    @property
    def instance(self) -> InstanceId:
        """This instance."""
        return self._instance

    @property
    def live_peers(self) -> frozenset[InstanceId]:
        """Peers that messages from this instance reach."""
        return frozenset(
            m
            for m in self.hub.members
            if m != self._instance and self.hub.reaches(self._instance, m)
        )

    def handle(self, cls: type[base.Message], handler: base.Handler) -> None:
        """Sets the handler of a message class."""
        self._handlers[cls] = handler

    async def send(self, peer: InstanceId, value: base.Message) -> None:
        """Delivers a message and discards the reply."""
        self._check(peer)
        await self.hub.members[peer].receive(self._instance, value)

    async def request(
        self, peer: InstanceId, value: base.Message, *, timeout_s: float
    ) -> Any:
        """Delivers a message and returns the reply."""
        self._check(peer)
        call = self.hub.members[peer].receive(self._instance, value)
        try:
            reply = await self.hub.clock.wait_for(call, timeout_s)
        except TimeoutError as error:
            raise base.PeerUnknownError(f"{peer}: {error}") from error
        if self.hub.lost_replies > 0:
            self.hub.lost_replies -= 1
            raise base.PeerUnknownError(f"{peer}: reply lost")
        return reply

    async def broadcast(self, value: base.Message) -> None:
        """Delivers a message to every live peer."""
        for peer in sorted(self.live_peers):
            await self.send(peer, value)

    async def receive(self, sender: InstanceId, value: base.Message) -> Any:
        """Decodes a copy of the message and runs its handler."""
        copy = base.decode_message(*_roundtrip(value))
        handler = self._handlers.get(type(copy))
        if handler is None:
            raise base.PeerRefusedError(f"no handler for {type(copy).__name__}")
        reply = await handler(sender, copy)
        if reply is None:
            return None
        return base.decode_message(*_roundtrip(reply))

    def _check(self, peer: InstanceId) -> None:
        is_running = self._instance in self.hub.members
        is_reachable = peer == self._instance or self.hub.reaches(
            self._instance, peer
        )
        if not is_running or not is_reachable:
            raise base.PeerUnreachableError(str(peer))


def _roundtrip(value: base.Message) -> tuple[str, Any]:
    name, payload = base.encode_message(value)
    return name, msgpack.unpackb(msgpack.packb(payload), use_list=False)
