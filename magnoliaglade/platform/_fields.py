"""Decodes JSON and gives typed access to its fields.

Fields whose value is 0, false or empty are omitted on the wire, so a missing
field reads as that value. A field of another type is an error. The texts of
errors about submissions are sent to callers.
"""

import ipaddress
import math
import re
from collections.abc import Mapping
from typing import Any

import orjson

from magnoliaglade import exceptions

# Not every JSON parser represents integers above this value exactly.
MAX_INTEGER = 2**53
# Deepest nesting of arrays and objects; messages have a few levels only.
# Conversions of a value to text fail at some hundred.
MAX_NESTING = 32
MAX_HOST_NAME_LENGTH = 253

_HOST_LABEL = re.compile(
    r"[a-z0-9_]([a-z0-9_-]{0,61}[a-z0-9_])?", re.IGNORECASE
)


class MalformedError(exceptions.MagnoliagladeError):
    """A message has an invalid field or lacks a required one."""


def parse_json(text: bytes) -> Any:
    """Returns the value of a JSON text.

    Raises:
        MalformedError: the text is not valid JSON, or nested too deeply.
    """
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise MalformedError(f"not valid JSON: {error}") from error
    # Most messages have fewer opening brackets than levels are allowed.
    count = text.count(b"[") + text.count(b"{")
    if count > MAX_NESTING and _is_nested_deeper(value, MAX_NESTING):
        raise MalformedError(f"more than {MAX_NESTING} levels of nesting")
    return value


def _is_nested_deeper(value: Any, levels: int) -> bool:
    level = [value]
    for _ in range(levels + 1):
        containers = [v for v in level if isinstance(v, dict | list)]
        if not containers:
            return False
        level = [
            child
            for v in containers
            for child in (v.values() if isinstance(v, dict) else v)
        ]
    return True


class Fields:
    """Reads one JSON object."""

    def __init__(self, *, data: Any) -> None:
        if not isinstance(data, Mapping):
            raise MalformedError(f"an object is expected, found {data!r:.80}")
        self.data = data

    def string(self, name: str, *, is_required: bool = False) -> str:
        """Returns a string; empty if it is missing."""
        value = self._value(name, "", is_required)
        if not isinstance(value, str):
            raise _malformed(name, value, "a text")
        return value

    def number(self, name: str, *, is_required: bool = False) -> float:
        """Returns a number from -`MAX_INTEGER` to `MAX_INTEGER`."""
        value = self._value(name, 0, is_required)
        is_number = isinstance(value, int | float)
        if not is_number or isinstance(value, bool) or abs(value) > MAX_INTEGER:
            raise _malformed(name, value, "a number")
        if math.isnan(value):
            raise _malformed(name, value, "a number")
        return float(value)

    def integer(
        self, name: str, *, is_required: bool = False, low: int = 0
    ) -> int:
        """Returns an integer from `low` to `MAX_INTEGER`."""
        value = self._value(name, 0, is_required)
        if not isinstance(value, int) or isinstance(value, bool):
            raise _malformed(name, value, "a whole number")
        if not low <= value <= MAX_INTEGER:
            raise _malformed(name, value, f"{low} to {MAX_INTEGER}")
        return value

    def boolean(self, name: str) -> bool:
        """Returns a boolean; False if it is missing."""
        value = self._value(name, False, False)
        if not isinstance(value, bool):
            raise _malformed(name, value, "true or false")
        return value

    def array(self, name: str, *, is_required: bool = False) -> list[Any]:
        """Returns an array; empty if it is missing."""
        value = self._value(name, [], is_required)
        if not isinstance(value, list):
            raise _malformed(name, value, "a list")
        return value

    def address(self, name: str) -> tuple[str, int]:
        """Returns host and port of a required string `host:port`."""
        text = self.string(name, is_required=True)
        host, _, port = text.rpartition(":")
        is_port = port.isascii() and port.isdecimal() and len(port) <= 5
        if not _is_host(host) or not is_port or not 0 < int(port) < 65_536:
            raise _malformed(name, text, "host:port")
        return host, int(port)

    def nested(self, name: str) -> "Fields":
        """Returns a nested object; empty if it is missing."""
        return Fields(data=self._value(name, {}, False))

    def _value(self, name: str, default: Any, is_required: bool) -> Any:
        value = self.data.get(name)
        if value is not None:
            return value
        if is_required:
            raise MalformedError(f"{name}: is missing")
        return default


def _is_host(text: str) -> bool:
    """Returns whether a text is a host name or an IP address."""
    if text.startswith("[") and text.endswith("]"):
        try:
            ipaddress.IPv6Address(text[1:-1])
        except ValueError:
            return False
        return True
    return len(text) <= MAX_HOST_NAME_LENGTH and all(
        _HOST_LABEL.fullmatch(label) for label in text.split(".")
    )


def _malformed(name: str, value: Any, allowed: str) -> MalformedError:
    return MalformedError(f"{name}: found {value!r:.80}, allowed is {allowed}")
