"""Errors of the scheduling layer."""

from magnoliaglade import exceptions


class SchedulingError(exceptions.MagnoliagladeError):
    """Base class of the scheduling layer's errors."""


class InvalidPlanError(SchedulingError):
    """A plan contradicts the snapshot to which it is applied."""
