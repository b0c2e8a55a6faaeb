"""Server side of the platform's protocol, for stand-ins.

It is in the same package as the client side, so that the stand-ins contain none
of the platform's names and formats.
"""

import base64
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

import blacksheep
import orjson

from magnoliaglade import fleet, http, store
from magnoliaglade.fleet import OrderOutcome, OrderReply
from magnoliaglade.instance import InstanceSettings
from magnoliaglade.platform import _documents
from magnoliaglade.types import Epoch, LeaseId

# Largest request body in bytes that a stand-in reads.
_MAX_BODY_BYTES = 4_194_304

_REASONS_BY_OUTCOME = {
    OrderOutcome.FENCED: "fence",
    OrderOutcome.SUPERSEDED: "old",
    OrderOutcome.LEASE_EXPIRED: "late",
    OrderOutcome.NO_CAPACITY: "room",
}


def store_application(
    backing_store: store.TransactionalStore, *, revision: Callable[[], int]
) -> blacksheep.Application:
    """Returns an application that serves a store by the key-value protocol.

    Args:
        backing_store: store that holds the entries.
        revision: returns the current revision of the store.
    """
    handlers = _StoreHandlers(backing_store=backing_store, revision=revision)
    return http.new_application(
        {
            ("GET", "/api/kv-key"): handlers.get,
            ("GET", "/api/kv-range"): handlers.list,
            ("GET", "/api/kv-watch"): handlers.watch,
            ("POST", "/api/kv-txn"): handlers.transact,
            ("POST", "/api/kv-lease"): handlers.grant,
            ("POST", "/api/kv-keep/{lease}"): handlers.renew,
            ("DELETE", "/api/kv-lease-end/{lease}"): handlers.revoke,
        }
    )


def worker_application(worker: fleet.WorkerClient) -> blacksheep.Application:
    """Returns an application that serves a worker by the executor protocol."""
    handlers = _WorkerHandlers(worker=worker)
    return http.new_application(
        {
            ("POST", "/api/hold"): handlers.poll,
            ("POST", "/api/run-start"): handlers.start,
            ("POST", "/api/run-stop"): handlers.stop,
        }
    )


def encode_worker(listed: fleet.ListedWorker) -> tuple[str, bytes]:
    """Returns key and value of a worker's entry in the store."""
    capacity = {
        "cpu": listed.capacity.cores_m,
        "memMb": listed.capacity.memory_mb,
        "gpu": listed.capacity.accelerators,
    }
    fields = {
        "service": listed.service,
        "address": listed.address,
        "zone": listed.zone,
        "state": "draining" if listed.is_draining else "ready",
        "drainRemainingMs": int(listed.leaves_in_s * 1000),
        "capacity": capacity,
        "labels": [*sorted(listed.labels - {listed.rack}), listed.rack],
        "born": listed.lifetime,
    }
    key = _documents.WORKER_PREFIX + listed.worker
    return key, orjson.dumps(fields)


def encode_configuration(fields: dict[str, Any]) -> tuple[str, bytes]:
    """Returns key and value of the operators' configuration."""
    return _documents.OPERATOR_PREFIX + "config", orjson.dumps(fields)


def encode_submission(
    steps: list[dict[str, Any]], *, payload: str = "x"
) -> bytes:
    """Returns the body of a submission of the given steps."""
    return orjson.dumps({"spec": payload, "steps": steps})


def encode_settings(settings: InstanceSettings) -> bytes:
    """Returns the content of a settings file."""
    fields = {
        "node": settings.instance,
        "zone": settings.zone,
        "listen": {
            "front": str(settings.api_address),
            "ready": str(settings.readiness_address),
        },
        "internalPorts": [
            settings.internal_address.port,
            settings.internal_address.port,
        ],
        "platform": {"address": settings.store_address},
        "bounds": {"holdMaxMs": int(settings.bounds.longest_lease_s * 1000)},
        "limits": {"memoryMb": settings.memory_mb, "maxFds": settings.max_fds},
    }
    return orjson.dumps(fields)


