"""A log of records in the store, with one writer at a time.

Slots are keys that are created and never overwritten, so each slot contains
exactly one batch. A new owner closes its predecessor's log by creating an
`open` batch in the first free slot; the predecessor's next create then
conflicts, which fences it without relying on clocks. The closing procedure
follows the ledgers of BookKeeper. A slot that was deleted after a compaction
could be created again; a writer that was paused for that long detects this
because the head refers to a snapshot above its slot.
"""

import asyncio

import msgpack

from magnoliaglade import clock as clock_lib
from magnoliaglade.store import _errors, _log_batches, _retention, _stamped
from magnoliaglade.store.base import Entry, Store
from magnoliaglade.types import Epoch, InstanceId

# Slots are deleted this long after a compaction. By then the leases of all
# earlier writers, and any of their writes that were delayed on the network,
# have long ended.
SLOT_RETENTION_S = 600.0
# Delay before the next attempt to resolve an append with an unknown outcome.
_RESOLVE_RETRY_DELAY_S = 0.2
# A slot that is created more than this long after the previous one may have
# been deleted in between, so the head is read. Half of the retention period
# allows for clocks that run at different rates.
_MAX_UNCHECKED_GAP_S = SLOT_RETENTION_S / 2


class SingleWriterLog:
    """Appends records in batches, with one write in flight.

    An append whose write has an unknown outcome raises
    `StoreOutcomeUnknownError`; the log resolves that slot before it writes
    another one, so the order of records never depends on it. Records of an
    unresolved batch may be in the log and are returned by a later `open`.

    Attributes:
        store: the store.
        clock: clock of the intervals between writes and of the retention.
        name: name of the log, part of its keys.
        writer: instance that writes.
        epoch: epoch in which the instance writes.
        flush_interval_s: shortest interval between two writes in seconds.
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
        self._stamped_writer = _stamped.StampedWriter(
            store=store, writer=f"{writer}/{epoch}"
        )
        self._next_slot = 0
        self._queue: list[_log_batches.PendingAppend] = []
        self._unresolved_batch: _log_batches.Batch | None = None
        self._flush_task: asyncio.Task[None] | None = None
        self._last_write_s = float("-inf")
        self._failure: _errors.StoreError | None = None
        self._garbage_collector = _retention.GarbageCollector(
            store=store, clock=clock, retention_s=SLOT_RETENTION_S
        )
        self._last_created_at = self._read_clocks()
        # Slots from here on are not yet scheduled for deletion and are not
        # obsolete slots of a predecessor.
        self._first_kept_slot = 0
        self._attempted_chunk_keys: list[str] = []

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
            StoreError: the store did not respond; call `open` again.
        """
        while True:
            opened_at = self._read_clocks()
            head = await self._read_head()
            records = await self._append_open_batch(head)
            # Slots may have been deleted while they were being read.
            latest = await self._read_head()
            if latest.snapshot_slot < self._next_slot:
                break
        self._last_created_at = opened_at
        self._first_kept_slot = head.snapshot_slot
        self._garbage_collector.schedule_predecessor_keys(
            slot_prefix=self._slot_prefix(),
            first_kept_slot=head.snapshot_slot,
            chunk_prefix=self._chunk_prefix(),
            # Predecessors wrote snapshots up to the slot of this open batch.
            first_own_slot=self._next_slot,
        )
        return records

    async def _append_open_batch(self, head: _log_batches.Head) -> list[bytes]:
        records = await self._read_snapshot(head)
        slot = head.snapshot_slot
        stamp = self._stamped_writer.next_stamp()
        body = [_log_batches.BatchKind.OPEN.value, self.epoch, []]
        existing = await self._read_slots(slot)
        while True:
            for entry in existing:
                records.extend(self._decode(entry))
                slot += 1
            try:
                await self._stamped_writer.put(
                    self._slot_key(slot), body, expected=0, stamp=stamp
                )
                self._next_slot = slot + 1
                return records
            except _errors.ConflictError:
                existing = await self._read_slots(slot)

    async def append(self, record: bytes) -> int:
        """Stores one record and returns its slot.

        Raises:
            LogFencedError: another writer owns the log; the record was not
                written.
            LogUnavailableError: the record is known not to be in the log.
            StoreOutcomeUnknownError: the record may be in the log.
            StoreError: the record is too large.
        """
        if len(record) > _log_batches.MAX_BATCH_BYTES:
            raise _errors.StoreError(f"record of {len(record)} bytes")
        if self._failure is not None:
            raise self._failure
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._queue.append(
            _log_batches.PendingAppend(record=record, future=future)
        )
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.create_task(self._flush())
        return await asyncio.shield(future)

    async def compact(self, records: list[bytes]) -> None:
        """Replaces all records up to the last written slot by `records`.

        Must be called while no append is in flight, with the records that
        reproduce the owner's state; later appends follow the snapshot.

        Raises:
            LogFencedError: another writer has compacted the log.
            StoreError: the store did not respond; the old records remain.
        """
        head = await self._read_head()
        slot = self._next_slot
        stamp = self._stamped_writer.next_stamp()
        # Each attempt uses keys of its own, because the head may refer to the
        # chunks of an earlier attempt at the same slot.
        directory = f"{slot:012d}-{self.epoch}-{stamp.sequence}"
        chunks = _log_batches.split_chunks(records)
        keys = self._chunk_keys(directory, len(chunks))
        self._attempted_chunk_keys += keys
        for key, chunk in zip(keys, chunks, strict=True):
            await self.store.put(key, msgpack.packb(chunk))
        try:
            await self._stamped_writer.put(
                self._head_key(),
                [slot, len(chunks), directory],
                expected=head.revision,
                stamp=stamp,
            )
        except _errors.ConflictError as error:
            raise _errors.LogFencedError(self.name) from error
        self._schedule_replaced_keys(head, slot, keys)
        self._garbage_collector.start_deletion()

    async def close(self) -> None:
        """Writes the queued records, then refuses further appends."""
        if self._flush_task is not None:
            await asyncio.gather(self._flush_task, return_exceptions=True)
        await self._garbage_collector.stop()
        if self._failure is None:
            self._failure = _errors.LogUnavailableError(f"{self.name}: closed")

    async def _flush(self) -> None:
        while self._queue and self._failure is None:
            await self._wait_for_flush_interval()
            if not await self._resolve_batch():
                self._fail_queued_appends(
                    _errors.LogUnavailableError(f"{self.name}: store is out")
                )
                return
            await self._write_batch()
        if self._failure is not None:
            self._fail_queued_appends(self._failure)

    async def _wait_for_flush_interval(self) -> None:
        remaining_s = (
            self._last_write_s + self.flush_interval_s - self.clock.now()
        )
        if remaining_s > 0:
            await self.clock.sleep(remaining_s)
        self._last_write_s = self.clock.now()

    async def _write_batch(self) -> None:
        pending = self._dequeue_batch()
        body = [
            _log_batches.BatchKind.RECORDS.value,
            self.epoch,
            [p.record for p in pending],
        ]
        batch = _log_batches.Batch(
            stamp=self._stamped_writer.next_stamp(), body=body, pending=pending
        )
        await self._write_to_next_slot(batch)

    async def _write_to_next_slot(self, batch: _log_batches.Batch) -> None:
        slot = self._next_slot
        try:
            await self._create_slot(slot, batch)
        except _errors.ConflictError:
            self._failure = _errors.LogFencedError(
                f"{self.name}: slot {slot} holds another writer's batch"
            )
            _log_batches.fail_appends(batch.pending, self._failure)
        except _errors.StoreUnavailableError as error:
            _log_batches.fail_appends(
                batch.pending,
                _errors.LogUnavailableError(f"{self.name}: {error}"),
            )
        except _errors.StoreError as error:
            _log_batches.fail_appends(
                batch.pending, _errors.StoreOutcomeUnknownError(str(error))
            )
            self._unresolved_batch = batch
        else:
            self._next_slot = slot + 1
            _log_batches.complete_appends(batch.pending, slot)

    async def _create_slot(self, slot: int, batch: _log_batches.Batch) -> None:
        """Creates a slot.

        Raises:
            ConflictError: the slot exists, or had been deleted after a
                compaction.
            StoreError: the store did not respond.
        """
        sent_at = self._read_clocks()
        key = self._slot_key(slot)
        await self._stamped_writer.put(
            key, batch.body, expected=0, stamp=batch.stamp
        )
        if self._elapsed_s(self._last_created_at) >= _MAX_UNCHECKED_GAP_S:
            await self._require_no_snapshot_above(slot)
        self._last_created_at = sent_at

    async def _require_no_snapshot_above(self, slot: int) -> None:
        try:
            head = await self._read_head()
        except _errors.StoreUnavailableError as error:
            # The slot was created, but it may have been deleted before, so
            # it is not known whether readers will find it.
            raise _errors.StoreOutcomeUnknownError(str(error)) from error
        if head.snapshot_slot > slot:
            raise _errors.ConflictError(
                key=self._slot_key(slot), expected=0, actual=0
            )

    def _read_clocks(self) -> tuple[float, float]:
        # The monotonic clock may not advance while the machine is suspended,
        # so the wall clock is read as well.
        return self.clock.now(), self.clock.time()

    def _elapsed_s(self, since: tuple[float, float]) -> float:
        now = self._read_clocks()
        return max(now[0] - since[0], now[1] - since[1])

    async def _resolve_batch(self) -> bool:
        """Resolves a batch with an unknown outcome.

        Returns:
            Whether no unresolved batch remains.
        """
        batch = self._unresolved_batch
        if batch is None:
            return True
        self._unresolved_batch = None
        resolved = await self._retry_batch(batch)
        if not resolved:
            self._unresolved_batch = batch
        return resolved

    async def _retry_batch(self, batch: _log_batches.Batch) -> bool:
        slot = self._next_slot
        try:
            await self._create_slot(slot, batch)
        except _errors.ConflictError:
            self._failure = _errors.LogFencedError(self.name)
            return True
        except _errors.StoreError:
            await self.clock.sleep(_RESOLVE_RETRY_DELAY_S)
            return False
        self._next_slot = slot + 1
        return True

    def _dequeue_batch(self) -> list[_log_batches.PendingAppend]:
        taken: list[_log_batches.PendingAppend] = []
        size = 0
        for pending in self._queue:
            size += len(pending.record) + 8
            if taken and size > _log_batches.MAX_BATCH_BYTES:
                break
            taken.append(pending)
        del self._queue[: len(taken)]
        return taken

    def _fail_queued_appends(self, error: _errors.StoreError) -> None:
        queue, self._queue = self._queue, []
        _log_batches.fail_appends(queue, error)

    async def _read_head(self) -> _log_batches.Head:
        entry = await self.store.get(self._head_key())
        if entry is None:
            return _log_batches.Head(snapshot_slot=0, chunk_keys=(), revision=0)
        (slot, chunk_count, directory), _ = _stamped.unpack(entry.value)
        return _log_batches.Head(
            snapshot_slot=slot,
            chunk_keys=tuple(self._chunk_keys(directory, chunk_count)),
            revision=entry.revision,
        )

    async def _read_snapshot(self, head: _log_batches.Head) -> list[bytes]:
        records: list[bytes] = []
        for key in head.chunk_keys:
            entry = await self.store.get(key)
            if entry is None:
                raise _errors.StoreError(f"{key}: snapshot chunk is missing")
            records.extend(msgpack.unpackb(entry.value))
        return records

    async def _read_slots(self, first: int) -> list[Entry]:
        """Returns the entries of the contiguous slots from `first` on."""
        if first:
            return await self._read_slots_one_by_one(first)
        entries, _ = await self.store.list_prefix(self._slot_prefix())
        return _log_batches.contiguous_entries(entries, first, self._slot_key)

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
            if _log_batches.BatchKind(kind) is _log_batches.BatchKind.RECORDS
            else []
        )

    def _schedule_replaced_keys(
        self, head: _log_batches.Head, slot: int, current: list[str]
    ) -> None:
        """Schedules the deletion of the keys that a new snapshot replaces.

        These include the chunks of failed attempts.
        """
        keys = [self._slot_key(n) for n in range(self._first_kept_slot, slot)]
        chunks = set(head.chunk_keys).union(self._attempted_chunk_keys)
        keys += sorted(chunks.difference(current))
        self._first_kept_slot = slot
        self._attempted_chunk_keys = list(current)
        self._garbage_collector.schedule_deletion(keys)

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
