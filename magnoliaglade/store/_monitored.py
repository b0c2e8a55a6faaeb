"""Store wrapper that tracks whether the store responds."""

from typing import Any

from magnoliaglade import clock as clock_lib
from magnoliaglade.store import _errors
from magnoliaglade.store.base import Entry, Event, TransactionalStore
from magnoliaglade.types import LeaseId

# The store counts as unreachable this long after its last response. The
# instance lease is renewed every second, so this corresponds to two failed
# renewals and their timeouts.
REACHABLE_TIMEOUT_S = 2.5
# An outage is assumed after this many consecutive failed calls over this time;
# a single lost response is not an outage.
OUTAGE_MIN_FAILURES = 2
OUTAGE_MIN_DURATION_S = 0.3


class MonitoredStore:
    """Delegates every call and records when the store last responded.

    Attributes:
        store: the wrapped store.
        clock: the clock.
        calls: number of calls.
        writes: number of calls that write, renewals of leases included.
        failures: number of calls without a response.
    """

    def __init__(
        self, *, store: TransactionalStore, clock: clock_lib.Clock
    ) -> None:
        self.store = store
        self.clock = clock
        self.calls = 0
        self.writes = 0
        self.failures = 0
        self._last_response_s = float("-inf")
        self._consecutive_failures = 0
        self._failing_since_s = float("inf")

    @property
    def outage_s(self) -> float:
        """Seconds for which all calls have failed; 0 if there is no outage."""
        failing_s = self.clock.now() - self._failing_since_s
        if (
            self._consecutive_failures < OUTAGE_MIN_FAILURES
            or failing_s < OUTAGE_MIN_DURATION_S
        ):
            return 0.0
        return failing_s

    @property
    def is_reachable(self) -> bool:
        """Whether the store responded in the last `REACHABLE_TIMEOUT_S`."""
        return self.clock.now() - self._last_response_s <= REACHABLE_TIMEOUT_S

    def counts(self) -> dict[str, int]:
        """Returns the numbers of calls, writes and unanswered calls."""
        return {
            "calls": self.calls,
            "writes": self.writes,
            "failures": self.failures,
        }

    def dump(self) -> dict[str, Any]:
        """Returns reachability and call counts."""
        return {"reachable": self.is_reachable, **self.counts()}

    async def get(self, key: str) -> Entry | None:
        """See `Store.get`."""
        return await self._track_call(self.store.get(key))

    async def list_prefix(self, prefix: str) -> tuple[list[Entry], int]:
        """See `Store.list_prefix`."""
        return await self._track_call(self.store.list_prefix(prefix))

    async def put(self, key: str, value: bytes, **options: Any) -> int:
        """See `Store.put`."""
        self.writes += 1
        return await self._track_call(self.store.put(key, value, **options))

    async def delete(self, key: str, **options: Any) -> None:
        """See `Store.delete`."""
        self.writes += 1
        await self._track_call(self.store.delete(key, **options))

    async def transact(self, **options: Any) -> int:
        """See `TransactionalStore.transact`."""
        self.writes += 1
        return await self._track_call(self.store.transact(**options))

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """See `Store.grant_lease`."""
        self.writes += 1
        return await self._track_call(self.store.grant_lease(ttl_s))

    async def renew_lease(self, lease: LeaseId) -> None:
        """See `Store.renew_lease`."""
        self.writes += 1
        await self._track_call(self.store.renew_lease(lease))

    async def revoke_lease(self, lease: LeaseId) -> None:
        """See `Store.revoke_lease`."""
        self.writes += 1
        await self._track_call(self.store.revoke_lease(lease))

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> list[Event]:
        """See `Store.watch`."""
        return await self._track_call(
            self.store.watch(prefix, after=after, wait_s=wait_s)
        )

    async def _track_call(self, call: Any) -> Any:
        self.calls += 1
        try:
            result = await call
        except (
            _errors.StoreUnavailableError,
            _errors.StoreOutcomeUnknownError,
        ):
            self._record_failure()
            raise
        except _errors.StoreError:
            # A conflict or a lost lease is a response.
            self._record_response()
            raise
        self._record_response()
        return result

    def _record_response(self) -> None:
        self._last_response_s = self.clock.now()
        self._consecutive_failures = 0
        self._failing_since_s = float("inf")

    def _record_failure(self) -> None:
        self.failures += 1
        self._consecutive_failures += 1
        self._failing_since_s = min(self._failing_since_s, self.clock.now())
