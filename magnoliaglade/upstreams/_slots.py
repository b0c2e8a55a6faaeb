"""Slot leases: messages and the coordinator of an upstream's slots."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from magnoliaglade import base, membership, peers
from magnoliaglade import clock as clock_lib
from magnoliaglade.types import InstanceId, UpstreamId

SLOT_LEASE_TTL_S = 3.0
CONFIRMATION_MAX_AGE_S = 3.0
_OBSERVE_S = 0.5
# Requests time out long before; a later one with an old number cannot arrive.
_FORGET_S = 60.0

ViewSource = Callable[[], membership.View]


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotRequest(peers.Message):
    """Asks for slots and renews those held.

    Attributes:
        upstream: whose slots.
        count: number of slots wanted in all.
        view: version of the sender's view.
        held: upper bound of the slots that the sender uses until the reply.
        incarnation: of the sending process.
        sequence: rises with each message of the incarnation.
    """

    upstream: UpstreamId
    count: int
    view: int
    held: int
    incarnation: str
    sequence: int


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotReturn(peers.Message):
    """Gives slots back; `count` is the number still held."""

    upstream: UpstreamId
    count: int
    view: int
    incarnation: str
    sequence: int


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotGrant(peers.Message):
    """Replaces the sender's slots by `count` for `for_s` seconds.

    The time counts from before the request was sent. With `for_s` 0 nothing
    is granted and the slots held stay valid until their own expiry.
    """

    count: int
    for_s: float


_NOTHING = SlotGrant(count=0, for_s=0.0)


@dataclasses.dataclass(kw_only=True)
class _Reservation:
    """What a holder may use, according to everything sent to it."""

    sequence: int
    demand: int = 0
    count: int = 0
    expires_s: float = 0.0


_Holder = tuple[InstanceId, str]


def coordinator_of(
    upstream: UpstreamId, view: membership.View
) -> InstanceId | None:
    """Returns the instance that grants the slots of an upstream."""
    order = membership.rendezvous_order(f"slots.{upstream}", view.instances)
    return order[0] if order else None


class SlotCoordinator(base.Component):
    """Grants the slots of the upstreams that this instance coordinates.

    A holder is counted with the larger of what it reports and what it was
    granted, so a lost reply never frees slots that are in use. Grants need a
    view confirmed within `confirmation_max_age_s`. A coordinator that is new
    in a view waits until every grant of an earlier one has expired. It need
    not wait if it coordinated the upstream in its previous view and confirmed
    that view within the bound: any coordinator in between has not finished
    its own wait.

    `view_age_s` is the time since the store or a majority last confirmed that
    the version of `view` is current.
    """

    _parameter_constraints = {
        "lease_ttl_s": [base.Interval(kind=float, low=0, low_open=True)],
        "confirmation_max_age_s": [base.Interval(kind=float, low=0)],
    }

    def __init__(
        self,
        *,
        network: peers.PeerNetwork,
        clock: clock_lib.Clock,
        view: ViewSource,
        view_age_s: Callable[[], float],
        slots: Callable[[], Mapping[UpstreamId, int]],
        lease_ttl_s: float = SLOT_LEASE_TTL_S,
        confirmation_max_age_s: float = CONFIRMATION_MAX_AGE_S,
    ) -> None:
        self.network = network
        self.clock = clock
        self.view = view
        self.view_age_s = view_age_s
        self.slots = slots
        self.lease_ttl_s = lease_ttl_s
        self.confirmation_max_age_s = confirmation_max_age_s
        self._view: membership.View | None = None
        self._confirmed_s = 0.0
        self._view_ready_s = 0.0
        self._ready_s: dict[UpstreamId, float] = {}
        self._reservations: dict[UpstreamId, dict[_Holder, _Reservation]] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Registers the handlers and observes the view."""
        self.validate_params()
        self._observe_view()
        self.network.handle(SlotRequest, self._on_request)
        self.network.handle(SlotReturn, self._on_return)
        self._task = asyncio.create_task(self._observe_forever())

    async def stop(self) -> None:
        """Stops granting; the grants made expire by themselves."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        self.network.handle(SlotRequest, _refuse)
        self.network.handle(SlotReturn, _refuse)

    def dump(self) -> dict[str, Any]:
        """Returns the number of slots reserved per upstream."""
        return {u: self._reserved(u) for u in sorted(self._reservations)}

    async def _observe_forever(self) -> None:
        while True:
            await self.clock.sleep(_OBSERVE_S)
            self._observe_view()

    def _observe_view(self) -> None:
        now_s, view = self.clock.now(), self.view()
        old, self._view = self._view, view
        if old is None or view.version != old.version:
            gap_s = now_s - self._confirmed_s
            is_continuous = gap_s <= self.confirmation_max_age_s
            self._enter_view(old if is_continuous else None, view)
        self._confirmed_s = now_s - self.view_age_s()

    def _enter_view(
        self, old: membership.View | None, view: membership.View
    ) -> None:
        wait_s = self.lease_ttl_s + self.confirmation_max_age_s
        known = {
            u: self._ready_s.get(u, self._view_ready_s) for u in self.slots()
        }
        self._view_ready_s = self.clock.now() + wait_s
        this = self.network.instance
        self._ready_s = {
            u: ready_s
            for u, ready_s in known.items()
            if old is not None
            and coordinator_of(u, old) == this == coordinator_of(u, view)
        }

    async def _on_request(
        self, sender: InstanceId, message: SlotRequest
    ) -> SlotGrant:
        self._observe_view()
        mine = self._reservation(sender, message)
        if mine is None:
            return _NOTHING
        may_grant = self._may_grant(sender, message)
        mine.demand = message.count
        mine.count = 0
        granted = self._granted(message.upstream, mine) if may_grant else 0
        mine.count = max(granted, message.held)
        mine.expires_s = self.clock.now() + self.lease_ttl_s
        if not may_grant:
            return _NOTHING
        return SlotGrant(count=granted, for_s=self.lease_ttl_s)

    async def _on_return(
        self, sender: InstanceId, message: SlotReturn
    ) -> SlotGrant:
        mine = self._reservation(sender, message)
        if mine is not None:
            mine.count = mine.demand = message.count
        return _NOTHING

    def _reservation(
        self, sender: InstanceId, message: SlotRequest | SlotReturn
    ) -> _Reservation | None:
        """Returns the sender's reservation; None for an overtaken message."""
        self._drop_expired(message.upstream)
        table = self._reservations.setdefault(message.upstream, {})
        key = (sender, message.incarnation)
        mine = table.setdefault(key, _Reservation(sequence=-1))
        if message.sequence <= mine.sequence:
            return None
        mine.sequence = message.sequence
        return mine

    def _may_grant(self, sender: InstanceId, message: SlotRequest) -> bool:
        view = self.view()
        if message.view != view.version or sender not in view.instances:
            return False
        if self.view_age_s() > self.confirmation_max_age_s:
            return False
        if coordinator_of(message.upstream, view) != self.network.instance:
            return False
        ready_s = self._ready_s.get(message.upstream, self._view_ready_s)
        return self.clock.now() >= ready_s

    def _granted(self, upstream: UpstreamId, mine: _Reservation) -> int:
        capacity = self.slots().get(upstream, 0)
        free = max(0, capacity - self._reserved(upstream))
        return min(self._fair_share(upstream, capacity, mine), free)

    def _fair_share(
        self, upstream: UpstreamId, capacity: int, mine: _Reservation
    ) -> int:
        """Max-min share of the demands; what does not divide rotates."""
        table = self._reservations[upstream]
        order = [table[key] for key in sorted(table)]
        turn = int(self.clock.now() // self.lease_ttl_s) % len(order)
        order = order[turn:] + order[:turn]
        shares = [0] * len(order)
        left = capacity
        while left > 0:
            open_ = [n for n, r in enumerate(order) if shares[n] < r.demand]
            if not open_:
                break
            for n in open_[:left]:
                shares[n] += 1
            left -= len(open_[:left])
        return next(
            share
            for share, reservation in zip(shares, order, strict=True)
            if reservation is mine
        )

    def _reserved(self, upstream: UpstreamId) -> int:
        table = self._reservations.get(upstream, {})
        return sum(r.count for r in table.values())

    def _drop_expired(self, upstream: UpstreamId) -> None:
        """Frees expired slots; the sequence stays while others may arrive."""
        now_s = self.clock.now()
        table = self._reservations.get(upstream, {})
        for key, reservation in list(table.items()):
            if reservation.expires_s <= now_s:
                reservation.count = reservation.demand = 0
            if reservation.expires_s + _FORGET_S <= now_s:
                del table[key]


async def _refuse(_: InstanceId, __: peers.Message) -> SlotGrant:
    return _NOTHING
