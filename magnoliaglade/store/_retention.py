"""Deletes what snapshots of a log have replaced, in the background."""

import asyncio
import contextlib
import dataclasses

from magnoliaglade import clock as clock_lib
from magnoliaglade.store import _errors
from magnoliaglade.store.base import Entry, Store


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Inherited:
    """What predecessors may have left."""

    slots: str
    first_kept_slot: int
    chunks: str
    first_own_slot: int
    due_s: float

    def is_left(self, entry: Entry) -> bool:
        """Whether the key is below the snapshot that was current at `open`."""
        if entry.key.startswith(self.slots):
            number = entry.key.removeprefix(self.slots)
            return int(number) < self.first_kept_slot
        directory = entry.key.removeprefix(self.chunks)
        return int(directory.split("-")[0]) < self.first_own_slot


class Janitor:
    """Deletes keys after their retention; failures are tried again.

    `clean` is called after the owner has written a head of its own. From then
    on the head that a predecessor expects is gone, so its unfinished snapshot
    cannot become current any more.
    """

    def __init__(
        self, *, store: Store, clock: clock_lib.Clock, retention_s: float
    ) -> None:
        self.store = store
        self.clock = clock
        self.retention_s = retention_s
        self._retired: list[tuple[float, list[str]]] = []
        self._inherited: _Inherited | None = None
        self._task: asyncio.Task[None] | None = None

    def retire(self, keys: list[str]) -> None:
        """Deletes keys when their retention has passed."""
        self._retired.append((self.clock.now() + self.retention_s, keys))

    def inherit(
        self,
        *,
        slots: str,
        first_kept_slot: int,
        chunks: str,
        first_own_slot: int,
    ) -> None:
        """Deletes what predecessors have left, one retention from now.

        Args:
            slots: prefix of the slots.
            first_kept_slot: slots below it are left by predecessors.
            chunks: prefix of the chunks of snapshots.
            first_own_slot: snapshots at slots below it are predecessors'.
        """
        self._inherited = _Inherited(
            slots=slots,
            first_kept_slot=first_kept_slot,
            chunks=chunks,
            first_own_slot=first_own_slot,
            due_s=self.clock.now() + self.retention_s,
        )

    def clean(self) -> None:
        """Starts to delete what is due unless that is under way."""
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._clean())

    async def stop(self) -> None:
        """Ends the deletion; a successor completes it."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def delete_due(self) -> None:
        """Deletes what is due.

        Raises:
            StoreError: the rest is left for the next call.
        """
        while self._retired and self._retired[0][0] <= self.clock.now():
            for key in self._retired[0][1]:
                await self.store.delete(key)
            self._retired.pop(0)
        inherited = self._inherited
        if inherited is None or inherited.due_s > self.clock.now():
            return
        waiting = {key for _, keys in self._retired for key in keys}
        for prefix in (inherited.slots, inherited.chunks):
            entries, _ = await self.store.list_prefix(prefix)
            left = [e.key for e in entries if inherited.is_left(e)]
            for key in left:
                if key not in waiting:
                    await self.store.delete(key)
        self._inherited = None

    async def _clean(self) -> None:
        with contextlib.suppress(_errors.StoreError):
            await self.delete_due()
