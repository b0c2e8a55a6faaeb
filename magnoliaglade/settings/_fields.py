"""Declaration and validation of settings fields."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from returns import result

from magnoliaglade import base
from magnoliaglade.settings import _errors

# Marks a field without a default.
REQUIRED: Any = object()


@dataclasses.dataclass(frozen=True, kw_only=True)
class NonEmptyText:
    """A string that is not empty and has at most `max_length` characters."""

    max_length: int = 255

    def accepts(self, value: Any) -> bool:
        """Returns whether `value` is such a string."""
        return isinstance(value, str) and 0 < len(value) <= self.max_length

    def __str__(self) -> str:
        return f"a text of 1 to {self.max_length} characters"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Url:
    """A base URL with the scheme http or https."""

    def accepts(self, value: Any) -> bool:
        """Returns whether `value` is such a URL."""
        if not isinstance(value, str):
            return False
        return value.startswith(("http://", "https://")) and len(value) > 10

    def __str__(self) -> str:
        return "a URL such as http://10.0.0.1:2379"


Constraint = NonEmptyText | Url | base.Interval | base.Options | base.InstanceOf


@dataclasses.dataclass(frozen=True, kw_only=True)
class Field:
    """One key of the settings file.

    Attributes:
        key: dotted key.
        constraint: which values are allowed.
        help: description of the field in one line.
        default: value if the key is missing; `REQUIRED` if it must be given.
    """

    key: str
    constraint: Constraint
    help: str
    default: Any = REQUIRED


def check(
    fields: tuple[Field, ...], data: Any
) -> result.Result[dict[str, Any], list[_errors.Problem]]:
    """Returns the values by dotted key, or a list of every problem."""
    if not isinstance(data, Mapping):
        return result.Failure(
            [_errors.Problem(key="(file)", found=data, allowed="a mapping")]
        )
    given = dict(_flatten(data, fields))
    known = {f.key: f for f in fields}
    problems = [
        _errors.Problem(key=k, found=v, allowed="no such key")
        for k, v in given.items()
        if k not in known
    ]
    values: dict[str, Any] = {}
    for key, field in known.items():
        value = given.get(key, field.default)
        if value is REQUIRED:
            problem = _errors.Problem(
                key=key, found=None, allowed=f"{field.constraint} (required)"
            )
            problems.append(problem)
        elif key in given and not field.constraint.accepts(value):
            problems.append(
                _errors.Problem(
                    key=key, found=value, allowed=str(field.constraint)
                )
            )
        values[key] = value
    return result.Failure(problems) if problems else result.Success(values)


def _flatten(data: Mapping[Any, Any], fields: tuple[Field, ...]) -> Any:
    sections = {f.key.partition(".")[0] for f in fields if "." in f.key}
    for key, value in data.items():
        if key in sections and isinstance(value, Mapping):
            for inner, item in value.items():
                yield f"{key}.{inner}", item
        else:
            yield str(key), value
