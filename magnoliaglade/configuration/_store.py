"""Accepted revisions of the configuration in the store.

`config/current` holds the current revision and `config/history/<revision>`
the last accepted ones, each stamped with the writer and its sequence number. A
writer adds the revision that it replaces to the history before it replaces it,
so a write that was accepted and then superseded can always be found there until
it is pruned. `config/marker` holds the stamp of the last announced write.
`config/commands/<zone>` holds the latest command on a zone, which orders the
commands of instances that are partitioned from each other.
"""

import contextlib
import dataclasses
from collections.abc import Callable, Iterator
from typing import Any

from magnoliaglade import store as store_lib
from magnoliaglade.configuration import (
    _codec,
    _diff,
    _edits,
    _errors,
    _marker,
    _pruning,
    _schema,
    _stored,
)
from magnoliaglade.types import Revision, ZoneId

CURRENT_KEY = "config/current"
_HISTORY_PREFIX = _pruning.HISTORY_PREFIX
# Limits a listing, which reads one document for each revision.
LISTED_REVISIONS = 50
_COMMAND_PREFIX = "config/commands/"

# Each conflict means that another change was accepted. At 3,900 changes a day,
# 50 changes within one call occur only in case of a fault.
_MAX_CHANGE_ATTEMPTS = 50

Edit = Callable[[_schema.Configuration], _schema.Configuration]


