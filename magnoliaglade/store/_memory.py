"""Key-value service in memory, used in tests and by the stand-in server."""

import asyncio
import collections
import itertools
from collections.abc import Iterable, Mapping, Sequence

from magnoliaglade import clock as clock_lib
from magnoliaglade.store import _errors
from magnoliaglade.store.base import (
    MAX_VALUE_BYTES,
    Entry,
    Event,
    EventKind,
    Put,
)
from magnoliaglade.types import LeaseId

# Number of changes kept for watches that continue after an interruption.
_MAX_HISTORY_EVENTS = 10_000


class InMemoryStore:
    """Implements the whole store interface; leases expire by the given clock.

    Attributes:
        clock: clock of leases and watches.
        call_counts: number of calls by method name.
    """

    def __init__(self, *, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self._entries: dict[str, Entry] = {}
        self._revision = 0
        self._leases: dict[LeaseId, tuple[float, float]] = {}
        self._lease_ids = itertools.count(1)
        self._history: collections.deque[Event] = collections.deque(
            maxlen=_MAX_HISTORY_EVENTS
        )
        self._changed = asyncio.Event()
        self._is_closed = False
        self.call_counts: collections.Counter[str] = collections.Counter()

    @property
    def revision(self) -> int:
        """Revision of the last write."""
        return self._revision

    async def get(self, key: str) -> Entry | None:
        """See `Store.get`."""
        self._begin_call("get")
        return self._entries.get(key)

    async def list_prefix(self, prefix: str) -> tuple[list[Entry], int]:
        """See `Store.list_prefix`."""
        self._begin_call("list_prefix")
        keys = sorted(k for k in self._entries if k.startswith(prefix))
        return [self._entries[k] for k in keys], self._revision

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected: int | None = None,
        lease: LeaseId | None = None,
    ) -> int:
        """See `Store.put`."""
        self._begin_call("put")
        if len(value) > MAX_VALUE_BYTES:
            raise _errors.StoreError(
                f"{key}: value of {len(value)} bytes exceeds the maximum size"
            )
        if lease is not None and lease not in self._leases:
            raise _errors.LeaseLostError(str(lease))
        self._check_expected(key, expected)
        self._revision += 1
        self._entries[key] = Entry(
            key=key, value=value, revision=self._revision, lease=lease
        )
        self._publish(EventKind.PUT, key, value)
        return self._revision

    async def delete(self, key: str, *, expected: int | None = None) -> None:
        """See `Store.delete`."""
        self._begin_call("delete")
        self._check_expected(key, expected)
        self._remove([key])

    async def transact(
        self,
        *,
        expected: Mapping[str, int],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> int:
        """See `TransactionalStore.transact`."""
        self._begin_call("transact")
        current = {k: self._entries.get(k) for k in expected}
        revisions = {k: e.revision if e else 0 for k, e in current.items()}
        if revisions != dict(expected):
            raise _errors.TransactionConflictError(entries=current)
        for put in puts:
            if put.lease is not None and put.lease not in self._leases:
                raise _errors.LeaseLostError(str(put.lease))
        self._revision += 1
        for put in puts:
            self._entries[put.key] = Entry(
                key=put.key,
                value=put.value,
                revision=self._revision,
                lease=put.lease,
            )
            self._publish(EventKind.PUT, put.key, put.value)
        for key in deletes:
            if self._entries.pop(key, None) is not None:
                self._publish(EventKind.DELETE, key, b"")
        return self._revision

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """See `Store.grant_lease`."""
        self._begin_call("grant_lease")
        lease = LeaseId(f"lease-{next(self._lease_ids)}")
        self._leases[lease] = (self.clock.now() + ttl_s, ttl_s)
        return lease

    async def renew_lease(self, lease: LeaseId) -> None:
        """See `Store.renew_lease`."""
        self._begin_call("renew_lease")
        if lease not in self._leases:
            raise _errors.LeaseLostError(str(lease))
        _, ttl_s = self._leases[lease]
        self._leases[lease] = (self.clock.now() + ttl_s, ttl_s)

    async def revoke_lease(self, lease: LeaseId) -> None:
        """See `Store.revoke_lease`."""
        self._begin_call("revoke_lease")
        self._end_lease(lease)

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> list[Event]:
        """See `Store.watch`."""
        self._begin_call("watch")
        deadline_s = self.clock.now() + wait_s
        while True:
            events = [
                e
                for e in self._history
                if e.revision > after and e.key.startswith(prefix)
            ]
            remaining_s = deadline_s - self.clock.now()
            if events or remaining_s <= 0 or self._is_closed:
                return events
            try:
                await self.clock.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                return []

    def close(self) -> None:
        """Ends all waiting watches; later watches return immediately."""
        self._is_closed = True
        self._changed.set()

    def expire_leases(self) -> None:
        """Ends every lease whose TTL has passed without renewal."""
        now = self.clock.now()
        expired = [
            x for x, (ends_at_s, _) in self._leases.items() if ends_at_s <= now
        ]
        for lease in expired:
            self._end_lease(lease)

    def _begin_call(self, call: str) -> None:
        self.call_counts[call] += 1
        self.expire_leases()

    def _check_expected(self, key: str, expected: int | None) -> None:
        if expected is None:
            return
        entry = self._entries.get(key)
        actual = entry.revision if entry else 0
        if actual != expected:
            raise _errors.ConflictError(
                key=key, expected=expected, actual=actual
            )

    def _end_lease(self, lease: LeaseId) -> None:
        if self._leases.pop(lease, None) is None:
            return
        self._remove([k for k, e in self._entries.items() if e.lease == lease])

    def _remove(self, keys: Iterable[str]) -> None:
        for key in keys:
            if self._entries.pop(key, None) is None:
                continue
            self._revision += 1
            self._publish(EventKind.DELETE, key, b"")

    def _publish(self, kind: EventKind, key: str, value: bytes) -> None:
        self._history.append(
            Event(kind=kind, key=key, revision=self._revision, value=value)
        )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
