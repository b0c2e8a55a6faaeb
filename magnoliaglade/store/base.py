"""Interface of the platform's key-value service.

An adapter for another service implements `Store`. Revisions are positive
integers that increase with every write to the store; 0 stands for a key that
does not exist. Every call counts towards the service's rate limit, and a
waiting watch counts as one call.
"""

import dataclasses
import enum
from collections.abc import Mapping, Sequence
from typing import Protocol

from magnoliaglade.types import LeaseId

__all__ = [
    "MAX_VALUE_BYTES",
    "Entry",
    "Event",
    "EventKind",
    "Put",
    "Store",
    "TransactionalStore",
]

# Largest value that the service accepts.
MAX_VALUE_BYTES = 1_000_000


class EventKind(enum.Enum):
    """Kind of a change that a watch returns."""

    PUT = "put"
    DELETE = "delete"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """A key with its value, the revision of its last write and its lease."""

    key: str
    value: bytes
    revision: int
    lease: LeaseId | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """One change under a watched prefix."""

    kind: EventKind
    key: str
    revision: int
    value: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Put:
    """One write of a transaction."""

    key: str
    value: bytes
    lease: LeaseId | None = None


class Store(Protocol):
    """Key-value service with compare-and-swap, leases and watches.

    Every method may raise `StoreUnavailableError` (the call had no effect) or
    `StoreOutcomeUnknownError` (a write may have taken effect).
    """

    async def get(self, key: str) -> Entry | None:
        """Returns the entry, or None if the key does not exist."""

    async def list_prefix(self, prefix: str) -> tuple[list[Entry], int]:
        """Returns the entries in key order, and the store's revision."""

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected: int | None = None,
        lease: LeaseId | None = None,
    ) -> int:
        """Writes a value and returns its revision.

        Args:
            key: the key.
            value: at most `MAX_VALUE_BYTES`.
            expected: the revision that the key must have; 0 if the key must
                not exist; None writes unconditionally.
            lease: the key is deleted when this lease ends.

        Raises:
            ConflictError: the key has another revision.
            LeaseLostError: the lease has ended.
        """

    async def delete(self, key: str, *, expected: int | None = None) -> None:
        """Deletes a key; has no effect if the key does not exist.

        Raises:
            ConflictError: the key has another revision.
        """

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Creates a lease that ends `ttl_s` seconds after its last renewal."""

    async def renew_lease(self, lease: LeaseId) -> None:
        """Extends the lease by its TTL.

        Raises:
            LeaseLostError: the lease has ended.
        """

    async def revoke_lease(self, lease: LeaseId) -> None:
        """Ends the lease and deletes its keys."""

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> list[Event]:
        """Returns the changes with a revision above `after`.

        Waits up to `wait_s` seconds for the first one and returns an empty
        list if there is none.

        Raises:
            HistoryLostError: the store no longer keeps all changes after
                `after`.
        """


class TransactionalStore(Store, Protocol):
    """A store that can also change several keys atomically."""

    async def transact(
        self,
        *,
        expected: Mapping[str, int],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> int:
        """Applies all writes, or none, and returns their revision.

        Args:
            expected: revision that each key must have; 0 stands for a key
                that does not exist.
            puts: values to write.
            deletes: keys to remove.

        Raises:
            TransactionConflictError: a key has another revision.
            LeaseLostError: the lease of a write has ended.
        """
