"""Connects the components of one instance and runs them until a signal."""

import asyncio
import contextlib
import pathlib
import random
import signal
import sys
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import blacksheep

from magnoliaglade import clock as clock_lib
from magnoliaglade import (
    coordinator,
    fleet,
    http,
    jobs,
    observability,
    placement,
    platform,
    routing,
    store,
    supervision,
)
from magnoliaglade.gateway import Gateway
from magnoliaglade.instance._client_limits import ClientLimits
from magnoliaglade.instance._coordinator_calls import (
    CoordinatorClient,
    make_routes,
)
from magnoliaglade.instance._metrics import InstanceMetrics
from magnoliaglade.instance._settings import (
    InstanceSettings,
    InstanceSettingsError,
)
from magnoliaglade.types import Epoch, JobId

# Time between SIGTERM and closing the listeners, in seconds. The platform
# checks readiness every second and needs two failed checks.
DRAIN_DELAY_S = 2.6
# Part of the grace period reserved for closing connections, in seconds.
EXIT_MARGIN_S = 0.8
# Timeout for closing the listeners and connections, in seconds.
CLOSE_TIMEOUT_S = 1.4
# Interval of checking the settings file for changes, in seconds.
SETTINGS_POLL_INTERVAL_S = 2.0
# Age of the configuration in seconds, that is the time since the store last
# confirmed it, beyond which the instance is not ready.
READY_MAX_CONFIGURATION_AGE_S = 2.5
# Connections that wait on the listener of the readiness check, which the
# platform calls about once a second.
READINESS_BACKLOG = 16


