"""Slot leases: messages and the coordinator of the slots of an upstream."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from magnoliaglade import base, membership, peers
from magnoliaglade import clock as clock_lib
from magnoliaglade.types import InstanceId, UpstreamId

SLOT_LEASE_TTL_S = 3.0
CONFIRMATION_MAX_AGE_S = 3.0
_VIEW_POLL_INTERVAL_S = 0.5
# Requests time out long before, so none with an old sequence number can arrive
# later.
_SEQUENCE_RETENTION_S = 60.0

ViewSource = Callable[[], membership.View]


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotRequest(peers.Message):
    """Requests slots and renews those held.

    Attributes:
        upstream: id of the upstream.
        count: total number of slots wanted.
        view: version of the membership view of the sender.
        held: upper bound of the slots that the sender uses until the reply.
        incarnation: incarnation of the sending process.
        sequence: number that increases with each message of the incarnation.
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
    """Returns slots to the coordinator; `count` is the number still held."""

    upstream: UpstreamId
    count: int
    view: int
    incarnation: str
    sequence: int


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotGrant(peers.Message):
    """Replaces the slots of the sender by `count` for `for_s` seconds.

    The time is counted from before the request was sent. With `for_s` 0
    nothing is granted and the slots held stay valid until their own expiry.
    """

    count: int
    for_s: float


_NO_GRANT = SlotGrant(count=0, for_s=0.0)


@dataclasses.dataclass(kw_only=True)
class _Reservation:
    """Slots that a holder may use, according to everything sent to it."""

    sequence: int
    demand: int = 0
    count: int = 0
    expires_s: float = 0.0


_HolderKey = tuple[InstanceId, str]


def coordinator_of(
    upstream: UpstreamId, view: membership.View
) -> InstanceId | None:
    """Returns the instance that grants the slots of an upstream."""
    order = membership.rendezvous_order(f"slots.{upstream}", view.instances)
    return order[0] if order else None


