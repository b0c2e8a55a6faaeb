"""Batches, snapshots and pending appends of a log."""

import asyncio
import dataclasses
import enum
import itertools
from typing import Any

from magnoliaglade.store import _errors, _stamped
from magnoliaglade.store.base import MAX_VALUE_BYTES, Entry

# Room for the stamp and the encoding overhead of a batch.
BATCH_BYTES = MAX_VALUE_BYTES - 4096


class BatchKind(enum.Enum):
    """What a slot holds."""

    OPEN = "open"
    RECORDS = "records"


@dataclasses.dataclass(kw_only=True)
class Pending:
    """A record whose append has not ended."""

    record: bytes
    done: "asyncio.Future[int]"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Batch:
    """The content of a slot that is being written."""

    stamp: _stamped.Stamp
    body: list[Any]
    pending: list[Pending]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """Position and chunks of the current snapshot."""

    snapshot_slot: int
    chunk_keys: tuple[str, ...]
    revision: int


def contiguous(entries: list[Entry], first: int, key_of: Any) -> list[Entry]:
    """Returns the entries from slot `first` up to the first missing one."""
    by_key = {e.key: e for e in entries}
    found = []
    for slot in itertools.count(first):
        entry = by_key.get(key_of(slot))
        if entry is None:
            return found
        found.append(entry)
    return found


def split_chunks(records: list[bytes]) -> list[list[bytes]]:
    """Distributes records over values that the store accepts."""
    chunks: list[list[bytes]] = []
    size = BATCH_BYTES
    for record in records:
        if size + len(record) + 8 > BATCH_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(record)
        size += len(record) + 8
    return chunks


def succeed(pending: list[Pending], slot: int) -> None:
    """Ends appends with the slot that holds them."""
    for item in pending:
        if not item.done.done():
            item.done.set_result(slot)


def fail(pending: list[Pending], error: _errors.StoreError) -> None:
    """Ends appends with an error."""
    for item in pending:
        if not item.done.done():
            item.done.set_exception(error)
            # A caller that was cancelled never retrieves the exception.
            item.done.exception()
