"""Sends requests to the upstreams of all services.

For each attempt: the eligible upstreams in the allowed zones, a slot on one of
them chosen by the balancer, and one exchange over its connection pool. The
result feeds the directory, the ejector and the load estimates.
"""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable
from typing import Any

from magnoliaglade import base as root_base
from magnoliaglade import clock as clock_lib
from magnoliaglade import kernel, membership, peers, upstreams
from magnoliaglade.instances import instance_list as instance_list_lib
from magnoliaglade.requests import _errors, base
from magnoliaglade.types import UpstreamId, ZoneId

# A failed probe of an upstream counts like a failed request only from this
# status on; a refusal for lack of slots is not a fault of the upstream.
_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceParts:
    """What is kept for one service."""

    directory: upstreams.UpstreamDirectory
    holder: upstreams.SlotHolder
    ejector: upstreams.OutlierEjector
    loads: upstreams.UpstreamLoads
    balancer: upstreams.Balancer

    @property
    def leased(self) -> int:
        """Slots under a valid lease, on all upstreams together."""
        return sum(
            self.holder.leased(UpstreamId(x.instance))
            for x in self.directory.listed()
        )


class UpstreamDispatcher(root_base.Component):
    """See `requests.Dispatcher`.

    Attributes:
        zones: returns the zones in which work may start now.
        services: returns the names of the configured services.
        connection_share: returns this instance's connections per upstream.
        slots: returns the slots per upstream of a service.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        instance_list: instance_list_lib.InstanceList,
        network: peers.PeerNetwork,
        view: Callable[[], membership.View],
        zone: ZoneId,
        zones: Callable[[], frozenset[ZoneId]],
        services: Callable[[], frozenset[str]],
        connection_share: Callable[[str], int],
        slots: Callable[[str], int],
        seed: int,
        balancer: str = "power-of-two",
    ) -> None:
        self.clock = clock
        self.instance_list = instance_list
        self.network = network
        self.view = view
        self.zone = zone
        self.zones = zones
        self.services = services
        self.connection_share = connection_share
        self.slots = slots
        self.seed = seed
        self.balancer = balancer
        self._parts: dict[str, ServiceParts] = {}
        self._pools: dict[UpstreamId, upstreams.ConnectionPool] = {}
        self._changed = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._rng = random.Random(seed)

    async def start(self) -> None:
        """Follows the slots; services are added when they are configured."""
        self.validate_params()
        await self.update_services()

    async def stop(self) -> None:
        """Waits for requests in flight, then returns the slots."""
        await asyncio.gather(*(p.stop() for p in self._pools.values()))
        for parts in self._parts.values():
            await parts.directory.stop()
            await parts.holder.stop()

    def dump(self) -> dict[str, Any]:
        """Returns eligibility, ejections and connections by upstream."""
        return {
            "upstreams": self.describe(),
            "pools": {u: p.dump() for u, p in sorted(self._pools.items())},
        }

    async def update_services(self) -> None:
        """Starts and stops directories so that they match the services."""
        wanted = self.services()
        for name in set(self._parts) - wanted:
            parts = self._parts.pop(name)
            await parts.directory.stop()
            await parts.holder.stop()
        for name in sorted(wanted - set(self._parts)):
            parts = self._make_parts(name)
            self._parts[name] = parts
            parts.holder.on_change(self._on_change)
            await parts.holder.start()
            await parts.directory.start()

    def describe(self) -> list[dict[str, Any]]:
        """Returns one row per listed upstream."""
        return [
            {
                "upstream": listed.instance,
                "service": name,
                "zone": listed.zone,
                "state": self._state(parts, UpstreamId(listed.instance)),
                "outstanding": parts.loads.outstanding(
                    UpstreamId(listed.instance)
                ),
            }
            for name, parts in sorted(self._parts.items())
            for listed in parts.directory.listed()
        ]

    def on_slots(self, listener: Callable[[], None]) -> None:
        """Registers a callback for granted or released slots."""
        self._listeners.append(listener)

    def leased(self, service: str) -> int:
        """Returns the slots of a service that this instance holds now."""
        parts = self._parts.get(service)
        return parts.leased if parts else 0

    def fair_share(self, service: str) -> int:
        """Returns the slots of a service divided by the instances."""
        parts = self._parts.get(service)
        if parts is None:
            return 0
        total = self.slots(service) * len(self._usable(parts))
        return total // max(1, len(self.view().members))

    def set_wanted(self, service: str, count: int) -> None:
        """Asks for `count` slots of a service in all."""
        parts = self._parts.get(service)
        if parts is None:
            return
        usable = [UpstreamId(x.instance) for x in self._usable(parts)]
        limit = self.slots(service) * len(usable)
        parts.holder.spread_demand(min(count, limit), usable)

    def slots_by_upstream(self) -> dict[UpstreamId, int]:
        """Returns the slots of every listed upstream."""
        return {
            UpstreamId(listed.instance): self.slots(name)
            for name, parts in self._parts.items()
            for listed in parts.directory.listed()
        }

    async def dispatch(
        self, request: base.UpstreamRequest
    ) -> base.UpstreamResponse:
        """See `requests.Dispatcher.dispatch`."""
        parts = self._parts.get(request.service)
        if parts is None:
            raise _errors.NotSentError(f"no upstreams of {request.service}")
        slot = await self._acquire_slot(parts, request.deadline_s)
        try:
            return await self._exchange(parts, slot, request)
        except upstreams.NotSentError as error:
            raise _errors.NotSentError(str(error)) from error
        except upstreams.OutcomeUnknownError as error:
            raise _errors.OutcomeUnknownError(str(error)) from error
        finally:
            slot.release()

    def _make_parts(self, service: str) -> ServiceParts:
        return ServiceParts(
            directory=upstreams.UpstreamDirectory(
                clock=self.clock,
                instance_list=self.instance_list,
                service=service,
                prober=lambda listed: self._pool(service, listed).probe(),
            ),
            holder=upstreams.SlotHolder(
                network=self.network, clock=self.clock, view=self.view
            ),
            ejector=upstreams.OutlierEjector(clock=self.clock),
            loads=upstreams.UpstreamLoads(clock=self.clock),
            balancer=kernel.create(
                "balancer", self.balancer, rng=self._rng, zone=self.zone
            ),
        )

    def _pool(
        self, service: str, listed: instance_list_lib.ListedInstance
    ) -> upstreams.ConnectionPool:
        upstream = UpstreamId(listed.instance)
        host, _, port = listed.address.rpartition(":")
        pool = self._pools.get(upstream)
        if pool is not None and (pool.host, pool.port) == (host, int(port)):
            return pool
        pool = upstreams.ConnectionPool(
            upstream=upstream,
            host=host,
            port=int(port),
            clock=self.clock,
            max_connections=self.connection_share(service),
        )
        self._pools[upstream] = pool
        return pool

    def _usable(
        self, parts: ServiceParts
    ) -> list[instance_list_lib.ListedInstance]:
        listed = parts.directory.listed()
        parts.ejector.set_upstreams(UpstreamId(x.instance) for x in listed)
        allowed = parts.directory.eligible(zones=self.zones())
        healthy = set(
            parts.ejector.eligible(UpstreamId(x.instance) for x in allowed)
        )
        return [x for x in allowed if x.instance in healthy]

    async def _acquire_slot(
        self, parts: ServiceParts, deadline_s: float
    ) -> upstreams.HeldSlot:
        while True:
            self._changed.clear()
            slot = self._try_slot(parts)
            if slot is not None:
                return slot
            remaining_s = deadline_s - self.clock.now()
            if remaining_s <= 0:
                raise _errors.NotSentError("no slot before the deadline")
            with contextlib.suppress(TimeoutError):
                # Eligibility changes without a sign, so it is looked at again.
                await self.clock.wait_for(
                    self._changed.wait(), min(remaining_s, 0.25)
                )

    def _try_slot(self, parts: ServiceParts) -> upstreams.HeldSlot | None:
        pairs = [
            (UpstreamId(x.instance), x.zone)
            for x in self._usable(parts)
            if parts.holder.free(UpstreamId(x.instance)) > 0
        ]
        if not pairs:
            return None
        chosen = parts.balancer.choose(parts.loads.candidates(pairs))
        return parts.holder.try_acquire(chosen)

    async def _exchange(
        self,
        parts: ServiceParts,
        slot: upstreams.HeldSlot,
        request: base.UpstreamRequest,
    ) -> base.UpstreamResponse:
        upstream = slot.upstream
        listed = next(
            x for x in parts.directory.listed() if x.instance == upstream
        )
        pool = self._pool(request.service, listed)
        started_s = self.clock.now()
        succeeded = False
        parts.loads.begin(upstream)
        parts.ejector.record_dispatch(upstream)
        try:
            response = await pool.exchange(
                self._wire(request),
                before_write=lambda: self._check(slot, listed),
            )
            parts.directory.observe(upstream, response)
            succeeded = response.status < _SERVER_ERROR
            return _answer(response)
        except upstreams.UpstreamRefusedError:
            parts.directory.observe_refused_connection(upstream)
            raise
        except upstreams.NotSentError as error:
            # The upstream answered, if only to refuse, or was never asked.
            succeeded = True
            if error.response is not None:
                parts.directory.observe(upstream, error.response)
            raise
        finally:
            latency_s = self.clock.now() - started_s
            parts.loads.finish(
                upstream, latency_s=latency_s, succeeded=succeeded
            )
            parts.ejector.observe(upstream, succeeded=succeeded)

    def _check(
        self,
        slot: upstreams.HeldSlot,
        listed: instance_list_lib.ListedInstance,
    ) -> None:
        """Runs after the last await before the first byte is written."""
        slot.check()
        if listed.zone not in self.zones():
            raise upstreams.NotSentError(f"zone {listed.zone} is removed")

    def _wire(self, request: base.UpstreamRequest) -> upstreams.ExchangeRequest:
        return upstreams.ExchangeRequest(
            request=request.request_id,
            method="POST",
            target=f"/v1/services/{request.service}/{request.kind}",
            deadline_s=request.deadline_s,
            headers=request.headers,
            body=request.body,
            progress_timeout_s=request.progress_timeout_s,
            idempotent=request.idempotent,
        )

    def _state(self, parts: ServiceParts, upstream: UpstreamId) -> str:
        if not parts.directory.is_eligible(upstream):
            return "not-eligible"
        return parts.ejector.health(upstream).value

    def _on_change(self) -> None:
        self._changed.set()
        for listener in self._listeners:
            listener()


def _answer(response: upstreams.ExchangeResponse) -> base.UpstreamResponse:
    return base.UpstreamResponse(
        status=response.status,
        headers=response.headers,
        body=response.body,
        request_id=response.request,
        declared_bytes=len(response.body),
    )
