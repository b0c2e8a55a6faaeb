"""Totals of the connections of all listeners of a process."""

import asyncio
import functools
import time
from collections.abc import Callable
from typing import Protocol

from magnoliaglade import observability, supervision
from magnoliaglade.http._limits import ConnectionLimits, Rejection

# Bytes that one read takes from a connection. All connections share the buffer,
# and a connection keeps at most one read beyond the limits of its request.
READ_BYTES = 16_384
# Interval in seconds in which the memory of the process is measured.
_MEASURE_INTERVAL_S = 0.25


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

    def update_timeout(self) -> None:
        """Applies changed limits to the time that the client still has."""


class ConnectionLedger:
    """Connections of all listeners of a process and the bytes that they hold.

    A request whose client has gone counts as a connection until its task has
    ended, as it may hold a connection to the store or to another instance.

    If a total is exceeded, what costs callers least gives way: the oldest
    request whose client has gone; then, for connections, the one that has
    waited longest for its client, preferably one that was never served, or else
    one that pipelines; for bytes the one that holds most.

    Attributes:
        observe_rejection: called with the reason for each closed connection.
    """

    def __init__(
        self,
        *,
        limits: ConnectionLimits,
        observe_rejection: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._limits = self._totals = limits
        self._measure_at_s = 0.0
        self.observe_rejection = observe_rejection
        # Takes every read; the loop has one thread, and a read is copied
        # before the next one.
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self._held_bytes: dict[Connection, int] = {}
        self._total_bytes = 0
        # Tasks of closed connections and the bytes that they hold, the oldest
        # first. Those that were cancelled are counted no more.
        self._abandoned: dict[asyncio.Task[None], int] = {}
        # Bytes of closed connections whose tasks have not ended.
        self._leaving_bytes = 0

    @property
    def limits(self) -> ConnectionLimits:
        """Limits in force; smaller totals close connections at once.

        Connections with a request that has arrived as a whole remain open,
        unless they pipeline.
        """
        return self._limits

    @limits.setter
    def limits(self, limits: ConnectionLimits) -> None:
        self._limits = limits
        self._measure_at_s = 0.0
        self._close_surplus()
        self._close_largest()

    @property
    def totals(self) -> ConnectionLimits:
        """The limits, with totals that fit the memory that is left now."""
        if not self._limits.memory_bytes:
            return self._limits
        now_s = time.monotonic()
        if now_s >= self._measure_at_s:
            self._measure_at_s = now_s + _MEASURE_INTERVAL_S
            client_bytes = self._total_bytes + self._leaving_bytes
            own_bytes = supervision.resident_bytes() - client_bytes
            self._totals = self._limits.within(
                self._limits.memory_bytes - own_bytes
            )
        return self._totals

    def add(self, connection: Connection) -> None:
        """Adds a connection; closes others, or this one, if there are too many.

        Several are closed if requests kept as many open when the limit became
        smaller.
        """
        self._held_bytes[connection] = 0
        self._close_surplus(newest=connection)

    def update_timeouts(self) -> None:
        """Applies changed times to the clients that are waited for."""
        for connection in self._held_bytes:
            connection.update_timeout()

    def remove(
        self, connection: Connection, task: asyncio.Task[None] | None
    ) -> None:
        """Removes a connection; one that is not known is ignored.

        Args:
            connection: the connection.
            task: task of its request, which counts until it has ended.
        """
        held_bytes = self._held_bytes.pop(connection, None)
        if held_bytes is None:
            return
        self._total_bytes -= held_bytes
        if task is None or task.done():
            return
        self._abandoned[task] = held_bytes
        self._leaving_bytes += held_bytes
        task.add_done_callback(
            functools.partial(self._release, held_bytes=held_bytes)
        )

    def reserve(self, connection: Connection, needed_bytes: int) -> bool:
        """Returns whether a connection may take bytes for a request now.

        If not, the connection is closed, or may ask again soon: connections
        that hold more are closed for it, and their memory is not yet free. In
        one step of the event loop every connection may have sent a head.
        """
        limit = self.totals.max_buffered_bytes
        while self._total_bytes + needed_bytes > limit:
            chosen = self._largest()
            is_larger = (
                chosen is not None and self._held_bytes[chosen] > needed_bytes
            )
            if not is_larger or chosen is connection:
                connection.reject(Rejection.TOO_MANY_BYTES)
                return False
            chosen.reject(Rejection.TOO_MANY_BYTES)
        surplus = self._total_bytes + self._leaving_bytes + needed_bytes - limit
        is_available = surplus <= 0
        while surplus > 0 and self._abandoned:
            surplus -= self._cancel_oldest()
        return is_available

    def hold(self, connection: Connection, held_bytes: int) -> None:
        """Sets the bytes of a connection; closes one if the total is exceeded.

        The closed connection may be this one.
        """
        previous = self._held_bytes.get(connection)
        if previous is None:
            return
        self._held_bytes[connection] = held_bytes
        self._total_bytes += held_bytes - previous
        self._close_largest()

    def _close_surplus(self, newest: Connection | None = None) -> None:
        """Closes connections beyond the limit, `newest` if no other can be."""
        surplus = (
            len(self._held_bytes)
            + len(self._abandoned)
            - self.totals.max_connections
        )
        while surplus > 0 and self._abandoned:
            self._cancel_oldest()
            surplus -= 1
        if surplus <= 0:
            return
        others = sorted(
            (c for c in self._held_bytes if c is not newest),
            key=lambda c: c.waiting_rank,
        )
        candidates = [c for c in others if c.is_expendable]
        candidates += [c for c in others if c.is_pipelining]
        if newest is not None:
            candidates.append(newest)
        for chosen in candidates[:surplus]:
            chosen.reject(Rejection.TOO_MANY_CONNECTIONS)

    def _cancel_oldest(self) -> int:
        """Cancels the oldest request whose client has gone.

        Returns:
            the bytes that are free once its task has ended.
        """
        task, held_bytes = next(iter(self._abandoned.items()))
        del self._abandoned[task]
        task.cancel()
        return held_bytes

    def _release(self, task: asyncio.Task[None], *, held_bytes: int) -> None:
        self._abandoned.pop(task, None)
        self._leaving_bytes -= held_bytes

    def _close_largest(self) -> None:
        """Closes connections that hold most until the bytes are allowed."""
        while self._total_bytes > self.totals.max_buffered_bytes:
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
            "abandoned_requests": len(self._abandoned),
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
