"""A deployment on loopback: stand-ins of the platform and entry processes.

Everything runs in one loop, but every part talks to the others over real
sockets, as separate processes would. Used by the demonstration and by tests
of the whole path.
"""

import dataclasses
import json
from typing import Any

from magnoliaglade import base, configuration, daemon, http, settings
from magnoliaglade import clock as clock_lib
from magnoliaglade.instances import instance_list as instance_list_lib
from magnoliaglade.standins import (
    _worker,
    executor,
    instance_list,
    store,
    worker,
)
from magnoliaglade.types import InstanceId, RackId, WorkerId, ZoneId

__all__ = ["OPERATOR_KEY", "Deployment"]

OPERATOR_KEY = "operators"


@dataclasses.dataclass(kw_only=True)
class RunningWorker:
    """A worker with its HTTP interface."""

    core: _worker.InMemoryWorker
    server: worker.WorkerServer


class Deployment(base.Component):
    """Stand-ins and entry instances of one deployment.

    Attributes:
        zones: availability zones.
        workers_per_zone: workers in each zone, all in one rack.
        executors_per_zone: executors in each zone.
        service: service of the executors.
        entries: number of entry instances.
        run_s: time that a request takes.
        list_lag_s: lag of the instance list.
    """

    _parameter_constraints = {
        "entries": [base.Interval(kind=int, low=1, high=32)],
        "run_s": [base.Interval(kind=float, low=0)],
    }

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        zones: tuple[str, ...],
        service: str,
        workers_per_zone: int = 2,
        executors_per_zone: int = 1,
        entries: int = 2,
        run_s: float = 0.005,
        list_lag_s: float = 0.0,
    ) -> None:
        self.clock = clock
        self.zones = zones
        self.service = service
        self.workers_per_zone = workers_per_zone
        self.executors_per_zone = executors_per_zone
        self.entries = entries
        self.run_s = run_s
        self.list_lag_s = list_lag_s
        self.store = store.StoreServer(clock=clock)
        self.list = instance_list.InstanceListServer(
            clock=clock, lag_s=list_lag_s
        )
        self.workers: dict[WorkerId, RunningWorker] = {}
        self.executors: dict[InstanceId, executor.ExecutorServer] = {}
        self.processes: list[daemon.EntryProcess] = []

    async def start(self) -> None:
        """Starts the stand-ins, then the entry instances."""
        self.validate_params()
        await self.store.start()
        await self.list.start()
        for zone in self.zones:
            for number in range(self.workers_per_zone):
                await self._add_worker(zone, number)
            for number in range(self.executors_per_zone):
                await self._add_executor(zone, number)
        for number in range(self.entries):
            await self.add_entry(number)

    async def stop(self) -> None:
        """Stops the entry instances gracefully, then the stand-ins."""
        for process in self.processes:
            await process.stop()
        for running in self.workers.values():
            await running.server.stop()
        for server in self.executors.values():
            await server.stop()
        await self.list.stop()
        await self.store.stop()

    async def add_entry(self, number: int) -> daemon.EntryProcess:
        """Starts one more entry instance."""
        process = daemon.EntryProcess(
            settings=self.make_settings(number),
            operator_key=OPERATOR_KEY,
            clock=self.clock,
        )
        await process.start()
        self.processes.append(process)
        return process

    def make_settings(self, number: int) -> settings.Settings:
        """Returns the settings of an entry instance."""
        return settings.parse(
            {
                "instance": f"entry-{number}",
                "zone": self.zones[number % len(self.zones)],
                "http": {"host": "127.0.0.1", "port": 0},
                "peers": {"host": "127.0.0.1", "port": 0},
                "store": {"url": self.store.url},
                "instance_list": {"url": self.list.url, "poll_s": 0.25},
                "stop_timeout_s": 10.0,
            }
        )

    async def call(
        self,
        method: str,
        path: str,
        *,
        entry: int = 0,
        key: str = OPERATOR_KEY,
        fields: Any = None,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 30.0,
    ) -> http.Reply:
        """Makes one HTTP call to an entry instance."""
        client = http.HttpClient(
            url=f"http://{self.processes[entry].http_address}",
            timeout_s=timeout_s,
        )
        await client.start()
        content = body if fields is None else json.dumps(fields).encode()
        try:
            return await client.call(
                method,
                path,
                headers={"authorization": f"Bearer {key}", **(headers or {})},
                body=content,
                content_type="application/json",
            )
        finally:
            await client.stop()

    async def apply(
        self, offered: configuration.Configuration
    ) -> dict[str, Any]:
        """Makes a configuration current through the operators' interface."""
        reply = await self.call(
            "POST",
            "/v1/operator/config",
            fields={
                "base": offered.revision - 1,
                "document": configuration.encode(offered),
            },
        )
        return reply.json()

    async def _add_worker(self, zone: str, number: int) -> None:
        name = f"worker-{zone}-{number}"
        core = _worker.InMemoryWorker(clock=self.clock, worker=WorkerId(name))
        server = worker.WorkerServer(worker=core)
        await server.start()
        self.workers[WorkerId(name)] = RunningWorker(core=core, server=server)
        self.list.put(
            instance_list_lib.ListedInstance(
                instance=InstanceId(name),
                role=instance_list_lib.InstanceRole.WORKER,
                zone=ZoneId(zone),
                address=server.address,
                rack=RackId(f"{zone}-rack-0"),
                cores=core.cores,
                memory_gb=core.memory_gb,
                accelerators=core.accelerators,
            )
        )

    async def _add_executor(self, zone: str, number: int) -> None:
        name = f"executor-{zone}-{number}"
        server = executor.ExecutorServer(clock=self.clock, run_s=self.run_s)
        await server.start()
        self.executors[InstanceId(name)] = server
        self.list.put(
            instance_list_lib.ListedInstance(
                instance=InstanceId(name),
                role=instance_list_lib.InstanceRole.UPSTREAM,
                zone=ZoneId(zone),
                address=server.address,
                service=self.service,
            )
        )
