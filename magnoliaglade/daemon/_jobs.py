"""Connects the owners of scheduling domains to the rest of the process."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

from magnoliaglade import clock as clock_lib
from magnoliaglade import (
    configuration,
    execution,
    membership,
    peers,
    scheduling,
)
from magnoliaglade import instances as instances_lib
from magnoliaglade import store as store_lib
from magnoliaglade.daemon import _worker_states
from magnoliaglade.instances import instance_list as instance_list_lib
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.types import AccountId, InstanceId, JobId, WorkerId, ZoneId


class WorkerFleet:
    """The listed workers with their clients.

    The client of a worker that left the list is closed, so that connections
    do not pile up when workers are replaced every day.
    """

    def __init__(self, *, inventory: instances_lib.InstanceInventory) -> None:
        self.inventory = inventory
        self._clients: dict[str, instances_lib.HttpWorker] = {}
        self._closing: set[asyncio.Task[None]] = set()
        inventory.add_listener(self._drop_departed)

    def workers(
        self, zone: ZoneId | None = None
    ) -> dict[WorkerId, scheduling.Worker]:
        """Returns the listed workers, of one zone if given."""
        listed = self.inventory.with_role(instance_list_lib.InstanceRole.WORKER)
        return {
            WorkerId(w.instance): _worker(w)
            for w in listed
            if zone is None or w.zone == zone
        }

    def client(self, worker: WorkerId) -> worker_lib.WorkerClient:
        """Returns the client of a listed worker.

        Raises:
            WorkerUnreachableError: the worker is not listed.
        """
        listed = self.inventory.find(InstanceId(worker))
        if listed is None:
            raise worker_lib.WorkerUnreachableError(f"{worker}: is not listed")
        return self._client(listed.address)

    async def stop(self) -> None:
        """Closes all connections."""
        for client in self._clients.values():
            await client.close()
        await asyncio.gather(*self._closing)

    def _drop_departed(
        self, listed: list[instance_list_lib.ListedInstance]
    ) -> None:
        addresses = {x.address for x in listed}
        for address in set(self._clients) - addresses:
            task = asyncio.ensure_future(self._clients.pop(address).close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    def _client(self, address: str) -> instances_lib.HttpWorker:
        client = self._clients.get(address)
        if client is None:
            client = instances_lib.HttpWorker(url=f"http://{address}")
            self._clients[address] = client
        return client


class DomainFactory:
    """Builds the owner of a domain with its hooks.

    What is learned of run times, workers and zones is kept per process and
    feeds all owners in it.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        store: store_lib.Store,
        instance: InstanceId,
        ownership: store_lib.OwnershipManager,
        fleet: WorkerFleet,
        configured: Callable[[], configuration.Configuration | None],
        startable_zones: Callable[[], frozenset[ZoneId]],
        removed_zones: Callable[[], frozenset[ZoneId]],
        outage: membership.OutageGrantManager,
        loads: execution.LoadBoard,
        router: execution.JobRouter,
        is_informed: Callable[[], Awaitable[bool]],
        network: peers.PeerNetwork,
    ) -> None:
        self.clock = clock
        self.store = store
        self.instance = instance
        self.ownership = ownership
        self.fleet = fleet
        self.configured = configured
        self.startable_zones = startable_zones
        self.removed_zones = removed_zones
        self.outage = outage
        self.loads = loads
        self.router = router
        self.is_informed = is_informed
        self.network = network
        self._run_times = scheduling.RunTimeEstimator()
        self._health = _worker_states.WorkerHealth(
            clock=clock, quarantine=scheduling.Quarantine()
        )
        self._returns = _worker_states.ZoneReturns(clock=clock)

    def make(self, owned: store_lib.DomainOwnership) -> execution.DomainOwner:
        """Returns the owner for a domain that was acquired."""
        zone = execution.zone_of(owned.domain)
        return execution.DomainOwner(
            zone=zone,
            instance=self.instance,
            store=self.store,
            clock=self.clock,
            ownership=self.ownership,
            owned=owned,
            hooks=self._hooks(zone, owned.domain),
        )

    def _hooks(self, zone: ZoneId, domain: str) -> execution.OwnerHooks:
        return execution.OwnerHooks(
            decide=lambda snapshot: scheduling.decide(snapshot, seed=0),
            workers=lambda: self._health.with_states(self.fleet.workers(zone)),
            on_outcome=self._health.note,
            client=self.fleet.client,
            startable_zones=self.startable_zones,
            may_act_in_outage=lambda: self.outage.may_act(domain),
            refine=lambda snapshot: self._health.refine(
                self._refine(snapshot, domain)
            ),
            is_informed=self.is_informed,
            is_takeover_agreed=self._is_takeover_agreed,
            expected_run_s=self._expected_run_s,
            on_run_time=self._note_run_time,
            zone_policy=lambda: self._zone_policy(zone),
            choose_domain=lambda spec: self.router.choose_domain(
                spec, exclude=domain
            ),
            forward=self.router.forward,
            on_renewed=self._notifier(domain).notify,
        )

    async def _is_takeover_agreed(
        self, owned: store_lib.DomainOwnership
    ) -> bool:
        return await self.outage.request_takeover_consent(
            owned.domain, owned.epoch, owned.previous_members
        )

    def _expected_run_s(self, gang: scheduling.Gang) -> float:
        return self._run_times.predict([gang])[0]

    def _note_run_time(self, gang: scheduling.Gang, run_s: float) -> None:
        seen = scheduling.Observation(
            account=gang.account,
            kind=gang.kind,
            declared=gang.declared_run_s,
            actual=run_s,
        )
        self._run_times.partial_fit([seen])

    def _notifier(self, domain: str) -> execution.DelegateNotifier:
        return execution.DelegateNotifier(
            domain=domain,
            network=self.network,
            choose=lambda: choose_delegate(
                domain, owner=self.instance, network=self.network
            ),
        )

    def _zone_policy(self, zone: ZoneId) -> configuration.ZonePolicy | None:
        current = self.configured()
        is_removed = zone in self.removed_zones()
        self._returns.observe(zone, is_removed=is_removed)
        if current is None or not is_removed:
            return None
        return current.zone_policy

    def _refine(
        self, snapshot: scheduling.ClusterSnapshot, domain: str
    ) -> scheduling.ClusterSnapshot:
        current = self.configured()
        if current is None:
            return snapshot
        snapshot = self._returns.apply(snapshot)
        running = (r.gang for r in snapshot.running.values())
        gangs = [*snapshot.pending, *running]
        expected = self._run_times.predict(gangs)
        return dataclasses.replace(
            snapshot,
            guarantees=scheduling.bind_guarantees(current),
            quotas=self._quotas(current, domain),
            weights={a.account: a.weight for a in current.accounts},
            expected_run_s={
                g.job: s for g, s in zip(gangs, expected, strict=True)
            },
        )

    def _quotas(
        self, current: configuration.Configuration, domain: str
    ) -> dict[AccountId, int]:
        """Returns what each account's quota leaves for one domain."""
        domains = [execution.domain_of(z.zone) for z in current.zones]
        return {
            a.account: max(
                0,
                a.max_accelerators
                - self.loads.used_elsewhere(a.account, domain, domains),
            )
            for a in current.accounts
            if a.max_accelerators is not None
        }


