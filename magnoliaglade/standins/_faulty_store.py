"""Store wrapper that brings about the store's failures."""

import collections
import contextlib
from typing import Any

from magnoliaglade import clock as clock_lib
from magnoliaglade import store as store_lib

_WRITES = frozenset(
    {"put", "delete", "transact", "grant_lease", "revoke_lease"}
)


class FaultyStore:
    """Delegates to a store, with outages, delays and lost answers.

    Attributes:
        is_down: every call is refused and nothing happens.
        delay_s: time before each call is carried out.
        lost_answers: number of coming writes that take effect and then raise
            `StoreOutcomeUnknownError`.
        lost_requests: number of coming writes that raise
            `StoreOutcomeUnknownError` and have no effect.
        defers_writes: writes raise `StoreOutcomeUnknownError` and wait for
            `deliver_deferred`.
        withholds_changes: watches return nothing until their wait is over.
        call_counts: calls by method name, refused ones included.
    """

    def __init__(
        self, *, store: store_lib.Store, clock: clock_lib.Clock
    ) -> None:
        self.store = store
        self.clock = clock
        self.is_down = False
        self.delay_s = 0.0
        self.lost_answers = 0
        self.lost_requests = 0
        self.defers_writes = False
        self.withholds_changes = False
        self._deferred: list[tuple[str, Any, Any]] = []
        self.call_counts: collections.Counter[str] = collections.Counter()

    async def get(self, key: str) -> store_lib.Entry | None:
        """See `Store.get`."""
        return await self._call("get", key)

    async def list_prefix(self, prefix: str) -> Any:
        """See `Store.list_prefix`."""
        return await self._call("list_prefix", prefix)

    async def put(self, key: str, value: bytes, **options: Any) -> int:
        """See `Store.put`."""
        return await self._call("put", key, value, **options)

    async def delete(self, key: str, **options: Any) -> None:
        """See `Store.delete`."""
        await self._call("delete", key, **options)

    async def transact(self, **options: Any) -> int:
        """See `TransactionalStore.transact`."""
        return await self._call("transact", **options)

    async def deliver_deferred(self) -> None:
        """Carries out deferred writes whose conditions still hold."""
        writes, self._deferred = self._deferred, []
        for name, args, options in writes:
            with contextlib.suppress(store_lib.StoreError):
                await getattr(self.store, name)(*args, **options)

    async def grant_lease(self, ttl_s: float) -> Any:
        """See `Store.grant_lease`."""
        return await self._call("grant_lease", ttl_s)

    async def renew_lease(self, lease: Any) -> None:
        """See `Store.renew_lease`."""
        await self._call("renew_lease", lease)

    async def revoke_lease(self, lease: Any) -> None:
        """See `Store.revoke_lease`."""
        await self._call("revoke_lease", lease)

    async def watch(self, prefix: str, **options: Any) -> Any:
        """See `Store.watch`."""
        if self.withholds_changes:
            await self.clock.sleep(options["wait_s"])
            return []
        return await self._call("watch", prefix, **options)

    async def _call(self, name: str, *args: Any, **options: Any) -> Any:
        self.call_counts[name] += 1
        if self.is_down:
            raise store_lib.StoreUnavailableError("store is down")
        if self.delay_s:
            await self.clock.sleep(self.delay_s)
        if name in _WRITES and self.defers_writes:
            self._deferred.append((name, args, options))
            raise store_lib.StoreOutcomeUnknownError("deferred")
        if name in _WRITES and self.lost_requests > 0:
            self.lost_requests -= 1
            raise store_lib.StoreOutcomeUnknownError("request lost")
        result = await getattr(self.store, name)(*args, **options)
        if name in _WRITES and self.lost_answers > 0:
            self.lost_answers -= 1
            raise store_lib.StoreOutcomeUnknownError("answer lost")
        return result