class ConfigurationStore:
    """Reads and accepts configurations.

    `writer` must be unique for each process and each restart, because every
    process numbers its stamps from 1.
    """

    def __init__(
        self,
        *,
        store: store_lib.Store,
        writer: str,
        history_revisions: int = _pruning.HISTORY_REVISIONS,
    ) -> None:
        self.store = store
        self.writer = writer
        self.history_revisions = history_revisions
        self._stamps = store_lib.StampedWriter(store=store, writer=writer)
        self._latest_decoded: (
            tuple[bytes, _stored.StoredConfiguration] | None
        ) = None
        self._marker = _marker.MarkerWriter(store=store, stamps=self._stamps)
        self._pruner = _pruning.HistoryPruner(
            store=store, stamps=self._stamps, revisions=history_revisions
        )

    async def current(self) -> _stored.StoredConfiguration | None:
        """Returns the current configuration, or None before the first one.

        Raises:
            ConfigurationUnavailableError, ConfigurationOutcomeUnknownError:
                the store was not reached.
            InvalidConfigurationError: the stored value is damaged.
        """
        with _translated_errors():
            entry = await self.store.get(CURRENT_KEY)
        if entry is None:
            return None
        # Readers confirm the revision every second, and decoding a document
        # of 64 accounts takes several milliseconds.
        if (
            self._latest_decoded is not None
            and self._latest_decoded[0] == entry.value
        ):
            latest = self._latest_decoded[1]
            if latest.store_revision == entry.revision:
                return latest
        stored = _decode(entry)
        self._latest_decoded = (entry.value, stored)
        return stored

    async def get_revision(
        self, revision: int
    ) -> _stored.StoredConfiguration | None:
        """Returns an accepted revision, or None if the history lacks it."""
        stored = await self.get_history_entry(revision)
        if stored is not None:
            return stored
        # The latest revision is added to the history after it was accepted.
        current = await self.current()
        if current and current.configuration.revision == revision:
            return current
        return None

    async def history(
        self, *, limit: int = LISTED_REVISIONS
    ) -> tuple[_stored.StoredConfiguration, ...]:
        """Returns the accepted ones among the last revisions, oldest first.

        Args:
            limit: number of revisions to look up, at one store call each.
        """
        current = await self.current()
        if current is None:
            return ()
        last = current.configuration.revision
        found = [current]
        for revision in range(last - 1, max(0, last - limit), -1):
            stored = await self.get_history_entry(revision)
            if stored is not None:
                found.append(stored)
        return tuple(reversed(found))

    async def diff(self, old: int, new: int) -> tuple[_diff.Change, ...]:
        """Returns the differences between two revisions.

        Raises:
            InvalidConfigurationError: the history lacks a revision.
        """
        pair = []
        for revision in (old, new):
            stored = await self.get_revision(revision)
            if stored is None:
                raise _errors.InvalidConfigurationError(
                    source="config/history",
                    path=str(revision),
                    found="nothing",
                    allowed="an accepted revision",
                )
            pair.append(stored.configuration)
        return _diff.diff(*pair)

    async def accept(
        self,
        configuration: _schema.Configuration,
        *,
        base: int | None = None,
    ) -> _stored.StoredConfiguration:
        """Makes a configuration current unless another change came first.

        Args:
            configuration: the next configuration.
            base: revision from which it was made; by default the preceding one.
                After the store has lost revisions, the last configuration in
                force is accepted again with a higher revision over the base
                that the store has.

        Raises:
            ConflictingChangeError: another change is current.
            InvalidConfigurationError: the structure does not pass the check.
            ConfigurationUnavailableError: nothing was changed.
            ConfigurationOutcomeUnknownError: the outcome is unknown, see
                `resolve`.
        """
        base = configuration.revision - 1 if base is None else base
        _edits.require_acceptable(configuration, base)
        try:
            current = await self._read_base(base)
        except _errors.ConfigurationOutcomeUnknownError as error:
            # Nothing but a missing history entry has been written so far.
            raise _errors.ConfigurationUnavailableError(str(error)) from error
        return await self.resolve(
            _stored.PendingWrite(
                configuration=configuration,
                base=base,
                expected=current.store_revision if current else 0,
                stamp=self._stamps.next_stamp(),
            )
        )

    async def resolve(
        self, pending: _stored.PendingWrite
    ) -> _stored.StoredConfiguration:
        """Writes a revision, or returns it if it was accepted before.

        Repeating it never accepts a configuration twice.

        Raises:
            See `accept`.
        """
        try:
            await self._marker.announce(
                pending.stamp, replaced_store_revision=pending.expected
            )
            revision = await self._stamps.put(
                CURRENT_KEY,
                _codec.encode(pending.configuration),
                expected=pending.expected,
                stamp=pending.stamp,
            )
        except store_lib.ConflictError:
            return await self._find_superseded(pending)
        except store_lib.StoreOutcomeUnknownError as error:
            raise _errors.ConfigurationOutcomeUnknownError(
                str(error), pending=pending
            ) from error
        except store_lib.StoreError as error:
            raise _errors.ConfigurationUnavailableError(str(error)) from error
        stored = _stored.StoredConfiguration(
            configuration=pending.configuration,
            stamp=pending.stamp,
            store_revision=revision,
        )
        # If this fails, the next writer records it; see the module docstring.
        with contextlib.suppress(_errors.ConfigurationError):
            await self._record(stored)
        self._pruner.prune_if_due(
            pending.configuration.revision, base=pending.base
        )
        return stored

    async def get_history_entry(
        self, revision: int
    ) -> _stored.StoredConfiguration | None:
        """Returns a revision from the history alone, or None."""
        return await self._read(f"{_HISTORY_PREFIX}{revision}")

    async def is_current(self, stamp: store_lib.Stamp) -> bool:
        """Returns whether an accepted write is certainly the last one.

        False is inconclusive; `current` then gives the answer.
        """
        with _translated_errors():
            return await self._marker.read_stamp() == stamp

    async def watch(self, *, after: int, wait_s: float) -> bool:
        """Waits for a write of the current revision.

        Args:
            after: latest known store revision of the key.
            wait_s: longest wait in seconds.

        Returns:
            Whether a write occurred.
        """
        with _translated_errors():
            events = await self.store.watch(
                CURRENT_KEY, after=after, wait_s=wait_s
            )
        return bool(events)

    async def get_command(self, zone: ZoneId) -> tuple[Any, int]:
        """Returns the latest command on a zone and its store revision.

        Without a command, returns None and 0.
        """
        with _translated_errors():
            entry = await self.store.get(_COMMAND_PREFIX + zone)
            if entry is None:
                return None, 0
            return store_lib.unpack_stamped(entry.value)[0], entry.revision

    async def record_command(
        self, zone: ZoneId, plain: Any, *, expected: int
    ) -> bool:
        """Records a command; returns False if another one came first."""
        with _translated_errors():
            try:
                await self._stamps.put(
                    _COMMAND_PREFIX + zone,
                    plain,
                    expected=expected,
                    stamp=self._stamps.next_stamp(),
                )
            except store_lib.ConflictError:
                return False
        return True

    async def change(self, edit: Edit) -> _stored.StoredConfiguration:
        """Applies an edit to the current configuration.

        The edit is repeated on the changed configuration when another change
        is accepted first, so neither is lost. It gets and returns a
        configuration of the current revision; an edit that changes nothing
        writes nothing.

        Raises:
            See `accept`.
        """
        for attempt in range(_MAX_CHANGE_ATTEMPTS):
            current = await self.current()
            if current is None:
                raise _edits.missing_configuration_error()
            edited = edit(current.configuration)
            if edited == current.configuration:
                return current
            revision = Revision(current.configuration.revision + 1)
            try:
                return await self.accept(
                    dataclasses.replace(edited, revision=revision)
                )
            except _errors.ConflictingChangeError:
                if attempt == _MAX_CHANGE_ATTEMPTS - 1:
                    raise
        raise AssertionError("unreachable")

    async def set_zone_state(
        self, zone: ZoneId, state: _schema.ZoneState
    ) -> _stored.StoredConfiguration:
        """Removes a zone from service or returns it.

        Raises:
            InvalidConfigurationError: the zone is not configured.
            Otherwise see `accept`.
        """
        return await self.change(
            lambda c: _edits.with_zone_state(c, zone, state)
        )

    async def _read_base(self, base: int) -> _stored.StoredConfiguration | None:
        """Adds the current revision to the history and returns it."""
        current = await self.current()
        actual = current.configuration.revision if current else 0
        if actual != base:
            raise await self._conflict_error(base, current)
        if current is not None:
            await self._record(current)
        return current

    async def _find_superseded(
        self, pending: _stored.PendingWrite
    ) -> _stored.StoredConfiguration:
        """Returns an accepted and replaced write from the history."""
        revision = pending.configuration.revision
        try:
            recorded = await self.get_history_entry(revision)
            if recorded is not None and recorded.stamp == pending.stamp:
                return recorded
            current = await self.current()
            self._require_unpruned(pending, current)
            conflict = await self._conflict_error(pending.base, current)
        except (
            _errors.ConfigurationUnavailableError,
            _errors.ConfigurationOutcomeUnknownError,
        ) as error:
            raise _errors.ConfigurationOutcomeUnknownError(
                str(error), pending=pending
            ) from error
        raise conflict

    def _require_unpruned(
        self,
        pending: _stored.PendingWrite,
        current: _stored.StoredConfiguration | None,
    ) -> None:
        """Raises if the write may have been pruned from the history."""
        last = current.configuration.revision if current else 0
        if self._pruner.is_pruned(pending.configuration.revision, current=last):
            raise _errors.ConfigurationOutcomeUnknownError(
                f"revision {pending.configuration.revision} is older than the "
                f"history, which ends {self.history_revisions} before {last}",
                pending=pending,
            )

    async def _conflict_error(
        self, base: int, current: _stored.StoredConfiguration | None
    ) -> _errors.ConflictingChangeError:
        base_stored = await self.get_history_entry(base)
        theirs = current.configuration if current else None
        changes = ()
        if base_stored is not None and theirs is not None:
            changes = _diff.diff(base_stored.configuration, theirs)
        return _errors.ConflictingChangeError(
            base=base, current=theirs, changes=changes
        )

    async def _record(self, stored: _stored.StoredConfiguration) -> None:
        """Writes a revision to the history unless it is already there.

        A write that is retried after a lost answer has the same content.
        """
        key = f"{_HISTORY_PREFIX}{stored.configuration.revision}"
        recorded = await self._read(key)
        if recorded is not None and recorded.stamp == stored.stamp:
            return
        # A different stamp dates from before the store lost revisions.
        expected = recorded.store_revision if recorded else 0
        with _translated_errors():
            try:
                await self._stamps.put(
                    key,
                    _codec.encode(stored.configuration),
                    expected=expected,
                    stamp=stored.stamp,
                )
            except store_lib.ConflictError:
                return

    async def _read(self, key: str) -> _stored.StoredConfiguration | None:
        with _translated_errors():
            entry = await self.store.get(key)
        return None if entry is None else _decode(entry)


def _decode(entry: store_lib.Entry) -> _stored.StoredConfiguration:
    return _stored.StoredConfiguration.from_bytes(
        entry.value, source=entry.key, store_revision=entry.revision
    )


@contextlib.contextmanager
def _translated_errors() -> Iterator[Any]:
    try:
        yield
    except store_lib.StoreUnavailableError as error:
        raise _errors.ConfigurationUnavailableError(str(error)) from error
    except store_lib.StoreError as error:
        raise _errors.ConfigurationOutcomeUnknownError(str(error)) from error
