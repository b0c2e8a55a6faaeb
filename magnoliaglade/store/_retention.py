"""Deletes slots and chunks that snapshots have replaced, in the background."""

import asyncio
import contextlib
import dataclasses

from magnoliaglade import clock as clock_lib
from magnoliaglade.store import _errors
from magnoliaglade.store.base import Entry, Store


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PredecessorKeys:
    """Keys that earlier writers of the log may have left undeleted.

    Attributes:
        slot_prefix: prefix of the slots.
        first_kept_slot: slots below it are obsolete.
        chunk_prefix: prefix of the chunks of snapshots.
        first_own_slot: snapshots at slots below it are obsolete.
        due_s: time, on the clock, from which the keys may be deleted.
    """

    slot_prefix: str
    first_kept_slot: int
    chunk_prefix: str
    first_own_slot: int
    due_s: float

    def is_obsolete(self, entry: Entry) -> bool:
        """Returns whether the key is obsolete.

        Obsolete are the slots below the snapshot that was current at `open`,
        and the chunks of predecessors' snapshots.
        """
        if entry.key.startswith(self.slot_prefix):
            number = entry.key.removeprefix(self.slot_prefix)
            return int(number) < self.first_kept_slot
        directory = entry.key.removeprefix(self.chunk_prefix)
        return int(directory.split("-")[0]) < self.first_own_slot


class GarbageCollector:
    """Deletes keys after their retention period and retries failed deletions.

    `start_deletion` is called after the owner has written a head of its own.
    From then on the head has another revision than a predecessor expects, so
    the predecessor's unfinished snapshot can no longer become current.

    Attributes:
        store: the store.
        clock: clock of the retention period.
        retention_s: seconds between the scheduling of a key and its deletion.
    """

    def __init__(
        self, *, store: Store, clock: clock_lib.Clock, retention_s: float
    ) -> None:
        self.store = store
        self.clock = clock
        self.retention_s = retention_s
        self._scheduled: list[tuple[float, list[str]]] = []
        self._predecessor_keys: _PredecessorKeys | None = None
        self._task: asyncio.Task[None] | None = None

    def schedule_deletion(self, keys: list[str]) -> None:
        """Schedules the deletion of keys after the retention period."""
        self._scheduled.append((self.clock.now() + self.retention_s, keys))

    def schedule_predecessor_keys(
        self,
        *,
        slot_prefix: str,
        first_kept_slot: int,
        chunk_prefix: str,
        first_own_slot: int,
    ) -> None:
        """Schedules the deletion of keys that predecessors have left.

        They are deleted after one retention period from now.

        Args:
            slot_prefix: prefix of the slots.
            first_kept_slot: slots below it are obsolete slots of
                predecessors.
            chunk_prefix: prefix of the chunks of snapshots.
            first_own_slot: snapshots at slots below it were written by
                predecessors.
        """
        self._predecessor_keys = _PredecessorKeys(
            slot_prefix=slot_prefix,
            first_kept_slot=first_kept_slot,
            chunk_prefix=chunk_prefix,
            first_own_slot=first_own_slot,
            due_s=self.clock.now() + self.retention_s,
        )

    def start_deletion(self) -> None:
        """Starts to delete due keys in the background unless it is running."""
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._try_delete_due())

    async def stop(self) -> None:
        """Cancels the deletion; a successor completes it."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def delete_due(self) -> None:
        """Deletes the keys whose retention period has ended.

        Raises:
            StoreError: the remaining keys are deleted by the next call.
        """
        while self._scheduled and self._scheduled[0][0] <= self.clock.now():
            for key in self._scheduled[0][1]:
                await self.store.delete(key)
            self._scheduled.pop(0)
        predecessor_keys = self._predecessor_keys
        if (
            predecessor_keys is None
            or predecessor_keys.due_s > self.clock.now()
        ):
            return
        scheduled = {key for _, keys in self._scheduled for key in keys}
        for prefix in (
            predecessor_keys.slot_prefix,
            predecessor_keys.chunk_prefix,
        ):
            entries, _ = await self.store.list_prefix(prefix)
            obsolete = [
                e.key for e in entries if predecessor_keys.is_obsolete(e)
            ]
            for key in obsolete:
                if key not in scheduled:
                    await self.store.delete(key)
        self._predecessor_keys = None

    async def _try_delete_due(self) -> None:
        with contextlib.suppress(_errors.StoreError):
            await self.delete_due()
