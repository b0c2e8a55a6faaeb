"""Strict conversion between typed values and plain data, msgpack and YAML.

Plain data consists of dictionaries, lists, strings, numbers, booleans and None.
Decoding follows the type annotations of the dataclasses and raises an error for
the first value that is not allowed.
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
    """Returns a dataclass built from plain data.

    Args:
        cls: the dataclass.
        plain: any value; it is checked.
        source: file or key that the data was read from, for error messages.

    Raises:
        InvalidConfigurationError: a key is unknown or missing, or a value is
            not allowed.
    """
    return _Decoder(source=source).decode_dataclass(cls, plain, "")


def to_bytes(value: Any) -> bytes:
    """Returns a typed value encoded with msgpack."""
    return msgpack.packb(encode(value))


def from_bytes(cls: type[T], data: bytes, *, source: str) -> T:
    """Returns a dataclass decoded from msgpack.

    Raises:
        InvalidConfigurationError: see `decode`.
    """
    try:
        plain = msgpack.unpackb(data, strict_map_key=False)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise _unreadable_error(source, error, "one msgpack value") from error
    return decode(cls, plain, source=source)


def to_yaml(value: Any) -> str:
    """Returns a typed value encoded as YAML; fields keep their order."""
    return yaml.safe_dump(encode(value), sort_keys=False, allow_unicode=True)


def from_yaml(cls: type[T], text: str, *, source: str) -> T:
    """Returns a dataclass decoded from YAML.

    Aliases and repeated keys are rejected.

    Raises:
        InvalidConfigurationError: see `decode`.
    """
    try:
        plain = yaml.load(text, Loader=_StrictLoader)  # A SafeLoader.
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
        raise _unreadable_error(source, error, "a YAML document") from error
    return decode(cls, plain, source=source)


class _StrictLoader(yaml.SafeLoader):
    """Rejects aliases, which can expand without bound, and repeated keys."""

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

    def decode_dataclass(self, cls: Any, plain: Any, path: str) -> Any:
        fields = {f.name: f for f in dataclasses.fields(cls)}
        names = ", ".join(fields)
        if not isinstance(plain, dict):
            allowed = f"a mapping with keys {names}"
            raise self._value_error(path, plain, allowed)
        for key in plain:
            if not isinstance(key, str) or key not in fields:
                found = f"unknown key {_errors.format_value(key)}"
                raise self._invalid_error(path, found, f"the keys {names}")
        hints = _type_hints(cls)
        values = {}
        for name, field in fields.items():
            field_path = f"{path}.{name}" if path else name
            if name in plain:
                values[name] = self._decode_field(
                    cls, name, hints[name], plain[name], field_path
                )
            elif _is_required(field):
                allowed = _describe_type(hints[name])
                raise self._invalid_error(field_path, "nothing", allowed)
        return cls(**values)

    def _decode_field(
        self, cls: type, name: str, hint: Any, plain: Any, path: str
    ) -> Any:
        constraint = _constraints.constraint_of(cls, name)
        secret = name in _constraints.SECRET_FIELDS
        if secret and not (constraint and constraint.accepts(plain)):
            found = f"another value of type {type(plain).__name__}"
            raise self._invalid_error(path, found, str(constraint))
        value = self._decode_value(hint, plain, path)
        if value is None or constraint is None or constraint.accepts(value):
            return value
        raise self._value_error(path, plain, str(constraint))

    def _decode_value(self, hint: Any, plain: Any, path: str) -> Any:
        hint = _resolve_hint(hint)
        if isinstance(hint, types.UnionType):
            inner = next(a for a in hint.__args__ if a is not type(None))
            return (
                None
                if plain is None
                else self._decode_value(inner, plain, path)
            )
        if typing.get_origin(hint) is tuple:
            return self._decode_tuple(typing.get_args(hint)[0], plain, path)
        if dataclasses.is_dataclass(hint):
            return self.decode_dataclass(hint, plain, path)
        if issubclass(hint, enum.Enum):
            return self._decode_enum(hint, plain, path)
        return self._decode_scalar(hint, plain, path)

    def _decode_tuple(
        self, hint: Any, plain: Any, path: str
    ) -> tuple[Any, ...]:
        if not isinstance(plain, list | tuple):
            raise self._value_error(path, plain, "a list")
        return tuple(
            self._decode_value(hint, item, f"{path}[{i}]")
            for i, item in enumerate(plain)
        )

    def _decode_enum(self, cls: Any, plain: Any, path: str) -> Any:
        for member in cls:
            if isinstance(plain, str) and member.value == plain:
                return member
        raise self._value_error(path, plain, _describe_type(cls))

    def _decode_scalar(self, cls: type, plain: Any, path: str) -> Any:
        if cls is float and type(plain) is int and abs(plain) < 2**53:
            return float(plain)
        if type(plain) is not cls:
            raise self._value_error(path, plain, _describe_type(cls))
        if cls is float and not math.isfinite(plain):
            raise self._value_error(path, plain, "a finite number")
        if cls is str and not _constraints.TEXT.accepts(plain):
            raise self._value_error(path, plain, str(_constraints.TEXT))
        return plain

    def _value_error(
        self, path: str, plain: Any, allowed: str
    ) -> _errors.InvalidConfigurationError:
        return self._invalid_error(path, _errors.format_value(plain), allowed)

    def _invalid_error(
        self, path: str, found: str, allowed: str
    ) -> _errors.InvalidConfigurationError:
        return _errors.InvalidConfigurationError(
            source=self.source, path=path, found=found, allowed=allowed
        )


def _type_hints(cls: type) -> dict[str, Any]:
    return typing.get_type_hints(cls)


def _resolve_hint(hint: Any) -> Any:
    while isinstance(hint, typing.NewType):
        hint = hint.__supertype__
    if typing.get_origin(hint) is typing.Union:
        arguments = (_resolve_hint(a) for a in typing.get_args(hint))
        return functools.reduce(lambda a, b: a | b, arguments)
    return hint


def _is_required(field: Any) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _describe_type(hint: Any) -> str:
    hint = _resolve_hint(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return "one of " + ", ".join(m.value for m in hint)
    names = {str: "text", int: "an integer", float: "a number"}
    names[bool] = "true or false"
    return names.get(hint, "a list or a mapping")


def _unreadable_error(
    source: str, error: Exception, allowed: str
) -> _errors.InvalidConfigurationError:
    found = " ".join(_errors.format_value(str(error)).split())
    return _errors.InvalidConfigurationError(
        source=source, path="", found=found, allowed=allowed
    )
