"""Errors of the entry process."""

from magnoliaglade import exceptions


class DaemonError(exceptions.MagnoliagladeError):
    """Base class of the entry process's errors."""


class CallRefusedError(DaemonError):
    """An HTTP call is refused; it had no effect.

    Attributes:
        status: HTTP status of the answer.
    """

    def __init__(self, reason: str, *, status: int) -> None:
        super().__init__(reason)
        self.status = status
