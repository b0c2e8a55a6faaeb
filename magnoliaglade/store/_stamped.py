"""Writes that can be identified after a lost response.

A stamped value contains its writer and the writer's sequence number. After an
unknown outcome the writer reads the key and determines whether its own write
is stored, without writing twice.
"""

import dataclasses
import itertools
from typing import Any

import msgpack

from magnoliaglade.store import _errors
from magnoliaglade.store.base import Store
from magnoliaglade.types import LeaseId


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stamp:
    """Identifier of one write, unique per process incarnation.

    Attributes:
        writer: id of the writer.
        sequence: number of the write, counted by the writer.
    """

    writer: str
    sequence: int


class StampedWriter:
    """Writes stamped values and resolves unknown outcomes.

    Attributes:
        store: the store.
        writer: id of the writer in its stamps.
        max_attempts: number of attempts per write.
    """

    def __init__(
        self, *, store: Store, writer: str, max_attempts: int = 3
    ) -> None:
        self.store = store
        self.writer = writer
        self.max_attempts = max_attempts
        self._sequence = itertools.count(1)

    def next_stamp(self) -> Stamp:
        """Returns the stamp for a new write."""
        return Stamp(writer=self.writer, sequence=next(self._sequence))

    async def put(
        self,
        key: str,
        body: Any,
        *,
        expected: int,
        stamp: Stamp,
        lease: LeaseId | None = None,
    ) -> int:
        """Writes `body` under the stamp and returns the revision.

        Repeating a call with the same stamp never writes twice.

        Raises:
            ConflictError: the key contains another write.
            StoreUnavailableError: the write is known not to be stored.
            StoreOutcomeUnknownError: the outcome could not be determined.
        """
        value = pack(body, stamp=stamp)
        for attempt in range(self.max_attempts):
            try:
                return await self.store.put(
                    key, value, expected=expected, lease=lease
                )
            except _errors.ConflictError:
                revision = await self.find_write(key, stamp=stamp)
                if revision is None:
                    raise
                return revision
            except _errors.StoreOutcomeUnknownError:
                if attempt == self.max_attempts - 1:
                    raise
            except _errors.StoreUnavailableError:
                # Only the first attempt proves that nothing is stored; after
                # it, an earlier attempt with an unknown outcome may have been
                # stored.
                if attempt == 0:
                    raise
                if attempt == self.max_attempts - 1:
                    raise _errors.StoreOutcomeUnknownError(key) from None
        raise _errors.StoreOutcomeUnknownError(key)

    async def find_write(self, key: str, *, stamp: Stamp) -> int | None:
        """Returns the key's revision if its value has this stamp, or None.

        Raises:
            StoreOutcomeUnknownError: the key could not be read.
        """
        try:
            entry = await self.store.get(key)
        except _errors.StoreUnavailableError as error:
            raise _errors.StoreOutcomeUnknownError(key) from error
        if entry is None or unpack(entry.value)[1] != stamp:
            return None
        return entry.revision


def pack(body: Any, *, stamp: Stamp) -> bytes:
    """Encodes a body with its stamp."""
    return msgpack.packb([stamp.writer, stamp.sequence, body])


def unpack(value: bytes) -> tuple[Any, Stamp]:
    """Decodes a stamped value.

    Raises:
        StoreError: the value is not a stamped value.
    """
    try:
        writer, sequence, body = msgpack.unpackb(value)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise _errors.StoreError(f"value without a stamp: {error}") from error
    return body, Stamp(writer=writer, sequence=sequence)
