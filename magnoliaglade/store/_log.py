"""A log of records with one writer at a time, kept in the store.

Slots are keys that are only ever created, so each slot has exactly one batch.
A new owner closes its predecessor's log by creating an `open` batch in the
first free slot; the predecessor's next create then conflicts, which fences it
without any clock. The closing procedure follows the ledgers of BookKeeper.
"""

import asyncio
import dataclasses
import enum
import itertools
from typing import Any

import msgpack

from magnoliaglade import clock as clock_lib
from magnoliaglade.store import _errors, _stamped
from magnoliaglade.store.base import MAX_VALUE_BYTES, Entry, Store
from magnoliaglade.types import Epoch, InstanceId

# Room for the stamp and the encoding overhead of a batch.
_BATCH_BYTES = MAX_VALUE_BYTES - 4096
# Compacted slots are deleted only after every earlier writer's lease and any
# write of it that was delayed on the network have long ended.
SLOT_RETENTION_S = 600.0
# Pause before an append with an unknown outcome is resolved again.
_RESOLVE_PAUSE_S = 0.2


class BatchKind(enum.Enum):
    """What a slot holds."""

    OPEN = "open"
    RECORDS = "records"


@dataclasses.dataclass(kw_only=True)
class _Pending:
    record: bytes
    done: "asyncio.Future[int]"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Batch:
    stamp: _stamped.Stamp
    body: list[Any]
    pending: list[_Pending]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Head:
    snapshot_slot: int
    chunks: int
    revision: int