class SlotCoordinator(base.Component):
    """Grants the slots of the upstreams that this instance coordinates.

    The reservation of a holder is the larger of what it reports and what it
    was granted, so a lost reply never frees slots that are in use. Grants
    require a view confirmed within `confirmation_max_age_s`. A coordinator
    that is new in a view waits until every grant of an earlier one has
    expired. It need not wait if it coordinated the upstream in its previous
    view and confirmed that view within the maximum age: any coordinator in
    between has not finished its own wait.

    `view_age_s` returns the time since the store or a majority last confirmed
    that the version of `view` is current, in seconds.
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
        self._reservations: dict[
            UpstreamId, dict[_HolderKey, _Reservation]
        ] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Registers the message handlers and starts polling the view."""
        self.validate_params()
        self._observe_view()
        self.network.handle(SlotRequest, self._handle_request)
        self.network.handle(SlotReturn, self._handle_return)
        self._task = asyncio.create_task(self._poll_view())

    async def stop(self) -> None:
        """Stops granting; earlier grants expire after their time to live."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        self.network.handle(SlotRequest, _grant_none)
        self.network.handle(SlotReturn, _grant_none)

    def dump(self) -> dict[str, Any]:
        """Returns the number of slots reserved per upstream."""
        return {u: self._reserved_count(u) for u in sorted(self._reservations)}

    async def _poll_view(self) -> None:
        while True:
            await self.clock.sleep(_VIEW_POLL_INTERVAL_S)
            self._observe_view()

    def _observe_view(self) -> None:
        now_s, view = self.clock.now(), self.view()
        old, self._view = self._view, view
        if old is None or view.version != old.version:
            gap_s = now_s - self._confirmed_s
            is_continuous = gap_s <= self.confirmation_max_age_s
            self._apply_view_change(old if is_continuous else None, view)
        self._confirmed_s = now_s - self.view_age_s()

    def _apply_view_change(
        self, old: membership.View | None, view: membership.View
    ) -> None:
        wait_s = self.lease_ttl_s + self.confirmation_max_age_s
        previous_ready_s = {
            u: self._ready_s.get(u, self._view_ready_s) for u in self.slots()
        }
        self._view_ready_s = self.clock.now() + wait_s
        own_instance = self.network.instance
        self._ready_s = {
            u: ready_s
            for u, ready_s in previous_ready_s.items()
            if old is not None
            and coordinator_of(u, old)
            == own_instance
            == coordinator_of(u, view)
        }

    async def _handle_request(
        self, sender: InstanceId, message: SlotRequest
    ) -> SlotGrant:
        self._observe_view()
        sender_reservation = self._reservation(sender, message)
        if sender_reservation is None:
            return _NO_GRANT
        may_grant = self._may_grant(sender, message)
        sender_reservation.demand = message.count
        sender_reservation.count = 0
        granted = (
            self._grantable(message.upstream, sender_reservation)
            if may_grant
            else 0
        )
        sender_reservation.count = max(granted, message.held)
        sender_reservation.expires_s = self.clock.now() + self.lease_ttl_s
        if not may_grant:
            return _NO_GRANT
        return SlotGrant(count=granted, for_s=self.lease_ttl_s)

    async def _handle_return(
        self, sender: InstanceId, message: SlotReturn
    ) -> SlotGrant:
        sender_reservation = self._reservation(sender, message)
        if sender_reservation is not None:
            sender_reservation.count = sender_reservation.demand = message.count
        return _NO_GRANT

    def _reservation(
        self, sender: InstanceId, message: SlotRequest | SlotReturn
    ) -> _Reservation | None:
        """Returns the reservation of the sender, or None.

        None is returned if this message or a later one of the sender was
        handled before.
        """
        self._drop_expired(message.upstream)
        by_holder = self._reservations.setdefault(message.upstream, {})
        key = (sender, message.incarnation)
        sender_reservation = by_holder.setdefault(
            key, _Reservation(sequence=-1)
        )
        if message.sequence <= sender_reservation.sequence:
            return None
        sender_reservation.sequence = message.sequence
        return sender_reservation

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

    def _grantable(
        self, upstream: UpstreamId, sender_reservation: _Reservation
    ) -> int:
        capacity = self.slots().get(upstream, 0)
        free = max(0, capacity - self._reserved_count(upstream))
        return min(
            self._fair_share(upstream, capacity, sender_reservation), free
        )

    def _fair_share(
        self,
        upstream: UpstreamId,
        capacity: int,
        sender_reservation: _Reservation,
    ) -> int:
        """Returns the max-min fair share of a reservation.

        The remainder of the division rotates among the holders.
        """
        by_holder = self._reservations[upstream]
        order = [by_holder[key] for key in sorted(by_holder)]
        rotation = int(self.clock.now() // self.lease_ttl_s) % len(order)
        order = order[rotation:] + order[:rotation]
        shares = [0] * len(order)
        remaining = capacity
        while remaining > 0:
            unsatisfied = [
                n for n, r in enumerate(order) if shares[n] < r.demand
            ]
            if not unsatisfied:
                break
            for n in unsatisfied[:remaining]:
                shares[n] += 1
            remaining -= len(unsatisfied[:remaining])
        return next(
            share
            for share, reservation in zip(shares, order, strict=True)
            if reservation is sender_reservation
        )

    def _reserved_count(self, upstream: UpstreamId) -> int:
        by_holder = self._reservations.get(upstream, {})
        return sum(r.count for r in by_holder.values())

    def _drop_expired(self, upstream: UpstreamId) -> None:
        """Frees expired slots.

        The sequence number is kept while older messages may still arrive.
        """
        now_s = self.clock.now()
        by_holder = self._reservations.get(upstream, {})
        for key, reservation in list(by_holder.items()):
            if reservation.expires_s <= now_s:
                reservation.count = reservation.demand = 0
            if reservation.expires_s + _SEQUENCE_RETENTION_S <= now_s:
                del by_holder[key]


async def _grant_none(_: InstanceId, __: peers.Message) -> SlotGrant:
    return _NO_GRANT
