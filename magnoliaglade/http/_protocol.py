"""uvicorn's httptools protocol with limits on what a client may send.

The parser is fed one request at a time: a head once it is complete, then the
body up to its end. What follows waits in a buffer of at most one read, and
reading is paused, until the response has been read.
"""

import asyncio
import functools
import http
from collections.abc import Callable
from typing import Any

import httptools
from uvicorn.protocols.http import flow_control, httptools_impl

from magnoliaglade import exceptions
from magnoliaglade.http._ledger import ConnectionLedger
from magnoliaglade.http._limits import (
    HEADER_LINE_BYTES,
    ConnectionLimits,
    Rejection,
)

# Ends a head, and a chunked body with or without trailers. The parser rejects
# line ends without a carriage return.
_BLANK_LINE = b"\r\n\r\n"
# Bytes of a header line besides its name and its value: a colon, a space and
# the end of the line.
_LINE_FRAMING_BYTES = 4
# Limits of discarding what arrives after a rejection. Closing a connection with
# unread bytes resets it, and the client might not read its response.
_DISCARD_S = 1.0
_DISCARD_BYTES = 262_144
# Time after which a request asks again for memory, in seconds.
_RETRY_S = 0.01


class _ProtocolError(exceptions.MagnoliagladeError):
    """A request contains more than one message where one is expected."""


class _GuardedFlow(flow_control.FlowControl):
    """Flow control that does not resume reading while bytes wait."""

    def __init__(
        self, transport: asyncio.Transport, is_blocked: Callable[[], bool]
    ) -> None:
        super().__init__(transport)
        self._is_blocked = is_blocked

    def resume_reading(self) -> None:
        """Resumes reading unless a request waits for the previous one."""
        if not self._is_blocked():
            super().resume_reading()


async def _serve(
    scope: Any, receive: Any, send: Any, *, app: Any, cycle: Any
) -> None:
    """Calls an application; a request without a client may be cancelled."""
    try:
        await app(scope, receive, send)
    except asyncio.CancelledError:
        if not cycle.disconnected:
            raise


