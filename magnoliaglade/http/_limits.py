"""Limits on the clients of all listeners of a process."""

import dataclasses
import enum

from magnoliaglade import base, supervision

# Longer than the idle timeout of clients, so that the client closes first and
# no request arrives on a connection that the server is closing.
KEEP_ALIVE_S = 75.0
# Least memory that a header line takes once it is parsed, in bytes: a tuple and
# two byte strings. Without it, 16 KB of short lines would count as 16 KB but
# take half a megabyte.
HEADER_LINE_BYTES = 150

# Least totals, however little memory is left: a few callers, and one head of
# the default largest size with the shortest lines.
_MIN_CONNECTIONS = 32
_MIN_BUFFERED_BYTES = 65_536 + 65_536 // len(b"a:\r\n") * HEADER_LINE_BYTES

# Descriptors that the settings reserve for files.
_FILE_DESCRIPTORS = 200
# Share of the descriptors for connections of clients. The others remain for
# connections to the store, to the workers and to other instances.
_CLIENT_DESCRIPTORS = 0.5
# Connections per MB of memory. The receive buffers of 3 connections take at
# most 0.2 MB if clients fill all of them.
_CONNECTIONS_PER_MB = 3
# Connections per MB of memory that may wait on one listener to be accepted.
# Their receive buffers count as well.
_QUEUED_PER_MB = 0.75
# Share of the memory for bytes of requests and of unread responses.
_BUFFERED_SHARE = 0.1
# Most that the kernel receives for a connection before it is read. It is more
# than the receive buffer, which Linux doubles and fills with whole segments.
_RECEIVED_BYTES = 61_440
# Shares of the memory that the process leaves: for what the kernel receives,
# and for buffered bytes. These take up to twice their size while a request is
# parsed; the rest is a reserve.
_FREE_RECEIVED_SHARE = 1 / 2
_FREE_BUFFERED_SHARE = 1 / 6
_MB = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConnectionLimits(base.Parameterized):
    """Limits on connections and on what clients send over them.

    Attributes:
        max_header_bytes: largest request head, and largest section of trailers
            or chunk header, in bytes.
        header_timeout_s: time from the first byte of a head to its last one.
        idle_timeout_s: time for which a connection may wait for a request, or
            a body or the reading of a response may make no progress.
        max_connections: open connections of all listeners together.
        max_buffered_bytes: bytes of requests in progress and of unread
            responses of all connections together.
        max_queued: connections that wait on one listener to be accepted.
        memory_bytes: memory of the process, 0 if it is not stated. The totals
            are reduced while the process leaves too little of it.
    """

    max_header_bytes: int = 65_536
    header_timeout_s: float = 10.0
    idle_timeout_s: float = KEEP_ALIVE_S
    max_connections: int = 10_000
    max_buffered_bytes: int = 64 * _MB
    max_queued: int = 2_048
    memory_bytes: int = 0

    _parameter_constraints = {
        "max_header_bytes": [base.Interval(kind=int, low=256)],
        "header_timeout_s": [base.Interval(kind=float, low=0, low_open=True)],
        "idle_timeout_s": [base.Interval(kind=float, low=0, low_open=True)],
        "max_connections": [base.Interval(kind=int, low=1)],
        "max_buffered_bytes": [base.Interval(kind=int, low=1)],
        "max_queued": [base.Interval(kind=int, low=1)],
        "memory_bytes": [base.Interval(kind=int, low=0)],
    }

    def __post_init__(self) -> None:
        """Checks the values.

        Raises:
            InvalidParameterError: a value is not allowed.
        """
        self.validate_params()

    def for_machine(
        self, *, memory_mb: int = 0, max_fds: int = 0
    ) -> "ConnectionLimits":
        """Returns limits whose totals fit the machine and the process.

        Args:
            memory_mb: memory of the process in MB; 0 if it is not stated. The
                totals then are those of these limits, or smaller ones that fit
                the memory of the machine.
            max_fds: stated descriptors of the process; 0 if there are none.
                More than the kernel allows do not count.
        """
        available_mb = memory_mb or supervision.machine_memory_mb()
        max_buffered_bytes = int(available_mb * _MB * _BUFFERED_SHARE)
        if not memory_mb:
            max_buffered_bytes = min(
                max_buffered_bytes, self.max_buffered_bytes
            )
        counts = [self.max_connections, available_mb * _CONNECTIONS_PER_MB]
        fds = [n for n in (max_fds, supervision.descriptor_limit()) if n]
        if fds:
            available = max(0, min(fds) - _FILE_DESCRIPTORS)
            counts.append(int(available * _CLIENT_DESCRIPTORS))
        queued = min(self.max_queued, int(available_mb * _QUEUED_PER_MB))
        return dataclasses.replace(
            self,
            max_connections=max(1, min(counts)),
            max_buffered_bytes=max(1, max_buffered_bytes),
            max_queued=max(1, queued),
            memory_bytes=memory_mb * _MB,
        )

    def within(self, free_bytes: int) -> "ConnectionLimits":
        """Returns limits whose totals also fit what the process leaves.

        A few callers are served however little that is.

        Args:
            free_bytes: memory that the process does not use for itself.
        """
        received_bytes = free_bytes * _FREE_RECEIVED_SHARE
        # The queues of all listeners are at most twice the largest one.
        connections = int(
            received_bytes / _RECEIVED_BYTES - 2 * self.max_queued
        )
        buffered_bytes = int(free_bytes * _FREE_BUFFERED_SHARE)
        return dataclasses.replace(
            self,
            max_connections=min(
                self.max_connections, max(_MIN_CONNECTIONS, connections)
            ),
            max_buffered_bytes=min(
                self.max_buffered_bytes,
                max(_MIN_BUFFERED_BYTES, buffered_bytes),
            ),
        )


class Rejection(enum.Enum):
    """Reasons for which a connection is closed; labels of the metric."""

    HEAD_TOO_LARGE = "head too large"
    TRAILERS_TOO_LARGE = "trailers too large"
    MALFORMED = "malformed"
    HEADER_TIMEOUT = "header timeout"
    BODY_TIMEOUT = "body timeout"
    RESPONSE_TIMEOUT = "response unread"
    NO_REQUEST = "no request"
    TOO_MANY_CONNECTIONS = "too many connections"
    TOO_MANY_BYTES = "too many bytes"
