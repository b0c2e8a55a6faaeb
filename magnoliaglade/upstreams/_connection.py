"""HTTP/1.1 client connection that reports whether a request was written."""

import asyncio
import dataclasses
import socket
from collections.abc import Callable

import h11

from magnoliaglade import clock as clock_lib
from magnoliaglade.types import RequestId
from magnoliaglade.upstreams import _errors

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
_MAX_HEAD_BYTES = 64 * 1024
_READ_SIZE_BYTES = 64 * 1024
# The kernel detects a dead peer within about 8 s, also on an idle connection.
_KEEPALIVE_IDLE_S = 5
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 3
_USER_TIMEOUT_MS = 8000

PreWriteCheck = Callable[[], None]

# Set by the connection itself, or valid for one hop only (RFC 9110, 7.6.1).
_CONNECTION_HEADERS = frozenset(
    [
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-deadline-ms",
        "x-request-id",
    ]
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExchangeRequest:
    """A request to an upstream.

    Attributes:
        request: id that the response must repeat.
        method: HTTP method.
        target: path and query.
        headers: names and values; hop-by-hop headers are dropped.
        body: the whole body.
        deadline_s: end of the exchange on the local monotonic clock, in
            seconds.
        progress_timeout_s: longest time without a byte in either direction,
            in seconds.
        idempotent: whether the request may run more than once.
    """

    request: RequestId
    method: str
    target: str
    deadline_s: float
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    progress_timeout_s: float = 5.0
    idempotent: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExchangeResponse:
    """A complete response to one request.

    Attributes:
        request: id of the request.
        status: HTTP status.
        headers: names in lower case and values, without hop-by-hop headers.
        body: the whole body.
        leaving: whether the upstream announced that it is leaving.
        sent_s: local monotonic time before the request was written, in
            seconds.
    """

    request: RequestId
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    leaving: bool
    sent_s: float


class UpstreamConnection:
    """One connection with at most one request in flight.

    After any error except a complete refusal by the upstream the connection
    is closed, so bytes of an earlier response never reach a later request.
    """

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        clock: clock_lib.Clock,
        host: str,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.clock = clock
        self.host = host
        self.max_response_bytes = max_response_bytes
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._is_busy = False
        self._last_progress_s = clock.now()

    @property
    def is_open(self) -> bool:
        """Whether the connection may carry another request."""
        closing = self.writer.is_closing() or self.reader.at_eof()
        return not closing and not self._is_busy

    @property
    def last_progress_s(self) -> float:
        """Monotonic time of the last byte sent or received, in seconds."""
        return self._last_progress_s

    def close(self) -> None:
        """Closes the connection at once; unsent bytes are discarded."""
        self.writer.transport.abort()

    async def exchange(
        self,
        request: ExchangeRequest,
        *,
        before_write: PreWriteCheck | None = None,
    ) -> ExchangeResponse:
        """Sends a request and returns its complete response.

        `before_write` is called with no await between it and the first byte;
        if it raises, nothing is written and its error is raised.

        Raises:
            NotSentError: no byte was written, or the upstream refused with
                status 503 and `x-not-run: true`.
            OutcomeUnknownError: bytes were written and no trustworthy
                response was received; the connection is closed.
        """
        if self._is_busy:
            raise _errors.NotSentError("connection is busy")
        self._is_busy = True
        try:
            response = await self._exchange(request, before_write)
        except BaseException:
            self.close()
            raise
        finally:
            self._is_busy = False
        if is_refusal(response):
            raise _errors.NotSentError(
                "refused before run",
                response=response,
            )
        return response

    async def _exchange(
        self, request: ExchangeRequest, before_write: PreWriteCheck | None
    ) -> ExchangeResponse:
        await self._check_no_pending_data()
        sent_s = self.clock.now()
        if sent_s >= request.deadline_s:
            raise _errors.NotSentError("deadline has passed")
        data = self._encode(request, request.deadline_s - sent_s)
        self._last_progress_s = sent_s
        if before_write is not None:
            before_write()
        self.writer.write(data)
        try:
            head = await self._read_head(request)
            body = await self._read_body(request)
        except (h11.ProtocolError, OSError) as error:
            raise _errors.OutcomeUnknownError(repr(error)) from error
        self._finish_cycle(request)
        return _build_response(request, head, body, sent_s)

    async def _check_no_pending_data(self) -> None:
        """Checks that the connection is open and holds no unrequested bytes.

        Raises:
            NotSentError: it is closed or holds unrequested bytes.
        """
        read = asyncio.ensure_future(self.reader.read(1))
        await asyncio.sleep(0)
        has_no_data = not read.done()
        read.cancel()
        # Unlike awaiting the task, this does not hide a cancellation.
        await asyncio.wait({read})
        if not read.cancelled():
            read.exception()
        if not has_no_data or self.writer.is_closing():
            raise _errors.NotSentError("connection closed by the upstream")

    def _encode(self, request: ExchangeRequest, remaining_s: float) -> bytes:
        headers = [
            ("host", self.host),
            ("x-request-id", str(request.request)),
            ("x-deadline-ms", str(int(remaining_s * 1000))),
            ("content-length", str(len(request.body))),
        ]
        headers += [
            h
            for h in request.headers
            if h[0].lower() not in _CONNECTION_HEADERS
        ]
        try:
            head = h11.Request(
                method=request.method, target=request.target, headers=headers
            )
            parts = [self._h11.send(head)]
            if request.body:
                parts.append(self._h11.send(h11.Data(data=request.body)))
            parts.append(self._h11.send(h11.EndOfMessage()))
        except (h11.LocalProtocolError, UnicodeError) as error:
            raise _errors.NotSentError(f"invalid request: {error}") from error
        return b"".join(p for p in parts if p)

    async def _read_head(self, request: ExchangeRequest) -> h11.Response:
        event = await self._next_event(request)
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event(request)
        if not isinstance(event, h11.Response):
            raise _errors.OutcomeUnknownError("no response")
        _check_framing(request, event)
        _check_id(request, event)
        return event

    async def _read_body(self, request: ExchangeRequest) -> bytes:
        body = bytearray()
        while True:
            event = await self._next_event(request)
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise _errors.OutcomeUnknownError("response is truncated")
            body += event.data
            if len(body) > self.max_response_bytes:
                raise _errors.OutcomeUnknownError("response is too large")

    async def _next_event(self, request: ExchangeRequest) -> h11.Event:
        event = self._h11.next_event()
        while event is h11.NEED_DATA:
            self._h11.receive_data(await self._read(request))
            event = self._h11.next_event()
        return event

    async def _read(self, request: ExchangeRequest) -> bytes:
        transport = self.writer.transport
        while True:
            unsent_bytes = transport.get_write_buffer_size()
            limit_s = min(
                self._last_progress_s + request.progress_timeout_s,
                request.deadline_s,
            )
            try:
                data = await self.clock.wait_for(
                    self.reader.read(_READ_SIZE_BYTES),
                    limit_s - self.clock.now(),
                )
            except TimeoutError as error:
                is_sending = transport.get_write_buffer_size() < unsent_bytes
                if not is_sending or self.clock.now() >= request.deadline_s:
                    raise _errors.NoProgressError("no progress") from error
                data = None
            self._last_progress_s = self.clock.now()
            if data is not None:
                return data

    def _finish_cycle(self, request: ExchangeRequest) -> None:
        if self._h11.trailing_data[0]:
            raise _errors.OutcomeUnknownError("bytes follow the response")
        has_unsent_bytes = self.writer.transport.get_write_buffer_size() > 0
        states = (self._h11.our_state, self._h11.their_state)
        if has_unsent_bytes or states != (h11.DONE, h11.DONE):
            self.close()
            return
        self._h11.start_next_cycle()


async def open_connection(
    *,
    host: str,
    port: int,
    clock: clock_lib.Clock,
    timeout_s: float = CONNECT_TIMEOUT_S,
    max_response_bytes: int = MAX_RESPONSE_BYTES,
) -> UpstreamConnection:
    """Connects to an upstream and sets the TCP timeouts.

    Raises:
        UpstreamRefusedError: the upstream refused the connection.
        NotSentError: no connection within `timeout_s`.
    """
    connecting = asyncio.ensure_future(asyncio.open_connection(host, port))
    # A connection that is made while the caller is cancelled has no owner and
    # must be closed.
    is_owned = False
    try:
        reader, writer = await clock.wait_for(connecting, timeout_s)
        is_owned = True
    except ConnectionRefusedError as error:
        raise _errors.UpstreamRefusedError(repr(error)) from error
    except (OSError, TimeoutError) as error:
        raise _errors.NotSentError(f"no connection: {error!r}") from error
    finally:
        if not is_owned:
            connecting.add_done_callback(_close_unowned)
    _set_timeouts(writer.get_extra_info("socket"))
    return UpstreamConnection(
        reader=reader,
        writer=writer,
        clock=clock,
        host=f"{host}:{port}",
        max_response_bytes=max_response_bytes,
    )


def _close_unowned(connecting: asyncio.Future) -> None:
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result()[1].transport.abort()


def _set_timeouts(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = {
        "TCP_KEEPIDLE": _KEEPALIVE_IDLE_S,
        "TCP_KEEPINTVL": _KEEPALIVE_INTERVAL_S,
        "TCP_KEEPCNT": _KEEPALIVE_PROBES,
        "TCP_USER_TIMEOUT": _USER_TIMEOUT_MS,
    }
    for name, value in options.items():
        option = getattr(socket, name, None)
        if option is not None:
            sock.setsockopt(socket.IPPROTO_TCP, option, value)


def is_refusal(response: ExchangeResponse) -> bool:
    """Returns whether the upstream states that it has not run the request."""
    return response.status == 503 and _has_true_header(
        response.headers, "x-not-run"
    )


def _has_true_header(headers: tuple[tuple[str, str], ...], name: str) -> bool:
    return any(n == name and v.strip().lower() == "true" for n, v in headers)


def _check_framing(request: ExchangeRequest, head: h11.Response) -> None:
    """Checks that the end of the response can be detected.

    Raises:
        OutcomeUnknownError: the end cannot be distinguished from a lost
            connection.
    """
    names = [n for n, _ in head.headers]
    content_lengths = names.count(b"content-length")
    transfer_encodings = names.count(b"transfer-encoding")
    has_no_body = request.method == "HEAD" or head.status_code in (204, 304)
    if content_lengths + transfer_encodings == 0 and has_no_body:
        return
    if content_lengths + transfer_encodings != 1 or head.http_version < b"1.1":
        raise _errors.OutcomeUnknownError("framing of the response is in doubt")


def _check_id(request: ExchangeRequest, head: h11.Response) -> None:
    ids = [v for n, v in head.headers if n == b"x-request-id"]
    if ids != [str(request.request).encode()]:
        raise _errors.OutcomeUnknownError("response to another request")


def _build_response(
    request: ExchangeRequest, head: h11.Response, body: bytes, sent_s: float
) -> ExchangeResponse:
    headers = tuple(
        (n.decode("latin-1"), v.decode("latin-1")) for n, v in head.headers
    )
    return ExchangeResponse(
        request=request.request,
        status=head.status_code,
        headers=tuple(h for h in headers if h[0] not in _CONNECTION_HEADERS),
        body=body,
        leaving=_has_true_header(headers, "x-leaving"),
        sent_s=sent_s,
    )
