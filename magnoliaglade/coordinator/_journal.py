"""Stores the progress of jobs before the coordinator acts on it.

Group commit: one transaction at a time carries all jobs that have changed. Each
is conditional on the coordinator's key, so a replaced coordinator writes
nothing, and on the last revision of each record, so a write whose answer was
lost cannot overwrite a later one.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from magnoliaglade import clock as clock_lib
from magnoliaglade import exceptions, observability, store

# Limit on the entries of a transaction: two for each record, one for the guard.
MAX_TRANSACTION_ENTRIES = 32
MAX_TRANSACTION_RECORDS = (MAX_TRANSACTION_ENTRIES - 2) // 2
# Limit on the values of a transaction, in bytes, unless one record alone is
# larger. A larger transaction does not reach the store within the timeout of a
# call over the network link of a small instance.
MAX_TRANSACTION_BYTES = 65_536
# Delay before a call that the store refused is retried, in seconds.
RETRY_DELAY_S = 0.1


class CoordinatorLostError(exceptions.MagnoliagladeError):
    """Another instance has become the coordinator."""


class Journal:
    """Writes records on the condition that a guard key is unchanged.

    Attributes:
        store: the platform's key-value service.
        clock: source of time.
        guard: key and revision that every write is conditional on.
        transactions: number of transactions that were tried.
    """

    def __init__(
        self,
        *,
        store: store.TransactionalStore,
        clock: clock_lib.Clock,
        guard: tuple[str, int],
    ) -> None:
        self.store = store
        self.clock = clock
        self.guard = guard
        self._revisions: dict[str, int] = {}
        self._dirty: dict[str, Callable[[], bytes | None]] = {}
        self._uncertain: set[str] = set()
        self._positions = itertools.count(1)
        self._last_position = 0
        self._stored_position = 0
        self._wake = asyncio.Event()
        self._stored_event = asyncio.Event()
        self.transactions = 0

    @property
    def position(self) -> int:
        """Number of the last change that was queued."""
        return self._last_position

    @property
    def stored_position(self) -> int:
        """Number of the last change up to which all changes are stored."""
        return self._stored_position

    @property
    def is_idle(self) -> bool:
        """Whether all changes are stored."""
        return self._stored_position == self._last_position

    def load(self, revisions: Mapping[str, int]) -> None:
        """Sets the revisions of records that exist in the store."""
        self._revisions.update(revisions)

    def write(self, key: str, encode: Callable[[], bytes | None]) -> int:
        """Queues a record for writing and returns the number of the change.

        Args:
            key: key of the record.
            encode: called when the record is written; returns its value, or
                None to delete it.
        """
        self._dirty[key] = encode
        self._last_position = next(self._positions)
        self._wake.set()
        return self._last_position

    async def wait_stored(
        self, position: int, *, timeout_s: float | None = None
    ) -> bool:
        """Waits until a change is stored; returns False on timeout."""
        deadline_s = None
        if timeout_s is not None:
            deadline_s = self.clock.now() + timeout_s
        while self._stored_position < position:
            if deadline_s is None:
                await self._stored_event.wait()
                continue
            remaining_s = deadline_s - self.clock.now()
            if remaining_s <= 0:
                return False
            try:
                await self.clock.wait_for(
                    self._stored_event.wait(), remaining_s
                )
            except TimeoutError:
                return False
        return True

    async def run(self) -> None:
        """Writes changes until cancelled.

        Raises:
            CoordinatorLostError: the guard no longer holds.
        """
        while True:
            while not self._dirty:
                self._wake.clear()
                await self._wake.wait()
            try:
                await self._write_all()
            except store.StoreOutcomeUnknownError:
                await self.clock.sleep(0)
            except store.StoreError as error:
                observability.log_event(
                    "journal", outcome="not stored", reason=str(error)
                )
                await self.clock.sleep(RETRY_DELAY_S)

    def dump(self) -> dict[str, Any]:
        """Returns the number of pending records and of transactions."""
        return {
            "waiting": len(self._dirty),
            "transactions": self.transactions,
        }

    async def _write_all(self) -> None:
        position = self._last_position
        pending = list(self._dirty)
        while pending:
            written = await self._write_batch(pending[:MAX_TRANSACTION_RECORDS])
            pending = pending[written:]
        self._stored_position = position
        stored_event, self._stored_event = self._stored_event, asyncio.Event()
        stored_event.set()

    async def _write_batch(self, keys: list[str]) -> int:
        """Writes the first records in one transaction; returns their number."""
        await self._reread_uncertain(k for k in keys if k in self._uncertain)
        encoders = {k: self._dirty[k] for k in keys}
        values = _encode_batch(encoders)
        keys = list(values)
        guard_key, guard_revision = self.guard
        expected = {k: self._revisions.get(k, 0) for k in keys}
        puts = [
            store.Put(key=k, value=v)
            for k, v in values.items()
            if v is not None
        ]
        deletes = [k for k, v in values.items() if v is None]
        self.transactions += 1
        try:
            revision = await self.store.transact(
                expected={guard_key: guard_revision, **expected},
                puts=puts,
                deletes=deletes,
            )
        except store.TransactionConflictError as error:
            self._check_guard(error.entries.get(guard_key))
            self._update_revisions({k: error.entries.get(k) for k in keys})
            raise store.StoreOutcomeUnknownError(
                "revisions of records did not match"
            ) from error
        except store.StoreOutcomeUnknownError:
            self._uncertain.update(keys)
            raise
        self._revisions.update({p.key: revision for p in puts})
        for key in deletes:
            self._revisions.pop(key, None)
        for key in keys:
            if self._dirty.get(key) is encoders[key]:
                del self._dirty[key]
        return len(keys)

    async def _reread_uncertain(self, keys: Iterable[str]) -> None:
        """Reads the revisions of records whose last write got no answer."""
        for key in list(keys):
            self._update_revisions({key: await self.store.get(key)})

    def _update_revisions(
        self, entries: Mapping[str, store.Entry | None]
    ) -> None:
        for key, entry in entries.items():
            self._revisions[key] = entry.revision if entry else 0
            self._uncertain.discard(key)

    def _check_guard(self, entry: store.Entry | None) -> None:
        if entry is None or entry.revision != self.guard[1]:
            raise CoordinatorLostError(
                "the coordinator's key was deleted or has another revision"
            )


def _encode_batch(
    encoders: Mapping[str, Callable[[], bytes | None]],
) -> dict[str, bytes | None]:
    """Encodes records in order, up to the size limit of a transaction."""
    values: dict[str, bytes | None] = {}
    size_bytes = 0
    for key, encode in encoders.items():
        value = encode()
        size_bytes += len(value or b"")
        if values and size_bytes > MAX_TRANSACTION_BYTES:
            break
        values[key] = value
    return values
