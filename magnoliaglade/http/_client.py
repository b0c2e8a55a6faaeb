"""HTTP calls with a deadline that tell "not sent" from "no answer"."""

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

# Idle connections are given up before the server closes them.
_IDLE_S = 30.0
_MAX_IDLE = 16
# Longest time in seconds that a long answer may take to arrive.
LONGEST_ANSWER_S = 20.0


class HttpClientError(exceptions.MagnoliagladeError):
    """Base class of errors of HTTP calls."""


class NotSentError(HttpClientError):
    """No connection was made; the server has not seen the call."""


class WithheldError(NotSentError):
    """The caller's permission had run out when the call was to be sent."""


class NoReplyError(HttpClientError):
    """No whole answer came; the call may have had its effect."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """Status and body of an answer."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Decodes a JSON body.

        Raises:
            NoReplyError: the body is no JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise NoReplyError(f"broken JSON: {error}") from error

    def unpack(self) -> Any:
        """Decodes a msgpack body.

        Raises:
            NoReplyError: the body is no msgpack.
        """
        try:
            return msgpack.unpackb(self.body, use_list=True)
        except (ValueError, msgpack.UnpackException) as error:
            raise NoReplyError(f"broken msgpack: {error}") from error


class HttpClient(base.Component):
    """Calls one server; repeats nothing by itself."""

    _parameter_constraints = {
        "url": [base.InstanceOf(cls=str)],
        "timeout_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(self, *, url: str, timeout_s: float = 1.0) -> None:
        self.url = url
        self.timeout_s = timeout_s
        self._idle: list[tuple[float, _connection.ClientConnection]] = []

    async def start(self) -> None:
        """Checks the parameters; connects on first use."""
        self.validate_params()

    async def stop(self) -> None:
        """Closes all idle connections."""
        self._close_idle()

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
        is_long: bool = False,
    ) -> Reply:
        """Sends one request and returns the whole answer.

        Args:
            method: GET, POST, PUT or DELETE.
            path: path without the query.
            query: query parameters; those that are None are left out.
            headers: further headers.
            body: request body.
            content_type: media type of the body.
            timeout_s: overrides the client's timeout.
            may_send: asked when the connection stands, in the same step in
                which the request is written.
            is_long: the answer may take long to arrive; the timeout then
                applies to the time without any part of it.

        Raises:
            NotSentError: no connection could be made.
            WithheldError: `may_send` returned False.
            NoReplyError: no whole answer within the timeout.
        """
        names = dict(headers or {})
        if body is not None:
            names["content-type"] = content_type
        connection: _connection.ClientConnection | None = None
        wait_s = timeout_s or self.timeout_s
        try:
            async with asyncio.timeout(wait_s) as timeout:
                connection = await self._connect()
                if may_send is not None and not may_send():
                    self._keep(connection)
                    raise WithheldError(f"{self.url}{path}")
                status, content = await connection.exchange(
                    method,
                    _target(path, query),
                    [*names.items()],
                    body or b"",
                    on_data=_extension(timeout, wait_s if is_long else 0.0),
                )
        except WithheldError:
            raise
        except BaseException as error:
            if connection is not None:
                connection.close()
                self._close_idle()
            raise _translate(error, self.url, connection) from error
        self._keep(connection)
        return Reply(status=status, body=content)

    async def _connect(self) -> _connection.ClientConnection:
        while self._idle:
            since_s, connection = self._idle.pop()
            if connection.is_reusable and time.monotonic() - since_s < _IDLE_S:
                return connection
            connection.close()
        return await _connection.connect(self.url)

    def _close_idle(self) -> None:
        # What silences one connection usually silences those of its age.
        while self._idle:
            self._idle.pop()[1].close()

    def _keep(self, connection: _connection.ClientConnection) -> None:
        if connection.is_reusable and len(self._idle) < _MAX_IDLE:
            self._idle.append((time.monotonic(), connection))
        else:
            connection.close()


def _extension(timeout: asyncio.Timeout, by_s: float) -> Callable[[], None]:
    """Returns a function that puts a timeout off; for 0 it does nothing."""
    if not by_s:
        return lambda: None
    loop = asyncio.get_running_loop()
    limit_s = loop.time() + LONGEST_ANSWER_S

    def extend() -> None:
        timeout.reschedule(min(limit_s, loop.time() + by_s))

    return extend


def _translate(
    error: BaseException,
    url: str,
    connection: _connection.ClientConnection | None,
) -> BaseException:
    """Returns the layer's error; cancellation and bugs stay as they are."""
    if isinstance(error, _connection.InvalidRequestError):
        return NotSentError(f"{url}: {error}")
    if not isinstance(
        error, OSError | TimeoutError | _connection.ConnectionBrokenError
    ):
        return error
    if connection is None:
        return NotSentError(f"{url}: {error!r}")
    return NoReplyError(f"{url}: {error!r}")


def _target(path: str, query: dict[str, Any] | None) -> str:
    given = {k: v for k, v in (query or {}).items() if v is not None}
    return f"{path}?{parse.urlencode(given)}" if given else path