class SingleWriterLog:
    """Appends records in batches, with one write in flight.

    An append whose write has an unknown outcome raises `StoreUnknownError`;
    the log resolves that slot before it writes another one, so the order of
    records never depends on it. Records of an unresolved batch may be in the
    log and are returned by a later `open`.
    """

    def __init__(
        self,
        *,
        store: Store,
        clock: clock_lib.Clock,
        name: str,
        writer: InstanceId,
        epoch: Epoch,
        flush_s: float = 0.0,
    ) -> None:
        self.store = store
        self.clock = clock
        self.name = name
        self.writer = writer
        self.epoch = epoch
        self.flush_s = flush_s
        self._stamped = _stamped.StampedWriter(
            store=store, writer=f"{writer}/{epoch}"
        )
        self._next_slot = 0
        self._queue: list[_Pending] = []
        self._unresolved: _Batch | None = None
        self._flusher: asyncio.Task[None] | None = None
        self._last_write_s = float("-inf")
        self._failure: _errors.StoreError | None = None
        self._retired: list[tuple[float, list[str]]] = []

    @property
    def next_slot(self) -> int:
        """Slot of the next batch."""
        return self._next_slot

    @property
    def is_fenced(self) -> bool:
        """Whether another writer has opened the log."""
        return isinstance(self._failure, _errors.LogFencedError)

    async def open(self) -> list[bytes]:
        """Closes the predecessor's log and returns all records in order.

        Raises:
            LogFencedError: a writer of a higher epoch has opened the log.
            StoreError: the store did not answer; call `open` again.
        """
        head = await self._read_head()
        records = await self._read_snapshot(head)
        slot = head.snapshot_slot
        stamp = self._stamped.next_stamp()
        body = [BatchKind.OPEN.value, self.epoch, []]
        existing = await self._read_slots(slot)
        while True:
            for entry in existing:
                records.extend(self._decode(entry))
                slot += 1
            try:
                await self._stamped.put(
                    self._slot_key(slot), body, expected=0, stamp=stamp
                )
                self._next_slot = slot + 1
                return records
            except _errors.ConflictError:
                existing = await self._read_slots(slot)

    async def append(self, record: bytes) -> int:
        """Stores one record and returns its slot.

        Raises:
            LogFencedError: another writer owns the log; nothing was written.
            LogUnavailableError: the record is known not to be in the log.
            StoreUnknownError: the record may be in the log.
            StoreError: the record is too large.
        """
        if len(record) > _BATCH_BYTES:
            raise _errors.StoreError(f"record of {len(record)} bytes")
        if self._failure is not None:
            raise self._failure
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._queue.append(_Pending(record=record, done=future))
        if self._flusher is None or self._flusher.done():
            self._flusher = asyncio.create_task(self._flush())
        return await asyncio.shield(future)

    async def compact(self, records: list[bytes]) -> None:
        """Replaces everything up to the last written slot by `records`.

        Call it with the records that reproduce the owner's state, while no
        append is in flight; appends that follow come after the snapshot.

        Raises:
            LogFencedError: another writer has compacted the log.
            StoreError: the store did not answer; the old records stay.
        """
        head = await self._read_head()
        slot = self._next_slot
        chunks = _split_chunks(records)
        for index, chunk in enumerate(chunks):
            await self.store.put(
                self._chunk_key(slot, index), msgpack.packb(chunk)
            )
        stamp = self._stamped.next_stamp()
        try:
            await self._stamped.put(
                self._head_key(),
                [slot, len(chunks)],
                expected=head.revision,
                stamp=stamp,
            )
        except _errors.ConflictError as error:
            raise _errors.LogFencedError(self.name) from error
        self._retire(head, slot)
        await self._delete_retired()

    async def close(self) -> None:
        """Writes what is queued, then refuses further appends."""
        if self._flusher is not None:
            await asyncio.gather(self._flusher, return_exceptions=True)
        if self._failure is None:
            self._failure = _errors.LogUnavailableError(f"{self.name}: closed")

    async def _flush(self) -> None:
        while self._queue and self._failure is None:
            await self._wait_for_batch()
            if not await self._resolve():
                self._fail_queue(
                    _errors.LogUnavailableError(f"{self.name}: store is out")
                )
                return
            await self._write_batch()
        if self._failure is not None:
            self._fail_queue(self._failure)

    async def _wait_for_batch(self) -> None:
        due_s = self._last_write_s + self.flush_s - self.clock.now()
        if due_s > 0:
            await self.clock.sleep(due_s)
        self._last_write_s = self.clock.now()

    async def _write_batch(self) -> None:
        pending = self._take_batch()
        body = [
            BatchKind.RECORDS.value,
            self.epoch,
            [p.record for p in pending],
        ]
        batch = _Batch(
            stamp=self._stamped.next_stamp(), body=body, pending=pending
        )
        await self._put(batch)

    async def _put(self, batch: _Batch) -> None:
        slot = self._next_slot
        try:
            await self._stamped.put(
                self._slot_key(slot), batch.body, expected=0, stamp=batch.stamp
            )
        except _errors.ConflictError:
            self._failure = _errors.LogFencedError(
                f"{self.name}: slot {slot} holds another writer's batch"
            )
            _fail(batch.pending, self._failure)
        except _errors.StoreUnavailableError as error:
            _fail(
                batch.pending,
                _errors.LogUnavailableError(f"{self.name}: {error}"),
            )
        except _errors.StoreError as error:
            _fail(batch.pending, _errors.StoreUnknownError(str(error)))
            self._unresolved = batch
        else:
            self._next_slot = slot + 1
            _succeed(batch.pending, slot)

    async def _resolve(self) -> bool:
        """Finishes a batch of unknown outcome; tells whether that is done."""
        batch = self._unresolved
        if batch is None:
            return True
        self._unresolved = None
        resolved = await self._put_again(batch)
        if not resolved:
            self._unresolved = batch
        return resolved

    async def _put_again(self, batch: _Batch) -> bool:
        slot = self._next_slot
        try:
            await self._stamped.put(
                self._slot_key(slot), batch.body, expected=0, stamp=batch.stamp
            )
        except _errors.ConflictError:
            self._failure = _errors.LogFencedError(self.name)
            return True
        except _errors.StoreError:
            await self.clock.sleep(_RESOLVE_PAUSE_S)
            return False
        self._next_slot = slot + 1
        return True

    def _take_batch(self) -> list[_Pending]:
        taken: list[_Pending] = []
        size = 0
        for pending in self._queue:
            size += len(pending.record) + 8
            if taken and size > _BATCH_BYTES:
                break
            taken.append(pending)
        del self._queue[: len(taken)]
        return taken

    def _fail_queue(self, error: _errors.StoreError) -> None:
        queue, self._queue = self._queue, []
        _fail(queue, error)

    async def _read_head(self) -> _Head:
        entry = await self.store.get(self._head_key())
        if entry is None:
            return _Head(snapshot_slot=0, chunks=0, revision=0)
        (slot, chunks), _ = _stamped.unpack(entry.value)
        return _Head(snapshot_slot=slot, chunks=chunks, revision=entry.revision)

    async def _read_snapshot(self, head: _Head) -> list[bytes]:
        records: list[bytes] = []
        for index in range(head.chunks):
            key = self._chunk_key(head.snapshot_slot, index)
            entry = await self.store.get(key)
            if entry is None:
                raise _errors.StoreError(f"{key}: snapshot chunk is missing")
            records.extend(msgpack.unpackb(entry.value))
        return records

    async def _read_slots(self, first: int) -> list[Entry]:
        """Returns the contiguous slots from `first` on."""
        if first:
            return await self._read_slots_one_by_one(first)
        entries, _ = await self.store.list_prefix(self._slot_prefix())
        return _contiguous(entries, first, self._slot_key)

    async def _read_slots_one_by_one(self, first: int) -> list[Entry]:
        found: list[Entry] = []
        while True:
            entry = await self.store.get(self._slot_key(first + len(found)))
            if entry is None:
                return found
            found.append(entry)

    def _decode(self, entry: Entry) -> list[bytes]:
        (kind, epoch, records), _ = _stamped.unpack(entry.value)
        if epoch > self.epoch:
            raise _errors.LogFencedError(
                f"{self.name}: epoch {epoch} is above {self.epoch}"
            )
        return records if BatchKind(kind) is BatchKind.RECORDS else []

    def _retire(self, head: _Head, slot: int) -> None:
        keys = [self._slot_key(n) for n in range(head.snapshot_slot, slot)]
        keys += [
            self._chunk_key(head.snapshot_slot, n) for n in range(head.chunks)
        ]
        self._retired.append((self.clock.now() + SLOT_RETENTION_S, keys))

    async def _delete_retired(self) -> None:
        now = self.clock.now()
        while self._retired and self._retired[0][0] <= now:
            for key in self._retired[0][1]:
                await self.store.delete(key)
            self._retired.pop(0)

    def _head_key(self) -> str:
        return f"logs/{self.name}/head"

    def _slot_prefix(self) -> str:
        return f"logs/{self.name}/slot/"

    def _slot_key(self, slot: int) -> str:
        return f"{self._slot_prefix()}{slot:012d}"

    def _chunk_key(self, slot: int, index: int) -> str:
        return f"logs/{self.name}/snapshot/{slot:012d}/{index:04d}"


def _contiguous(entries: list[Entry], first: int, key_of: Any) -> list[Entry]:
    by_key = {e.key: e for e in entries}
    found = []
    for slot in itertools.count(first):
        entry = by_key.get(key_of(slot))
        if entry is None:
            return found
        found.append(entry)
    return found


def _split_chunks(records: list[bytes]) -> list[list[bytes]]:
    chunks: list[list[bytes]] = []
    size = _BATCH_BYTES
    for record in records:
        if size + len(record) + 8 > _BATCH_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(record)
        size += len(record) + 8
    return chunks


def _succeed(pending: list[_Pending], slot: int) -> None:
    for item in pending:
        if not item.done.done():
            item.done.set_result(slot)


def _fail(pending: list[_Pending], error: _errors.StoreError) -> None:
    for item in pending:
        if not item.done.done():
            item.done.set_exception(error)
            # A caller that was cancelled never retrieves the exception.
            item.done.exception()