class _StoreHandlers:
    """Handlers of the key-value protocol."""

    def __init__(
        self,
        *,
        backing_store: store.TransactionalStore,
        revision: Callable[[], int],
    ) -> None:
        self.backing_store = backing_store
        self.revision = revision

    async def get(self, request: blacksheep.Request) -> blacksheep.Response:
        entry = await self.backing_store.get(_query_parameter(request, "key"))
        if entry is None:
            return _json_response(404, {"storeRevision": self.revision()})
        return _json_response(
            200, _encode_entry(entry) | {"storeRevision": self.revision()}
        )

    async def list(self, request: blacksheep.Request) -> blacksheep.Response:
        prefix = _query_parameter(request, "prefix")
        entries, revision = await self.backing_store.list_prefix(prefix)
        after = _query_parameter(request, "after")
        items = [_encode_entry(e) for e in entries if e.key > after]
        fields = {
            "items": items,
            "truncated": False,
            "storeRevision": revision,
        }
        return _json_response(200, fields)

    async def watch(self, request: blacksheep.Request) -> blacksheep.Response:
        events = await self.backing_store.watch(
            _query_parameter(request, "prefix"),
            after=int(_query_parameter(request, "after")),
            wait_s=int(_query_parameter(request, "waitMs")) / 1000.0,
        )
        fields = {
            "events": [_encode_event(e) for e in events],
            "storeRevision": self.revision(),
        }
        return _json_response(200, fields)

    async def transact(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        body = await _read_json(request)
        try:
            revision = await self.backing_store.transact(
                expected={e["key"]: e["revision"] for e in body["expect"]},
                puts=[_decode_put(p) for p in body["puts"]],
                deletes=body["remove"],
            )
        except store.TransactionConflictError as error:
            items = [
                _encode_entry(e) if e else {"key": k, "revision": 0}
                for k, e in error.entries.items()
            ]
            return _json_response(412, {"items": items})
        except store.LeaseLostError:
            return _json_response(404, {})
        return _json_response(200, {"revision": revision})

    async def grant(self, request: blacksheep.Request) -> blacksheep.Response:
        ttl_ms = (await _read_json(request))["ttlMs"]
        lease = await self.backing_store.grant_lease(ttl_ms / 1000.0)
        number = int(lease.rpartition("-")[2])
        return _json_response(200, {"lease": number, "ttlMs": ttl_ms})

    async def renew(self, request: blacksheep.Request) -> blacksheep.Response:
        try:
            await self.backing_store.renew_lease(_lease_id(request))
        except store.LeaseLostError:
            return _json_response(404, {})
        return _json_response(200, {})

    async def revoke(self, request: blacksheep.Request) -> blacksheep.Response:
        await self.backing_store.revoke_lease(_lease_id(request))
        return _json_response(200, {})


@dataclasses.dataclass(kw_only=True)
class _WorkerHandlers:
    """Handlers of the executor protocol."""

    worker: fleet.WorkerClient

    async def poll(self, request: blacksheep.Request) -> blacksheep.Response:
        body = await _read_json(request)
        try:
            report = await self.worker.poll(
                epoch=Epoch(body["fence"]),
                acknowledged=body["lastSeen"],
                lease_until_ms=body.get("untilMs"),
                wait_s=body.get("waitMs", 0) / 1000.0,
            )
        except fleet.WorkerFencedError:
            return _json_response(409, {"reason": "fence"})
        fields = {
            "clockMs": report.clock_ms,
            "born": report.lifetime,
            "running": [
                [r.task, r.run, r.checkpoint, r.percent, 0]
                for r in report.running
            ],
            "ended": [
                [e.number, e.task, e.run, e.outcome.value, e.checkpoint]
                for e in report.ended
            ],
        }
        return _json_response(200, fields)

    async def start(self, request: blacksheep.Request) -> blacksheep.Response:
        body = await _read_json(request)
        order = fleet.StartOrder(
            task=body["task"],
            run=body["run"],
            payload=body["spec"],
            lease_until_ms=body["untilMs"],
            epoch=Epoch(body["fence"]),
            checkpoint=body.get("lastCheckpoint", ""),
        )
        return await _order_response(self.worker.start(order))

    async def stop(self, request: blacksheep.Request) -> blacksheep.Response:
        body = await _read_json(request)
        return await _order_response(
            self.worker.stop(
                task=body["task"], run=body["run"], epoch=Epoch(body["fence"])
            )
        )


async def _order_response(call: Awaitable[OrderReply]) -> blacksheep.Response:
    reply = await call
    fields: dict[str, Any] = {"clockMs": reply.clock_ms}
    if reply.outcome is OrderOutcome.DONE:
        return _json_response(200, fields)
    return _json_response(
        409, fields | {"reason": _REASONS_BY_OUTCOME[reply.outcome]}
    )


async def _read_json(request: blacksheep.Request) -> dict[str, Any]:
    data = await http.read_body(request, max_bytes=_MAX_BODY_BYTES)
    body: dict[str, Any] = orjson.loads(data)
    return body


def _json_response(status: int, fields: dict[str, Any]) -> blacksheep.Response:
    return http.json_response(status, fields)


def _query_parameter(request: blacksheep.Request, name: str) -> str:
    values = request.query.get(name)
    return values[0] if values else ""


def _lease_id(request: blacksheep.Request) -> LeaseId:
    values = request.route_values or {}
    return LeaseId(f"lease-{values['lease']}")


def _encode_entry(entry: store.Entry) -> dict[str, Any]:
    lease = int(entry.lease.rpartition("-")[2]) if entry.lease else 0
    return {
        "key": entry.key,
        "value": base64.b64encode(entry.value).decode("ascii"),
        "revision": entry.revision,
        "created": entry.revision,
        "lease": lease,
    }


def _encode_event(event: store.Event) -> dict[str, Any]:
    fields = {"key": event.key, "revision": event.revision}
    if event.kind is store.EventKind.DELETE:
        return fields | {"deleted": True}
    value = base64.b64encode(event.value).decode("ascii")
    return fields | {"value": value, "created": event.revision, "lease": 0}


def _decode_put(fields: dict[str, Any]) -> store.Put:
    lease = fields.get("lease")
    return store.Put(
        key=fields["key"],
        value=base64.b64decode(fields["value"]),
        lease=LeaseId(f"lease-{lease}") if lease else None,
    )
