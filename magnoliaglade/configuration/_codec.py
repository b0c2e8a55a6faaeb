"""Strict conversion between typed values and plain data, msgpack and YAML.

Plain data consists of dictionaries, lists, text, numbers, booleans and None.
Decoding follows the type annotations of the dataclasses and reports the first
value that is not allowed.
"""

import dataclasses
import enum
import functools
import math
import types
import typing
from typing import Any, TypeVar

import msgpack
import yaml

from magnoliaglade.configuration import _constraints, _errors

T = TypeVar("T")


@functools.singledispatch
def encode(value: Any) -> Any:
    """Returns a typed value as plain data."""
    if not dataclasses.is_dataclass(value):
        return value
    return {
        f.name: encode(getattr(value, f.name))
        for f in dataclasses.fields(value)
    }


@encode.register
def _(value: enum.Enum) -> Any:
    return value.value


@encode.register
def _(value: tuple) -> Any:
    return [encode(v) for v in value]


def decode(cls: type[T], plain: Any, *, source: str) -> T:
    """Builds a dataclass from plain data.

    Args:
        cls: the dataclass.
        plain: any value.
        source: file or key, for errors.

    Raises:
        InvalidConfigurationError: a key is unknown or missing, or a value is
            not allowed.
    """
    return _Decoder(source=source).dataclass(cls, plain, "")


def to_bytes(value: Any) -> bytes:
    """Encodes a typed value with msgpack."""
    return msgpack.packb(encode(value))


def from_bytes(cls: type[T], data: bytes, *, source: str) -> T:
    """Decodes msgpack.

    Raises:
        InvalidConfigurationError: see `decode`.
    """
    try:
        plain = msgpack.unpackb(data, strict_map_key=False)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise _not_readable(source, error, "one msgpack value") from error
    return decode(cls, plain, source=source)


def to_yaml(value: Any) -> str:
    """Encodes a typed value as YAML; fields keep their order."""
    return yaml.safe_dump(encode(value), sort_keys=False, allow_unicode=True)


def from_yaml(cls: type[T], text: str, *, source: str) -> T:
    """Decodes YAML without aliases and without repeated keys.

    Raises:
        InvalidConfigurationError: see `decode`.
    """
    try:
        plain = yaml.load(text, Loader=_StrictLoader)  # a SafeLoader
    except (
        yaml.YAMLError,
        # Raised by the constructors of dates, numbers and keys.
        ValueError,
        TypeError,
        AttributeError,
        LookupError,
        OverflowError,
        RecursionError,
    ) as error:
        raise _not_readable(source, error, "a YAML document") from error
    return decode(cls, plain, source=source)


