"""Stand-in of the key-value service over HTTP.

Protocol, all bodies msgpack unless said otherwise:

- `GET /v1/entry?key=K`: 200 `{key, value, revision, lease}` or 404.
- `GET /v1/entries?prefix=P`: 200 `{entries: [...], revision}`.
- `PUT /v1/entry?key=K[&expected=N][&lease=L]`, body the raw value:
  200 `{revision}`, 409 `{actual}` on another revision, 410 if the lease ended.
- `DELETE /v1/entry?key=K[&expected=N]`: 200 or 409.
- `POST /v1/leases?ttl_s=T`: 200 `{lease}`; `POST /v1/leases/renew?lease=L`:
  200 or 410; `POST /v1/leases/revoke?lease=L`: 200.
- `GET /v1/watch?prefix=P&after=N&wait_s=T`: 200 `{events: [...]}`, after at
  most T seconds.
- Any call: 503 during an outage; nothing has happened then.
"""

import dataclasses
from collections.abc import Mapping
from typing import Any

import blacksheep

from magnoliaglade import clock as clock_lib
from magnoliaglade import http
from magnoliaglade import store as store_lib
from magnoliaglade.standins import _faulty_store, _server
from magnoliaglade.types import LeaseId

__all__ = ["StoreServer"]


class StoreServer(_server.StandinServer):
    """Serves an `InMemoryStore`; `faults` brings about outages and losses."""

    def __init__(
        self, *, clock: clock_lib.Clock, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        self.clock = clock
        self.memory = store_lib.InMemoryStore(clock=clock)
        self.faults = _faulty_store.FaultyStore(store=self.memory, clock=clock)
        super().__init__(host=host, port=port)

    async def stop(self) -> None:
        """Ends the waiting watches and stops serving."""
        self.memory.close()
        await super().stop()

    def _routes(self) -> Mapping[tuple[str, str], http.Handler]:
        return {
            ("GET", "/v1/entry"): self._get,
            ("PUT", "/v1/entry"): self._put,
            ("DELETE", "/v1/entry"): self._delete,
            ("GET", "/v1/entries"): self._list,
            ("GET", "/v1/watch"): self._watch,
            ("POST", "/v1/leases"): self._grant,
            ("POST", "/v1/leases/renew"): self._renew,
            ("POST", "/v1/leases/revoke"): self._revoke,
        }

    async def _get(self, request: blacksheep.Request) -> blacksheep.Response:
        entry = await _answer(self.faults.get(_arg(request, "key")))
        if entry is None:
            return http.msgpack_response(404, {})
        if isinstance(entry, blacksheep.Response):
            return entry
        return http.msgpack_response(200, dataclasses.asdict(entry))

    async def _list(self, request: blacksheep.Request) -> blacksheep.Response:
        found = await _answer(self.faults.list_prefix(_arg(request, "prefix")))
        if isinstance(found, blacksheep.Response):
            return found
        entries = [dataclasses.asdict(e) for e in found[0]]
        return http.msgpack_response(
            200, {"entries": entries, "revision": found[1]}
        )

    async def _put(self, request: blacksheep.Request) -> blacksheep.Response:
        value = await request.read() or b""
        call = self.faults.put(
            _arg(request, "key"),
            value,
            expected=_int_arg(request, "expected"),
            lease=_arg(request, "lease") or None,
        )
        return _packed(await _answer(call), "revision")

    async def _delete(self, request: blacksheep.Request) -> blacksheep.Response:
        call = self.faults.delete(
            _arg(request, "key"), expected=_int_arg(request, "expected")
        )
        return _packed(await _answer(call), "")

    async def _grant(self, request: blacksheep.Request) -> blacksheep.Response:
        call = self.faults.grant_lease(float(_arg(request, "ttl_s")))
        return _packed(await _answer(call), "lease")

    async def _renew(self, request: blacksheep.Request) -> blacksheep.Response:
        call = self.faults.renew_lease(LeaseId(_arg(request, "lease")))
        return _packed(await _answer(call), "")

    async def _revoke(self, request: blacksheep.Request) -> blacksheep.Response:
        call = self.faults.revoke_lease(LeaseId(_arg(request, "lease")))
        return _packed(await _answer(call), "")

    async def _watch(self, request: blacksheep.Request) -> blacksheep.Response:
        events = await _answer(
            self.faults.watch(
                _arg(request, "prefix"),
                after=int(_arg(request, "after")),
                wait_s=float(_arg(request, "wait_s")),
            )
        )
        if isinstance(events, blacksheep.Response):
            return events
        return http.msgpack_response(
            200, {"events": [_event_fields(e) for e in events]}
        )


async def _answer(call: Any) -> Any:
    """Awaits a store call; an error becomes the response for it."""
    try:
        return await call
    except store_lib.ConflictError as error:
        return http.msgpack_response(409, {"actual": error.actual})
    except store_lib.LeaseLostError:
        return http.msgpack_response(410, {})
    except store_lib.StoreUnavailableError:
        return http.msgpack_response(503, {})
    except store_lib.StoreError:
        return http.msgpack_response(500, {})


def _packed(result: Any, name: str) -> blacksheep.Response:
    if isinstance(result, blacksheep.Response):
        return result
    return http.msgpack_response(200, {name: result} if name else {})


def _event_fields(event: store_lib.Event) -> dict[str, Any]:
    return {**dataclasses.asdict(event), "kind": event.kind.value}


def _arg(request: blacksheep.Request, name: str) -> str:
    return (request.query.get(name) or [""])[0]


def _int_arg(request: blacksheep.Request, name: str) -> int | None:
    text = _arg(request, name)
    return int(text) if text else None
