"""HTTP client whose errors distinguish "not sent" from "no reply"."""

import asyncio
import dataclasses
import json
import time
from collections.abc import Callable
from typing import Any
from urllib import parse

import msgpack

from magnoliaglade import base, exceptions
from magnoliaglade.http import _connection

# Seconds that a connection may be idle before it is closed instead of reused;
# shorter than the server's keep-alive time, so that the client closes first.
_IDLE_TIMEOUT_S = 30.0
_MAX_IDLE_CONNECTIONS = 16
# Idle connections that are kept for `_IDLE_TIMEOUT_S`. Further ones serve a
# burst of calls, and are closed by the first call that ends
# `_SURPLUS_IDLE_TIMEOUT_S` after their last use. The clients of hundreds of
# workers would otherwise hold more connections than the smallest instance has
# descriptors.
_KEPT_IDLE_CONNECTIONS = 2
_SURPLUS_IDLE_TIMEOUT_S = 2.0
# Upper bound in seconds of a reply's duration if its parts extend the timeout.
MAX_REPLY_DURATION_S = 20.0


class HttpClientError(exceptions.MagnoliagladeError):
    """Base class of the errors of HTTP calls."""


class NotSentError(HttpClientError):
    """The request was not sent; the server has not received it."""


class WithheldError(NotSentError):
    """`may_send` returned False when the request was about to be sent."""


class NoReplyError(HttpClientError):
    """No complete reply arrived; the call may have taken effect."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """Status and body of a reply."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Decodes a JSON body.

        Raises:
            NoReplyError: the body is not valid JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise NoReplyError(f"broken JSON: {error}") from error

    def unpack(self) -> Any:
        """Decodes a msgpack body.

        Raises:
            NoReplyError: the body is not valid msgpack.
        """
        try:
            return msgpack.unpackb(self.body, use_list=True)
        except (ValueError, msgpack.UnpackException) as error:
            raise NoReplyError(f"broken msgpack: {error}") from error


class HttpClient(base.Component):
    """Client of one server; it does not retry calls.

    Attributes:
        url: scheme, host and port of the server.
        timeout_s: time for connecting and for the complete reply.
    """

    _parameter_constraints = {
        "url": [base.InstanceOf(cls=str)],
        "timeout_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(self, *, url: str, timeout_s: float = 1.0) -> None:
        self.url = url
        self.timeout_s = timeout_s
        self._idle_connections: list[
            tuple[float, _connection.ClientConnection]
        ] = []
        self._is_stopped = False

    async def start(self) -> None:
        """Validates the parameters; the first call connects."""
        self.validate_params()
        self._is_stopped = False

    async def stop(self) -> None:
        """Closes all idle connections; calls close theirs when they end."""
        self._is_stopped = True
        self._close_idle_connections()

    async def call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        content_type: str = "application/msgpack",
        timeout_s: float | None = None,
        may_send: Callable[[], bool] | None = None,
        extends_timeout: bool = False,
    ) -> Reply:
        """Sends one request and returns the complete reply.

        Args:
            method: GET, POST, PUT or DELETE.
            path: path without the query.
            query: query parameters; those that are None are left out.
            headers: further headers.
            body: request body.
            content_type: media type of the body.
            timeout_s: overrides the client's timeout.
            may_send: called once the connection is established; no other task
                runs between this call and the writing of the request.
            extends_timeout: whether each received part of the reply restarts
                the timeout, for replies that take long to transfer; the reply
                may then take up to `MAX_REPLY_DURATION_S`.

        Raises:
            NotSentError: no connection could be established, or the request
                cannot be encoded.
            WithheldError: `may_send` returned False.
            NoReplyError: no complete reply arrived within the timeout.
        """
        all_headers = dict(headers or {})
        if body is not None:
            all_headers["content-type"] = content_type
        connection: _connection.ClientConnection | None = None
        call_timeout_s = timeout_s or self.timeout_s
        try:
            async with asyncio.timeout(call_timeout_s) as timeout:
                connection = await self._acquire_connection()
                if may_send is not None and not may_send():
                    self._release_connection(connection)
                    raise WithheldError(f"{self.url}{path}")
                status, content = await connection.exchange(
                    method,
                    _request_target(path, query),
                    [*all_headers.items()],
                    body or b"",
                    on_data=_timeout_extender(
                        timeout, call_timeout_s if extends_timeout else 0.0
                    ),
                )
        except WithheldError:
            raise
        except BaseException as error:
            if connection is not None:
                connection.close()
                self._close_idle_connections()
            raise _to_client_error(error, self.url, connection) from error
        self._release_connection(connection)
        return Reply(status=status, body=content)

    async def _acquire_connection(self) -> _connection.ClientConnection:
        while self._idle_connections:
            idle_since_s, connection = self._idle_connections.pop()
            if (
                connection.is_reusable
                and time.monotonic() - idle_since_s < _IDLE_TIMEOUT_S
            ):
                return connection
            connection.close()
        return await _connection.connect(self.url)

    def _close_idle_connections(self) -> None:
        # A fault that stops replies on one connection usually stops them on the
        # other connections of the same age.
        while self._idle_connections:
            self._idle_connections.pop()[1].close()

    def _release_connection(
        self, connection: _connection.ClientConnection
    ) -> None:
        if (
            not self._is_stopped
            and connection.is_reusable
            and len(self._idle_connections) < _MAX_IDLE_CONNECTIONS
        ):
            self._idle_connections.append((time.monotonic(), connection))
        else:
            connection.close()
        self._close_surplus_connections()

    def _close_surplus_connections(self) -> None:
        # The connection that was used last is reused first, so the ones at the
        # front have been idle for longest.
        used_before_s = time.monotonic() - _SURPLUS_IDLE_TIMEOUT_S
        while (
            len(self._idle_connections) > _KEPT_IDLE_CONNECTIONS
            and self._idle_connections[0][0] < used_before_s
        ):
            self._idle_connections.pop(0)[1].close()


def _timeout_extender(
    timeout: asyncio.Timeout, extension_s: float
) -> Callable[[], None]:
    """Returns a function that extends a timeout; for 0 it does nothing.

    Args:
        timeout: timeout to reschedule.
        extension_s: time from a call of the function to the new deadline.
    """
    if not extension_s:
        return lambda: None
    loop = asyncio.get_running_loop()
    limit_s = loop.time() + MAX_REPLY_DURATION_S

    def extend() -> None:
        timeout.reschedule(min(limit_s, loop.time() + extension_s))

    return extend


def _to_client_error(
    error: BaseException,
    url: str,
    connection: _connection.ClientConnection | None,
) -> BaseException:
    """Maps transport errors to client errors.

    Other errors, such as cancellations and bugs, are returned unchanged.
    """
    if isinstance(error, _connection.InvalidRequestError):
        return NotSentError(f"{url}: {error}")
    if not isinstance(
        error, OSError | TimeoutError | _connection.ConnectionBrokenError
    ):
        return error
    if connection is None:
        return NotSentError(f"{url}: {error!r}")
    return NoReplyError(f"{url}: {error!r}")


def _request_target(path: str, query: dict[str, Any] | None) -> str:
    parameters = {k: v for k, v in (query or {}).items() if v is not None}
    return f"{path}?{parse.urlencode(parameters)}" if parameters else path
