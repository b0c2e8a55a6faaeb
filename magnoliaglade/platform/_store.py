"""Implements `TransactionalStore` with the platform's key-value service.

The protocol is HTTP/1.1 with JSON bodies. Values are encoded as base64.
"""

import base64
import binascii
from collections.abc import Mapping, Sequence
from typing import Any

import orjson

from magnoliaglade import base, http, store
from magnoliaglade.types import LeaseId

# Timeout of a call in seconds. The service replies in 4 ms and may be 60 times
# slower.
CALL_TIMEOUT_S = 0.7
# Time in seconds, added to the wait of a watch, after which its call times out.
WATCH_TIMEOUT_MARGIN_S = 0.4

_OK = 200
_NOT_FOUND = 404
_GONE = 410
_PRECONDITION_FAILED = 412
_TOO_MANY_REQUESTS = 429
_SERVICE_UNAVAILABLE = 503


class PlatformStore(base.Component):
    """Client of the key-value service; every call has a timeout.

    Attributes:
        address: `host:port` of the service.
        call_timeout_s: timeout of all calls but watches.
        calls: number of calls since the client was created.
    """

    _parameter_constraints = {
        "call_timeout_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self, *, address: str, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self.address = address
        self.call_timeout_s = call_timeout_s
        self._client = http.HttpClient(
            url=f"http://{address}", timeout_s=call_timeout_s
        )
        self.calls = 0

    async def start(self) -> None:
        """Validates the parameters; the first call connects."""
        self.validate_params()
        await self._client.start()

    async def stop(self) -> None:
        """Closes all connections."""
        await self._client.stop()

    async def get(self, key: str) -> store.Entry | None:
        """See `Store.get`."""
        status, reply = await self._call(
            "GET", "/api/kv-key", query={"key": key}
        )
        if status == _NOT_FOUND:
            return None
        return _apply_decoder(_decode_entry, reply)

    async def list_prefix(self, prefix: str) -> tuple[list[store.Entry], int]:
        """See `Store.list_prefix`; reads all pages."""
        entries: list[store.Entry] = []
        query: dict[str, Any] = {"prefix": prefix}
        first_revision: int | None = None
        while True:
            # A page of 1 MB takes seconds on the network link of a small
            # instance.
            _, reply = await self._call(
                "GET", "/api/kv-range", query=query, extends_timeout=True
            )
            page, revision, is_truncated = _apply_decoder(_decode_page, reply)
            entries.extend(page)
            # The pages are not one snapshot. The revision of the first is
            # returned, so that a watch finds all changes after it.
            if first_revision is None:
                first_revision = revision
            if not is_truncated or not page:
                return entries, first_revision
            query["after"] = page[-1].key

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected: int | None = None,
        lease: LeaseId | None = None,
    ) -> int:
        """See `Store.put`."""
        conditions = {} if expected is None else {key: expected}
        try:
            return await self.transact(
                expected=conditions,
                puts=[store.Put(key=key, value=value, lease=lease)],
            )
        except store.TransactionConflictError as error:
            raise _conflict_error(key, expected, error) from error

    async def delete(self, key: str, *, expected: int | None = None) -> None:
        """See `Store.delete`."""
        conditions = {} if expected is None else {key: expected}
        try:
            await self.transact(expected=conditions, deletes=[key])
        except store.TransactionConflictError as error:
            raise _conflict_error(key, expected, error) from error

    async def transact(
        self,
        *,
        expected: Mapping[str, int],
        puts: Sequence[store.Put] = (),
        deletes: Sequence[str] = (),
    ) -> int:
        """See `TransactionalStore.transact`."""
        body = {
            "expect": [{"key": k, "revision": r} for k, r in expected.items()],
            "puts": [_encode_put(p) for p in puts],
            "remove": list(deletes),
        }
        status, reply = await self._call("POST", "/api/kv-txn", body=body)
        if status == _PRECONDITION_FAILED:
            raise _apply_decoder(_decode_conflict, (reply, expected))
        if status == _NOT_FOUND:
            raise store.LeaseLostError(
                "a lease of the transaction does not exist"
            )
        return _apply_decoder(lambda r: int(r["revision"]), reply)

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """See `Store.grant_lease`."""
        _, reply = await self._call(
            "POST", "/api/kv-lease", body={"ttlMs": int(ttl_s * 1000)}
        )
        return _apply_decoder(lambda r: LeaseId(str(int(r["lease"]))), reply)

    async def renew_lease(self, lease: LeaseId) -> None:
        """See `Store.renew_lease`."""
        status, _ = await self._call("POST", f"/api/kv-keep/{lease}")
        if status == _NOT_FOUND:
            raise store.LeaseLostError(str(lease))

    async def revoke_lease(self, lease: LeaseId) -> None:
        """See `Store.revoke_lease`."""
        await self._call("DELETE", f"/api/kv-lease-end/{lease}")

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> list[store.Event]:
        """See `Store.watch`."""
        wait_ms = int(wait_s * 1000)
        status, reply = await self._call(
            "GET",
            "/api/kv-watch",
            query={"prefix": prefix, "after": after, "waitMs": wait_ms},
            timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
        )
        if status == _GONE:
            raise store.HistoryLostError(
                f"{prefix}: events after {after} are no longer available"
            )
        return _apply_decoder(
            lambda r: [_decode_event(e) for e in r["events"]], reply
        )

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, Any] | None = None,
        body: dict[str, Any] | None = None,
        timeout_s: float | None = None,
        extends_timeout: bool = False,
    ) -> tuple[int, Any]:
        self.calls += 1
        try:
            reply = await self._client.call(
                method,
                path,
                query=query,
                body=orjson.dumps(body) if body is not None else None,
                content_type="application/json",
                timeout_s=timeout_s,
                extends_timeout=extends_timeout,
            )
        except http.NotSentError as error:
            raise store.StoreUnavailableError(str(error)) from error
        except http.NoReplyError as error:
            raise store.StoreOutcomeUnknownError(str(error)) from error
        if reply.status == _TOO_MANY_REQUESTS:
            raise store.StoreThrottledError(path)
        if reply.status == _SERVICE_UNAVAILABLE:
            raise store.StoreUnavailableError(f"{path}: status 503")
        if reply.status not in _EXPECTED_STATUSES:
            raise store.StoreOutcomeUnknownError(
                f"{path}: unexpected status {reply.status}"
            )
        return reply.status, _parse_body(reply.body)


