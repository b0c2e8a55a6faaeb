"""Typed access to the fields of decoded JSON.

Fields whose value is 0, false or empty are left out on the wire, so a missing
field reads as that value. A field of another type is an error.
"""

from collections.abc import Mapping
from typing import Any

from magnoliaglade import exceptions


class MalformedError(exceptions.MagnoliagladeError):
    """A message has a field of another type, or lacks a required one."""


class Fields:
    """Reads one JSON object."""

    def __init__(self, *, data: Any) -> None:
        if not isinstance(data, Mapping):
            raise MalformedError(f"an object is expected, found {data!r:.80}")
        self.data = data

    def text(self, name: str, *, is_required: bool = False) -> str:
        """Returns a text."""
        value = self._value(name, "", is_required)
        if not isinstance(value, str):
            raise _wrong(name, value, "a text")
        return value

    def number(self, name: str, *, is_required: bool = False) -> float:
        """Returns a finite number."""
        value = self._value(name, 0, is_required)
        is_number = isinstance(value, int | float)
        if not is_number or isinstance(value, bool) or not _is_finite(value):
            raise _wrong(name, value, "a number")
        return float(value)

    def whole(
        self, name: str, *, is_required: bool = False, low: int = 0
    ) -> int:
        """Returns a whole number of at least `low`."""
        value = self._value(name, 0, is_required)
        if not isinstance(value, int) or isinstance(value, bool):
            raise _wrong(name, value, "a whole number")
        if value < low:
            raise _wrong(name, value, f"at least {low}")
        return value

    def flag(self, name: str) -> bool:
        """Returns true or false."""
        value = self._value(name, False, False)
        if not isinstance(value, bool):
            raise _wrong(name, value, "true or false")
        return value

    def items(self, name: str, *, is_required: bool = False) -> list[Any]:
        """Returns a list."""
        value = self._value(name, [], is_required)
        if not isinstance(value, list):
            raise _wrong(name, value, "a list")
        return value

    def part(self, name: str) -> "Fields":
        """Returns an object within this one; empty if it is missing."""
        return Fields(data=self._value(name, {}, False))

    def _value(self, name: str, default: Any, is_required: bool) -> Any:
        value = self.data.get(name)
        if value is not None:
            return value
        if is_required:
            raise MalformedError(f"{name}: is missing")
        return default


def _is_finite(value: float) -> bool:
    return value == value and abs(value) != float("inf")


def _wrong(name: str, value: Any, allowed: str) -> MalformedError:
    return MalformedError(f"{name}: found {value!r:.80}, allowed is {allowed}")
