"""Messages between entry instances."""

from magnoliaglade.peers._local import LocalHub, LocalPeerNetwork
from magnoliaglade.peers._network import TcpPeerNetwork
from magnoliaglade.peers.base import (
    Message,
    MessageError,
    PeerError,
    PeerNetwork,
    PeerRefusedError,
    PeerUnknownError,
    PeerUnreachableError,
    decode_message,
    encode_message,
    message,
)

__all__ = [
    "LocalHub",
    "LocalPeerNetwork",
    "Message",
    "MessageError",
    "PeerError",
    "PeerNetwork",
    "PeerRefusedError",
    "PeerUnknownError",
    "PeerUnreachableError",
    "TcpPeerNetwork",
    "decode_message",
    "encode_message",
    "message",
]
