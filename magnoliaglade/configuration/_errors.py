"""Errors of the configuration layer."""

from typing import Any

from magnoliaglade import exceptions

# Longer values are truncated in messages; an input file may contain anything.
_MAX_VALUE_CHARS = 80


class ConfigurationError(exceptions.MagnoliagladeError):
    """Base class of errors of the configuration layer."""


class InvalidConfigurationError(ConfigurationError):
    """A value in a file or key is not allowed.

    Attributes:
        source: file or key that was read.
        path: place of the value within the source.
        found: the value as text, see `format_value`.
        allowed: description of the values that are accepted.
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


class ConfigurationUnavailableError(ConfigurationError):
    """The store could not be reached; nothing was changed."""


class ConfigurationOutcomeUnknownError(ConfigurationError):
    """The outcome of a write is unknown because the response was lost.

    `ConfigurationStore.resolve` repeats the write, or finds out whether it was
    accepted.

    Attributes:
        pending: the write whose outcome is unknown; None for a read.
    """

    def __init__(self, text: str, *, pending: Any = None) -> None:
        super().__init__(text)
        self.pending = pending


class ConflictingChangeError(ConfigurationError):
    """Another operator's change was accepted first; nothing was changed.

    Attributes:
        base: revision from which the rejected configuration was made.
        current: the current configuration; None if there is none.
        changes: differences between `base` and the current configuration.
    """

    def __init__(self, *, base: int, current: Any, changes: Any) -> None:
        self.base = base
        self.current = current
        self.changes = changes
        revision = current.revision if current else 0
        lines = "".join(f"\n  {c}" for c in changes)
        super().__init__(
            f"made from revision {base}, but revision {revision} is current; "
            f"changed since:{lines or ' unknown'}"
        )


def format_value(value: Any) -> str:
    """Returns a short text for any value, truncated if it is long."""
    try:
        text = ascii(value)
    except (ValueError, RecursionError):
        # Integers beyond the interpreter's digit limit cannot be formatted.
        text = f"a value of type {type(value).__name__}"
    if len(text) <= _MAX_VALUE_CHARS:
        return text
    return text[:_MAX_VALUE_CHARS] + "..."