_DECODE_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
    binascii.Error,
)
_EXPECTED_STATUSES = frozenset({_OK, _NOT_FOUND, _GONE, _PRECONDITION_FAILED})


def _parse_body(body: bytes) -> Any:
    if not body:
        return {}
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise store.StoreOutcomeUnknownError(
            f"reply body is not valid JSON: {error}"
        ) from error


def _apply_decoder(decoder: Any, reply: Any) -> Any:
    try:
        return decoder(reply)
    except _DECODE_ERRORS as error:
        raise store.StoreOutcomeUnknownError(
            f"malformed reply: {error!r}"
        ) from error


def _decode_entry(item: dict[str, Any]) -> store.Entry:
    lease = item.get("lease") or 0
    return store.Entry(
        key=str(item["key"]),
        value=base64.b64decode(item["value"]),
        revision=int(item["revision"]),
        lease=LeaseId(str(int(lease))) if lease else None,
    )


def _decode_page(reply: dict[str, Any]) -> tuple[list[store.Entry], int, bool]:
    entries = [_decode_entry(i) for i in reply["items"]]
    return entries, int(reply["storeRevision"]), bool(reply["truncated"])


def _decode_event(item: dict[str, Any]) -> store.Event:
    is_deleted = bool(item.get("deleted"))
    return store.Event(
        kind=store.EventKind.DELETE if is_deleted else store.EventKind.PUT,
        key=str(item["key"]),
        revision=int(item["revision"]),
        value=b"" if is_deleted else base64.b64decode(item["value"]),
    )


def _encode_put(put: store.Put) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "key": put.key,
        "value": base64.b64encode(put.value).decode("ascii"),
    }
    if put.lease is not None:
        fields["lease"] = int(put.lease)
    return fields


def _decode_conflict(
    reply_and_expected: tuple[dict[str, Any], Mapping[str, int]],
) -> store.TransactionConflictError:
    reply, expected = reply_and_expected
    found = {
        str(i["key"]): _decode_entry(i)
        for i in reply.get("items", ())
        if i.get("revision") and "value" in i
    }
    return store.TransactionConflictError(
        entries={key: found.get(key) for key in expected}
    )


def _conflict_error(
    key: str, expected: int | None, error: store.TransactionConflictError
) -> store.ConflictError:
    entry = error.entries.get(key)
    return store.ConflictError(
        key=key,
        expected=expected or 0,
        actual=entry.revision if entry else 0,
    )
