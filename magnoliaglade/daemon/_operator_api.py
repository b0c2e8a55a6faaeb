"""HTTP interface for operators."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

import blacksheep

from magnoliaglade import configuration, http, observability, peers
from magnoliaglade.daemon import _calls, _errors
from magnoliaglade.types import InstanceId, ZoneId

STATE_TIMEOUT_S = 2.0


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class StateRequest(peers.Message):
    """Asks a peer for its state dump."""


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class StateReply(peers.Message):
    """A peer's state dump as plain data."""

    state: dict[str, Any]


class OperatorApi:
    """Serves configuration, zones, accounts, upstreams and state."""

    def __init__(
        self,
        *,
        key: _calls.OperatorKey,
        configurations: configuration.ConfigurationStore,
        agent: configuration.ConfigurationAgent,
        gate: configuration.ZoneGate,
        zones: configuration.ZoneControl,
        network: peers.PeerNetwork,
        zone_owner: Callable[[ZoneId], InstanceId | None],
        upstreams: Callable[[], list[dict[str, Any]]],
        dump: Callable[[], dict[str, Any]],
    ) -> None:
        self.key = key
        self.configurations = configurations
        self.agent = agent
        self.gate = gate
        self.zones = zones
        self.network = network
        self.zone_owner = zone_owner
        self.upstreams = upstreams
        self.dump = dump
        network.handle(StateRequest, self._on_state_request)

    def routes(self) -> Mapping[tuple[str, str], _calls.Handler]:
        """Returns the handlers by method and path."""
        prefix = "/v1/operator"
        handlers = {
            ("GET", f"{prefix}/config"): self._show,
            ("POST", f"{prefix}/config"): self._accept,
            ("GET", f"{prefix}/config/history"): self._history,
            ("GET", f"{prefix}/config/diff"): self._diff,
            ("GET", f"{prefix}/zones"): self._list_zones,
            ("POST", f"{prefix}/zones/{{zone}}"): self._set_zone,
            ("GET", f"{prefix}/accounts"): self._list_accounts,
            ("GET", f"{prefix}/upstreams"): self._list_upstreams,
            ("GET", f"{prefix}/state"): self._state,
        }
        return {route: self._guarded(h) for route, h in handlers.items()}

    def _guarded(self, handler: _calls.Handler) -> _calls.Handler:
        async def handle(request: blacksheep.Request) -> blacksheep.Response:
            self.key.check(request)
            return await handler(request)

        return _calls.answering(handle)

    async def _show(self, request: blacksheep.Request) -> blacksheep.Response:
        revision = _calls.query_int(request, "revision")
        if revision is None:
            stored = await self.configurations.current()
        else:
            stored = await self.configurations.get_revision(revision)
        if stored is None and revision is not None:
            raise _errors.CallRefusedError(
                f"no revision {revision}", status=404
            )
        if stored is None:
            return http.json_response(200, {"revision": 0, "document": None})
        document = configuration.encode(stored.configuration)
        return http.json_response(
            200,
            {
                "revision": stored.configuration.revision,
                "in_force": self.agent.revision,
                "document": document,
            },
        )

    async def _accept(self, request: blacksheep.Request) -> blacksheep.Response:
        fields = await _calls.read_json(request)
        base = fields.get("base")
        if not isinstance(base, int):
            raise _errors.CallRefusedError(
                f"base: found {base!r}, allowed is a revision", status=400
            )
        offered = configuration.decode(
            configuration.Configuration,
            fields.get("document"),
            source="document",
        )
        previous = await self.configurations.current()
        stored = await self.configurations.accept(offered, base=base)
        await self.agent.apply_accepted(stored)
        changes = ()
        if previous is not None:
            changes = configuration.diff(
                previous.configuration, stored.configuration
            )
        return http.json_response(
            200,
            {
                "revision": stored.configuration.revision,
                "changes": [str(c) for c in changes],
            },
        )

    async def _history(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        revisions = [
            {
                "revision": s.configuration.revision,
                "writer": s.stamp.writer,
                "removed_zones": [
                    z.zone
                    for z in s.configuration.zones
                    if z.state is configuration.ZoneState.REMOVED
                ],
            }
            for s in await self.configurations.history()
        ]
        return http.json_response(200, {"revisions": revisions})

    async def _diff(self, request: blacksheep.Request) -> blacksheep.Response:
        old = _calls.query_int(request, "old")
        new = _calls.query_int(request, "new")
        if old is None or new is None:
            raise _errors.CallRefusedError("old and new are needed", status=400)
        changes = await self.configurations.diff(old, new)
        return http.json_response(200, {"changes": [str(c) for c in changes]})

    async def _list_zones(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        startable = self.gate.startable_zones()
        current = self.agent.configuration
        zones = [
            {
                "zone": z.zone,
                "region": z.region,
                "state": z.state.value,
                "startable": z.zone in startable,
                "owner": self.zone_owner(z.zone),
            }
            for z in (current.zones if current else ())
        ]
        return http.json_response(200, {"zones": zones})

    async def _set_zone(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        fields = await _calls.read_json(request)
        zone = ZoneId(request.route_values["zone"])
        state = fields.get("state")
        if state not in {s.value for s in configuration.ZoneState}:
            raise _errors.CallRefusedError(
                f"state: found {state!r}, allowed is removed or in-service",
                status=400,
            )
        if state == configuration.ZoneState.REMOVED.value:
            report = await self.zones.remove(zone)
        else:
            report = await self.zones.return_zone(zone)
        return http.json_response(
            200,
            {
                "zone": zone,
                "state": state,
                "stored": report.is_stored,
                "in_effect": report.is_in_effect,
                "confirmed": sorted(report.confirmed),
                "unconfirmed": sorted(report.unconfirmed),
            },
        )

    async def _list_accounts(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        current = self.agent.configuration
        accounts = [
            {
                "account": a.account,
                "guarantees": [_describe(g) for g in a.guarantees],
                "request_share": a.request_share,
                "weight": a.weight,
                "max_accelerators": a.max_accelerators,
            }
            for a in (current.accounts if current else ())
        ]
        return http.json_response(200, {"accounts": accounts})

    async def _list_upstreams(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        return http.json_response(200, {"upstreams": self.upstreams()})

    async def _state(self, request: blacksheep.Request) -> blacksheep.Response:
        own = observability.to_plain(self.dump())
        if not _calls.query_int(request, "all"):
            return http.json_response(200, own)
        peers_state = await asyncio.gather(
            *(self._ask_state(p) for p in sorted(self.network.live_peers))
        )
        states = {self.network.instance: own, **dict(peers_state)}
        return http.json_response(200, states)

    async def _ask_state(
        self, peer: InstanceId
    ) -> tuple[InstanceId, dict[str, Any]]:
        try:
            reply = await self.network.request(
                peer, StateRequest(), timeout_s=STATE_TIMEOUT_S
            )
        except peers.PeerError as error:
            return peer, {"error": str(error)}
        return peer, reply.state

    async def _on_state_request(
        self, sender: InstanceId, message: StateRequest
    ) -> StateReply:
        return StateReply(state=observability.to_plain(self.dump()))


def _describe(guarantee: configuration.Guarantee) -> str:
    size = ""
    if guarantee.level is configuration.CellLevel.ACCELERATOR:
        size = f" of {guarantee.accelerators}"
    zone = f" in {guarantee.zone}" if guarantee.zone else ""
    return f"{guarantee.count} {guarantee.level.value}{size}{zone}"
