"""Converts typed state to plain data, for dumps as JSON or YAML."""

import dataclasses
import enum
import functools
import math
from typing import Any


@functools.singledispatch
def to_plain(value: Any) -> Any:
    """Returns `value` as dictionaries, lists, strings and numbers."""
    if dataclasses.is_dataclass(value):
        fields = dataclasses.fields(value)
        return {f.name: to_plain(getattr(value, f.name)) for f in fields}
    return repr(value)


@to_plain.register(str)
@to_plain.register(int)
@to_plain.register(type(None))
def _(value: Any) -> Any:
    return value


@to_plain.register
def _(value: float) -> Any:
    return value if math.isfinite(value) else str(value)


@to_plain.register
def _(value: bytes) -> str:
    return f"{len(value)} bytes"


@to_plain.register
def _(value: enum.Enum) -> Any:
    return value.value


@to_plain.register
def _(value: dict) -> dict[str, Any]:
    return {str(to_plain(k)): to_plain(v) for k, v in value.items()}


@to_plain.register(list)
@to_plain.register(tuple)
def _(value: Any) -> list[Any]:
    return [to_plain(v) for v in value]


@to_plain.register(set)
@to_plain.register(frozenset)
def _(value: Any) -> list[Any]:
    return sorted((to_plain(v) for v in value), key=str)
