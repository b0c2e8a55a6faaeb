"""Root of the project's error hierarchy.

Each subpackage derives its own errors from `MagnoliagladeError` and translates
the errors of the layer below, so a caller handles one base class per layer.
"""

__all__ = ["InvalidParameterError", "MagnoliagladeError"]


class MagnoliagladeError(Exception):
    """Base class of all errors that this project defines and raises."""


class InvalidParameterError(MagnoliagladeError, ValueError):
    """A constructor parameter violates its declared constraint."""
