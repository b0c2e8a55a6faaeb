"""Removes the oldest revisions from the history of the configuration."""

import asyncio

import eliot

from magnoliaglade import store as store_lib

HISTORY_PREFIX = "config/history/"
# Every revision below the one in this key has been removed.
PRUNED_KEY = "config/pruned"
# One day at 3,900 changes a day. A writer that was partitioned looks up its
# write here after it reconnects, and a zone command that is delayed by the
# store is compared with the revisions since it was issued.
HISTORY_REVISIONS = 4_000
# The history is pruned once every 1/40 of its length (100 revisions), so that
# a change costs about one deletion and no more than 0.05 other calls.
_PRUNINGS_PER_HISTORY = 40
# The rest of a longer backlog is deferred to the next pruning: 1,000 deletions
# take several seconds at the several hundred writes/s of the store.
_MAX_DELETIONS_PER_PRUNING = 1_000


class HistoryPruner:
    """Removes revisions that are `revisions` or more behind, in a task.

    The first retained revision is stored after the deletions, so the next
    pruning completes an interrupted one.
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
        """Returns whether a revision may have been removed from history."""
        return revision <= current - self.revisions

    def prune_if_due(self, revision: int, *, base: int) -> None:
        """Starts pruning when enough revisions have been accepted."""
        interval = max(1, self.revisions // _PRUNINGS_PER_HISTORY)
        is_running = self._task is not None and not self._task.done()
        if is_running or revision // interval == base // interval:
            return
        last_to_prune = revision - self.revisions
        if last_to_prune > 0:
            self._task = asyncio.create_task(self._try_prune(last_to_prune))

    async def _try_prune(self, last_to_prune: int) -> None:
        try:
            await self._prune(last_to_prune)
        except store_lib.StoreError as error:
            eliot.log_message(
                message_type="configuration:not-pruned", fault=str(error)
            )

    async def _prune(self, last_to_prune: int) -> None:
        entry = await self.store.get(PRUNED_KEY)
        first = 1
        if entry is not None:
            first, _ = store_lib.unpack_stamped(entry.value)
        end = min(last_to_prune + 1, first + _MAX_DELETIONS_PER_PRUNING)
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
