"""Errors of the store layer."""

from collections.abc import Mapping

from magnoliaglade import exceptions
from magnoliaglade.store.base import Entry


class StoreError(exceptions.MagnoliagladeError):
    """Base class of the errors of the store layer."""


class ConflictError(StoreError):
    """A compare-and-swap found another revision.

    Attributes:
        actual: the key's current revision; 0 if the key does not exist.
    """

    def __init__(self, *, key: str, expected: int, actual: int) -> None:
        super().__init__(f"{key}: expected revision {expected}, is {actual}")
        self.key = key
        self.expected = expected
        self.actual = actual


class TransactionConflictError(StoreError):
    """A transaction found another revision of an expected key.

    Attributes:
        entries: current entries of the expected keys; None for a key that
            does not exist.
    """

    def __init__(self, *, entries: Mapping[str, Entry | None]) -> None:
        super().__init__(f"unexpected revision of one of {sorted(entries)}")
        self.entries = dict(entries)


class HistoryLostError(StoreError):
    """The store no longer keeps the changes that a watch requested."""


class LeaseLostError(StoreError):
    """The store has no such lease; it has expired or was revoked."""


class StoreUnavailableError(StoreError):
    """The store refused the call or was not reached; it had no effect."""


class StoreThrottledError(StoreUnavailableError):
    """The store refused the call because of its rate limit."""


class StoreOutcomeUnknownError(StoreError):
    """The call timed out or its response broke off; a write may be stored."""


class LeaseLapsedError(StoreError):
    """The lease is no longer valid on the holder's clock."""


class LogFencedError(StoreError):
    """Another writer has opened the log; this writer must stop."""


class LogUnavailableError(StoreError):
    """The record was not written.

    The slot of the record contains another batch or is known to be empty.
    """
