"""A log of records with one writer at a time, kept in the store.

Slots are keys that are only ever created, so each slot has exactly one batch.
A new owner closes its predecessor's log by creating an `open` batch in the
first free slot; the predecessor's next create then conflicts, which fences it
without any clock. The closing procedure follows the ledgers of BookKeeper.
A slot that was deleted after a compaction could be created again; a writer
that was paused for so long finds a snapshot above its slot in the head.
"""

import asyncio

import msgpack

from magnoliaglade import clock as clock_lib
from magnoliaglade.store import _errors, _log_values, _retention, _stamped
from magnoliaglade.store.base import Entry, Store
from magnoliaglade.types import Epoch, InstanceId

# Compacted slots are deleted only after every earlier writer's lease and any
# write of it that was delayed on the network have long ended.
SLOT_RETENTION_S = 600.0
# Pause before an append with an unknown outcome is resolved again.
_RESOLVE_PAUSE_S = 0.2
# A slot that is created later than this after the one before may have been
# deleted meanwhile, so the head is read. Half of the retention allows for
# clocks that run at different rates.
_TRUSTED_S = SLOT_RETENTION_S / 2


class SingleWriterLog:
    """Appends records in batches, with one write in flight.

    An append whose write has an unknown outcome raises
    `StoreOutcomeUnknownError`; the log resolves that slot before it writes
    another one, so the order of records never depends on it. Records of an
    unresolved batch may be in the log and are returned by a later `open`.
    """

    def __init__(
        self,
        *,
        store: Store,
        clock: clock_lib.Clock,
        name: str,
        writer: InstanceId,
        epoch: Epoch,
        flush_interval_s: float = 0.0,
    ) -> None:
        self.store = store
        self.clock = clock
        self.name = name
        self.writer = writer
        self.epoch = epoch
        self.flush_interval_s = flush_interval_s
        self._stamped = _stamped.StampedWriter(
            store=store, writer=f"{writer}/{epoch}"
        )
        self._next_slot = 0
        self._queue: list[_log_values.Pending] = []
        self._unresolved: _log_values.Batch | None = None
        self._flusher: asyncio.Task[None] | None = None
        self._last_write_s = float("-inf")
        self._failure: _errors.StoreError | None = None
        self._janitor = _retention.Janitor(
            store=store, clock=clock, retention_s=SLOT_RETENTION_S
        )
        self._written_at = self._instant()
        # Slots from here on are neither retired nor left by a predecessor.
        self._kept_slot = 0
        self._attempted: list[str] = []

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
        while True:
            opened_at = self._instant()
            head = await self._read_head()
            records = await self._open_after(head)
            # Slots may have been deleted while they were read.
            latest = await self._read_head()
            if latest.snapshot_slot < self._next_slot:
                break
        self._written_at = opened_at
        self._kept_slot = head.snapshot_slot
        self._janitor.inherit(
            slots=self._slot_prefix(),
            first_kept_slot=head.snapshot_slot,
            chunks=self._chunk_prefix(),
            # A predecessor wrote snapshots up to the slot of this open batch.
            first_own_slot=self._next_slot,
        )
        return records

    async def _open_after(self, head: _log_values.Head) -> list[bytes]:
        records = await self._read_snapshot(head)
        slot = head.snapshot_slot
        stamp = self._stamped.next_stamp()
        body = [_log_values.BatchKind.OPEN.value, self.epoch, []]
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
            StoreOutcomeUnknownError: the record may be in the log.
            StoreError: the record is too large.
        """
        if len(record) > _log_values.BATCH_BYTES:
            raise _errors.StoreError(f"record of {len(record)} bytes")
        if self._failure is not None:
            raise self._failure
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._queue.append(_log_values.Pending(record=record, done=future))
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
        stamp = self._stamped.next_stamp()
        # Keys of their own for each attempt: the head may point to the chunks
        # of an earlier one at the same slot.
        directory = f"{slot:012d}-{self.epoch}-{stamp.sequence}"
        chunks = _log_values.split_chunks(records)
        keys = self._chunk_keys(directory, len(chunks))
        self._attempted += keys
        for key, chunk in zip(keys, chunks, strict=True):
            await self.store.put(key, msgpack.packb(chunk))
        try:
            await self._stamped.put(
                self._head_key(),
                [slot, len(chunks), directory],
                expected=head.revision,
                stamp=stamp,
            )
        except _errors.ConflictError as error:
            raise _errors.LogFencedError(self.name) from error
        self._retire(head, slot, keys)
        self._janitor.clean()

    async def close(self) -> None:
        """Writes what is queued, then refuses further appends."""
        if self._flusher is not None:
            await asyncio.gather(self._flusher, return_exceptions=True)
        await self._janitor.stop()
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
        due_s = self._last_write_s + self.flush_interval_s - self.clock.now()
        if due_s > 0:
            await self.clock.sleep(due_s)
        self._last_write_s = self.clock.now()

    async def _write_batch(self) -> None:
        pending = self._take_batch()
        body = [
            _log_values.BatchKind.RECORDS.value,
            self.epoch,
            [p.record for p in pending],
        ]
        batch = _log_values.Batch(
            stamp=self._stamped.next_stamp(), body=body, pending=pending
        )
        await self._put(batch)

    async def _put(self, batch: _log_values.Batch) -> None:
        slot = self._next_slot
        try:
            await self._create(slot, batch)
        except _errors.ConflictError:
            self._failure = _errors.LogFencedError(
                f"{self.name}: slot {slot} holds another writer's batch"
            )
            _log_values.fail(batch.pending, self._failure)
        except _errors.StoreUnavailableError as error:
            _log_values.fail(
                batch.pending,
                _errors.LogUnavailableError(f"{self.name}: {error}"),
            )
        except _errors.StoreError as error:
            _log_values.fail(
                batch.pending, _errors.StoreOutcomeUnknownError(str(error))
            )
            self._unresolved = batch
        else:
            self._next_slot = slot + 1
            _log_values.succeed(batch.pending, slot)

    async def _create(self, slot: int, batch: _log_values.Batch) -> None:
        """Creates a slot; a ConflictError also if it had been deleted."""
        sent_at = self._instant()
        key = self._slot_key(slot)
        await self._stamped.put(key, batch.body, expected=0, stamp=batch.stamp)
        if self._passed_s(self._written_at) >= _TRUSTED_S:
            await self._require_no_snapshot_above(slot)
        self._written_at = sent_at

    async def _require_no_snapshot_above(self, slot: int) -> None:
        try:
            head = await self._read_head()
        except _errors.StoreUnavailableError as error:
            # The slot was created; whether it counts is not known.
            raise _errors.StoreOutcomeUnknownError(str(error)) from error
        if head.snapshot_slot > slot:
            raise _errors.ConflictError(
                key=self._slot_key(slot), expected=0, actual=0
            )

    def _instant(self) -> tuple[float, float]:
        # The monotonic clock may stand still while the machine is suspended.
        return self.clock.now(), self.clock.time()

    def _passed_s(self, since: tuple[float, float]) -> float:
        now = self._instant()
        return max(now[0] - since[0], now[1] - since[1])

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

    async def _put_again(self, batch: _log_values.Batch) -> bool:
        slot = self._next_slot
        try:
            await self._create(slot, batch)
        except _errors.ConflictError:
            self._failure = _errors.LogFencedError(self.name)
            return True
        except _errors.StoreError:
            await self.clock.sleep(_RESOLVE_PAUSE_S)
            return False
        self._next_slot = slot + 1
        return True

    def _take_batch(self) -> list[_log_values.Pending]:
        taken: list[_log_values.Pending] = []
        size = 0
        for pending in self._queue:
            size += len(pending.record) + 8
            if taken and size > _log_values.BATCH_BYTES:
                break
            taken.append(pending)
        del self._queue[: len(taken)]
        return taken

    def _fail_queue(self, error: _errors.StoreError) -> None:
        queue, self._queue = self._queue, []
        _log_values.fail(queue, error)

    async def _read_head(self) -> _log_values.Head:
        entry = await self.store.get(self._head_key())
        if entry is None:
            return _log_values.Head(snapshot_slot=0, chunk_keys=(), revision=0)
        (slot, chunks, directory), _ = _stamped.unpack(entry.value)
        return _log_values.Head(
            snapshot_slot=slot,
            chunk_keys=tuple(self._chunk_keys(directory, chunks)),
            revision=entry.revision,
        )

    async def _read_snapshot(self, head: _log_values.Head) -> list[bytes]:
        records: list[bytes] = []
        for key in head.chunk_keys:
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
        return _log_values.contiguous(entries, first, self._slot_key)

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
        return (
            records
            if _log_values.BatchKind(kind) is _log_values.BatchKind.RECORDS
            else []
        )

    def _retire(
        self, head: _log_values.Head, slot: int, current: list[str]
    ) -> None:
        """Retires what a new snapshot replaces, failed attempts included."""
        keys = [self._slot_key(n) for n in range(self._kept_slot, slot)]
        chunks = set(head.chunk_keys).union(self._attempted)
        keys += sorted(chunks.difference(current))
        self._kept_slot = slot
        self._attempted = list(current)
        self._janitor.retire(keys)

    def _head_key(self) -> str:
        return f"logs/{self.name}/head"

    def _slot_prefix(self) -> str:
        return f"logs/{self.name}/slot/"

    def _slot_key(self, slot: int) -> str:
        return f"{self._slot_prefix()}{slot:012d}"

    def _chunk_prefix(self) -> str:
        return f"logs/{self.name}/snapshot/"

    def _chunk_keys(self, directory: str, count: int) -> list[str]:
        prefix = f"{self._chunk_prefix()}{directory}/"
        return [f"{prefix}{index:04d}" for index in range(count)]
