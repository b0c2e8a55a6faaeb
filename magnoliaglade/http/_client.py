"""HTTP calls with a deadline that tell "not sent" from "no answer"."""

import asyncio
import dataclasses
import json
from typing import Any
from urllib import parse

import msgpack
from blacksheep import client as http_client
from blacksheep import contents

from magnoliaglade import base, exceptions

# Idle connections are given up before the server closes them.
_IDLE_S = 30.0
# Above every deadline in use; the call's own timeout ends it.
_LIBRARY_TIMEOUT_S = 3600.0


class HttpClientError(exceptions.MagnoliagladeError):
    """Base class of errors of HTTP calls."""


class NotSentError(HttpClientError):
    """No connection was made; the server has not seen the call."""


class NoAnswerError(HttpClientError):
    """No whole answer came; the call may have had its effect."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """Status and body of an answer."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Decodes a JSON body.

        Raises:
            NoAnswerError: the body is no JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise NoAnswerError(f"broken JSON: {error}") from error

    def unpack(self) -> Any:
        """Decodes a msgpack body.

        Raises:
            NoAnswerError: the body is no msgpack.
        """
        try:
            return msgpack.unpackb(self.body, use_list=True)
        except (ValueError, msgpack.UnpackException) as error:
            raise NoAnswerError(f"broken msgpack: {error}") from error


class HttpClient(base.Component):
    """Calls one server; repeats nothing by itself."""

    _parameter_constraints = {
        "url": [base.InstanceOf(cls=str)],
        "timeout_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(self, *, url: str, timeout_s: float = 1.0) -> None:
        self.url = url
        self.timeout_s = timeout_s
        self._session: http_client.ClientSession | None = None

    async def start(self) -> None:
        """Checks the parameters; connects on first use."""
        self.validate_params()

    async def stop(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

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

        Raises:
            NotSentError: no connection could be made.
            NoAnswerError: no whole answer within the timeout.
        """
        session = self._require_session()
        request = http_client.session.Request(
            method,
            session.get_url(_target(path, query)),
            [(k.encode(), v.encode()) for k, v in (headers or {}).items()],
        )
        if body is not None:
            content = contents.Content(content_type.encode(), body)
            request = request.with_content(content)
        try:
            async with asyncio.timeout(timeout_s or self.timeout_s):
                response = await session.send(request)
                return Reply(
                    status=response.status, body=await response.read() or b""
                )
        except (ConnectionRefusedError, http_client.ConnectionTimeout) as error:
            raise NotSentError(f"{self.url}: {error!r}") from error
        except Exception as error:
            # The request may have been sent, whatever broke afterwards.
            raise NoAnswerError(f"{self.url}: {error!r}") from error

    def _require_session(self) -> http_client.ClientSession:
        if self._session is None:
            self._session = http_client.ClientSession(
                base_url=self.url,
                follow_redirects=False,
                connection_timeout=self.timeout_s,
                request_timeout=_LIBRARY_TIMEOUT_S,
                http2=False,
                max_connection_retries=0,
                idle_timeout=_IDLE_S,
            )
        return self._session


def _target(path: str, query: dict[str, Any] | None) -> str:
    given = {k: v for k, v in (query or {}).items() if v is not None}
    return f"{path}?{parse.urlencode(given)}" if given else path
