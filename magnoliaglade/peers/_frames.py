"""Frames on the streams between entry instances.

A frame is a 4-byte big-endian length followed by msgpack
`[version, type, sender, incarnation, sequence, in_reply_to, payload]`.
"""

import asyncio
import dataclasses
import struct
from typing import Any

import msgpack

from magnoliaglade.peers import base
from magnoliaglade.types import InstanceId

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 1_048_576

_LENGTH = struct.Struct(">I")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Frame:
    """One message on a stream.

    Attributes:
        type: wire name of the message; empty for an empty reply.
        sender: sending instance.
        incarnation: incarnation of the sender.
        sequence: sequence number of the frame on its stream, from 1.
        in_reply_to: sequence number of the request that this frame replies to;
            0 if it is no reply.
        payload: the message's fields.
    """

    type: str
    sender: InstanceId
    incarnation: str
    sequence: int
    in_reply_to: int = 0
    payload: Any = None


def encode_frame(frame: Frame) -> bytes:
    """Returns the encoded frame with its length prefix.

    Raises:
        MessageError: a field cannot be encoded or the frame is too large.
    """
    try:
        body = msgpack.packb([PROTOCOL_VERSION, *_fields(frame)])
    except (TypeError, ValueError, OverflowError) as error:
        raise base.MessageError(f"{frame.type}: {error}") from error
    if len(body) > MAX_FRAME_BYTES:
        raise base.MessageError(f"{frame.type}: {len(body)} bytes")
    return _LENGTH.pack(len(body)) + body


def decode_body(body: bytes) -> Frame:
    """Returns the frame whose bytes follow the length prefix.

    Raises:
        MessageError: the bytes are not a frame of this protocol version.
    """
    try:
        version, *fields = msgpack.unpackb(body, use_list=False)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise base.MessageError(
            f"frame is not a msgpack list: {error}"
        ) from error
    if version != PROTOCOL_VERSION:
        raise base.MessageError(f"unsupported protocol version {version!r}")
    if not _is_valid(fields):
        raise base.MessageError(
            "frame has a wrong number of fields or a field of a wrong type"
        )
    name, sender, incarnation, sequence, in_reply_to, payload = fields
    return Frame(
        type=name,
        sender=InstanceId(sender),
        incarnation=incarnation,
        sequence=sequence,
        in_reply_to=in_reply_to,
        payload=payload,
    )


async def read_frame(reader: asyncio.StreamReader) -> tuple[Frame, int]:
    """Returns the next frame and its size in bytes, with the length prefix.

    Raises:
        MessageError: the frame is too large or malformed.
        asyncio.IncompleteReadError: the stream ended before a full frame.
        OSError: the connection failed.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise base.MessageError(
            f"received frame of {length} bytes exceeds MAX_FRAME_BYTES"
        )
    body = await reader.readexactly(length)
    return decode_body(body), length + _LENGTH.size


def _fields(frame: Frame) -> list[Any]:
    return [
        frame.type,
        frame.sender,
        frame.incarnation,
        frame.sequence,
        frame.in_reply_to,
        frame.payload,
    ]


def _is_valid(fields: list[Any]) -> bool:
    field_types = (str, str, str, int, int)
    if len(fields) != len(field_types) + 1:
        return False
    return all(
        isinstance(v, k) for v, k in zip(fields[:-1], field_types, strict=True)
    )
