"""A small key that shows whether `config/current` still holds a write.

Before a writer replaces the current revision it stores its stamp, and the
store revision that it is about to replace, under `config/marker`. The replaced
store revision in the marker never decreases, so a marker that holds the stamp
of an accepted write proves that no later write had been accepted when it was
read. Reading it transfers some 80 bytes instead of the whole document. A marker
with another stamp proves nothing: its writer may have failed or lost the race,
so the document is read.
"""

import dataclasses

from magnoliaglade import store as store_lib

MARKER_KEY = "config/marker"
# Each conflict means that another writer has announced a write meanwhile.
_MAX_ATTEMPTS = 50


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Marker:
    stamp: store_lib.Stamp
    replaced_store_revision: int
    store_revision: int


class MarkerWriter:
    """Announces writes of the current revision in the marker."""

    def __init__(
        self, *, store: store_lib.Store, stamps: store_lib.StampedWriter
    ) -> None:
        self.store = store
        self.stamps = stamps

    async def read_stamp(self) -> store_lib.Stamp | None:
        """Returns the stamp of the last announced write.

        Raises:
            StoreError: the store did not answer.
        """
        marker = await self._read()
        return marker.stamp if marker else None

    async def announce(
        self, stamp: store_lib.Stamp, *, replaced_store_revision: int
    ) -> None:
        """Announces a write in the marker; idempotent.

        A write that is certain to conflict, because a later one has been
        announced, is not announced.

        Args:
            stamp: stamp of the write.
            replaced_store_revision: store revision that the write expects.

        Raises:
            StoreError: the write must not be attempted.
        """
        for _ in range(_MAX_ATTEMPTS):
            marker = await self._read()
            if marker and marker.stamp == stamp:
                return
            if (
                marker
                and marker.replaced_store_revision > replaced_store_revision
            ):
                return
            try:
                await self.stamps.put(
                    MARKER_KEY,
                    replaced_store_revision,
                    expected=marker.store_revision if marker else 0,
                    stamp=stamp,
                )
                return
            except store_lib.ConflictError:
                continue
        raise store_lib.StoreUnavailableError(f"{MARKER_KEY}: many writers")

    async def _read(self) -> _Marker | None:
        entry = await self.store.get(MARKER_KEY)
        if entry is None:
            return None
        replaced_store_revision, stamp = store_lib.unpack_stamped(entry.value)
        return _Marker(
            stamp=stamp,
            replaced_store_revision=replaced_store_revision,
            store_revision=entry.revision,
        )
