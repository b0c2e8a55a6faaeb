"""Limits on the clients of all listeners of a process."""

import dataclasses
import enum
from collections.abc import Callable
from typing import Protocol

from magnoliaglade import base, observability

# Longer than the idle timeout of clients, so that the client closes first and
# no request arrives on a connection that the server is closing.
KEEP_ALIVE_S = 75.0
# Bytes that one read takes from a connection. All connections share the buffer,
# and a connection keeps at most one read beyond the limits of its request.
READ_BYTES = 16_384
# Least memory that a header line takes once it is parsed, in bytes: a tuple and
# two byte strings. Without it, 16 KB of short lines would count as 16 KB but
# take half a megabyte.
HEADER_LINE_BYTES = 150

# Descriptors that the settings reserve for files.
_FILE_DESCRIPTORS = 200
# Share of the descriptors for connections of clients. The others remain for
# connections to the store, to the workers and to other instances.
_CLIENT_DESCRIPTORS = 0.5
# Connections per MB of memory. The receive buffers of 3 connections take at
# most 0.2 MB if clients fill all of them.
_CONNECTIONS_PER_MB = 3
# Share of the memory for bytes of requests and of unread responses.
_BUFFERED_SHARE = 0.1
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
    """

    max_header_bytes: int = 65_536
    header_timeout_s: float = 10.0
    idle_timeout_s: float = KEEP_ALIVE_S
    max_connections: int = 10_000
    max_buffered_bytes: int = 64 * _MB

    _parameter_constraints = {
        "max_header_bytes": [base.Interval(kind=int, low=256)],
        "header_timeout_s": [base.Interval(kind=float, low=0, low_open=True)],
        "idle_timeout_s": [base.Interval(kind=float, low=0, low_open=True)],
        "max_connections": [base.Interval(kind=int, low=1)],
        "max_buffered_bytes": [base.Interval(kind=int, low=1)],
    }

    def __post_init__(self) -> None:
        """Checks the values.

        Raises:
            InvalidParameterError: a value is not allowed.
        """
        self.validate_params()

    def for_machine(
        self, *, memory_mb: int, max_fds: int
    ) -> "ConnectionLimits":
        """Returns limits whose totals fit a machine.

        Args:
            memory_mb: memory of the machine in MB; 0 if it is not known.
            max_fds: descriptors of the process; 0 if they are not known.
        """
        totals = {}
        counts = [self.max_connections]
        if memory_mb:
            totals["max_buffered_bytes"] = int(
                memory_mb * _MB * _BUFFERED_SHARE
            )
            counts.append(memory_mb * _CONNECTIONS_PER_MB)
        if max_fds:
            available = max(0, max_fds - _FILE_DESCRIPTORS)
            counts.append(int(available * _CLIENT_DESCRIPTORS))
        totals["max_connections"] = max(1, min(counts))
        return dataclasses.replace(self, **totals)


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


class Connection(Protocol):
    """What the ledger needs to know about a connection."""

    @property
    def is_expendable(self) -> bool:
        """Whether closing it loses no request that has arrived as a whole."""

    @property
    def is_pipelining(self) -> bool:
        """Whether it has sent the next request before a response."""

    @property
    def waiting_rank(self) -> tuple[bool, float]:
        """Whether it has been served, and since when it waits for a client."""

    def reject(self, reason: Rejection) -> None:
        """Closes the connection at once."""


class ConnectionLedger:
    """Connections of all listeners of a process and the bytes that they hold.

    If a total is exceeded, the connection that costs callers least is closed:
    for connections the one that has waited longest for its client, preferably
    one that was never served, or else one that pipelines; for bytes the one
    that holds most.

    Attributes:
        limits: limits in force; they may be replaced at any time.
        observe_rejection: called with the reason for each closed connection.
    """

    def __init__(
        self,
        *,
        limits: ConnectionLimits,
        observe_rejection: Callable[[str], None] = lambda _: None,
    ) -> None:
        self.limits = limits
        self.observe_rejection = observe_rejection
        # Takes every read; the loop has one thread, and a read is copied
        # before the next one.
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self._held_bytes: dict[Connection, int] = {}
        self._total_bytes = 0
        # Bytes of closed connections whose tasks may not have ended.
        self._leaving_bytes = 0

    def add(self, connection: Connection) -> None:
        """Adds a connection; closes one if there are too many."""
        self._held_bytes[connection] = 0
        if len(self._held_bytes) <= self.limits.max_connections:
            return
        others = [c for c in self._held_bytes if c is not connection]
        candidates = [c for c in others if c.is_expendable] or [
            c for c in others if c.is_pipelining
        ]
        chosen = min(
            candidates, key=lambda c: c.waiting_rank, default=connection
        )
        chosen.reject(Rejection.TOO_MANY_CONNECTIONS)

    def remove(self, connection: Connection) -> int:
        """Removes a connection; one that is not known is ignored.

        Returns:
            the bytes that it held, which count as leaving until `release`.
        """
        held_bytes = self._held_bytes.pop(connection, 0)
        self._total_bytes -= held_bytes
        self._leaving_bytes += held_bytes
        return held_bytes

    def release(self, held_bytes: int) -> None:
        """Forgets bytes of a connection that has been removed."""
        self._leaving_bytes -= held_bytes

    def reserve(self, connection: Connection, needed_bytes: int) -> bool:
        """Returns whether a connection may take bytes for a request now.

        If not, the connection is closed, or may ask again soon: connections
        that hold more are closed for it, and their memory is not yet free. In
        one step of the event loop every connection may have sent a head.
        """
        limit = self.limits.max_buffered_bytes
        while self._total_bytes + needed_bytes > limit:
            chosen = self._largest()
            is_larger = (
                chosen is not None and self._held_bytes[chosen] > needed_bytes
            )
            if not is_larger or chosen is connection:
                connection.reject(Rejection.TOO_MANY_BYTES)
                return False
            chosen.reject(Rejection.TOO_MANY_BYTES)
        total = self._total_bytes + self._leaving_bytes
        return total + needed_bytes <= limit

    def hold(self, connection: Connection, held_bytes: int) -> None:
        """Sets the bytes of a connection; closes one if the total is exceeded.

        The closed connection may be this one.
        """
        previous = self._held_bytes.get(connection)
        if previous is None:
            return
        self._held_bytes[connection] = held_bytes
        self._total_bytes += held_bytes - previous
        while self._total_bytes > self.limits.max_buffered_bytes:
            chosen = self._largest()
            if chosen is None or not self._held_bytes[chosen]:
                return
            chosen.reject(Rejection.TOO_MANY_BYTES)

    def _largest(self) -> Connection | None:
        """Returns the connection that holds most and may be closed."""
        expendable = [c for c in self._held_bytes if c.is_expendable]
        return max(expendable, key=self._held_bytes.__getitem__, default=None)

    def dump(self) -> dict[str, int]:
        """Returns the number of connections and the bytes that they hold."""
        return {
            "connections": len(self._held_bytes),
            "held_bytes": self._total_bytes,
        }

    def record_rejection(self, reason: Rejection, client: str) -> None:
        """Counts a closed connection and logs it at a bounded rate."""
        self.observe_rejection(reason.value)
        observability.log_event(
            "client rejected",
            reason=reason.value,
            client=client,
            **self.dump(),
        )
