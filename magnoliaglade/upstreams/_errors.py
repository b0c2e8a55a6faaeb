"""Errors of the upstreams package."""

from typing import Any

from magnoliaglade import exceptions


class UpstreamError(exceptions.MagnoliagladeError):
    """Base class of the errors of the upstreams package."""


class NotSentError(UpstreamError):
    """The request has not run.

    Attributes:
        response: refusal by the upstream, or None if no byte was written.
    """

    def __init__(self, reason: str, *, response: Any = None) -> None:
        super().__init__(reason)
        self.response = response


class UpstreamRefusedError(NotSentError):
    """The upstream did not accept a connection."""


class OutcomeUnknownError(UpstreamError):
    """Bytes were written and no trustworthy response was received."""


class NoProgressError(OutcomeUnknownError):
    """No byte moved within the progress timeout or before the deadline.

    Attributes:
        probe_answered: whether a probe on another connection was answered
            meanwhile, which distinguishes a silent connection from a silent
            upstream.
    """

    def __init__(self, reason: str, *, probe_answered: bool = False) -> None:
        super().__init__(reason)
        self.probe_answered = probe_answered


class NoSlotError(NotSentError):
    """No slot of an upstream was available before the deadline."""


class SlotLapsedError(NotSentError):
    """The lease of the slot has expired; the slot must not be used."""