class Instance:
    """One process: the gateway, the coordinator election and the HTTP servers.

    Attributes:
        settings: checked settings.
        clock: source of time.
        incarnation: random id that distinguishes processes of the same
            instance.
    """

    def __init__(
        self, *, settings: InstanceSettings, clock: clock_lib.Clock
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.incarnation = uuid.uuid4().hex[:12]
        self.metrics = InstanceMetrics()
        self._is_stopping = False
        self._coordinator: coordinator.Coordinator | None = None
        self._platform_store = platform.PlatformStore(
            address=settings.store_address
        )
        self.store = store.MonitoredStore(
            store=self._platform_store, clock=clock
        )
        self.configuration_watcher = routing.ConfigurationWatcher(
            store=self.store,
            clock=clock,
            prefix=platform.OPERATOR_PREFIX,
            decode=platform.decode_operator_state,
        )
        self._coordinator_client = CoordinatorClient(
            address=lambda: self.election.coordinator_address
        )
        self.gateway = Gateway(
            store=self.store,
            clock=clock,
            configuration_watcher=self.configuration_watcher,
            revoke_s=settings.bounds.revoke_s,
            query_coordinator=self._coordinator_client.find_summary,
            announce=self._announce,
            observe_refused=self._observe_refused,
        )
        self.monitor = supervision.LoopMonitor(clock=clock)
        self.election = coordinator.Election(
            store=self.store,
            clock=clock,
            instance=settings.instance,
            incarnation=self.incarnation,
            term=self._serve_term,
            random=random.Random(),  # noqa: S311
            address=str(settings.internal_address),
            election_delay_s=coordinator.election_delay_s(settings.cores),
            is_loop_lagging=lambda: self.monitor.is_lagging,
        )
        self.client_limits = ClientLimits(
            memory_mb=settings.memory_mb,
            max_fds=settings.max_fds,
            observe_rejection=self._observe_rejection,
        )
        self.configuration_watcher.on_change(self._update_client_limits)
        self._servers = self._make_servers()
        self._confirm_task: asyncio.Task[None] | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the platform may send new connections."""
        return (
            not self._is_stopping
            and self.configuration_watcher.configuration is not None
            and self.configuration_watcher.age_s
            <= READY_MAX_CONFIGURATION_AGE_S
        )

    async def start(self) -> None:
        """Starts serving callers and takes part in the coordinator election.

        Raises:
            HttpServerError: an address cannot be bound.
        """
        for server in self._servers:
            await server.start()
        await self._platform_store.start()
        await self.configuration_watcher.start()
        await self.monitor.start()
        await self.election.start()
        self._confirm_task = asyncio.create_task(
            supervision.keep_running(
                self.gateway.confirm_completions,
                part="completions",
                clock=self.clock,
            )
        )
        observability.log_event(
            "instance",
            state="started",
            zone=self.settings.zone,
            incarnation=self.incarnation,
        )

    async def stop(self) -> None:
        """Resigns as the coordinator, finishes calls and stops.

        All components share the grace period. Those that have not stopped
        shortly before its end are abandoned, so that the process always exits
        by itself.
        """
        self._is_stopping = True
        started_at_s = self.clock.now()
        deadline_s = started_at_s + self.settings.bounds.grace_s - EXIT_MARGIN_S
        observability.log_event("instance", state="stopping")
        await self._stop_by(
            deadline_s - CLOSE_TIMEOUT_S, "election", self.election.stop()
        )
        drained_at_s = min(
            started_at_s + DRAIN_DELAY_S, deadline_s - CLOSE_TIMEOUT_S
        )
        await self.clock.sleep(max(0.0, drained_at_s - self.clock.now()))
        servers = asyncio.gather(*(s.stop() for s in self._servers))
        await self._stop_by(deadline_s, "servers", servers)
        await self._stop_by(deadline_s, "clients", self._stop_clients())
        observability.log_event(
            "instance",
            state="stopped",
            took_s=round(self.clock.now() - started_at_s, 3),
        )

    async def _stop_clients(self) -> None:
        if self._confirm_task is not None:
            self._confirm_task.cancel()
            await asyncio.gather(self._confirm_task, return_exceptions=True)
        await self.gateway.close()
        await self.configuration_watcher.stop()
        await self.monitor.stop()
        await self._coordinator_client.stop()
        await self._platform_store.stop()

    async def _stop_by(
        self, deadline_s: float, part: str, stopping: Awaitable[Any]
    ) -> None:
        """Waits until a component has stopped or a deadline has passed."""
        remaining_s = max(0.0, deadline_s - self.clock.now())
        try:
            await self.clock.wait_for(stopping, remaining_s)
        except TimeoutError:
            observability.log_event(
                "instance", state="part abandoned after timeout", part=part
            )

    def dump(self) -> dict[str, Any]:
        """Returns the state of every component."""
        return {
            "instance": self.settings.instance,
            "zone": self.settings.zone,
            "is_ready": self.is_ready,
            "configuration": self.configuration_watcher.dump(),
            "gateway": self.gateway.dump(),
            "election": self.election.dump(),
            "loop": self.monitor.dump(),
            "coordinator": (
                self._coordinator.dump() if self._coordinator else None
            ),
            "store": self.store.dump(),
            "clients": self.client_limits.dump(),
        }

    async def _serve_term(self, epoch: Epoch) -> None:
        bounds = self.settings.bounds
        self._coordinator = coordinator.Coordinator(
            store=self.store,
            clock=self.clock,
            epoch=epoch,
            connect=_connect,
            list_workers=self._list_workers,
            configuration=lambda: self.configuration_watcher.configuration,
            removed_zones=lambda: self.configuration_watcher.removed_zones,
            unconfirmed_s=lambda: self.election.unconfirmed_s,
            zones_age_s=lambda: self.configuration_watcher.age_s,
            timings=coordinator.Timings(
                longest_lease_s=bounds.longest_lease_s,
                stop_s=bounds.stop_s,
                status_s=bounds.status_s,
                restore_s=bounds.restore_s,
                evacuate_s=bounds.evacuate_s,
                drain_s=bounds.drain_s,
            ),
            planner=placement.Planner(
                off_rack_slowdown=bounds.off_rack_slowdown,
                reclaim_s=bounds.reclaim_s,
                stop_s=bounds.stop_s,
            ),
            observe_plan=self.metrics.plan_duration.observe,
            observe_waste=self._observe_waste,
            observe_gang=self._observe_gang,
            observe_unexpected=self._observe_unexpected,
            observe_deferred=self._observe_deferred,
        )
        try:
            await self._coordinator.run()
        finally:
            self._coordinator = None

    async def _list_workers(self) -> list[fleet.ListedWorker]:
        entries, _ = await self.store.list_prefix(platform.WORKER_PREFIX)
        return platform.decode_workers(entries)

    def _make_servers(self) -> list[http.HttpServer]:
        job_api = platform.JobApi(
            gateway=self.gateway,
            configuration_watcher=self.configuration_watcher,
            is_ready=lambda: self.is_ready,
            is_stopping=lambda: self._is_stopping,
            observe_call=self._observe_call,
        )
        settings, limits = self.settings, self.client_limits
        readiness = job_api.readiness_application()
        queued = limits.ledger.limits.max_queued
        listeners = (
            (
                settings.api_address,
                job_api.application(),
                limits.callers,
                queued,
            ),
            (
                settings.readiness_address,
                readiness,
                limits.callers,
                min(queued, READINESS_BACKLOG),
            ),
            (
                settings.internal_address,
                self._internal_application(),
                limits.instances,
                # Instances open fewer connections than callers.
                max(1, queued // 2),
            ),
        )
        return [
            http.HttpServer(
                application=application,
                host=address.host,
                port=address.port,
                stop_timeout_s=1.0,
                ledger=limits.ledger,
                limits=listener_limits,
                backlog=backlog,
            )
            for address, application, listener_limits, backlog in listeners
        ]

    def _observe_call(
        self, method: str, status: int, duration_s: float
    ) -> None:
        self.metrics.calls.labels(method, str(status)).inc()
        self.metrics.call_latency.labels(method).observe(duration_s)

    def _observe_waste(self, cause: str, core_s: float) -> None:
        self.metrics.wasted_work.labels(cause).inc(core_s)

    def _observe_gang(self, option: placement.PlacementOption) -> None:
        self.metrics.gang_placements.labels(option.value).inc()

    def _observe_rejection(self, reason: str) -> None:
        self.metrics.rejected_connections.labels(reason).inc()

    def _update_client_limits(self) -> None:
        configuration = self.configuration_watcher.configuration
        if configuration is not None:
            self.client_limits.apply(configuration)

    def _observe_unexpected(self, kind: str) -> None:
        self.metrics.unexpected_runs.labels(kind).inc()

    def _observe_deferred(self, priority: int) -> None:
        self.metrics.deferred_demands.labels(str(priority)).inc()

    def _observe_refused(self, reason: str) -> None:
        self.metrics.refused_submissions.labels(reason).inc()

    def _internal_application(self) -> blacksheep.Application:
        async def metrics(_: blacksheep.Request) -> blacksheep.Response:
            self._refresh_metrics()
            content = blacksheep.Content(
                b"text/plain; version=0.0.4", self.metrics.render()
            )
            return blacksheep.Response(200, None, content)

        async def state(_: blacksheep.Request) -> blacksheep.Response:
            return http.json_response(200, observability.to_plain(self.dump()))

        return http.new_application(
            {
                ("GET", "/metrics"): metrics,
                ("GET", "/state"): state,
                **make_routes(
                    find_summary=self._find_summary,
                    accept_entry=self._accept_entry,
                ),
            }
        )

    def _find_summary(self, job: JobId) -> jobs.JobSummary | None:
        return self._coordinator.summary(job) if self._coordinator else None

    def _accept_entry(self, entry: store.Entry) -> bool:
        if self._coordinator is None:
            return False
        self._coordinator.accept_entry(entry)
        return True

    async def _announce(self, entry: store.Entry) -> None:
        if not self._accept_entry(entry):
            await self._coordinator_client.announce(entry)

    def _refresh_metrics(self) -> None:
        current = self._coordinator
        self.metrics.store_calls.set(self.store.calls)
        self.metrics.configuration_age.set(
            min(self.configuration_watcher.age_s, 1e9)
        )
        self.metrics.coordinator_epoch.set(self.election.epoch or 0)
        self.metrics.loop_lag.set(self.monitor.mean_lag_s)
        active = len(current.table.active) if current else 0
        self.metrics.active_jobs.set(active)
        lasting = current.speeds.lasting_ if current else None
        self.metrics.speed_spread.set(lasting.spread_ if lasting else 0.0)
        self.metrics.known_speeds.set(lasting.known_count if lasting else 0)
        for gauge, counts in (
            (
                self.metrics.orders_in_flight,
                current.sender.in_flight() if current else {},
            ),
            (
                self.metrics.orders_queued,
                current.sender.queued() if current else {},
            ),
        ):
            for kind in coordinator.ORDER_KINDS:
                gauge.labels(kind).set(counts.get(kind, 0))


def _connect(listed: fleet.ListedWorker) -> fleet.WorkerClient:
    return platform.PlatformWorker(worker=listed.worker, address=listed.address)


async def run(
    path: pathlib.Path, load: Callable[[pathlib.Path], InstanceSettings]
) -> int:
    """Runs an instance until SIGTERM or SIGINT; returns the exit status.

    Raises:
        InstanceSettingsError: the settings file is unreadable or invalid.
    """
    settings = load(path)
    stream = observability.NonBlockingStream(fd=sys.stdout.fileno())
    observability.start_logging(stream=stream)  # type: ignore[arg-type]
    observability.set_log_context(instance=settings.instance)
    instance = Instance(settings=settings, clock=clock_lib.SystemClock())
    stop_requested = asyncio.Event()
    reload_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    await instance.start()
    reload_task = asyncio.ensure_future(
        supervision.keep_running(
            lambda: _reload_settings(instance, path, load, reload_requested),
            part="settings",
            clock=instance.clock,
        )
    )
    await stop_requested.wait()
    reload_task.cancel()
    await asyncio.gather(reload_task, return_exceptions=True)
    await instance.stop()
    return 0


async def _reload_settings(
    instance: Instance,
    path: pathlib.Path,
    load: Callable[[pathlib.Path], InstanceSettings],
    reload_requested: asyncio.Event,
) -> None:
    """Reloads the settings on SIGHUP and when the file changes.

    Of the new settings, only `revoke_s`, the totals on clients and what is read
    from `Instance.settings` at each use take effect without a restart.
    """
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                reload_requested.wait(), SETTINGS_POLL_INTERVAL_S
            )
        was_requested = reload_requested.is_set()
        reload_requested.clear()
        try:
            settings = load(path)
        except InstanceSettingsError as error:
            observability.log_event(
                "settings", state="not usable", reason=str(error)
            )
            continue
        if settings != instance.settings:
            instance.settings = settings
            instance.gateway.revoke_s = settings.bounds.revoke_s
            instance.client_limits.resize(
                memory_mb=settings.memory_mb, max_fds=settings.max_fds
            )
        elif not was_requested:
            continue
        observability.log_event("settings", state="reloaded")
