"""Errors of the requests layer."""

from magnoliaglade import exceptions
from magnoliaglade.requests import _causes


class RequestError(exceptions.MagnoliagladeError):
    """Base class of the requests layer's errors.

    Attributes:
        cause: cause of the refusal if the request did not run.
    """

    cause = _causes.NotRunCause.UNAVAILABLE


class RefusedError(RequestError):
    """Admission refused the request; nothing was sent to an upstream."""

    def __init__(
        self,
        reason: str,
        *,
        cause: _causes.NotRunCause = _causes.NotRunCause.UNAVAILABLE,
    ) -> None:
        super().__init__(reason)
        self.cause = cause


class NotSentError(RequestError):
    """The request did not run.

    No byte was written to an upstream, or the upstream refused the request
    before running it.
    """


class OutcomeUnknownError(RequestError):
    """Bytes were written to an upstream and no whole answer came back."""


class AuthenticationError(RequestError):
    """The credentials do not belong to a client account."""

    cause = _causes.NotRunCause.UNAUTHENTICATED
