"""Errors of the configuration layer."""

from typing import Any

from magnoliaglade import exceptions

# Longer values are cut in messages; an input file may contain anything.
_SHOWN_CHARACTERS = 80


class ConfigurationError(exceptions.MagnoliagladeError):
    """Base class of the configuration layer's errors."""


class InvalidConfigurationError(ConfigurationError):
    """A value in a file or key is not allowed.

    Attributes:
        source: file or key that was read.
        path: place of the value within it.
        found: the value as text, see `shown`.
        allowed: what would be accepted.
    """

    def __init__(
        self, *, source: str, path: str, found: str, allowed: str
    ) -> None:
        self.source = source
        self.path = path or "(top level)"
        self.found = found
        self.allowed = allowed
        super().__init__(
            f"{source}: {self.path}: found {self.found}; allowed: {allowed}"
        )


def shown(value: Any) -> str:
    """Returns a short text for any value."""
    try:
        text = ascii(value)
    except (ValueError, RecursionError):
        # Integers beyond the interpreter's digit limit have no text.
        text = f"a value of type {type(value).__name__}"
    if len(text) <= _SHOWN_CHARACTERS:
        return text
    return text[:_SHOWN_CHARACTERS] + "..."