class _StrictLoader(yaml.SafeLoader):
    """Refuses aliases, which can expand without bound, and repeated keys."""

    def compose_node(self, parent: Any, index: Any) -> Any:
        if self.check_event(yaml.AliasEvent):
            mark = self.peek_event().start_mark
            raise yaml.composer.ComposerError(None, None, "alias", mark)
        return super().compose_node(parent, index)

    def construct_mapping(self, node: Any, deep: bool = False) -> Any:
        keys = [self.construct_object(k, deep=True) for k, _ in node.value]
        for position, key in enumerate(keys):
            if key in keys[:position]:
                raise yaml.constructor.ConstructorError(
                    None,
                    None,
                    f"repeated key {_errors.format_value(key)}",
                    node.start_mark,
                )
        return super().construct_mapping(node, deep=deep)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Decoder:
    source: str

    def dataclass(self, cls: Any, plain: Any, path: str) -> Any:
        fields = {f.name: f for f in dataclasses.fields(cls)}
        names = ", ".join(fields)
        if not isinstance(plain, dict):
            allowed = f"a mapping with keys {names}"
            raise self._error(path, plain, allowed)
        for key in plain:
            if not isinstance(key, str) or key not in fields:
                found = f"unknown key {_errors.format_value(key)}"
                raise self._refusal(path, found, f"the keys {names}")
        hints = _hints(cls)
        values = {}
        for name, field in fields.items():
            place = f"{path}.{name}" if path else name
            if name in plain:
                values[name] = self._field(
                    cls, name, hints[name], plain[name], place
                )
            elif _is_required(field):
                allowed = _describe(hints[name])
                raise self._refusal(place, "nothing", allowed)
        return cls(**values)

    def _field(
        self, cls: type, name: str, hint: Any, plain: Any, path: str
    ) -> Any:
        constraint = _constraints.constraint_of(cls, name)
        secret = name in _constraints.SECRET_FIELDS
        if secret and not (constraint and constraint.accepts(plain)):
            found = f"another value of type {type(plain).__name__}"
            raise self._refusal(path, found, str(constraint))
        value = self._value(hint, plain, path)
        if value is None or constraint is None or constraint.accepts(value):
            return value
        raise self._error(path, plain, str(constraint))

    def _value(self, hint: Any, plain: Any, path: str) -> Any:
        hint = _plain_hint(hint)
        if isinstance(hint, types.UnionType):
            inner = next(a for a in hint.__args__ if a is not type(None))
            return None if plain is None else self._value(inner, plain, path)
        if typing.get_origin(hint) is tuple:
            return self._tuple(typing.get_args(hint)[0], plain, path)
        if dataclasses.is_dataclass(hint):
            return self.dataclass(hint, plain, path)
        if issubclass(hint, enum.Enum):
            return self._member(hint, plain, path)
        return self._scalar(hint, plain, path)

    def _tuple(self, hint: Any, plain: Any, path: str) -> tuple[Any, ...]:
        if not isinstance(plain, list | tuple):
            raise self._error(path, plain, "a list")
        return tuple(
            self._value(hint, item, f"{path}[{i}]")
            for i, item in enumerate(plain)
        )

    def _member(self, cls: Any, plain: Any, path: str) -> Any:
        for member in cls:
            if isinstance(plain, str) and member.value == plain:
                return member
        raise self._error(path, plain, _describe(cls))

    def _scalar(self, cls: type, plain: Any, path: str) -> Any:
        if cls is float and type(plain) is int and abs(plain) < 2**53:
            return float(plain)
        if type(plain) is not cls:
            raise self._error(path, plain, _describe(cls))
        if cls is float and not math.isfinite(plain):
            raise self._error(path, plain, "a finite number")
        if cls is str and not _constraints.TEXT.accepts(plain):
            raise self._error(path, plain, str(_constraints.TEXT))
        return plain

    def _error(
        self, path: str, plain: Any, allowed: str
    ) -> _errors.InvalidConfigurationError:
        return self._refusal(path, _errors.format_value(plain), allowed)

    def _refusal(
        self, path: str, found: str, allowed: str
    ) -> _errors.InvalidConfigurationError:
        return _errors.InvalidConfigurationError(
            source=self.source, path=path, found=found, allowed=allowed
        )


def _hints(cls: type) -> dict[str, Any]:
    return typing.get_type_hints(cls)


def _plain_hint(hint: Any) -> Any:
    while isinstance(hint, typing.NewType):
        hint = hint.__supertype__
    if typing.get_origin(hint) is typing.Union:
        arguments = (_plain_hint(a) for a in typing.get_args(hint))
        return functools.reduce(lambda a, b: a | b, arguments)
    return hint


def _is_required(field: Any) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _describe(hint: Any) -> str:
    hint = _plain_hint(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return "one of " + ", ".join(m.value for m in hint)
    names = {str: "text", int: "an integer", float: "a number"}
    names[bool] = "true or false"
    return names.get(hint, "a list or a mapping")


def _not_readable(
    source: str, error: Exception, allowed: str
) -> _errors.InvalidConfigurationError:
    found = " ".join(_errors.format_value(str(error)).split())
    return _errors.InvalidConfigurationError(
        source=source, path="", found=found, allowed=allowed
    )
