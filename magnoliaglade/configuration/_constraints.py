"""Constraints on the fields of the configuration."""

import dataclasses
import re
from typing import Any

from magnoliaglade import base
from magnoliaglade.configuration import _schema

# Largest integer that msgpack encodes as signed; it also bounds every count.
_MAX_INT = 2**63 - 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pattern:
    """Text that matches a regular expression in full."""

    expression: str
    description: str

    def accepts(self, value: Any) -> bool:
        """Returns whether `value` is a string that matches in full."""
        if not isinstance(value, str):
            return False
        return re.fullmatch(self.expression, value) is not None

    def __str__(self) -> str:
        return self.description


Constraint = base.Constraint | Pattern

# Names are used as path segments of requests and as parts of store keys.
NAME = Pattern(
    expression=r"[a-z0-9][a-z0-9._-]{0,62}",
    description="a name of 1 to 63 characters from a-z 0-9 . _ -, which "
    "begins with a letter or digit",
)
DIGEST = Pattern(
    expression=r"[0-9a-f]{64}",
    description="a SHA-256 digest of 64 hexadecimal digits in lower case",
)
TEXT = Pattern(
    expression=r"(?s)[^\ud800-\udfff]*", description="text in Unicode"
)
COUNT = base.Interval(kind=int, low=1, high=1_000_000)
POSITIVE = base.Interval(kind=float, low=0, low_open=True, high=1e9)
SHARE = base.Interval(kind=float, low=0, high=1)
CELL_SIZES = base.Options(values=frozenset({1, 2, 4, 8}))
REVISION = base.Interval(kind=int, low=0, high=_MAX_INT)
QUOTA = base.Interval(kind=int, low=0, high=1_000_000_000)
# A body is sent in one peer frame or stream buffer; 1 GiB is far above the size
# of both.
BODY_BYTES = base.Interval(kind=int, low=0, high=1 << 30)

# Fields whose value must not appear in an error message: an operator may have
# entered the account's key instead of its digest.
SECRET_FIELDS = frozenset({"key_digest"})

_constraints_by_class: dict[type, dict[str, Constraint]] = {
    _schema.ZoneConfig: {"zone": NAME, "region": NAME},
    _schema.Guarantee: {
        "count": COUNT,
        "accelerators": CELL_SIZES,
        "zone": NAME,
    },
    _schema.AccountConfig: {
        "account": NAME,
        "key_digest": DIGEST,
        "request_share": SHARE,
        "weight": POSITIVE,
        "max_accelerators": QUOTA,
    },
    _schema.RequestKind: {
        "name": NAME,
        "deadline_s": POSITIVE,
        "max_body_bytes": BODY_BYTES,
        "progress_timeout_s": POSITIVE,
    },
    _schema.ServiceConfig: {
        "service": NAME,
        "slots_per_upstream": COUNT,
        "connections_per_upstream": COUNT,
    },
    _schema.Configuration: {
        "revision": REVISION,
        "entry_instances": COUNT,
        "answers": TEXT,
    },
}


def constraint_of(cls: type, field: str) -> Constraint | None:
    """Returns the constraint of a field, or None."""
    for f in dataclasses.fields(cls):
        if f.name == field and "constraint" in f.metadata:
            return f.metadata["constraint"]
    return _constraints_by_class.get(cls, {}).get(field)
