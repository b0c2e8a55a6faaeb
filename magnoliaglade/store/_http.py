"""Store client over HTTP.

The protocol is documented in `magnoliaglade.standins.store`, next to the
stand-in that serves it.
"""

from typing import Any

from magnoliaglade import base, http
from magnoliaglade.store import _errors
from magnoliaglade.store.base import Entry, Event, EventKind
from magnoliaglade.types import LeaseId

CALL_TIMEOUT_S = 1.0


class HttpStore(base.Component):
    """Calls the store over HTTP; every call has a timeout.

    Attributes:
        url: base URL of the store.
        call_timeout_s: timeout of a call in seconds; a watch may take longer
            by its own wait.
    """

    _parameter_constraints = {
        "call_timeout_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self, *, url: str, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self.url = url
        self.call_timeout_s = call_timeout_s
        self._client = http.HttpClient(url=url, timeout_s=call_timeout_s)

    async def start(self) -> None:
        """Checks the parameters and prepares the client.

        The first call opens the connection.
        """
        self.validate_params()
        await self._client.start()

    async def stop(self) -> None:
        """Closes all connections."""
        await self._client.stop()

    async def get(self, key: str) -> Entry | None:
        """See `Store.get`."""
        reply = await self._call("GET", "/v1/entry", {"key": key})
        return _decode_entry(reply) if reply else None

    async def list_prefix(self, prefix: str) -> tuple[list[Entry], int]:
        """See `Store.list_prefix`."""
        reply = await self._call("GET", "/v1/entries", {"prefix": prefix})
        return [_decode_entry(e) for e in reply["entries"]], reply["revision"]

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
        return [_decode_event(e) for e in reply["events"]]

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        *,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> Any:
        try:
            reply = await self._client.call(
                method,
                path,
                query=query,
                body=body,
                timeout_s=self.call_timeout_s + wait_s,
            )
            if reply.status == 404:
                return None
            if reply.status != 200:
                _raise_for_status(reply, query)
            return reply.unpack()
        except http.NotSentError as error:
            raise _errors.StoreUnavailableError(str(error)) from error
        except http.NoReplyError as error:
            raise _errors.StoreOutcomeUnknownError(str(error)) from error


def _raise_for_status(reply: http.Reply, query: dict[str, Any]) -> None:
    if reply.status == 409:
        raise _errors.ConflictError(
            key=str(query.get("key")),
            expected=int(query.get("expected") or 0),
            actual=int(reply.unpack()["actual"]),
        )
    if reply.status == 410:
        raise _errors.LeaseLostError(str(query.get("lease")))
    if reply.status == 503:
        raise _errors.StoreUnavailableError("the store answered 503")
    raise _errors.StoreOutcomeUnknownError(f"the store answered {reply.status}")


def _decode_entry(reply: dict[str, Any]) -> Entry:
    lease = reply["lease"]
    return Entry(
        key=reply["key"],
        value=reply["value"],
        revision=reply["revision"],
        lease=LeaseId(lease) if lease else None,
    )


def _decode_event(reply: dict[str, Any]) -> Event:
    return Event(
        kind=EventKind(reply["kind"]),
        key=reply["key"],
        revision=reply["revision"],
        value=reply["value"],
    )
