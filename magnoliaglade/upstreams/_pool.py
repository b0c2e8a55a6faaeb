"""Pool of the connections of this instance to one upstream."""

import asyncio
import contextlib
import dataclasses
import itertools
import math
from typing import Any

from magnoliaglade import base
from magnoliaglade import clock as clock_lib
from magnoliaglade.types import RequestId, UpstreamId
from magnoliaglade.upstreams import _connection, _errors

# floor(64 connections / 9 entry instances); one of them is reserved for probes.
MAX_CONNECTIONS = 7
IDLE_PROBE_AFTER_S = 5.0
PROBE_TIMEOUT_S = 1.0
# Two probes fit into the default progress timeout of 5 s.
STALL_PROBE_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _IdleConnection:
    connection: _connection.UpstreamConnection
    since_s: float


class ConnectionPool(base.Component):
    """Keeps at most `max_connections` connections to an upstream.

    One of them is reserved for probes, so that a stalled request can be
    distinguished from a stalled upstream while all others are in use. Every
    wait ends at the deadline of the request.
    """

    _parameter_constraints = {
        "max_connections": [base.Interval(kind=int, low=2)],
        "idle_probe_after_s": [base.Interval(kind=float, low=0)],
        "probe_timeout_s": [base.Interval(kind=float, low=0, low_open=True)],
        "stall_probe_after_s": [
            base.Interval(kind=float, low=0, low_open=True)
        ],
    }

    def __init__(
        self,
        *,
        upstream: UpstreamId,
        host: str,
        port: int,
        clock: clock_lib.Clock,
        max_connections: int = MAX_CONNECTIONS,
        probe_target: str = "/healthz",
        idle_probe_after_s: float = IDLE_PROBE_AFTER_S,
        probe_timeout_s: float = PROBE_TIMEOUT_S,
        stall_probe_after_s: float = STALL_PROBE_AFTER_S,
        max_response_bytes: int = _connection.MAX_RESPONSE_BYTES,
    ) -> None:
        self.upstream = upstream
        self.host = host
        self.port = port
        self.clock = clock
        self.max_connections = max_connections
        self.probe_target = probe_target
        self.idle_probe_after_s = idle_probe_after_s
        self.probe_timeout_s = probe_timeout_s
        self.stall_probe_after_s = stall_probe_after_s
        self.max_response_bytes = max_response_bytes
        self._idle: list[_IdleConnection] = []
        self._request_permits = asyncio.Semaphore(max_connections - 1)
        self._probe_lock = asyncio.Lock()
        self._active = 0
        self._permits_in_use = 0
        self._drained = asyncio.Event()
        self._probe_ids = itertools.count()
        self._is_stopped = False
        self._replaced = 0

    @property
    def active(self) -> int:
        """Number of requests in flight or waiting for a connection."""
        return self._active

    async def start(self) -> None:
        """Checks the parameters; connections are opened on demand."""
        self.validate_params()

    async def stop(self) -> None:
        """Waits for requests in flight, each of which has a deadline."""
        self._is_stopped = True
        while self._active:
            self._drained.clear()
            await self._drained.wait()
        self._close_idle()

    def dump(self) -> dict[str, Any]:
        """Returns the numbers of connections."""
        return {
            "active": self._active,
            "idle": len(self._idle),
            "replaced": self._replaced,
        }

    async def exchange(
        self,
        request: _connection.ExchangeRequest,
        *,
        before_write: _connection.PreWriteCheck | None = None,
    ) -> _connection.ExchangeResponse:
        """Sends a request over a live connection.

        `before_write` checks what may have changed while the request waited
        for a connection, such as the lease of its slot; see
        `UpstreamConnection.exchange`.

        Raises:
            NotSentError: the request has not run.
            OutcomeUnknownError: it may have run; see `NoProgressError` for a
                connection that became silent.
        """
        if self._is_stopped:
            raise _errors.NotSentError("pool is stopped")
        self._active += 1
        try:
            await self._acquire_permit(request.deadline_s)
            self._permits_in_use += 1
            try:
                return await self._exchange(request, before_write)
            finally:
                self._permits_in_use -= 1
                self._request_permits.release()
        finally:
            self._active -= 1
            self._drained.set()

    async def probe(self) -> _connection.ExchangeResponse | None:
        """Probes the upstream on a new connection.

        Returns None without a complete response. A working connection is kept
        for later requests if the limit allows it.

        Raises:
            UpstreamRefusedError: the upstream refused the connection.
        """
        async with self._probe_lock:
            try:
                connection = await self._connect(self.probe_timeout_s)
            except _errors.UpstreamRefusedError:
                raise
            except _errors.NotSentError:
                return None
            try:
                response = await self._probe_on(connection)
            except BaseException:
                connection.close()
                raise
            self._add_idle(
                connection, connections_in_use=self._permits_in_use + 1
            )
            return response

    async def _acquire_permit(self, deadline_s: float) -> None:
        if not self._request_permits.locked():
            await self._request_permits.acquire()
            return
        waiting = asyncio.ensure_future(self._request_permits.acquire())
        timer = asyncio.ensure_future(
            self.clock.sleep(deadline_s - self.clock.now())
        )
        try:
            await asyncio.wait(
                {waiting, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            self._cancel_wait(waiting)
            raise
        finally:
            timer.cancel()
        if not waiting.done():
            self._cancel_wait(waiting)
            raise _errors.NotSentError("no connection before the deadline")

    def _cancel_wait(self, waiting: asyncio.Future[Any]) -> None:
        """Stops waiting; a permit granted at the same time is released."""
        if waiting.done():
            self._request_permits.release()
            return
        waiting.cancel()

    async def _exchange(
        self,
        request: _connection.ExchangeRequest,
        before_write: _connection.PreWriteCheck | None,
    ) -> _connection.ExchangeResponse:
        while True:
            connection, is_new = await self._acquire(request.deadline_s)
            try:
                return await self._exchange_monitored(
                    connection, request, before_write
                )
            except _errors.NotSentError as error:
                # An idle connection may have been closed meanwhile; nothing
                # was written, so the next connection can be used instead.
                if is_new or error.response is not None:
                    raise
            finally:
                self._add_idle(
                    connection, connections_in_use=self._permits_in_use
                )

    async def _acquire(
        self, deadline_s: float
    ) -> tuple[_connection.UpstreamConnection, bool]:
        while self._idle:
            idle = self._idle.pop()
            try:
                if await self._is_usable(idle):
                    return idle.connection, False
            except BaseException:
                idle.connection.close()
                raise
            idle.connection.close()
            self._replaced += 1
        remaining_s = deadline_s - self.clock.now()
        timeout_s = min(remaining_s, _connection.CONNECT_TIMEOUT_S)
        return await self._connect(timeout_s), True

    async def _is_usable(self, idle: _IdleConnection) -> bool:
        if not idle.connection.is_open:
            return False
        if self.clock.now() - idle.since_s < self.idle_probe_after_s:
            return True
        if await self._probe_on(idle.connection) is not None:
            return idle.connection.is_open
        # The others were idle as long on the same network path; probing each
        # of them in turn would use up the deadline.
        self._replaced += len(self._idle)
        self._close_idle()
        return False

    async def _exchange_monitored(
        self,
        connection: _connection.UpstreamConnection,
        request: _connection.ExchangeRequest,
        before_write: _connection.PreWriteCheck | None,
    ) -> _connection.ExchangeResponse:
        stall_probe = asyncio.ensure_future(self._probe_on_stall(connection))
        try:
            return await connection.exchange(request, before_write=before_write)
        except _errors.NoProgressError as error:
            self._replaced += 1
            self._require_idle_probe()
            error.probe_answered = (
                stall_probe.done() and _task_result(stall_probe) is True
            )
            raise
        finally:
            stall_probe.cancel()

    async def _probe_on_stall(
        self, connection: _connection.UpstreamConnection
    ) -> bool:
        """Probes while the request makes no progress until one is answered.

        Returns True once a probe is answered.
        """
        stall_s = self.stall_probe_after_s
        started_s = self.clock.now()
        while True:
            no_progress_since_s = max(connection.last_progress_s, started_s)
            no_progress_s = self.clock.now() - no_progress_since_s
            if no_progress_s < stall_s:
                await self.clock.sleep(stall_s - no_progress_s)
                continue
            with contextlib.suppress(_errors.UpstreamRefusedError):
                if await self.probe() is not None:
                    return True
            await self.clock.sleep(stall_s)

    async def _probe_on(
        self, connection: _connection.UpstreamConnection
    ) -> _connection.ExchangeResponse | None:
        probe = _connection.ExchangeRequest(
            request=RequestId(f"probe-{next(self._probe_ids)}"),
            method="GET",
            target=self.probe_target,
            deadline_s=self.clock.now() + self.probe_timeout_s,
            progress_timeout_s=self.probe_timeout_s,
            idempotent=True,
        )
        try:
            return await connection.exchange(probe)
        except _errors.NotSentError as error:
            return error.response
        except _errors.OutcomeUnknownError:
            return None

    async def _connect(
        self, timeout_s: float
    ) -> _connection.UpstreamConnection:
        return await _connection.open_connection(
            host=self.host,
            port=self.port,
            clock=self.clock,
            timeout_s=timeout_s,
            max_response_bytes=self.max_response_bytes,
        )

    def _add_idle(
        self,
        connection: _connection.UpstreamConnection,
        *,
        connections_in_use: int,
    ) -> None:
        """Adds an idle connection; closes the oldest ones above the limit."""
        if not connection.is_open:
            return
        if self._is_stopped:
            connection.close()
            return
        self._idle.append(
            _IdleConnection(connection=connection, since_s=self.clock.now())
        )
        while (
            self._idle
            and len(self._idle) + connections_in_use > self.max_connections
        ):
            self._idle.pop(0).connection.close()

    def _require_idle_probe(self) -> None:
        """Requires a probe of every idle connection before its next use."""
        self._idle = [
            dataclasses.replace(i, since_s=-math.inf) for i in self._idle
        ]

    def _close_idle(self) -> None:
        for idle in self._idle:
            idle.connection.close()
        self._idle.clear()


def _task_result(task: asyncio.Task[bool]) -> bool | None:
    if task.cancelled() or task.exception() is not None:
        return None
    return task.result()
