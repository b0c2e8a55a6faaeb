"""Interface for messages between entry instances.

Messages are frozen dataclasses whose fields msgpack can encode: numbers,
strings, bytes, booleans, None, tuples of these, and dictionaries with string
keys. `message` registers a class under its wire name. Decoding ignores unknown
fields and sets missing ones to their defaults, so that two versions of the
program can exchange messages during a rolling upgrade.
"""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

from magnoliaglade import exceptions
from magnoliaglade.types import InstanceId

__all__ = [
    "Handler",
    "Message",
    "MessageError",
    "PeerError",
    "PeerNetwork",
    "PeerRefusedError",
    "PeerUnknownError",
    "PeerUnreachableError",
    "decode_message",
    "encode_message",
    "message",
]


class PeerError(exceptions.MagnoliagladeError):
    """Base class of errors in messages between entry instances."""


class PeerUnreachableError(PeerError):
    """The message was not sent."""


class PeerUnknownError(PeerError):
    """No reply arrived or the handler failed; it may have had an effect."""


class PeerRefusedError(PeerError):
    """The message had no effect: no handler, or the handler raised this."""


class MessageError(PeerError):
    """A frame or message cannot be decoded."""


class Message:
    """Base class of messages between entry instances."""


M = TypeVar("M", bound=type[Message])
Handler = Callable[[InstanceId, Any], Awaitable[Message | None]]

_classes: dict[str, type[Message]] = {}


def message(cls: M) -> M:
    """Registers a message class under its class name.

    Raises:
        MessageError: another class has the same name.
    """
    registered = _classes.setdefault(cls.__name__, cls)
    if registered is not cls and registered.__module__ != cls.__module__:
        raise MessageError(
            f"message {cls.__name__} is registered by another class"
        )
    return cls


def encode_message(value: Message) -> tuple[str, dict[str, Any]]:
    """Returns the wire name and the fields that differ from their defaults."""
    fields = dataclasses.fields(value)  # type: ignore[arg-type]
    values = {f.name: getattr(value, f.name) for f in fields}
    return type(value).__name__, {
        f.name: values[f.name]
        for f in fields
        if not _is_default(f, values[f.name])
    }


def _is_default(field: "dataclasses.Field[Any]", value: Any) -> bool:
    # The types are compared as well, because 0, 0.0 and False are equal.
    return type(value) is type(field.default) and value == field.default


def decode_message(name: str, payload: Any) -> Message:
    """Returns the message with this wire name and these fields.

    Raises:
        MessageError: the name is unknown, the payload is not a dictionary or
            a field is missing.
    """
    cls = _classes.get(name)
    if cls is None or not isinstance(payload, dict):
        raise MessageError(f"unknown message {name!r}")
    field_names = {f.name for f in dataclasses.fields(cls)}  # type: ignore[arg-type]
    try:
        return cls(**{k: v for k, v in payload.items() if k in field_names})
    except TypeError as error:
        raise MessageError(f"{name}: {error}") from error


class PeerNetwork(Protocol):
    """Messages to the other entry instances and replies from them."""

    @property
    def instance(self) -> InstanceId:
        """This instance."""

    @property
    def live_peers(self) -> frozenset[InstanceId]:
        """Peers that sent a frame within the silence timeout."""

    def handle(self, cls: type[Message], handler: Handler) -> None:
        """Sets the handler of a message class; its result is the reply."""

    async def send(self, peer: InstanceId, value: Message) -> None:
        """Sends a message without waiting for a reply.

        Raises:
            PeerUnreachableError: there is no stream to the peer.
        """

    async def request(
        self, peer: InstanceId, value: Message, *, timeout_s: float
    ) -> Any:
        """Sends a message and returns the reply.

        An instance may send a request to itself.

        Raises:
            PeerUnreachableError: the message was not sent.
            PeerUnknownError: no reply arrived within the timeout, or the
                handler failed.
            PeerRefusedError: the handler raised this error, or there is no
                handler.
        """

    async def broadcast(self, value: Message) -> None:
        """Sends a message to every live peer; skips unreachable ones."""
