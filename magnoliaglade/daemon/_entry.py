"""The entry process: all components of one instance, in order."""

import asyncio
import uuid
from typing import Any

from magnoliaglade import (
    base,
    configuration,
    execution,
    http,
    kernel,
    membership,
    observability,
    peers,
    settings,
)
from magnoliaglade import clock as clock_lib
from magnoliaglade import instances as instances_lib
from magnoliaglade import store as store_lib
from magnoliaglade.daemon import (
    _caller_api,
    _calls,
    _configured,
    _errors,
    _health_api,
    _jobs,
    _metrics,
    _operator_api,
    _requests,
)
from magnoliaglade.types import InstanceId, ZoneId


class EntryProcess(base.Component):
    """One entry instance; `start` and `stop` keep the order of components.

    Attributes:
        settings: the checked settings.
        operator_key: the operators' key; "" refuses operator calls.
        clock: source of time.
    """

    def __init__(
        self,
        *,
        settings: settings.Settings,
        operator_key: str,
        clock: clock_lib.Clock,
    ) -> None:
        self.settings = settings
        self.operator_key = operator_key
        self.clock = clock
        self.incarnation = uuid.uuid4().hex[:12]
        self._runtime: kernel.Runtime | None = None
        self._is_ready = False
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def instance(self) -> InstanceId:
        """Id of this instance."""
        return self.settings.instance

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return self._is_ready and self.agent.configuration is not None

    @property
    def http_address(self) -> str:
        """`host:port` for callers and operators."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    async def start(self) -> None:
        """Starts every component; without the store it waits for it.

        Raises:
            DaemonError: an address cannot be bound.
        """
        try:
            await self._start_network()
        except (http.HttpServerError, peers.PeerError) as error:
            raise _errors.DaemonError(str(error)) from error
        self._build()
        # Health checks are answered while the components start.
        await self._server.start()
        await self._require_runtime().start()
        self._is_ready = True
        observability.log_state_change(
            "instance", state="ready", instance=self.instance
        )

    async def stop(self, *, force: bool = False) -> None:
        """Stops gracefully: refuses new work and finishes what is in flight.

        Args:
            force: tells each waiting caller the outcome at once.
        """
        self._is_ready = False
        if self._runtime is None:
            return
        await self.gateway.stop(force=force)
        await self._runtime.stop()
        await self._fleet.stop()
        await self._server.stop()
        await self._network.stop()
        await self._store_client.stop()
        observability.log_state_change(
            "instance", state="stopped", instance=self.instance
        )

    def dump(self) -> dict[str, Any]:
        """Returns the state of every component."""
        components = self._runtime.dump() if self._runtime else {}
        return {
            "instance": self.instance,
            "incarnation": self.incarnation,
            "zone": self.settings.zone,
            "ready": self.is_ready,
            "store": self.store.dump(),
            "peers": self._network.dump(),
            "owners": self.directory.dump(),
            "startable_zones": sorted(self.gate.startable_zones()),
            **components,
            "admission": self.admission.dump(),
            "grants": self.grant_book.dump(),
            "state_changes": observability.state_changes(),
        }

    def _require_runtime(self) -> kernel.Runtime:
        if self._runtime is None:
            raise _errors.DaemonError("the process is not started")
        return self._runtime

    async def _start_network(self) -> None:
        """Binds the addresses, which the registration names."""
        options = self.settings
        self._store_client = store_lib.HttpStore(
            url=options.store_url, call_timeout_s=options.store_timeout_s
        )
        await self._store_client.start()
        self.store = store_lib.MonitoredStore(
            store=self._store_client, clock=self.clock
        )
        self._network = peers.TcpPeerNetwork(
            instance=self.instance,
            incarnation=self.incarnation,
            clock=self.clock,
            host=options.peers_host,
            port=options.peers_port,
        )
        await self._network.start()
        self._listener = http.bind(options.http_host, options.http_port)

    def _build(self) -> None:
        self._build_membership()
        self._build_configuration()
        self._build_jobs()
        self._build_requests()
        self._build_interfaces()
        self._runtime = kernel.Runtime(
            components={
                "inventory_client": self._list_client,
                "inventory": self.inventory,
                "lease": self.lease,
                "members": self.registry,
                "configuration": self.agent,
                "zones": self.zone_control,
                "outage": self.outage,
                "router": self.router,
                "delegate": self.delegate,
                "slots": self.coordinator,
                "dispatcher": self.dispatcher,
                "claims": self.claim_service,
                "claims_client": self.claims_client,
                "domains": self.campaign,
                "gateway": self.gateway,
                "metrics": self._make_reporter(),
            }
        )

    def _make_reporter(self) -> observability.MetricsReporter:
        return _metrics.make_reporter(
            self.settings,
            clock=self.clock,
            counters={
                "requests": lambda: self.gateway.counters,
                "peers": lambda: self._network.counts,
                "store": self.store.counts,
            },
            gauges={
                "instance": self._gauges,
                "jobs": lambda: _metrics.job_gauges(self._loads()),
            },
        )

    def _gauges(self) -> dict[str, float]:
        return {
            "ready": self.is_ready,
            "store_reachable": self.store.is_reachable,
            "lease_held": self.lease.is_valid,
            "members": len(self._view().members),
            "live_peers": len(self._network.live_peers),
            "revision": self.agent.revision,
            "startable_zones": len(self.gate.startable_zones()),
            "owned_domains": len(self.campaign.owned),
            "open_intents": len(self.intents.open),
        }

    def _build_membership(self) -> None:
        self.lease = store_lib.InstanceLease(store=self.store, clock=self.clock)
        self.ownership = store_lib.OwnershipManager(
            store=self.store,
            instance=self.instance,
            lease=self.lease,
            members=lambda: self._view().instances,
        )
        options = self.settings
        self.registry = membership.MemberRegistry(
            store=self.store,
            clock=self.clock,
            lease=self.lease,
            network=self._network,
            member=membership.Member(
                instance=self.instance,
                incarnation=self.incarnation,
                zone=options.zone,
                peer_address=f"{options.peers_host}:{self._network.bound_port}",
                http_address=self.http_address,
            ),
        )
        self.registry.on_change(self._connect_members)
        self.board = membership.HeartbeatExchange(network=self._network)
        self._network.heartbeat = self.board.make
        self.directory = membership.OwnerDirectory(
            network=self._network, exchange=self.board
        )
        self.grant_book = membership.GrantIssuer(
            network=self._network,
            clock=self.clock,
            store_reachable=lambda: self.store.is_reachable,
        )
        self.outage = membership.OutageGrantManager(
            clock=self.clock,
            collector=membership.GrantCollector(
                network=self._network, clock=self.clock
            ),
            # A domain that this instance owns needs grants for its own epoch.
            owned=lambda: {**self.delegate.wanted, **self.campaign.owned},
            view=self._view,
            store_reachable=lambda: self.store.is_reachable,
        )

    def _build_configuration(self) -> None:
        configurations = configuration.ConfigurationStore(
            store=self.store, writer=f"{self.instance}/{self.incarnation}"
        )
        self.configurations = configurations
        confirmations = membership.ConfirmationTracker(clock=self.clock)
        self.intents = configuration.ZoneIntentTable()
        self.agent = configuration.ConfigurationAgent(
            configurations=configurations,
            network=self._network,
            clock=self.clock,
            view=self._view,
            confirmations=confirmations,
            intents=self.intents,
        )
        self.configured = _configured.ConfiguredValues(
            agent=self.agent, intents=self.intents
        )
        self.agent.add_listener(self._on_configuration)
        self.gate = configuration.ZoneGate(
            agent=self.agent, confirmations=confirmations, intents=self.intents
        )
        self.zone_control = configuration.ZoneControl(
            agent=self.agent,
            configurations=configurations,
            network=self._network,
            clock=self.clock,
            view=self._view,
            intents=self.intents,
            owner_of=self._zone_owner,
        )

    def _build_jobs(self) -> None:
        self._list_client = instances_lib.HttpInstanceList(
            url=self.settings.instance_list_url
        )
        self.inventory = instances_lib.InstanceInventory(
            source=self._list_client,
            clock=self.clock,
            poll_s=self.settings.instance_list_poll_s,
        )
        fleet = _jobs.WorkerFleet(inventory=self.inventory)
        self._fleet = fleet
        loads = execution.LoadBoard(board=self.board, local=self._loads)
        self.router = execution.JobRouter(
            network=self._network,
            directory=self.directory,
            loads=loads,
            owner=lambda domain: self.campaign.service(domain),
            zones=self.configured.zones,
            startable_zones=self.gate.startable_zones,
            workers=fleet.workers,
        )
        self.delegate = execution.RenewalDelegate(
            clock=self.clock,
            network=self._network,
            client=fleet.client,
            is_store_reachable=lambda: self.store.is_reachable,
            is_permitted=lambda domain, _: self.outage.may_act(domain),
        )
        self._domains = _jobs.DomainFactory(
            clock=self.clock,
            store=self.store,
            instance=self.instance,
            ownership=self.ownership,
            fleet=fleet,
            configured=lambda: self.configured.current,
            startable_zones=self.gate.startable_zones,
            removed_zones=self.configured.removed_zones,
            outage=self.outage,
            loads=loads,
            router=self.router,
            is_informed=self._is_informed,
            network=self._network,
        )
        self.campaign = membership.OwnershipCampaign(
            ownership=self.ownership,
            directory=self.directory,
            network=self._network,
            clock=self.clock,
            view=self._view,
            domains=lambda: [
                execution.domain_of(z) for z in self.configured.zones()
            ],
            factory=self._domains.make,
            may_take_over=self.outage.may_take_over,
        )

    def _build_requests(self) -> None:
        parts = _requests.RequestPartsBuilder(
            clock=self.clock,
            instance=self.instance,
            incarnation=self.incarnation,
            zone=self.settings.zone,
            store=self.store,
            ownership=self.ownership,
            network=self._network,
            registry=self.registry,
            inventory=self.inventory,
            agent=self.agent,
            configured=self.configured,
            startable_zones=self.gate.startable_zones,
        ).build()
        self.coordinator = parts.coordinator
        self.dispatcher = parts.dispatcher
        self.admission = parts.admission
        self.claim_service = parts.claim_service
        self.claims_client = parts.claims_client
        self.gateway = parts.gateway

    def _build_interfaces(self) -> None:
        callers = _caller_api.CallerApi(
            clock=self.clock,
            gateway=self.gateway,
            router=self.router,
            configured=lambda: self.configured.current,
            is_accepting=lambda: self._is_ready,
        )
        operators = _operator_api.OperatorApi(
            key=_calls.OperatorKey(key=self.operator_key),
            configurations=self.configurations,
            agent=self.agent,
            gate=self.gate,
            zones=self.zone_control,
            network=self._network,
            zone_owner=self._zone_owner,
            upstreams=self.dispatcher.describe,
            dump=self.dump,
        )
        self._server = http.HttpServer(
            application=http.new_application(
                {
                    **_health_api.routes(lambda: self.is_ready),
                    **callers.routes(),
                    **operators.routes(),
                }
            ),
            listener=self._listener,
            stop_timeout_s=self.settings.stop_timeout_s,
        )

    def _connect_members(self, view: membership.View) -> None:
        self._network.set_members(
            {m.instance: m.peer_address for m in view.members}
        )

    def _on_configuration(self, current: configuration.Configuration) -> None:
        observability.log_state_change(
            "configuration", state="in-force", revision=current.revision
        )
        if self._runtime is None:
            return
        self.admission.update_accounts()
        task = asyncio.ensure_future(self.dispatcher.update_services())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _view(self) -> membership.View:
        return self.registry.view

    async def _is_informed(self) -> bool:
        answered = await self.agent.sync_from_peers()
        view = self._view()
        return len(answered & set(view.instances)) >= view.majority

    def _zone_owner(self, zone: ZoneId) -> InstanceId | None:
        record = self.directory.owner_of(execution.domain_of(zone))
        return record.instance if record else None

    def _loads(self) -> dict[str, execution.DomainLoad]:
        found = {}
        for domain in self.campaign.owned:
            owner = self.campaign.service(domain)
            if isinstance(owner, execution.DomainOwner):
                found[domain] = execution.measure_load(owner.jobs)
        return found
