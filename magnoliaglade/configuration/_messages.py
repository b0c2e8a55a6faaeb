"""Messages that distribute the configuration between entry instances."""

import dataclasses
import enum
import zlib
from typing import Any

from magnoliaglade import peers
from magnoliaglade.configuration import _errors

# A frame holds 1 MiB, and configurations are compressed to a fifth or less, so
# a value that decompresses to more than this is damaged.
_MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


class StoreState(enum.Enum):
    """Result of an instance's latest reads of the store."""

    REACHED = "reached"
    UNREACHABLE = "unreachable"
    NOT_TRIED = "not-tried"
    REFUSED = "refused"


def pack_document(data: bytes) -> bytes:
    """Compresses a stamped configuration for a message."""
    return zlib.compress(data)


def unpack_document(packed: bytes, *, source: str) -> bytes:
    """Returns the stamped configuration of a message.

    Raises:
        InvalidConfigurationError: the value is damaged or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, _MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise _invalid(source, str(error)) from error
    if not decompressor.eof:
        raise _invalid(source, "incomplete or too large a document")
    return data


def _invalid(source: str, found: str) -> _errors.InvalidConfigurationError:
    return _errors.InvalidConfigurationError(
        source=source,
        path="",
        found=found,
        allowed="a compressed configuration",
    )


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigRequest(peers.Message):
    """Asks for a newer configuration, a confirmation and the intents.

    Attributes:
        revision: revision in force at the sender.
        wants_document: whether the reply may carry a newer configuration.
    """

    revision: int
    wants_document: bool = True


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigUpdate(peers.Message):
    """Reply to a ConfigRequest; also sent unsolicited to announce a revision.

    An announcement confirms nothing, because its transit time is unknown to
    the receiver.

    Attributes:
        revision: revision in force at the sender; 0 if there is none.
        document: the stamped configuration if it is newer than the
            requested revision, see `pack_document`.
        writer: writer of the stamp of the revision.
        sequence: sequence number of that stamp.
        age_s: age in seconds of the sender's confirmation from the store;
            negative if there is none.
        store_state: a `StoreState` value.
        intents: intents as tuples, see `ZoneIntent.to_plain`.
    """

    revision: int
    document: bytes = b""
    writer: str = ""
    sequence: int = 0
    age_s: float = -1.0
    store_state: str = StoreState.NOT_TRIED.value
    intents: tuple[Any, ...] = ()


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneIntent(peers.Message):
    """A zone removal (or its withdrawal) in effect before it is stored.

    Attributes:
        zone: the zone.
        removed: False withdraws an earlier intent.
        writer: instance that stores it.
        sequence: sequence number; a higher one replaces the intent on the
            zone.
        base_revision: revision in force at the writer.
        settled_revision: a revision that includes it; 0 if none is known. It
            stays in effect at a holder until this revision is in force there,
            and is retained for peers that were partitioned.
    """

    zone: str
    removed: bool
    writer: str
    sequence: int
    base_revision: int
    settled_revision: int = 0

    @property
    def order(self) -> tuple[int, bool, str]:
        """Sort key; a removal wins a tie on `sequence`, as the safe choice."""
        return self.sequence, self.removed, self.writer

    def to_plain(self) -> tuple[Any, ...]:
        """Returns the field values in the order of their definition."""
        return dataclasses.astuple(self)


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneIntentAck(peers.Message):
    """Reply to a ZoneIntent.

    Attributes:
        holder: the replying instance.
        applied: whether it holds this intent, or a configuration that includes
            it is in force.
    """

    holder: str
    applied: bool
