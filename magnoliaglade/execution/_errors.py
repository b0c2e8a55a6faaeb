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


class NotOwnerError(ExecutionError):
    """The instance does not own the domain now; ask the owner.

    This call had no effect, but an owner before or after may have accepted
    the same submission, so it does not say that the job was not accepted.
    """


class ForwardError(ExecutionError):
    """The other domain did not acknowledge a job; it is forwarded again."""
