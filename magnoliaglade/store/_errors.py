"""Errors of the store layer."""

from magnoliaglade import exceptions


class StoreError(exceptions.MagnoliagladeError):
    """Base class of the store layer's errors."""


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


class LeaseLostError(StoreError):
    """The store does not know the lease; it has expired or was revoked."""


class StoreUnavailableError(StoreError):
    """The store refused the call or was not reached; nothing happened."""


class StoreUnknownError(StoreError):
    """The call timed out or its answer broke off; a write may be in."""


class LeaseLapsedError(StoreError):
    """The lease is no longer valid on the holder's clock."""


class LogFencedError(StoreError):
    """Another writer has opened the log; this writer must stop."""


class LogUnavailableError(StoreError):
    """The record was not written.

    The slot of the record is held by another batch or is known to be empty.
    """
