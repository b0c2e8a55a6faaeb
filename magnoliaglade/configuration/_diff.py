"""Human-readable differences between two configurations."""

import dataclasses
from collections.abc import Iterator
from typing import Any

from magnoliaglade.configuration import _codec, _schema

_NAME_FIELDS = ("zone", "account", "service", "name")
_ABSENT = object()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """One difference; `old` or `new` is None if the path is absent there."""

    path: str
    old: str | None
    new: str | None

    def __str__(self) -> str:
        if self.old is None:
            return f"+ {self.path}: {self.new}"
        if self.new is None:
            return f"- {self.path}: {self.old}"
        return f"~ {self.path}: {self.old} -> {self.new}"


def diff(
    old: _schema.Configuration, new: _schema.Configuration
) -> tuple[Change, ...]:
    """Returns the differences in the order of the schema.

    Revisions are not compared. Changed answers are reported without their
    text, because the configuration generated from them is compared already.
    """
    a, b = _codec.encode(old), _codec.encode(new)
    for plain in (a, b):
        del plain["revision"]
    answers = a.pop("answers"), b.pop("answers")
    changes = list(_compare("", a, b))
    if answers[0] != answers[1]:
        changes.append(Change(path="answers", old="text", new="other text"))
    return tuple(changes)


def _compare(path: str, old: Any, new: Any) -> Iterator[Change]:
    if old == new:
        return
    left, right = _children(old), _children(new)
    if left is None or right is None:
        yield Change(path=path, old=_format(old), new=_format(new))
        return
    for key in dict.fromkeys([*left, *right]):
        child_path = f"{path}{key}".lstrip(".")
        before, after = left.get(key, _ABSENT), right.get(key, _ABSENT)
        yield from _compare(child_path, before, after)


def _children(value: Any) -> dict[str, Any] | None:
    if isinstance(value, dict):
        return {f".{k}": v for k, v in value.items()}
    if not isinstance(value, list):
        return None
    return {f"[{_item_key(item, i)}]": item for i, item in enumerate(value)}


def _item_key(item: Any, index: int) -> str:
    # Guarantees have a zone but no name, so they are matched by position.
    if not isinstance(item, dict) or "level" in item:
        return str(index)
    return next((item[n] for n in _NAME_FIELDS if n in item), str(index))


def _format(value: Any) -> str | None:
    if value is _ABSENT:
        return None
    if isinstance(value, dict):
        return ", ".join(f"{k}={v}" for k, v in value.items())
    return str(value)
