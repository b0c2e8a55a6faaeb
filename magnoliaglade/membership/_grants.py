"""Grants of entry instances to each other while the store is down.

The owner of a domain cannot renew its lease without the store. Members that
cannot reach the store either may give it a grant for a short time, during which
they neither take the domain over nor agree to a takeover. Two majorities of one
view have a member in common, so a takeover that a majority agrees to cannot
overlap with grants from a majority.
"""

import asyncio
import dataclasses
import enum
from collections.abc import Callable, Iterable
from typing import Any

from magnoliaglade import clock as clock_lib
from magnoliaglade import peers
from magnoliaglade.membership import _view
from magnoliaglade.types import InstanceId

GRANT_DURATION_S = 4.0
# The holder treats a grant as expired this long before the member that gave it
# does.
GRANT_MARGIN_S = 0.5
GRANT_TIMEOUT_S = 0.5


class GrantPurpose(enum.Enum):
    """What a grant permits its holder to do."""

    ACT = "act"
    TAKE_OVER = "take-over"


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class GrantRequest(peers.Message):
    """Asks a member for a grant of `for_s` seconds for a domain."""

    domain: str
    epoch: int
    purpose: str
    for_s: float


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant(peers.Message):
    """A member's decision on a grant request.

    Attributes:
        granted: whether the member gives the grant.
        store_reachable: whether the member reaches the store.
        holder: holder of the grant in effect before the request; empty if
            there was none.
    """

    granted: bool
    store_reachable: bool
    holder: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _IssuedGrant:
    holder: InstanceId
    epoch: int
    until_s: float


class GrantIssuer:
    """Decides on grant requests for one member."""

    def __init__(
        self,
        *,
        network: peers.PeerNetwork,
        clock: clock_lib.Clock,
        store_reachable: Callable[[], bool],
    ) -> None:
        self.network = network
        self.clock = clock
        self.store_reachable = store_reachable
        self._issued: dict[str, _IssuedGrant] = {}
        # Epochs by domain whose owners took over with the consent of this
        # member; owners of earlier epochs get no further grants.
        self._takeover_epochs: dict[str, int] = {}
        network.handle(GrantRequest, self._on_request)

    def dump(self) -> dict[str, Any]:
        """Returns holder and remaining seconds of the grants in effect."""
        now = self.clock.now()
        return {
            d: {"holder": g.holder, "remaining_s": round(g.until_s - now, 3)}
            for d, g in self._issued.items()
            if g.until_s > now
        }

    async def _on_request(
        self, sender: InstanceId, request: GrantRequest
    ) -> Grant:
        reachable = self.store_reachable()
        purpose = GrantPurpose(request.purpose)
        issued = self._in_effect(request.domain)
        granted = _may_grant(sender, request.epoch, purpose, reachable, issued)
        takeover_epoch = self._takeover_epochs.get(request.domain, 0)
        if purpose is GrantPurpose.ACT and request.epoch < takeover_epoch:
            granted = False
        if granted and purpose is GrantPurpose.TAKE_OVER:
            self._takeover_epochs[request.domain] = max(
                takeover_epoch, request.epoch
            )
        if granted:
            self._issued[request.domain] = _IssuedGrant(
                holder=sender,
                epoch=request.epoch,
                until_s=self.clock.now() + min(request.for_s, GRANT_DURATION_S),
            )
        holder = issued.holder if issued is not None else ""
        return Grant(granted=granted, store_reachable=reachable, holder=holder)

    def _in_effect(self, domain: str) -> _IssuedGrant | None:
        issued = self._issued.get(domain)
        if issued is None or issued.until_s <= self.clock.now():
            return None
        return issued


class GrantCollector:
    """Collects grants from a majority of a view."""

    def __init__(
        self, *, network: peers.PeerNetwork, clock: clock_lib.Clock
    ) -> None:
        self.network = network
        self.clock = clock
        self._granted_until_s: dict[str, float] = {}

    def remaining_s(self, domain: str) -> float:
        """Returns the seconds for which this instance may act for a domain."""
        return max(
            0.0, self._granted_until_s.get(domain, 0.0) - self.clock.now()
        )

    async def collect(
        self,
        *,
        domain: str,
        epoch: int,
        purpose: GrantPurpose,
        view: _view.View,
    ) -> bool:
        """Asks every member; returns whether a majority gave a grant."""
        return await self.collect_from(
            view.instances, domain=domain, epoch=epoch, purpose=purpose
        )

    async def collect_from(
        self,
        members: Iterable[InstanceId],
        *,
        domain: str,
        epoch: int,
        purpose: GrantPurpose,
    ) -> bool:
        """Asks instances; returns whether a majority of them gave a grant."""
        members = tuple(members)
        sent_s = self.clock.now()
        request = GrantRequest(
            domain=domain,
            epoch=epoch,
            purpose=purpose.value,
            for_s=GRANT_DURATION_S,
        )
        granted = await asyncio.gather(
            *(self._request_grant(m, request) for m in members)
        )
        if sum(granted) <= len(members) // 2:
            return False
        if purpose is GrantPurpose.ACT:
            self._granted_until_s[domain] = (
                sent_s + GRANT_DURATION_S - GRANT_MARGIN_S
            )
        return True

    async def _request_grant(
        self, peer: InstanceId, request: GrantRequest
    ) -> bool:
        try:
            reply = await self.network.request(
                peer, request, timeout_s=GRANT_TIMEOUT_S
            )
        except peers.PeerError:
            return False
        return isinstance(reply, Grant) and reply.granted


def _may_grant(
    sender: InstanceId,
    epoch: int,
    purpose: GrantPurpose,
    store_reachable: bool,
    issued: _IssuedGrant | None,
) -> bool:
    if issued is not None and issued.holder != sender:
        return False
    if issued is not None and epoch < issued.epoch:
        return False
    # While a member reaches the store, a takeover through the store is
    # possible, so it does not let the old owner act without the store.
    return purpose is GrantPurpose.TAKE_OVER or not store_reachable