def choose_delegate(
    domain: str, *, owner: InstanceId, network: peers.PeerNetwork
) -> InstanceId | None:
    """Returns the live peer that ranks first for a domain after its owner.

    It is also the one that acquires the domain when the owner has failed and
    the store answers.
    """
    order = membership.rendezvous_order(domain, network.live_peers - {owner})
    return order[0] if order else None


def job_row(found: execution.FoundJob) -> dict[str, Any]:
    """Returns what callers see of a job."""
    entry = found.entry
    return {
        "job": f"{found.domain}/{entry.job}",
        "account": entry.spec.gang.account,
        "state": entry.phase.value,
        "zone": execution.zone_of(found.domain),
        "attempt": entry.attempt,
        "tasks": entry.spec.gang.tasks,
        "workers": dict(entry.placement.assignments) if entry.placement else {},
        "detail": entry.detail,
    }


def split_job(name: str) -> tuple[str, JobId]:
    """Returns domain and id of a job's public name; ("", ...) if malformed."""
    domain, _, job = name.rpartition("/")
    return domain, JobId(job)


def _worker(listed: instance_list_lib.ListedInstance) -> scheduling.Worker:
    is_leaving = listed.state is instance_list_lib.InstanceState.LEAVING
    return scheduling.Worker(
        worker=WorkerId(listed.instance),
        zone=listed.zone,
        rack=listed.rack,
        shape=scheduling.Shape(
            cores=listed.cores,
            memory_gb=listed.memory_gb,
            accelerators=listed.accelerators,
        ),
        state=(
            scheduling.WorkerState.LEAVING
            if is_leaving
            else scheduling.WorkerState.AVAILABLE
        ),
    )
