"""Grants of entry instances to each other while the store is down.

The owner of a domain cannot renew its lease without the store. Members that
do not reach the store either may grant it a short time in which they neither
take the domain over nor agree to a takeover. Two majorities of one view have
a member in common, so a takeover that a majority agrees to cannot overlap with
grants from a majority.
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

GRANT_S = 4.0
# The holder counts a grant as ended this long before the granting member does.
GRANT_MARGIN_S = 0.5
GRANT_TIMEOUT_S = 0.5


class GrantPurpose(enum.Enum):
    """What the holder may do."""

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
    """The member's decision."""

    granted: bool
    store_reachable: bool
    holder: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Given:
    holder: InstanceId
    epoch: int
    until_s: float


class GrantIssuer:
    """Gives grants on behalf of one member."""

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
        self._given: dict[str, _Given] = {}
        # Epochs whose owners took over with this member's agreement; an
        # earlier owner gets no grant any more.
        self._agreed: dict[str, int] = {}
        network.handle(GrantRequest, self._on_request)

    def dump(self) -> dict[str, Any]:
        """Returns the grants that are in effect."""
        now = self.clock.now()
        return {
            d: {"holder": g.holder, "remaining_s": round(g.until_s - now, 3)}
            for d, g in self._given.items()
            if g.until_s > now
        }

    async def _on_request(
        self, sender: InstanceId, request: GrantRequest
    ) -> Grant:
        reachable = self.store_reachable()
        purpose = GrantPurpose(request.purpose)
        given = self._in_effect(request.domain)
        granted = _may_grant(sender, request.epoch, purpose, reachable, given)
        agreed = self._agreed.get(request.domain, 0)
        if purpose is GrantPurpose.ACT and request.epoch < agreed:
            granted = False
        if granted and purpose is GrantPurpose.TAKE_OVER:
            self._agreed[request.domain] = max(agreed, request.epoch)
        if granted:
            self._given[request.domain] = _Given(
                holder=sender,
                epoch=request.epoch,
                until_s=self.clock.now() + min(request.for_s, GRANT_S),
            )
        holder = given.holder if given is not None else ""
        return Grant(granted=granted, store_reachable=reachable, holder=holder)

    def _in_effect(self, domain: str) -> _Given | None:
        given = self._given.get(domain)
        if given is None or given.until_s <= self.clock.now():
            return None
        return given


class GrantCollector:
    """Collects grants from a majority of a view."""

    def __init__(
        self, *, network: peers.PeerNetwork, clock: clock_lib.Clock
    ) -> None:
        self.network = network
        self.clock = clock
        self._until_s: dict[str, float] = {}

    def remaining_s(self, domain: str) -> float:
        """Seconds for which this instance may act for the domain."""
        return max(0.0, self._until_s.get(domain, 0.0) - self.clock.now())

    async def collect(
        self,
        *,
        domain: str,
        epoch: int,
        purpose: GrantPurpose,
        view: _view.View,
    ) -> bool:
        """Asks every member; returns whether a majority granted."""
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
        """Asks instances; returns whether a majority of them granted."""
        members = tuple(members)
        sent_s = self.clock.now()
        request = GrantRequest(
            domain=domain, epoch=epoch, purpose=purpose.value, for_s=GRANT_S
        )
        granted = await asyncio.gather(
            *(self._ask(m, request) for m in members)
        )
        if sum(granted) <= len(members) // 2:
            return False
        if purpose is GrantPurpose.ACT:
            self._until_s[domain] = sent_s + GRANT_S - GRANT_MARGIN_S
        return True

    async def _ask(self, peer: InstanceId, request: GrantRequest) -> bool:
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
    given: _Given | None,
) -> bool:
    if given is not None and given.holder != sender:
        return False
    if given is not None and epoch < given.epoch:
        return False
    # A member that reaches the store knows that a takeover through the store
    # is possible, so it does not let the old owner go on without it.
    return purpose is GrantPurpose.TAKE_OVER or not store_reachable
