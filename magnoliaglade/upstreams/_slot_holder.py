"""Slot leases: the holder, which leases slots and uses them for requests."""

import asyncio
import collections
import dataclasses
import uuid
from collections.abc import Callable, Sequence
from typing import Any

from magnoliaglade import base, membership, peers
from magnoliaglade import clock as clock_lib
from magnoliaglade.types import UpstreamId
from magnoliaglade.upstreams import _errors, _slots

RENEWAL_INTERVAL_S = 1.0
# Interval while requests wait for a slot; a freed slot is granted within it.
RETRY_INTERVAL_S = 0.25
REQUEST_TIMEOUT_S = 1.0
# The holder stops using a slot this long before the coordinator can grant it to
# another.
EXPIRY_MARGIN_S = 0.5


@dataclasses.dataclass(kw_only=True)
class _Lease:
    count: int = 0
    valid_until_s: float = 0.0
    generation: int = 0
    in_use: int = 0
    demand: int = 0
    requested_s: float = 0.0
    waiters: collections.deque[asyncio.Future[None]] = dataclasses.field(
        default_factory=collections.deque
    )


class HeldSlot:
    """One slot of an upstream; release it when the request has ended."""

    def __init__(
        self, *, holder: "SlotHolder", upstream: UpstreamId, generation: int
    ) -> None:
        self.holder = holder
        self.upstream = upstream
        self.generation = generation
        self._is_released = False

    def check(self) -> None:
        """Checks that the slot may still be used.

        Call this after the last await before the request is sent.
        `ConnectionPool.exchange` does so if it is passed as `before_write`.

        Raises:
            SlotLapsedError: the lease has expired since the slot was acquired.
        """
        is_valid = self.holder.is_valid(self.upstream, self.generation)
        if self._is_released or not is_valid:
            raise _errors.SlotLapsedError(f"slot of {self.upstream} lapsed")

    def release(self) -> None:
        """Makes the slot available; further calls have no effect."""
        if not self._is_released:
            self._is_released = True
            self.holder.release(self.upstream)


