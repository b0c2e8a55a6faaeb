"""Stores the progress of jobs before the coordinator acts on it.

Group commit: one transaction at a time carries all jobs that have changed. Each
is conditional on the coordinator's key, so a replaced coordinator writes
nothing, and on the record's last revision, so a write whose answer was lost
cannot undo a later one.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from magnoliaglade import clock as clock_lib
from magnoliaglade import exceptions, observability, store

# Entries of a transaction: two for each record, one for the guard.
MAX_ENTRIES = 32
RECORDS_PER_TRANSACTION = (MAX_ENTRIES - 2) // 2
# Values of a transaction, in bytes, unless one record alone is larger. More do
# not reach the store within a call's timeout over the link of a small instance.
TRANSACTION_BYTES = 65_536
# Pause after a call that the store refused.
RETRY_S = 0.1


class CoordinatorLostError(exceptions.MagnoliagladeError):
    """Another instance has become the coordinator."""


class Journal:
    """Writes records by key under a guard.

    Attributes:
        store: the platform's key-value service.
        clock: source of time.
        guard: key and revision that every write depends on.
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
        self._changes = itertools.count(1)
        self._last_change = 0
        self._stored_change = 0
        self._wake = asyncio.Event()
        self._stored = asyncio.Event()
        self.transactions = 0

    @property
    def position(self) -> int:
        """Number of the last change that was handed over."""
        return self._last_change

    @property
    def stored_position(self) -> int:
        """Number of the last change that is stored, with all before it."""
        return self._stored_change

    @property
    def is_idle(self) -> bool:
        """Whether everything is stored."""
        return self._stored_change == self._last_change

    def load(self, revisions: Mapping[str, int]) -> None:
        """Takes over the revisions of records that exist."""
        self._revisions.update(revisions)

    def write(self, key: str, encode: Callable[[], bytes | None]) -> int:
        """Hands over a record and returns the number of the change.

        Args:
            key: key of the record.
            encode: returns the record as it is when it is written; None
                deletes it.
        """
        self._dirty[key] = encode
        self._last_change = next(self._changes)
        self._wake.set()
        return self._last_change

    async def wait_stored(
        self, position: int, *, timeout_s: float | None = None
    ) -> bool:
        """Waits until a change is stored; returns False on timeout."""
        deadline_s = None
        if timeout_s is not None:
            deadline_s = self.clock.now() + timeout_s
        while self._stored_change < position:
            if deadline_s is None:
                await self._stored.wait()
                continue
            remaining_s = deadline_s - self.clock.now()
            if remaining_s <= 0:
                return False
            try:
                await self.clock.wait_for(self._stored.wait(), remaining_s)
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
                await self.clock.sleep(RETRY_S)

    def dump(self) -> dict[str, Any]:
        """Returns how much waits to be stored."""
        return {
            "waiting": len(self._dirty),
            "transactions": self.transactions,
        }

    async def _write_all(self) -> None:
        position = self._last_change
        waiting = list(self._dirty)
        while waiting:
            written = await self._write_batch(waiting[:RECORDS_PER_TRANSACTION])
            waiting = waiting[written:]
        self._stored_change = position
        stored, self._stored = self._stored, asyncio.Event()
        stored.set()

    async def _write_batch(self, keys: list[str]) -> int:
        """Writes the first of some records; returns how many."""
        await self._resolve(k for k in keys if k in self._uncertain)
        encoders = {k: self._dirty[k] for k in keys}
        values = _encode_some(encoders)
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
            self._adopt({k: error.entries.get(k) for k in keys})
            raise store.StoreOutcomeUnknownError(
                "records had changed"
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

    async def _resolve(self, keys: Iterable[str]) -> None:
        """Reads records whose last write got no answer."""
        for key in list(keys):
            self._adopt({key: await self.store.get(key)})

    def _adopt(self, entries: Mapping[str, store.Entry | None]) -> None:
        for key, entry in entries.items():
            self._revisions[key] = entry.revision if entry else 0
            self._uncertain.discard(key)

    def _check_guard(self, entry: store.Entry | None) -> None:
        if entry is None or entry.revision != self.guard[1]:
            raise CoordinatorLostError("the coordinator's key has changed")


def _encode_some(
    encoders: Mapping[str, Callable[[], bytes | None]],
) -> dict[str, bytes | None]:
    """Encodes records in turn, up to the size of a transaction."""
    values: dict[str, bytes | None] = {}
    size = 0
    for key, encode in encoders.items():
        value = encode()
        size += len(value or b"")
        if values and size > TRANSACTION_BYTES:
            break
        values[key] = value
    return values
