"""Errors of the requests layer."""

from magnoliaglade import exceptions


class RequestError(exceptions.MagnoliagladeError):
    """Base class of the requests layer's errors."""


class RefusedError(RequestError):
    """Admission refused the request; nothing was sent to an upstream."""


class NotSentError(RequestError):
    """The request did not run.

    No byte was written to an upstream, or the upstream refused the request
    before running it.
    """


class OutcomeUnknownError(RequestError):
    """Bytes were written to an upstream and no whole answer came back."""


class AuthenticationError(RequestError):
    """The credentials do not belong to a client account."""
