"""Heartbeats that carry small sections contributed by components."""

import dataclasses
from collections.abc import Callable
from typing import Any

from magnoliaglade import peers
from magnoliaglade.types import InstanceId

Contribute = Callable[[], Any]
Receive = Callable[[InstanceId, Any], None]


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat(peers.Message):
    """Sent to every peer once per heartbeat interval.

    Attributes:
        sections: section name to plain data.
    """

    sections: dict[str, Any]


class HeartbeatExchange:
    """Collects the sections to send and hands out the received ones."""

    def __init__(self, *, network: peers.PeerNetwork) -> None:
        self.network = network
        self._contributors: dict[str, Contribute] = {}
        self._receivers: dict[str, Receive] = {}
        network.handle(Heartbeat, self._on_heartbeat)

    def contribute(self, section: str, contribute: Contribute) -> None:
        """Sets the source of a section; None leaves the section out."""
        self._contributors[section] = contribute

    def receive(self, section: str, receive: Receive) -> None:
        """Sets the receiver of a section."""
        self._receivers[section] = receive

    def make(self) -> Heartbeat:
        """Returns the heartbeat to send now."""
        sections = {n: c() for n, c in self._contributors.items()}
        return Heartbeat(
            sections={n: s for n, s in sections.items() if s is not None}
        )

    async def _on_heartbeat(self, sender: InstanceId, value: Heartbeat) -> None:
        for name, data in value.sections.items():
            receiver = self._receivers.get(name)
            if receiver is not None:
                receiver(sender, data)
