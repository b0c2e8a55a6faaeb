"""Writes records to the log and applies them to the table in log order."""

import asyncio
import collections
import copy

from magnoliaglade import store as store_lib
from magnoliaglade.execution import _records, _table
from magnoliaglade.types import JobId


class Journal:
    """The log and the table of one owner in one epoch.

    Facts, such as the end of a task, take effect also if they cannot be written
    now, and are written when the store answers. Commitments, such as the
    acceptance of a job, take effect only when they are in the log. Callers see
    no end before it is in the log, since a successor may not learn of it.
    """

    def __init__(
        self, *, log: store_lib.SingleWriterLog, table: _table.JobTable
    ) -> None:
        self.log = log
        self.table = table
        self._deferred: collections.deque[_records.Record] = collections.deque()
        # Jobs whose end is not in the log, as they were before it.
        self._unstored_ends: dict[JobId, _records.JobEntry] = {}
        self._drain_lock = asyncio.Lock()
        self._in_flight = 0
        self._is_compacting = False

    @property
    def is_fenced(self) -> bool:
        """Whether another owner has opened the log."""
        return self.log.is_fenced

    @property
    def deferred_count(self) -> int:
        """Records that are still to be written."""
        return len(self._deferred)

    def is_in_doubt(self, record: _records.Record) -> bool:
        """Tells whether an earlier write of the commitment may be in the log.

        As long as it does, a refusal must not say that nothing happened.
        """
        key = _commitment(record)
        return any(_commitment(d) == key for d in self._deferred)

    def may_hold(self, submission: str) -> bool:
        """Tells whether the acceptance of a submission may be in the log."""
        key = (_records.Accepted, submission)
        return any(_commitment(d) == key for d in self._deferred)

    def shown(self, job: JobId) -> _records.JobEntry | None:
        """Returns a copy of a job's state for callers, or None."""
        entry = self._unstored_ends.get(job) or self.table.get(job)
        return copy.copy(entry)

    async def write(self, record: _records.Record) -> None:
        """Writes a commitment and applies it.

        A record whose outcome is unknown is written again by a later `drain`
        and takes effect then.

        Raises:
            LogFencedError: another owner has opened the log; not written.
            LogUnavailableError: not written.
            StoreOutcomeUnknownError: the record may be in the log.
        """
        # The table must follow the log even if the caller is cancelled.
        await asyncio.shield(asyncio.create_task(self._write(record)))

    async def write_eventually(self, *records: _records.Record) -> bool:
        """Writes facts; they take effect at the latest when this returns.

        Returns:
            Whether they are in the log; if not, they are written when the
            store returns.

        Raises:
            LogFencedError: another owner has opened the log.
        """
        self._deferred.extend(records)
        is_written = await self.try_drain()
        if not is_written:
            for record in records:
                self._apply_unstored(record)
        return is_written

    async def try_drain(self) -> bool:
        """Writes the deferred records; tells whether all are in the log.

        Raises:
            LogFencedError: another owner has opened the log.
        """
        try:
            await self.drain()
        except (
            store_lib.LogUnavailableError,
            store_lib.StoreOutcomeUnknownError,
        ):
            return False
        return True

    async def drain(self) -> None:
        """Writes the deferred records in order.

        Raises:
            StoreError: as `write`; the rest stays deferred.
        """
        async with self._drain_lock:
            while self._deferred:
                batch = list(self._deferred)
                await self._append_all(batch)
                for record in batch:
                    self._deferred.popleft()
                    self._unstored_ends.pop(getattr(record, "job", ""), None)

    async def compact(self) -> bool:
        """Replaces the log by a snapshot of the table if nothing is written.

        Returns:
            Whether it was done; call it again later if not.

        Raises:
            StoreError: the store did not answer; the old records stay.
        """
        if self._in_flight or self._deferred:
            return False
        self._is_compacting = True
        try:
            async with self._drain_lock:
                records = self.table.snapshot()
                await self.log.compact(
                    [_records.encode_record(r) for r in records]
                )
        finally:
            self._is_compacting = False
        return True

    def _apply_unstored(self, record: _records.Record) -> None:
        entry = self.table.get(getattr(record, "job", JobId("")))
        before = copy.copy(entry)
        self.table.apply(record)
        if entry is None or before is None or before.phase.is_terminal:
            return
        if entry.phase.is_terminal:
            self._unstored_ends[entry.job] = before

    async def _write(self, record: _records.Record) -> None:
        if self._deferred or self._is_compacting:
            await self.drain()
        try:
            await self._append_all([record])
        except store_lib.StoreOutcomeUnknownError:
            self._deferred.append(record)
            raise

    async def _append_all(self, records: list[_records.Record]) -> None:
        # One task per record, so that records of all callers are applied in
        # the order in which the log resolves them.
        self._in_flight += 1
        try:
            results = await asyncio.gather(
                *(self._append(r) for r in records), return_exceptions=True
            )
        finally:
            self._in_flight -= 1
        for result in results:
            if isinstance(result, BaseException):
                raise result

    async def _append(self, record: _records.Record) -> None:
        await self.log.append(_records.encode_record(record))
        self.table.apply(record)


def _commitment(record: _records.Record) -> tuple[type, str]:
    if isinstance(record, _records.Accepted):
        return _records.Accepted, record.spec.submission
    return type(record), getattr(record, "job", "")