class LimitedHttpProtocol(
    httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol
):
    """One connection of a client.

    Attributes:
        ledger: connections of all listeners of the process.
        limits: returns the limits in force on this listener.
    """

    def __init__(
        self,
        *,
        ledger: ConnectionLedger,
        limits: Callable[[], ConnectionLimits],
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self.ledger = ledger
        self.limits = limits
        self._pending = bytearray()
        # Bytes of `_pending` that contain no end of a head.
        self._searched = 0
        self._empty_line_bytes = 0
        self._head_bytes = 0
        self._body_bytes = 0
        # Whether the body of the current request has not ended.
        self._is_in_body = False
        # Bytes of the body that are left; None if it is chunked.
        self._body_left: int | None = None
        # Bytes of a chunked body since the last data: headers and trailers.
        self._framing_bytes = 0
        # Bytes of whole trailers of the current request.
        self._trailer_bytes = 0
        self._last_fed = b""
        self._messages_in_feed = 0
        self._is_rejected = False
        self._is_shutting_down = False
        # Whether a head waits for memory.
        self._is_deferred = False
        self._discarded_bytes = 0
        self._was_served = False
        self._waiting_since_s = 0.0
        # Task of the latest request.
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_reason: Rejection | None = None
        self._timer_since_s = 0.0
        self._unread_bytes = 0

    @property
    def is_expendable(self) -> bool:
        """Whether closing it loses no request that has arrived as a whole."""
        return (
            not self._is_rejected
            and not self._is_deferred
            and not self.transport.is_closing()
            and (self._is_in_body or not self._is_in_progress)
        )

    @property
    def is_pipelining(self) -> bool:
        """Whether it has sent the next request before a response."""
        return self._is_in_progress and bool(self._pending)

    @property
    def waiting_rank(self) -> tuple[bool, float]:
        """Whether it has been served, and since when it waits for a client."""
        return self._was_served, self._waiting_since_s

    @property
    def _is_in_progress(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    @property
    def _is_blocked(self) -> bool:
        """Whether bytes wait until the current response has been read."""
        return (
            bool(self._pending)
            and not self._is_in_body
            and (
                self._is_in_progress
                or self._is_deferred
                or self.flow.write_paused
            )
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the connection, which may close another one."""
        super().connection_made(transport)
        self.flow = _GuardedFlow(transport, lambda: self._is_blocked)
        # `pause_writing` is then called as soon as a response is unread.
        transport.set_write_buffer_limits(high=0)
        self._waiting_since_s = self.loop.time()
        self._await_client()
        self.ledger.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Releases what the connection holds."""
        self._release()
        self._stop_timer()
        self._pending = bytearray()
        super().connection_lost(exc)
        # Without references in a circle, memory is free before the garbage
        # collector runs.
        self.flow._is_blocked = bool
        self.scope = self.headers = self.cycle = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return self.ledger.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes the bytes of a read."""
        if self._is_rejected:
            self._discard(nbytes)
            return
        self._pending += self.ledger.read_buffer[:nbytes]
        self._process()

    def pause_writing(self) -> None:
        """Starts the time limit for reading a response."""
        super().pause_writing()
        if not self._is_rejected:
            self._unread_bytes = self.transport.get_write_buffer_size()
            self._start_timer(Rejection.RESPONSE_TIMEOUT)
            self._hold()

    def resume_writing(self) -> None:
        """Continues with the next request if there is one."""
        super().resume_writing()
        self._unread_bytes = 0
        if self._is_rejected or self.transport.is_closing():
            return
        self._process()

    def shutdown(self) -> None:
        """Closes the connection once the requests that it read are answered."""
        self._is_shutting_down = True
        if not self._is_blocked or _BLANK_LINE not in self._pending:
            super().shutdown()

    def reject(self, reason: Rejection) -> None:
        """Closes the connection at once, without a response."""
        self._end(reason)
        self.transport.abort()

    def update_timeout(self) -> None:
        """Applies changed limits to the time that the client still has."""
        if self._timer is not None and self._timer_reason is not None:
            self._timer.cancel()
            self._schedule_timeout(self._timer_reason)

    def on_message_begin(self) -> None:
        """Starts a message; a feed contains one message only."""
        self._messages_in_feed += 1
        if self._messages_in_feed > 1:
            raise _ProtocolError("more than one message")
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; trailers are counted only."""
        if self._is_in_body:
            self._trailer_bytes += len(name) + len(value) + _LINE_FRAMING_BYTES
            return
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Starts the request, and prepares for its body."""
        super().on_headers_complete()
        self._is_in_body = True
        self._body_left = None
        self._framing_bytes = self._trailer_bytes = 0
        self._last_fed = b""
        for name, value in self.headers:
            if name == b"content-length":
                self._body_left = int(value)

    def on_body(self, body: bytes) -> None:
        """Adds to the body of the request unless it has been answered."""
        self._framing_bytes = 0
        if self._is_in_progress:
            self._body_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends the body of the request."""
        self._is_in_body = False
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Continues with the next request, or waits for it."""
        self.server_state.total_requests += 1
        self._was_served = True
        self._waiting_since_s = self.loop.time()
        # The next request may be long in coming.
        self.cycle.scope = {}
        self.cycle.body = bytearray()
        self.scope = self.headers = None
        self._head_bytes = self._body_bytes = 0
        self._hold()
        if not self.transport.is_closing():
            self._process()

    def _start_asgi_task(self, cycle: Any, app: Any) -> None:
        """Starts a request; the ledger counts its task if the client leaves."""
        serve = functools.partial(_serve, app=app, cycle=cycle)
        self._task = self.loop.create_task(cycle.run_asgi(serve))
        self._task.add_done_callback(self.tasks.discard)
        self.tasks.add(self._task)

    def _process(self) -> None:
        """Feeds what has arrived to the parser, as far as that is allowed."""
        while self._pending and not self._is_blocked:
            has_fed = (
                self._feed_body() if self._is_in_body else self._feed_head()
            )
            if self._is_rejected or self.transport.is_closing():
                return
            if not has_fed:
                break
        self._hold()
        if self._is_rejected:
            return
        if self._is_shutting_down:
            self.shutdown()
        if self._is_blocked:
            self.flow.pause_reading()
        elif not self._is_in_progress:
            self.flow.resume_reading()
        self._await_client()

    def _feed_head(self) -> bool:
        """Feeds a head; returns False if it is not complete."""
        limit = self.limits().max_header_bytes
        pending = self._pending
        if pending[0] in b"\r\n":
            size = len(pending)
            self._pending = pending = pending.lstrip(b"\r\n")
            self._empty_line_bytes += size - len(pending)
        found = pending.find(_BLANK_LINE, self._searched)
        end = found + len(_BLANK_LINE) if found >= 0 else len(pending)
        if max(end, self._empty_line_bytes) > limit:
            status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._refuse(Rejection.HEAD_TOO_LARGE, status)
            return False
        if found < 0:
            self._searched = max(0, len(pending) - len(_BLANK_LINE) + 1)
            return False
        lines = pending.count(b"\n", 0, end)
        needed_bytes = end + HEADER_LINE_BYTES * lines
        if not self.ledger.reserve(self, needed_bytes):
            self._is_deferred = True
            self.loop.call_later(_RETRY_S, self._retry)
            return False
        head = bytes(pending[:end])
        del pending[:end]
        self._searched = self._empty_line_bytes = 0
        self._head_bytes = needed_bytes
        self._feed(head)
        return True

    def _retry(self) -> None:
        self._is_deferred = False
        if not self._is_rejected and not self.transport.is_closing():
            self._process()

    def _feed_body(self) -> bool:
        """Feeds the body up to its end; what follows remains pending."""
        pending = self._pending
        if self._body_left is not None:
            end = min(self._body_left, len(pending))
            self._body_left -= end
        else:
            # The blank line may have begun in the previous part.
            begin = len(self._last_fed)
            found = (self._last_fed + pending).find(_BLANK_LINE)
            end = len(pending)
            if found >= 0:
                end = found + len(_BLANK_LINE) - begin
        part = bytes(pending[:end])
        del pending[:end]
        if self._body_left is None:
            is_cut = part.endswith(_BLANK_LINE) or found >= 0
            tail = (self._last_fed + part)[-len(_BLANK_LINE) + 1 :]
            self._last_fed = b"" if is_cut else tail
            self._framing_bytes += len(part)
        self._feed(part)
        framing_bytes = self._framing_bytes if self._is_in_body else 0
        # A section that one read ends is held to the same limit.
        size = max(framing_bytes, self._trailer_bytes)
        if size > self.limits().max_header_bytes:
            status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._refuse(Rejection.TRAILERS_TOO_LARGE, status)
        return True

    def _feed(self, part: bytes) -> None:
        self._messages_in_feed = 0
        was_in_body = self._is_in_body
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            # The request is served without the upgrade. It is the last one, as
            # the parser does not tell where its body ends.
            self._pending.clear()
            if self.cycle is not None:
                self.cycle.keep_alive = False
        except httptools.HttpParserError:
            self._refuse(Rejection.MALFORMED, http.HTTPStatus.BAD_REQUEST)
        else:
            if not was_in_body and not self._is_in_progress:
                self._refuse(Rejection.MALFORMED, http.HTTPStatus.BAD_REQUEST)

    def _hold(self) -> None:
        held = len(self._pending) + self._head_bytes + self._body_bytes
        self.ledger.hold(self, held + self._unread_bytes)

    def _refuse(self, reason: Rejection, status: http.HTTPStatus) -> None:
        """Answers with a status, unless a response has begun, and closes."""
        if self._is_rejected or self.transport.is_closing():
            return
        if self._is_in_progress and self.cycle.response_started:
            self.reject(reason)
            return
        self._end(reason)
        self.transport.write(
            httptools_impl.STATUS_LINE[status]
            + b"content-length: 0\r\nconnection: close\r\n\r\n"
        )
        self.transport.write_eof()
        self.flow.resume_reading()
        self._timer = self.loop.call_later(_DISCARD_S, self.transport.abort)

    def _end(self, reason: Rejection) -> None:
        """Drops what the connection holds and records its rejection."""
        self._is_rejected = True
        self._stop_timer()
        self._pending = bytearray()
        if self._is_in_progress:
            # Its request is not answered any more, also before the event loop
            # reports the connection as lost.
            self.cycle.disconnected = True
            self.cycle.waiting_for_100_continue = False
            self.cycle.message_event.set()
        self._release()
        client = self.client[0] if self.client else ""
        self.ledger.record_rejection(reason, client)

    def _release(self) -> None:
        """Leaves the ledger; a request counts there until it has ended."""
        self.ledger.remove(self, self._task)
        self._task = None

    def _discard(self, count: int) -> None:
        self._discarded_bytes += count
        if self._discarded_bytes > _DISCARD_BYTES:
            self.transport.abort()

    def _await_client(self) -> None:
        """Starts the time limit for what is expected of the client next."""
        if self.flow.write_paused:
            return
        if self._is_in_body:
            self._start_timer(Rejection.BODY_TIMEOUT)
        elif self._is_in_progress or self._is_deferred:
            self._stop_timer()
        elif not self._pending and (
            self._was_served or not self._empty_line_bytes
        ):
            # Some clients send an empty line after a body.
            self._start_timer(Rejection.NO_REQUEST)
        elif self._timer_reason is not Rejection.HEADER_TIMEOUT:
            # Not started again by later bytes of the same head.
            self._start_timer(Rejection.HEADER_TIMEOUT)

    def _start_timer(self, reason: Rejection) -> None:
        self._stop_timer()
        self._timer_reason = reason
        self._timer_since_s = self.loop.time()
        self._schedule_timeout(reason)

    def _schedule_timeout(self, reason: Rejection) -> None:
        limits = self.limits()
        delay_s = limits.idle_timeout_s
        if reason is Rejection.HEADER_TIMEOUT:
            delay_s = limits.header_timeout_s
        self._timer = self.loop.call_at(
            self._timer_since_s + delay_s, self._on_timeout
        )

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._timer_reason = None

    def _on_timeout(self) -> None:
        reason = self._timer_reason
        if reason is None:
            return
        if self.transport.is_closing():
            # It is closed once the client has read the response.
            if not self._has_progressed(reason):
                self.reject(reason)
            return
        if reason is Rejection.NO_REQUEST and self._was_served:
            # The ordinary end of a connection that is kept open.
            self.transport.close()
        elif reason is Rejection.HEADER_TIMEOUT:
            self._refuse(reason, http.HTTPStatus.REQUEST_TIMEOUT)
        elif not self._has_progressed(reason):
            self.reject(reason)

    def _has_progressed(self, reason: Rejection) -> bool:
        """Returns whether a client may go on, and starts its time again."""
        unread_bytes = self.transport.get_write_buffer_size()
        has_read = 0 < unread_bytes < self._unread_bytes
        is_held_up = reason is Rejection.BODY_TIMEOUT and self.flow.read_paused
        if not has_read and not is_held_up:
            return False
        self._unread_bytes = unread_bytes
        self._start_timer(reason)
        return True
