"""Errors of the execution layer."""

from magnoliaglade import exceptions


class ExecutionError(exceptions.MagnoliagladeError):
    """Base class of the execution layer's errors."""


class RecordError(ExecutionError):
    """A record of the job log cannot be decoded."""


class NotRunError(ExecutionError):
    """The command was refused and had no effect: a job was not accepted."""


class OutcomeUnknownError(ExecutionError):
    """The command may have had its effect; repeating it is harmless."""


class UnknownJobError(ExecutionError):
    """The domain has no such job, or forgot it after it ended."""


class NotOwnerError(NotRunError):
    """The instance no longer owns the domain, or does not own it yet."""


class ForwardError(ExecutionError):
    """The other domain did not acknowledge a job; it is forwarded again."""