class SlotHolder(base.Component):
    """Leases slots according to demand and assigns them to requests.

    A slot in use is reported until it is released, also after the lease has
    expired. A slot that was acquired before an expiry cannot be used after it.
    """

    _parameter_constraints = {
        "renew_s": [base.Interval(kind=float, low=0, low_open=True)],
        "retry_s": [base.Interval(kind=float, low=0, low_open=True)],
        "expiry_margin_s": [base.Interval(kind=float, low=0)],
    }

    def __init__(
        self,
        *,
        network: peers.PeerNetwork,
        clock: clock_lib.Clock,
        view: _slots.ViewSource,
        renew_s: float = RENEWAL_INTERVAL_S,
        retry_s: float = RETRY_INTERVAL_S,
        expiry_margin_s: float = EXPIRY_MARGIN_S,
    ) -> None:
        self.network = network
        self.clock = clock
        self.view = view
        self.renew_s = renew_s
        self.retry_s = retry_s
        self.expiry_margin_s = expiry_margin_s
        self._leases: dict[UpstreamId, _Lease] = {}
        self._renewals: dict[UpstreamId, asyncio.Task[None]] = {}
        self._incarnation = uuid.uuid4().hex
        self._sequence = 0
        self._is_stopped = False
        self._task: asyncio.Task[None] | None = None
        self._listeners: list[Callable[[], None]] = []

    async def start(self) -> None:
        """Starts the renewal of leases in the background."""
        self.validate_params()
        self._task = asyncio.create_task(self._renew_forever())

    async def stop(self) -> None:
        """Returns the unused slots; waiting requests raise NoSlotError."""
        self._is_stopped = True
        tasks = [t for t in (self._task, *self._renewals.values()) if t]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._task = None
        for upstream, lease in self._leases.items():
            for waiter in lease.waiters:
                if not waiter.done():
                    waiter.set_exception(_errors.NoSlotError("stopped"))
            lease.count, lease.valid_until_s = lease.in_use, 0.0
            await self._return_slots(upstream, lease)

    def dump(self) -> dict[str, Any]:
        """Returns the numbers of slots leased and in use per upstream."""
        return {
            u: {"leased": self.leased(u), "in_use": lease.in_use}
            for u, lease in sorted(self._leases.items())
        }

    def leased(self, upstream: UpstreamId) -> int:
        """Returns the number of slots under a valid lease."""
        lease = self._leases.get(upstream)
        if lease is None or self.clock.now() >= lease.valid_until_s:
            return 0
        return lease.count

    def free(self, upstream: UpstreamId) -> int:
        """Returns the number of slots that can be acquired now."""
        lease = self._leases.get(upstream)
        if lease is None:
            return 0
        return max(0, self.leased(upstream) - lease.in_use)

    def is_valid(self, upstream: UpstreamId, generation: int) -> bool:
        """Returns whether a lease has been valid since `generation` began."""
        lease = self._leases.get(upstream)
        if lease is None or lease.generation != generation:
            return False
        return self.clock.now() < lease.valid_until_s

    def on_change(self, listener: Callable[[], None]) -> None:
        """Registers a callback that runs when slots are granted or released."""
        self._listeners.append(listener)

    def set_demand(self, upstream: UpstreamId, count: int) -> None:
        """Sets the total number of slots wanted; 0 returns the unused ones."""
        lease = self._leases.setdefault(upstream, _Lease())
        is_increase = count > max(lease.demand, self.leased(upstream))
        lease.demand = count
        if is_increase:
            self._start_renewal(upstream)

    def spread_demand(
        self, count: int, upstreams: Sequence[UpstreamId]
    ) -> None:
        """Sets a total demand of `count` slots, spread evenly over `upstreams`.

        The remainder goes to upstreams with leased slots first, then in an
        order that differs between instances, so that a few requests per
        instance do not all ask for the same upstream. Unused slots of other
        upstreams are returned.
        """
        for upstream in set(self._leases) - set(upstreams):
            self.set_demand(upstream, 0)
        if not upstreams:
            return
        rank = {
            u: n
            for n, u in enumerate(
                membership.rendezvous_order(self.network.instance, upstreams)
            )
        }
        order = sorted(upstreams, key=lambda u: (-self.leased(u), rank[u]))
        base_count, remainder = divmod(count, len(order))
        for n, upstream in enumerate(order):
            self.set_demand(upstream, base_count + (n < remainder))

    def try_acquire(self, upstream: UpstreamId) -> HeldSlot | None:
        """Returns a free slot, or None."""
        if self.free(upstream) == 0:
            return None
        lease = self._leases[upstream]
        lease.in_use += 1
        return HeldSlot(
            holder=self, upstream=upstream, generation=lease.generation
        )

    async def acquire(
        self, upstream: UpstreamId, *, deadline_s: float
    ) -> HeldSlot:
        """Waits for a slot until `deadline_s` on the monotonic clock.

        Raises:
            NoSlotError: no slot was free before the deadline.
        """
        lease = self._leases.setdefault(upstream, _Lease())
        while True:
            slot = self.try_acquire(upstream)
            if slot is not None:
                return slot
            if self._is_stopped:
                raise _errors.NoSlotError("stopped")
            waiter = asyncio.get_running_loop().create_future()
            lease.waiters.append(waiter)
            self._start_renewal(upstream)
            remaining_s = deadline_s - self.clock.now()
            try:
                await self.clock.wait_for(waiter, remaining_s)
            except TimeoutError as error:
                raise _errors.NoSlotError(str(upstream)) from error
            finally:
                self._remove_waiter(upstream, waiter)

    def release(self, upstream: UpstreamId) -> None:
        """Ends the use of one slot; called by `HeldSlot.release`."""
        self._leases[upstream].in_use -= 1
        self._wake_waiters(upstream)

    def _remove_waiter(
        self, upstream: UpstreamId, waiter: asyncio.Future[None]
    ) -> None:
        lease = self._leases[upstream]
        if waiter in lease.waiters:
            lease.waiters.remove(waiter)
        elif lease.waiters and self.free(upstream):
            # The slot meant for a waiter that timed out or was cancelled goes
            # to the next one.
            self._wake_waiters(upstream)

    def _wake_waiters(self, upstream: UpstreamId) -> None:
        lease = self._leases[upstream]
        for _ in range(min(self.free(upstream), len(lease.waiters))):
            waiter = lease.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
        for listener in self._listeners:
            listener()

    async def _renew_forever(self) -> None:
        while True:
            await self.clock.sleep(self.retry_s)
            for upstream, lease in self._leases.items():
                has_unmet_demand = self._wanted(lease) > self.leased(upstream)
                interval_s = self.retry_s if has_unmet_demand else self.renew_s
                if self.clock.now() - lease.requested_s >= interval_s:
                    self._start_renewal(upstream)

    def _start_renewal(self, upstream: UpstreamId) -> None:
        """Starts a renewal unless one is in flight for the upstream."""
        if self._is_stopped:
            return
        renewal = self._renewals.get(upstream)
        if renewal is None or renewal.done():
            self._renewals[upstream] = asyncio.create_task(
                self._renew(upstream)
            )

    def _wanted(self, lease: _Lease) -> int:
        return max(lease.demand, lease.in_use + len(lease.waiters))

    async def _renew(self, upstream: UpstreamId) -> None:
        lease = self._leases[upstream]
        lease.requested_s = sent_s = self.clock.now()
        held_count = max(lease.in_use, self.leased(upstream))
        wanted = self._wanted(lease)
        if wanted == held_count == 0:
            return
        # Slots that are not wanted are dropped from the lease before the
        # report, so the coordinator can grant them at once.
        lease.count = min(lease.count, wanted)
        if wanted == 0:
            await self._return_slots(upstream, lease)
            return
        grant = await self._request(upstream, lease, wanted)
        if grant is None or grant.for_s <= 0:
            return
        if self.clock.now() >= lease.valid_until_s:
            lease.generation += 1
        if grant.count < lease.count:
            # The coordinator frees the difference with the next report, so the
            # next renewal is due at once.
            lease.requested_s = 0.0
        lease.count = grant.count
        lease.valid_until_s = sent_s + grant.for_s - self.expiry_margin_s
        self._wake_waiters(upstream)

    async def _request(
        self, upstream: UpstreamId, lease: _Lease, wanted: int
    ) -> _slots.SlotGrant | None:
        view = self.view()
        coordinator = _slots.coordinator_of(upstream, view)
        if coordinator is None:
            return None
        message = _slots.SlotRequest(
            upstream=upstream,
            count=wanted,
            view=view.version,
            held=max(lease.in_use, self.leased(upstream)),
            incarnation=self._incarnation,
            sequence=self._next_sequence(),
        )
        try:
            return await self.network.request(
                coordinator, message, timeout_s=REQUEST_TIMEOUT_S
            )
        except peers.PeerError:
            return None

    async def _return_slots(self, upstream: UpstreamId, lease: _Lease) -> None:
        view = self.view()
        coordinator = _slots.coordinator_of(upstream, view)
        if coordinator is None:
            return
        message = _slots.SlotReturn(
            upstream=upstream,
            count=lease.count,
            view=view.version,
            incarnation=self._incarnation,
            sequence=self._next_sequence(),
        )
        try:
            await self.network.request(
                coordinator, message, timeout_s=REQUEST_TIMEOUT_S
            )
        except peers.PeerError:
            return  # The slots become free when their lease expires.

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
