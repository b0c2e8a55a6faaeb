"""Acquires domains for this instance and runs a service for each.

Owners are distributed by rendezvous hashing: the first live member in the order
of a domain acquires it at once, each other member after a delay proportional to
its rank. An owner that is not first hands the domain over gracefully once the
first member has been live for `MIN_LIVE_S`.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol

from magnoliaglade import base, observability, peers
from magnoliaglade import clock as clock_lib
from magnoliaglade import store as store_lib
from magnoliaglade.membership import _owners, _view
from magnoliaglade.types import Epoch, InstanceId

POLL_INTERVAL_S = 0.25
RANK_DELAY_S = 0.5
# A member that returns gets its domains back only after this time, so that an
# instance that restarts repeatedly does not move domains each time.
MIN_LIVE_S = 10.0


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class Handover(peers.Message):
    """Reports that the sender released a domain; others may acquire it now."""

    domain: str
    epoch: int


class DomainService(Protocol):
    """Service that the owner of a domain runs.

    A service renews its ownership by itself after an outage and reports when
    it has lost the domain to another instance.
    """

    owned: store_lib.DomainOwnership

    @property
    def is_lost(self) -> bool:
        """Whether another instance owns the domain."""

    async def start(self) -> None:
        """Takes over the state of the domain; on an error it is released."""

    async def stop(self) -> None:
        """Stops gracefully, with the state ready for a successor."""

    async def abandon(self) -> None:
        """Stops at once, because another owner may be active."""

    def dump(self) -> dict[str, Any]:
        """Returns the state as plain data."""


ServiceFactory = Callable[[store_lib.DomainOwnership], DomainService]


class OwnershipCampaign(base.Component):
    """Acquires domains and runs the services of those that it owns.

    A service keeps running while the store is down, although the lease has
    lapsed; the service itself decides what it may still do. It is abandoned
    when it has lost the domain to another instance.
    """

    _parameter_constraints = {
        "poll_s": [base.Interval(kind=float, low=0, low_open=True)],
        "rank_delay_s": [base.Interval(kind=float, low=0)],
        "min_live_s": [base.Interval(kind=float, low=0)],
    }

    def __init__(
        self,
        *,
        ownership: store_lib.OwnershipManager,
        directory: _owners.OwnerDirectory,
        network: peers.PeerNetwork,
        clock: clock_lib.Clock,
        view: Callable[[], _view.View],
        domains: Callable[[], Iterable[str]],
        factory: ServiceFactory,
        may_take_over: Callable[[str], Awaitable[bool]],
        poll_s: float = POLL_INTERVAL_S,
        rank_delay_s: float = RANK_DELAY_S,
        min_live_s: float = MIN_LIVE_S,
    ) -> None:
        self.ownership = ownership
        self.directory = directory
        self.network = network
        self.clock = clock
        self.view = view
        self.domains = domains
        self.factory = factory
        self.may_take_over = may_take_over
        self.poll_s = poll_s
        self.rank_delay_s = rank_delay_s
        self.min_live_s = min_live_s
        self._services: dict[str, DomainService] = {}
        self._unowned_since_s: dict[str, float] = {}
        self._live_since_s: dict[InstanceId, float] = {}
        self._task: asyncio.Task[None] | None = None
        self._failure_reason = ""

    @property
    def owned(self) -> dict[str, Epoch]:
        """Epochs of the domains whose service this instance runs."""
        return {d: s.owned.epoch for d, s in self._services.items()}

    def service(self, domain: str) -> DomainService | None:
        """Returns the service of a domain, or None if none runs here."""
        return self._services.get(domain)

    async def start(self) -> None:
        """Starts to campaign for domains in the background."""
        self.validate_params()
        self.directory.set_local_source(lambda: self.owned)
        self.network.handle(Handover, self._on_handover)
        self._task = asyncio.create_task(self._campaign())

    async def stop(self) -> None:
        """Stops the campaign and hands every domain over."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for domain in list(self._services):
            await self._hand_over(domain)

    def dump(self) -> dict[str, Any]:
        """Returns the epoch, validity and state of each running service."""
        return {
            d: {
                "epoch": s.owned.epoch,
                "valid": s.owned.is_valid,
                "state": s.dump(),
            }
            for d, s in sorted(self._services.items())
        }

    async def poll(self) -> None:
        """Acquires, hands over or abandons each domain that is due."""
        self._update_live_members()
        wanted = set(self.domains())
        for domain in sorted(wanted | set(self._services)):
            await self._poll_domain(domain, wanted=domain in wanted)

    async def _campaign(self) -> None:
        while True:
            try:
                await self.poll()
                self._log_failure_change("")
            except Exception as error:
                # An error in one iteration must not end the campaign.
                self._log_failure_change(repr(error))
            await self.clock.sleep(self.poll_s)

    def _log_failure_change(self, reason: str) -> None:
        if reason == self._failure_reason:
            return
        self._failure_reason = reason
        state = "failing" if reason else "working"
        observability.log_state_change("campaign", state=state, reason=reason)

    async def _poll_domain(self, domain: str, *, wanted: bool) -> None:
        service = self._services.get(domain)
        if service is None:
            if wanted and self._is_due(domain):
                await self._acquire(domain)
            return
        if service.is_lost:
            await self._abandon(domain)
            return
        # Without a valid lease it is not moved: the first instance in the
        # order could not acquire the domain either.
        is_movable = service.owned.is_valid and self._should_move(domain)
        if not wanted or is_movable:
            await self._hand_over(domain)

    def _update_live_members(self) -> None:
        now = self.clock.now()
        live = self.network.live_peers | {self.network.instance}
        self._live_since_s = {i: self._live_since_s.get(i, now) for i in live}

    def _order(self, domain: str) -> list[InstanceId]:
        members = set(self.view().instances) & set(self._live_since_s)
        return _view.rendezvous_order(domain, members | {self.network.instance})

    def _is_due(self, domain: str) -> bool:
        if self.directory.owner_of(domain) is not None:
            self._unowned_since_s.pop(domain, None)
            return False
        now = self.clock.now()
        since_s = self._unowned_since_s.setdefault(domain, now)
        rank = self._order(domain).index(self.network.instance)
        return now - since_s >= rank * self.rank_delay_s

    def _should_move(self, domain: str) -> bool:
        first = self._order(domain)[0]
        if first == self.network.instance:
            return False
        return self.clock.now() - self._live_since_s[first] >= self.min_live_s

    async def _acquire(self, domain: str) -> None:
        if not await self.may_take_over(domain):
            return
        owned = await self.ownership.acquire(domain)
        if owned is None:
            return
        service = self.factory(owned)
        try:
            await service.start()
        except Exception as error:
            observability.log_state_change(
                "domain", state="failed", domain=domain, reason=repr(error)
            )
            await service.abandon()
            await self.ownership.release(owned)
            return
        self._services[domain] = service
        self._unowned_since_s.pop(domain, None)
        observability.log_state_change(
            "domain", state="owned", domain=domain, epoch=owned.epoch
        )

    async def _hand_over(self, domain: str) -> None:
        service = self._services.pop(domain)
        await service.stop()
        await self.ownership.release(service.owned)
        observability.log_state_change(
            "domain", state="handed-over", domain=domain
        )
        message = Handover(domain=domain, epoch=service.owned.epoch)
        await self.network.broadcast(message)

    async def _abandon(self, domain: str) -> None:
        await self._services.pop(domain).abandon()
        observability.log_state_change(
            "domain", state="abandoned", domain=domain
        )

    async def _on_handover(self, sender: InstanceId, message: Handover) -> None:
        self.directory.remove_claim(sender, message.domain)
