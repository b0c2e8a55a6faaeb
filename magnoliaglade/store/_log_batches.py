"""Batches, snapshots and pending appends of a log."""

import asyncio
import dataclasses
import enum
import itertools
from typing import Any

from magnoliaglade.store import _errors, _stamped
from magnoliaglade.store.base import MAX_VALUE_BYTES, Entry

# 4096 bytes are reserved for the stamp and the encoding overhead of a batch.
MAX_BATCH_BYTES = MAX_VALUE_BYTES - 4096


class BatchKind(enum.Enum):
    """Kind of the batch in a slot."""

    OPEN = "open"
    RECORDS = "records"


@dataclasses.dataclass(kw_only=True)
class PendingAppend:
    """A record whose append has not completed.

    Attributes:
        record: the record.
        future: completes with the slot of the record, or with an error.
    """

    record: bytes
    future: "asyncio.Future[int]"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Batch:
    """A batch that is being written to a slot."""

    stamp: _stamped.Stamp
    body: list[Any]
    pending: list[PendingAppend]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """Position and chunks of the current snapshot.

    Attributes:
        snapshot_slot: first slot that the snapshot does not include.
        chunk_keys: keys of the snapshot's chunks in order.
        revision: revision of the head's key; 0 if there is no head.
    """

    snapshot_slot: int
    chunk_keys: tuple[str, ...]
    revision: int


def contiguous_entries(
    entries: list[Entry], first: int, key_of: Any
) -> list[Entry]:
    """Returns the entries from slot `first` up to the first missing slot."""
    by_key = {e.key: e for e in entries}
    found = []
    for slot in itertools.count(first):
        entry = by_key.get(key_of(slot))
        if entry is None:
            return found
        found.append(entry)
    return found


def split_chunks(records: list[bytes]) -> list[list[bytes]]:
    """Splits records into chunks that fit into one value of the store."""
    chunks: list[list[bytes]] = []
    size = MAX_BATCH_BYTES
    for record in records:
        if size + len(record) + 8 > MAX_BATCH_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(record)
        size += len(record) + 8
    return chunks


def complete_appends(pending: list[PendingAppend], slot: int) -> None:
    """Completes appends with the slot that contains their records."""
    for item in pending:
        if not item.future.done():
            item.future.set_result(slot)


def fail_appends(
    pending: list[PendingAppend], error: _errors.StoreError
) -> None:
    """Completes appends with an error."""
    for item in pending:
        if not item.future.done():
            item.future.set_exception(error)
            # Marks the exception as retrieved: a caller that was cancelled
            # never retrieves it.
            item.future.exception()
