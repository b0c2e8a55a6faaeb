"""Removes the oldest revisions from the history of the configuration."""

import asyncio

import eliot

from magnoliaglade import store as store_lib

HISTORY_PREFIX = "config/history/"
# Every revision below the one in this key has been removed.
PRUNED_KEY = "config/pruned"
# One day at 3,900 changes a day. A writer that was cut off looks its write up
# here when it is back, and a zone command that waits for the store is compared
# with the revisions since it was given.
HISTORY_REVISIONS = 4_000
# The history is pruned once per this share of its length (100 revisions), so
# that a change costs about one deletion and no more than 0.05 other calls.
_PRUNINGS = 40
# A longer backlog is left to the next pruning: 1,000 deletions take several
# seconds of the several hundred writes/s that the store gives.
_DELETIONS = 1_000


class HistoryPruner:
    """Removes revisions that are `revisions` or more behind, in background.

    The position is stored after the deletions, so the next pruning completes
    one that was interrupted.
    """

    def __init__(
        self,
        *,
        store: store_lib.Store,
        stamps: store_lib.StampedWriter,
        revisions: int,
    ) -> None:
        self.store = store
        self.stamps = stamps
        self.revisions = revisions
        self._task: asyncio.Task[None] | None = None

    def is_pruned(self, revision: int, *, current: int) -> bool:
        """Whether a revision may have been removed from the history."""
        return revision <= current - self.revisions

    def note_accepted(self, revision: int, *, base: int) -> None:
        """Starts to prune when enough revisions have been accepted."""
        every = max(1, self.revisions // _PRUNINGS)
        is_running = self._task is not None and not self._task.done()
        if is_running or revision // every == base // every:
            return
        last = revision - self.revisions
        if last > 0:
            self._task = asyncio.create_task(self._try_prune(last))

    async def _try_prune(self, last: int) -> None:
        try:
            await self._prune(last)
        except store_lib.StoreError as error:
            eliot.log_message(
                message_type="configuration:not-pruned", fault=str(error)
            )

    async def _prune(self, last: int) -> None:
        entry = await self.store.get(PRUNED_KEY)
        first = 1
        if entry is not None:
            first, _ = store_lib.unpack_stamped(entry.value)
        end = min(last + 1, first + _DELETIONS)
        if end <= first:
            return
        for revision in range(first, end):
            await self.store.delete(f"{HISTORY_PREFIX}{revision}")
        await self.stamps.put(
            PRUNED_KEY,
            end,
            expected=entry.revision if entry else 0,
            stamp=self.stamps.next_stamp(),
        )
