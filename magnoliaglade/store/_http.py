"""Store client over HTTP.

The protocol is documented in `magnoliaglade.standins` together with the
stand-in that serves it. Bodies are raw values or msgpack.
"""

import asyncio
from typing import Any
from urllib import parse

import msgpack
from blacksheep import client as http_client
from blacksheep import contents

from magnoliaglade import base
from magnoliaglade.store import _errors
from magnoliaglade.store.base import Entry, Event, EventKind
from magnoliaglade.types import LeaseId

CALL_TIMEOUT_S = 1.0
_MSGPACK = b"application/msgpack"


class HttpStore(base.Component):
    """Talks to the store; every call has a deadline."""

    _parameter_constraints = {
        "url": [base.InstanceOf(cls=str)],
        "call_timeout_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self, *, url: str, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self.url = url
        self.call_timeout_s = call_timeout_s
        self._session: http_client.ClientSession | None = None

    async def start(self) -> None:
        """Creates the connection pool; connects on first use."""
        self.validate_params()
        self._session = http_client.ClientSession(
            base_url=self.url,
            follow_redirects=False,
            connection_timeout=self.call_timeout_s,
            request_timeout=3600,
            http2=False,
            max_connection_retries=0,
        )

    async def stop(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, key: str) -> Entry | None:
        """See `Store.get`."""
        reply = await self._call("GET", "/v1/entry", {"key": key})
        return _entry(reply) if reply else None

    async def list_prefix(self, prefix: str) -> tuple[list[Entry], int]:
        """See `Store.list_prefix`."""
        reply = await self._call("GET", "/v1/entries", {"prefix": prefix})
        return [_entry(e) for e in reply["entries"]], reply["revision"]

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected: int | None = None,
        lease: LeaseId | None = None,
    ) -> int:
        """See `Store.put`."""
        query = {"key": key, "expected": expected, "lease": lease}
        reply = await self._call("PUT", "/v1/entry", query, body=value)
        return reply["revision"]

    async def delete(self, key: str, *, expected: int | None = None) -> None:
        """See `Store.delete`."""
        query = {"key": key, "expected": expected}
        await self._call("DELETE", "/v1/entry", query)

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """See `Store.grant_lease`."""
        reply = await self._call("POST", "/v1/leases", {"ttl_s": ttl_s})
        return LeaseId(reply["lease"])

    async def renew_lease(self, lease: LeaseId) -> None:
        """See `Store.renew_lease`."""
        await self._call("POST", "/v1/leases/renew", {"lease": lease})

    async def revoke_lease(self, lease: LeaseId) -> None:
        """See `Store.revoke_lease`."""
        await self._call("POST", "/v1/leases/revoke", {"lease": lease})

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> list[Event]:
        """See `Store.watch`."""
        query = {"prefix": prefix, "after": after, "wait_s": wait_s}
        reply = await self._call("GET", "/v1/watch", query, wait_s=wait_s)
        return [_event(e) for e in reply["events"]]

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        *,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> Any:
        status, payload = await self._exchange(
            method, _target(path, query), body, self.call_timeout_s + wait_s
        )
        if status == 200:
            return _decode(payload)
        if status == 404:
            return None
        _raise_for(status, payload, query)
        return None

    async def _exchange(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes]:
        session = self._session
        if session is None:
            raise _errors.StoreUnavailableError("store client is not started")
        content = contents.Content(_MSGPACK, body) if body is not None else None
        try:
            async with asyncio.timeout(timeout_s):
                response = await _request(session, method, target, content)
                return response.status, await response.read() or b""
        except (ConnectionRefusedError, http_client.ConnectionTimeout) as error:
            raise _errors.StoreUnavailableError(repr(error)) from error
        except Exception as error:
            # The request may have been sent, whatever broke afterwards.
            raise _errors.StoreUnknownError(repr(error)) from error


async def _request(
    session: http_client.ClientSession,
    method: str,
    target: str,
    content: contents.Content | None,
) -> Any:
    if method == "GET":
        return await session.get(target)
    call = {"POST": session.post, "PUT": session.put}.get(method)
    if call is None:
        return await session.delete(target)
    return await call(target, content=content)


def _target(path: str, query: dict[str, Any]) -> str:
    given = {k: v for k, v in query.items() if v is not None}
    return f"{path}?{parse.urlencode(given)}"


def _decode(payload: bytes) -> Any:
    try:
        return msgpack.unpackb(payload) if payload else {}
    except (ValueError, msgpack.UnpackException) as error:
        raise _errors.StoreUnknownError(f"broken answer: {error}") from error


def _raise_for(status: int, payload: bytes, query: dict[str, Any]) -> None:
    if status == 409:
        raise _errors.ConflictError(
            key=str(query.get("key")),
            expected=int(query.get("expected") or 0),
            actual=int(_decode(payload)["actual"]),
        )
    if status == 410:
        raise _errors.LeaseLostError(str(query.get("lease")))
    if status == 503:
        raise _errors.StoreUnavailableError("store answered 503")
    raise _errors.StoreUnknownError(f"store answered {status}")


def _entry(reply: dict[str, Any]) -> Entry:
    lease = reply["lease"]
    return Entry(
        key=reply["key"],
        value=reply["value"],
        revision=reply["revision"],
        lease=LeaseId(lease) if lease else None,
    )


def _event(reply: dict[str, Any]) -> Event:
    return Event(
        kind=EventKind(reply["kind"]),
        key=reply["key"],
        revision=reply["revision"],
        value=reply["value"],
    )
