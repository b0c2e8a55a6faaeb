"""Root of the project's error hierarchy.

Each subpackage derives its own errors from `MagnoliagladeError` and translates
the errors of the layer below, so a caller handles one family per layer.
"""

__all__ = ["InvalidParameterError", "MagnoliagladeError"]


class MagnoliagladeError(Exception):
    """Base class of every error that this project raises on purpose."""


class InvalidParameterError(MagnoliagladeError, ValueError):
    """A constructor parameter violates its declared constraint."""
