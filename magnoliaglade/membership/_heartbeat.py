"""Heartbeats that carry small sections of data from components."""

import dataclasses
from collections.abc import Callable
from typing import Any

from magnoliaglade import peers
from magnoliaglade.types import InstanceId

SectionSource = Callable[[], Any]
SectionReceiver = Callable[[InstanceId, Any], None]


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat(peers.Message):
    """Sent to every peer once per heartbeat interval.

    Attributes:
        sections: plain data by section name.
    """

    sections: dict[str, Any]


class HeartbeatExchange:
    """Assembles outgoing heartbeats and dispatches received sections."""

    def __init__(self, *, network: peers.PeerNetwork) -> None:
        self.network = network
        self._sources: dict[str, SectionSource] = {}
        self._receivers: dict[str, SectionReceiver] = {}
        network.handle(Heartbeat, self._on_heartbeat)

    def set_section_source(self, section: str, source: SectionSource) -> None:
        """Sets the source of a section; the section is omitted on None."""
        self._sources[section] = source

    def set_section_receiver(
        self, section: str, receiver: SectionReceiver
    ) -> None:
        """Sets the callback for received sections of this name."""
        self._receivers[section] = receiver

    def make(self) -> Heartbeat:
        """Returns the heartbeat to send now."""
        sections = {n: c() for n, c in self._sources.items()}
        return Heartbeat(
            sections={n: s for n, s in sections.items() if s is not None}
        )

    async def _on_heartbeat(self, sender: InstanceId, value: Heartbeat) -> None:
        for name, data in value.sections.items():
            receiver = self._receivers.get(name)
            if receiver is not None:
                receiver(sender, data)
