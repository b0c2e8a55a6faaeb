"""Decodes documents that operators and executors write to the store."""

import re
from collections.abc import Mapping
from typing import Any

from magnoliaglade import fleet, observability, routing, store
from magnoliaglade.jobs import Resources
from magnoliaglade.platform._fields import Fields, MalformedError, parse_json
from magnoliaglade.routing import OperatorState
from magnoliaglade.types import (
    AccountId,
    Lifetime,
    QueueName,
    RackId,
    ServiceName,
    WorkerId,
    ZoneId,
)

OPERATOR_PREFIX = "op/"
WORKER_PREFIX = "servers/"

_CONFIGURATION_KEY = "op/config"
_EVACUATION_PREFIX = "op/evacuate/"
_WORKER_ID = re.compile(r"[!-~]+")
_STATE_READY = "ready"
_STATE_DRAINING = "draining"


def decode_operator_state(entries: Mapping[str, store.Entry]) -> OperatorState:
    """Returns configuration and removed zones from the operators' entries.

    A malformed configuration is logged and returned as None.
    """
    zones = frozenset(
        ZoneId(key.removeprefix(_EVACUATION_PREFIX))
        for key in entries
        if key.startswith(_EVACUATION_PREFIX)
    )
    entry = entries.get(_CONFIGURATION_KEY)
    if entry is None:
        return OperatorState(configuration=None, removed_zones=zones)
    try:
        configuration = _decode_configuration(_parse_fields(entry.value))
    except MalformedError as error:
        observability.log_state_change(
            "configuration", state="unreadable", reason=str(error)
        )
        configuration = None
    return OperatorState(configuration=configuration, removed_zones=zones)


def decode_workers(entries: list[store.Entry]) -> list[fleet.ListedWorker]:
    """Returns the workers of the executors' entries.

    Malformed entries, which come from other writers, are logged and skipped.
    """
    found: list[fleet.ListedWorker] = []
    for entry in entries:
        try:
            found.append(_decode_worker(entry))
        except MalformedError as error:
            observability.log_state_change(
                "worker entry",
                state="ignored",
                key=entry.key,
                reason=str(error),
            )
    return found


def decode_resources(fields: Fields) -> Resources:
    """Returns a capacity or a demand."""
    return Resources(
        cores_m=fields.integer("cpu"),
        memory_mb=fields.integer("memMb"),
        accelerators=fields.integer("gpu"),
    )


def _parse_fields(value: bytes) -> Fields:
    return Fields(data=parse_json(value))


def _decode_configuration(fields: Fields) -> routing.Configuration:
    accounts = [
        _decode_account(Fields(data=t)) for t in fields.array("tenants")
    ]
    limits = fields.nested("limits")
    return routing.Configuration(
        version=fields.integer("version", is_required=True),
        queues=tuple(
            _decode_queue(Fields(data=r)) for r in fields.array("routes")
        ),
        services=frozenset(
            ServiceName(Fields(data=s).string("name", is_required=True))
            for s in fields.array("services")
        ),
        accounts={a.name: a for a in accounts},
        max_body_bytes=limits.integer("maxBodyBytes"),
        max_header_bytes=limits.integer("maxHeaderBytes"),
        header_timeout_s=limits.integer("headerTimeoutMs") / 1000.0,
        idle_timeout_s=limits.integer("idleTimeoutMs") / 1000.0,
        accounts_by_digest={d: a.name for a in accounts for d in a.key_digests},
    )


def _decode_queue(fields: Fields) -> routing.Queue:
    return routing.Queue(
        name=QueueName(fields.string("name", is_required=True)),
        host=fields.string("host"),
        prefix=fields.string("prefix", is_required=True),
        service=ServiceName(fields.string("service")),
        priority=fields.integer("priority"),
        max_attempts=max(1, fields.integer("maxAttempts")),
        stretch=fields.number("stretch"),
        objective_s=fields.number("sloMs") / 1000.0,
        is_public=fields.boolean("public"),
        needs_advice=bool(fields.data.get("advice")),
    )


def _decode_account(fields: Fields) -> routing.Account:
    keys = [str(k) for k in fields.array("apiKeys")]
    return routing.Account(
        name=AccountId(fields.string("name", is_required=True)),
        key_digests=frozenset(routing.digest_key(k) for k in keys),
        guaranteed_accelerators=fields.nested("guaranteed").integer("gpu"),
    )


def _decode_worker(entry: store.Entry) -> fleet.ListedWorker:
    fields = _parse_fields(entry.value)
    state = fields.string("state", is_required=True)
    if state not in (_STATE_READY, _STATE_DRAINING):
        raise MalformedError(
            f"state: expected ready or draining, found {state!r}"
        )
    labels: list[Any] = fields.array("labels")
    if not all(isinstance(x, str) for x in labels):
        raise MalformedError("labels: expected an array of strings")
    host, port = fields.address("address")
    worker = WorkerId(entry.key.removeprefix(WORKER_PREFIX))
    if not _WORKER_ID.fullmatch(worker):
        raise MalformedError("id: expected printable ASCII characters")
    return fleet.ListedWorker(
        worker=worker,
        lifetime=Lifetime(fields.integer("born")),
        address=f"{host}:{port}",
        service=ServiceName(fields.string("service", is_required=True)),
        zone=ZoneId(fields.string("zone", is_required=True)),
        # The first label is the executor's kind, the last one its rack.
        rack=RackId(labels[-1] if labels else ""),
        labels=frozenset(labels),
        capacity=decode_resources(fields.nested("capacity")),
        is_draining=state == _STATE_DRAINING,
        leaves_in_s=fields.number("drainRemainingMs") / 1000.0,
    )
