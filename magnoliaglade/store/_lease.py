"""Lease of an instance, to which its registration and its domains are bound."""

import asyncio
import contextlib
import dataclasses
import enum
from collections.abc import Callable
from typing import Any

from magnoliaglade import base
from magnoliaglade import clock as clock_lib
from magnoliaglade.store import _errors
from magnoliaglade.store.base import Store
from magnoliaglade.types import LeaseId

INSTANCE_LEASE_TTL_S = 4.0
INSTANCE_LEASE_RENEW_INTERVAL_S = 1.0
# The holder stops acting this long before the store can expire the lease.
INSTANCE_LEASE_MARGIN_S = 0.5


class LeaseState(enum.Enum):
    """State of the lease on the holder's clock."""

    ABSENT = "absent"
    HELD = "held"
    LAPSED = "lapsed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _GrantedLease:
    lease: LeaseId
    valid_until_s: float


class InstanceLease(base.Component):
    """Acquires and renews one store lease and tracks its validity locally.

    The validity is counted from the time at which a renewal was sent, less a
    margin, so the lease lapses for the holder before it expires in the store.
    An expired lease is replaced by a new one; the keys under the old one have
    been deleted with it.

    Attributes:
        store: the store.
        clock: monotonic clock of the holder.
        ttl_s: time to live of the lease in seconds.
        renew_interval_s: seconds between renewals; also the timeout of a
            renewal and of the revocation.
        margin_s: seconds by which the lease lapses earlier for the holder.
    """

    _parameter_constraints = {
        "ttl_s": [base.Interval(kind=float, low=0, low_open=True)],
        "renew_interval_s": [base.Interval(kind=float, low=0, low_open=True)],
        "margin_s": [base.Interval(kind=float, low=0)],
    }

    def __init__(
        self,
        *,
        store: Store,
        clock: clock_lib.Clock,
        ttl_s: float = INSTANCE_LEASE_TTL_S,
        renew_interval_s: float = INSTANCE_LEASE_RENEW_INTERVAL_S,
        margin_s: float = INSTANCE_LEASE_MARGIN_S,
    ) -> None:
        self.store = store
        self.clock = clock
        self.ttl_s = ttl_s
        self.renew_interval_s = renew_interval_s
        self.margin_s = margin_s
        self._granted: _GrantedLease | None = None
        self._task: asyncio.Task[None] | None = None
        self._listeners: list[Callable[[LeaseId], None]] = []

    @property
    def state(self) -> LeaseState:
        """State of the lease on the holder's clock."""
        if self._granted is None:
            return LeaseState.ABSENT
        if self.clock.now() >= self._granted.valid_until_s:
            return LeaseState.LAPSED
        return LeaseState.HELD

    @property
    def is_valid(self) -> bool:
        """Whether the holder may act under the lease now."""
        return self.state is LeaseState.HELD

    @property
    def lease(self) -> LeaseId | None:
        """Id of the lease, or None if none was granted."""
        return self._granted.lease if self._granted else None

    @property
    def valid_until_s(self) -> float:
        """End of validity on the holder's clock in seconds; 0 if absent."""
        return self._granted.valid_until_s if self._granted else 0.0

    def check(self) -> LeaseId:
        """Returns the lease id if the holder may act.

        Call this after every await that precedes a side effect.

        Raises:
            LeaseLapsedError: there is no lease or it has lapsed.
        """
        if self._granted is None or not self.is_valid:
            raise _errors.LeaseLapsedError(f"lease is {self.state.value}")
        return self._granted.lease

    def on_granted(self, listener: Callable[[LeaseId], None]) -> None:
        """Registers a callback that is called with each new lease.

        The first lease is included.
        """
        self._listeners.append(listener)

    async def start(self) -> None:
        """Tries once to acquire the lease, then renews it in the background."""
        self.validate_params()
        with contextlib.suppress(_errors.StoreError):
            await self.renew_once()
        self._task = asyncio.create_task(self._renew_forever())

    async def stop(self) -> None:
        """Stops renewing and revokes the lease if the store responds."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        granted, self._granted = self._granted, None
        if granted is None:
            return
        with contextlib.suppress(_errors.StoreError, TimeoutError):
            await self.clock.wait_for(
                self.store.revoke_lease(granted.lease), self.renew_interval_s
            )

    def dump(self) -> dict[str, Any]:
        """Returns the id, the state and the remaining validity in seconds."""
        remaining_s = max(0.0, self.valid_until_s - self.clock.now())
        return {
            "lease": self.lease,
            "state": self.state.value,
            "remaining_s": round(remaining_s, 3),
        }

    async def renew_once(self) -> None:
        """Renews the lease, or acquires a new one if it has ended.

        Raises:
            StoreError: the store did not confirm the renewal.
        """
        if self._granted is None:
            await self._acquire()
            return
        sent_s = self.clock.now()
        try:
            await self.store.renew_lease(self._granted.lease)
        except _errors.LeaseLostError:
            await self._acquire()
            return
        self._granted = _GrantedLease(
            lease=self._granted.lease, valid_until_s=self._valid_until(sent_s)
        )

    async def _acquire(self) -> None:
        sent_s = self.clock.now()
        lease = await self.store.grant_lease(self.ttl_s)
        self._granted = _GrantedLease(
            lease=lease, valid_until_s=self._valid_until(sent_s)
        )
        for listener in self._listeners:
            listener(lease)

    def _valid_until(self, sent_s: float) -> float:
        return sent_s + self.ttl_s - self.margin_s

    async def _renew_forever(self) -> None:
        while True:
            await self.clock.sleep(self.renew_interval_s)
            with contextlib.suppress(_errors.StoreError, TimeoutError):
                await self.clock.wait_for(
                    self.renew_once(), self.renew_interval_s
                )
