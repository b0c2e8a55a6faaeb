"""Owners of domains, as reported in heartbeats."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

from magnoliaglade import peers
from magnoliaglade.membership import _heartbeat
from magnoliaglade.types import Epoch, InstanceId

OWNED_SECTION = "owned"


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnerRecord:
    """The owner of a domain in an epoch."""

    instance: InstanceId
    epoch: Epoch


class OwnerDirectory:
    """Owners by domain; of two claims the one with the higher epoch wins."""

    def __init__(
        self,
        *,
        network: peers.PeerNetwork,
        exchange: _heartbeat.HeartbeatExchange,
    ) -> None:
        self.network = network
        self.exchange = exchange
        self._local: Callable[[], dict[str, Epoch]] = dict
        self._claims: dict[InstanceId, dict[str, Epoch]] = {}
        exchange.set_section_source(OWNED_SECTION, self._contribute)
        exchange.set_section_receiver(OWNED_SECTION, self._receive)

    def set_local_source(self, local: Callable[[], dict[str, Epoch]]) -> None:
        """Sets the callable that returns the domains of this instance."""
        self._local = local

    def owner_of(self, domain: str) -> OwnerRecord | None:
        """Returns the known live owner of a domain, or None."""
        best: OwnerRecord | None = None
        for instance, domains in self._live_claims():
            epoch = domains.get(domain)
            if epoch is not None and (best is None or epoch > best.epoch):
                best = OwnerRecord(instance=instance, epoch=epoch)
        return best

    def remove_claim(self, instance: InstanceId, domain: str) -> None:
        """Removes the claim of an instance that has handed a domain over."""
        self._claims.get(instance, {}).pop(domain, None)

    def dump(self) -> dict[str, Any]:
        """Returns the owner and epoch of each known domain."""
        domains = {d for _, claims in self._live_claims() for d in claims}
        return {
            d: dataclasses.asdict(record)
            for d in sorted(domains)
            if (record := self.owner_of(d)) is not None
        }

    def _live_claims(self) -> Iterable[tuple[InstanceId, dict[str, Epoch]]]:
        live = self.network.live_peers
        yield self.network.instance, self._local()
        for instance, domains in self._claims.items():
            if instance in live:
                yield instance, domains

    def _contribute(self) -> dict[str, int]:
        return dict(self._local())

    def _receive(self, sender: InstanceId, data: Any) -> None:
        if isinstance(data, dict):
            self._claims[sender] = {d: Epoch(e) for d, e in data.items()}
