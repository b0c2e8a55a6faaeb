"""Connects the request path to the rest of the process."""

import dataclasses
import uuid
from collections.abc import Callable

from magnoliaglade import clock as clock_lib
from magnoliaglade import configuration, membership, peers, requests, upstreams
from magnoliaglade import instances as instances_lib
from magnoliaglade import store as store_lib
from magnoliaglade.daemon import _configured
from magnoliaglade.types import InstanceId, ZoneId


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestParts:
    """The components of the request path, in the order of their start."""

    coordinator: upstreams.SlotCoordinator
    dispatcher: requests.UpstreamDispatcher
    admission: requests.SlotAdmission
    claim_service: requests.ClaimService
    claims_client: requests.ClaimsClient
    gateway: requests.Gateway


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestPartsBuilder:
    """Builds the request path from what it depends on."""

    clock: clock_lib.Clock
    instance: InstanceId
    incarnation: str
    zone: ZoneId
    store: store_lib.Store
    ownership: store_lib.OwnershipManager
    network: peers.PeerNetwork
    registry: membership.MemberRegistry
    inventory: instances_lib.InstanceInventory
    agent: configuration.ConfigurationAgent
    configured: _configured.ConfiguredValues
    startable_zones: Callable[[], frozenset[ZoneId]]

    def build(self) -> RequestParts:
        """Returns the components; none is started."""
        dispatcher = self._make_dispatcher()
        admission = requests.SlotAdmission(
            clock=self.clock,
            dispatcher=dispatcher,
            accounts=self.configured.accounts,
        )
        claim_service = requests.ClaimService(
            clock=self.clock,
            store=self.store,
            network=self.network,
            ownership=self.ownership,
            views=self.registry,
        )
        claims_client = requests.ClaimsClient(
            clock=self.clock,
            network=self.network,
            service=claim_service,
            incarnation=self.incarnation,
        )
        return RequestParts(
            coordinator=upstreams.SlotCoordinator(
                network=self.network,
                clock=self.clock,
                view=lambda: self.registry.view,
                view_age_s=lambda: self.registry.view_age_s,
                slots=dispatcher.slots_by_upstream,
            ),
            dispatcher=dispatcher,
            admission=admission,
            claim_service=claim_service,
            claims_client=claims_client,
            gateway=requests.Gateway(
                clock=self.clock,
                instance=self.instance,
                configurations=self.agent,
                admission=admission,
                claims=claims_client,
                dispatcher=dispatcher,
                retries=requests.BudgetedRetries(
                    clock=self.clock,
                    budget=requests.RetryBudget(clock=self.clock),
                    seed=uuid.uuid4().int,
                ),
            ),
        )

    def _make_dispatcher(self) -> requests.UpstreamDispatcher:
        return requests.UpstreamDispatcher(
            clock=self.clock,
            instance_list=self.inventory,
            network=self.network,
            view=lambda: self.registry.view,
            zone=self.zone,
            zones=self.startable_zones,
            services=self.configured.services,
            connection_share=self.configured.connection_share,
            slots=self.configured.slots,
            seed=uuid.uuid4().int,
        )
