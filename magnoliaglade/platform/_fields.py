"""Typed access to the fields of decoded JSON.

Fields whose value is 0, false or empty are left out on the wire, so a missing
field reads as that value. A field of another type is an error.
"""

import math
from collections.abc import Mapping
from typing import Any

from magnoliaglade import exceptions

# Whole numbers above this are not kept exactly by every reader of JSON.
MAX_WHOLE = 2**53


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
        """Returns a number of at most `MAX_WHOLE` either way."""
        value = self._value(name, 0, is_required)
        is_number = isinstance(value, int | float)
        if not is_number or isinstance(value, bool) or abs(value) > MAX_WHOLE:
            raise _wrong(name, value, "a number")
        if math.isnan(value):
            raise _wrong(name, value, "a number")
        return float(value)

    def whole(
        self, name: str, *, is_required: bool = False, low: int = 0
    ) -> int:
        """Returns a whole number from `low` to `MAX_WHOLE`."""
        value = self._value(name, 0, is_required)
        if not isinstance(value, int) or isinstance(value, bool):
            raise _wrong(name, value, "a whole number")
        if not low <= value <= MAX_WHOLE:
            raise _wrong(name, value, f"{low} to {MAX_WHOLE}")
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

    def address(self, name: str) -> tuple[str, int]:
        """Returns host and port of a required `host:port`."""
        text = self.text(name, is_required=True)
        host, _, port = text.rpartition(":")
        is_port = port.isascii() and port.isdecimal() and len(port) <= 5
        if not host or not is_port or not 0 < int(port) < 65_536:
            raise _wrong(name, text, "host:port")
        return host, int(port)

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


def _wrong(name: str, value: Any, allowed: str) -> MalformedError:
    return MalformedError(f"{name}: found {value!r:.80}, allowed is {allowed}")
