"""Interface for messages between entry instances.

Messages are frozen dataclasses whose fields msgpack can encode: numbers,
strings, bytes, booleans, None, tuples of these, and dictionaries with string
keys. `message` registers a class under its wire name; decoding ignores unknown
fields and fills missing ones from the defaults, so that two versions of the
program understand each other during an upgrade by replacement.
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
    """Base class of the peer layer's errors."""


class PeerUnreachableError(PeerError):
    """The message was not sent."""


class PeerUnknownError(PeerError):
    """No reply came or the handler failed; there may have been an effect."""


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
    known = _classes.setdefault(cls.__name__, cls)
    if known is not cls and known.__module__ != cls.__module__:
        raise MessageError(f"message {cls.__name__} is registered twice")
    return cls


def encode_message(value: Message) -> tuple[str, dict[str, Any]]:
    """Returns the wire name and the fields that differ from their default."""
    fields = dataclasses.fields(value)  # type: ignore[arg-type]
    values = {f.name: getattr(value, f.name) for f in fields}
    return type(value).__name__, {
        f.name: values[f.name]
        for f in fields
        if not _is_default(f, values[f.name])
    }


def _is_default(field: "dataclasses.Field[Any]", value: Any) -> bool:
    # The type counts too, because 0, 0.0 and False are equal.
    return type(value) is type(field.default) and value == field.default


def decode_message(name: str, payload: Any) -> Message:
    """Builds the message of a wire name.

    Raises:
        MessageError: the name is unknown or a field is missing.
    """
    cls = _classes.get(name)
    if cls is None or not isinstance(payload, dict):
        raise MessageError(f"unknown message {name!r}")
    known = {f.name for f in dataclasses.fields(cls)}  # type: ignore[arg-type]
    try:
        return cls(**{k: v for k, v in payload.items() if k in known})
    except TypeError as error:
        raise MessageError(f"{name}: {error}") from error


class PeerNetwork(Protocol):
    """Messages to the other entry instances and replies from them."""

    @property
    def instance(self) -> InstanceId:
        """This instance."""

    @property
    def live_peers(self) -> frozenset[InstanceId]:
        """Peers that were heard within the silence limit."""

    def handle(self, cls: type[Message], handler: Handler) -> None:
        """Sets the handler of a message type; its result is the reply."""

    async def send(self, peer: InstanceId, value: Message) -> None:
        """Sends without a reply.

        Raises:
            PeerUnreachableError: there is no stream to the peer.
        """

    async def request(
        self, peer: InstanceId, value: Message, *, timeout_s: float
    ) -> Any:
        """Sends and returns the reply. A request to itself is allowed.

        Raises:
            PeerUnreachableError: the message was not sent.
            PeerUnknownError: no reply within the timeout, or the handler
                failed.
            PeerRefusedError: the handler raised this, or there is none.
        """

    async def broadcast(self, value: Message) -> None:
        """Sends to every live peer; unreachable ones are skipped."""
