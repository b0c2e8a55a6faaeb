"""Keeps the entries under a prefix up to date by watches and full reads."""

from collections.abc import Callable

from magnoliaglade import clock as clock_lib
from magnoliaglade.store import _errors
from magnoliaglade.store.base import Entry, EventKind, Store

# Delay after a failed call: a store that is down is called four times a second.
RETRY_DELAY_S = 0.25


class PrefixWatcher:
    """Keeps the entries under a prefix up to date.

    A watch continues after the last change that was received, not after the
    revision that an empty response reports. The next watch thus returns a
    change that the store left out of the previous one.

    Attributes:
        prefix: prefix of the watched keys.
        wait_s: maximum duration of one watch in seconds; an unresponsive
            connection is detected this long after the last response.
        on_change: called with the changed keys after each change.
        retry_delay_s: seconds between a failed call and the next one.
        entries: current entries by key.
        confirmed_at_s: time, on the clock, at which the last call that
            succeeded was sent; negative infinity before the first.
    """

    def __init__(
        self,
        *,
        store: Store,
        clock: clock_lib.Clock,
        prefix: str,
        wait_s: float,
        on_change: Callable[[frozenset[str]], None] = lambda _: None,
        retry_delay_s: float = RETRY_DELAY_S,
    ) -> None:
        self.store = store
        self.clock = clock
        self.prefix = prefix
        self.wait_s = wait_s
        self.on_change = on_change
        self.retry_delay_s = retry_delay_s
        self.entries: dict[str, Entry] = {}
        self.confirmed_at_s = float("-inf")
        self._last_revision: int | None = None

    @property
    def is_loaded(self) -> bool:
        """Whether the prefix has been read and no watch has failed since."""
        return self._last_revision is not None

    async def run(self) -> None:
        """Watches the prefix until cancelled."""
        while True:
            try:
                await self.update_once()
            except _errors.HistoryLostError:
                # The next update is a full read, which includes the changes
                # that were dropped. The store responds, so it comes at once.
                continue
            except _errors.StoreError:
                await self.clock.sleep(self.retry_delay_s)

    async def update_once(self) -> None:
        """Reads the prefix, or waits for the next change.

        Raises:
            StoreError: the store did not respond.
        """
        if self._last_revision is None:
            await self.reload()
            return
        sent_s = self.clock.now()
        try:
            events = await self.store.watch(
                self.prefix, after=self._last_revision, wait_s=self.wait_s
            )
        except _errors.StoreError:
            # The next full read includes the changes missed in between.
            self._last_revision = None
            raise
        self.confirmed_at_s = sent_s
        if not events:
            return
        for event in events:
            if event.kind is EventKind.DELETE:
                self.entries.pop(event.key, None)
            else:
                self.entries[event.key] = Entry(
                    key=event.key, value=event.value, revision=event.revision
                )
        self._last_revision = max(e.revision for e in events)
        self.on_change(frozenset(e.key for e in events))

    def add_entry(self, entry: Entry) -> None:
        """Applies an entry that another process has read or written.

        Has no effect if the entry is not newer than the known one. The watch
        returns the same change later, which then reports nothing new.
        """
        known = self.entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return
        self.entries[entry.key] = entry
        self.on_change(frozenset({entry.key}))

    async def reload(self) -> None:
        """Reads all entries and reports the keys that have changed.

        Raises:
            StoreError: the store did not respond.
        """
        sent_s = self.clock.now()
        entries, revision = await self.store.list_prefix(self.prefix)
        self.confirmed_at_s = sent_s
        before = {k: e.revision for k, e in self.entries.items()}
        self.entries = {e.key: e for e in entries}
        after = {k: e.revision for k, e in self.entries.items()}
        is_first = self._last_revision is None and not before
        self._last_revision = revision
        changed = {
            k
            for k in before.keys() | after.keys()
            if before.get(k) != after.get(k)
        }
        if changed or is_first:
            self.on_change(frozenset(changed))
