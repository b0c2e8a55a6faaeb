"""Follows all keys under a prefix by watches and full reads."""

from collections.abc import Callable

from magnoliaglade import clock as clock_lib
from magnoliaglade.store import _errors
from magnoliaglade.store.base import Entry, EventKind, Store

# Pause after a failed call; a store that is down is asked four times a second.
RETRY_S = 0.25


class PrefixWatcher:
    """Keeps the entries under a prefix up to date.

    A watch continues after the last change that was seen, not after the
    revision that an empty answer reports. A change that the store withheld
    from one watch is thus delivered by the next one.

    Attributes:
        prefix: prefix of the watched keys.
        wait_s: longest wait of one watch in seconds; a connection that has
            gone silent is noticed this long after the last answer.
        on_change: called with the changed keys after each change.
        entries: current entries by key.
        confirmed_at_s: send time, on the clock, of the last answered call;
            negative infinity before the first.
    """

    def __init__(
        self,
        *,
        store: Store,
        clock: clock_lib.Clock,
        prefix: str,
        wait_s: float,
        on_change: Callable[[frozenset[str]], None] = lambda _: None,
        retry_s: float = RETRY_S,
    ) -> None:
        self.store = store
        self.clock = clock
        self.prefix = prefix
        self.wait_s = wait_s
        self.on_change = on_change
        self.retry_s = retry_s
        self.entries: dict[str, Entry] = {}
        self.confirmed_at_s = float("-inf")
        self._after: int | None = None

    @property
    def is_loaded(self) -> bool:
        """Whether the prefix has been read at least once."""
        return self._after is not None

    async def run(self) -> None:
        """Follows the prefix until cancelled."""
        while True:
            try:
                await self.update_once()
            except _errors.StoreError:
                await self.clock.sleep(self.retry_s)

    async def update_once(self) -> None:
        """Reads the prefix, or waits for the next change.

        Raises:
            StoreError: the store did not answer.
        """
        if self._after is None:
            await self.reload()
            return
        sent_s = self.clock.now()
        try:
            events = await self.store.watch(
                self.prefix, after=self._after, wait_s=self.wait_s
            )
        except _errors.StoreError:
            # A later full read covers whatever was missed in between.
            self._after = None
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
        self._after = max(e.revision for e in events)
        self.on_change(frozenset(e.key for e in events))

    async def reload(self) -> None:
        """Reads all entries and reports those that differ.

        Raises:
            StoreError: the store did not answer.
        """
        sent_s = self.clock.now()
        entries, revision = await self.store.list_prefix(self.prefix)
        self.confirmed_at_s = sent_s
        before = {k: e.revision for k, e in self.entries.items()}
        self.entries = {e.key: e for e in entries}
        after = {k: e.revision for k, e in self.entries.items()}
        is_first = self._after is None and not before
        self._after = revision
        changed = {
            k
            for k in before.keys() | after.keys()
            if before.get(k) != after.get(k)
        }
        if changed or is_first:
            self.on_change(frozenset(changed))
