"""Entry instances as separate processes, with the platform in this one.

The stand-ins run in the benchmark's own process, so that what is measured of
an entry process is its own cost.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import signal
import sys
import tempfile
from typing import Any

import msgpack
import yaml

from magnoliaglade import clock as clock_lib
from magnoliaglade import configuration, http, standins
from magnoliaglade.instances import instance_list as instance_list_lib
from magnoliaglade.standins import executor, instance_list, store, worker
from magnoliaglade.types import (
    AccountId,
    InstanceId,
    RackId,
    Revision,
    WorkerId,
    ZoneId,
)

ZONES = ("z-a", "z-b", "z-c")
SERVICE = "cardrender"
OPERATOR_KEY = "benchmark-operators"
CALLER_KEY = "a0:secret-0"
_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 20.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reading:
    """Counters of one process at one time.

    Attributes:
        cpu_s: processor time used, user and system, in seconds.
        sent: bytes sent to other entry instances.
        received: bytes received from them.
        calls: store calls, among them `writes`.
        writes: store writes.
    """

    cpu_s: float
    sent: int
    received: int
    calls: int
    writes: int


class Platform:
    """Store, instance list, workers and executors, and the processes."""

    def __init__(self, *, directory: pathlib.Path) -> None:
        self.directory = directory
        self.clock = clock_lib.SystemClock()
        self.store = store.StoreServer(clock=self.clock)
        self.list = instance_list.InstanceListServer(clock=self.clock)
        self.servers: list[Any] = []
        self.entries: dict[InstanceId, asyncio.subprocess.Process] = {}
        self.clients: dict[InstanceId, http.HttpClient] = {}
        self.revision = 0

    async def start(self, *, entries: int) -> None:
        """Starts the stand-ins and entry processes; returns when all serve."""
        await self.store.start()
        await self.list.start()
        await self.add_executors(range(len(ZONES)))
        for number in range(entries):
            await self._spawn(InstanceId(f"entry-{number}"), number)
        async with asyncio.timeout(_START_TIMEOUT_S):
            await self._connect(entries)
            await self.change_configuration()
            while not await self._has_settled():  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Ends the processes, each by its id, then the stand-ins."""
        for name in list(self.entries):
            await self.wait_ended(self.signal(name, signal.SIGKILL))
        for client in self.clients.values():
            await client.stop()
        for server in (*self.servers, self.list, self.store):
            await server.stop()

    def signal(
        self, name: InstanceId, number: signal.Signals
    ) -> asyncio.subprocess.Process:
        """Sends a signal that ends an entry process, which is then forgotten.

        The caller awaits `wait_ended`.
        """
        process = self.entries.pop(name)
        if process.returncode is None:
            process.send_signal(number)
        return process

    async def wait_ended(self, process: asyncio.subprocess.Process) -> None:
        """Waits for the end of a process; kills one that takes too long."""
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()

    async def call(
        self,
        name: InstanceId,
        method: str,
        path: str,
        *,
        key: str = OPERATOR_KEY,
        fields: Any = None,
        headers: dict[str, str] | None = None,
    ) -> http.Reply:
        """Calls one entry process."""
        return await self.clients[name].call(
            method,
            path,
            headers={"authorization": f"Bearer {key}", **(headers or {})},
            body=None if fields is None else json.dumps(fields).encode(),
            content_type="application/json",
        )

    async def state(self, name: InstanceId) -> dict[str, Any]:
        """Returns the state dump of one entry process."""
        reply = await self.call(name, "GET", "/v1/operator/state")
        return reply.json()

    async def change_configuration(self) -> None:
        """Accepts one more revision that changes the weight of an account."""
        offered = make_configuration(self.revision + 1)
        fields = {
            "base": self.revision,
            "document": configuration.encode(offered),
        }
        first = next(iter(self.clients))
        path = "/v1/operator/config"
        reply = await self.call(first, "POST", path, fields=fields)
        if reply.status != 200:
            raise RuntimeError(f"configuration: {reply.body!r}")
        self.revision += 1

    async def add_workers(self, numbers: range) -> None:
        """Adds workers of 64 cores that serve calls, round robin by zone."""
        for number in numbers:
            core = standins.InMemoryWorker(
                clock=self.clock, worker=WorkerId(f"worker-{number:04}")
            )
            server = worker.WorkerServer(worker=core)
            await server.start()
            self.servers.append(server)
            self.list_worker(number, server.address)

    async def add_executors(self, numbers: range) -> None:
        """Adds executors of one service, round robin by zone."""
        for number in numbers:
            server = executor.ExecutorServer(clock=self.clock, run_s=0.005)
            await server.start()
            self.servers.append(server)
            listed = instance_list_lib.ListedInstance(
                instance=InstanceId(f"executor-{number:02}"),
                role=instance_list_lib.InstanceRole.UPSTREAM,
                zone=ZoneId(ZONES[number % len(ZONES)]),
                address=server.address,
                service=SERVICE,
            )
            self.list.put(listed)

    def list_worker(self, number: int, address: str) -> None:
        """Adds a worker to the instance list only."""
        zone = ZONES[number % len(ZONES)]
        listed = instance_list_lib.ListedInstance(
            instance=InstanceId(f"worker-{number:04}"),
            role=instance_list_lib.InstanceRole.WORKER,
            zone=ZoneId(zone),
            address=address,
            rack=RackId(f"{zone}-rack-{number // 24}"),
            cores=64,
            memory_gb=128,
            accelerators=8,
        )
        self.list.put(listed)

    async def read(self, name: InstanceId, *, is_end: bool) -> Reading:
        """Reads the counters; processor time without the cost of the read."""
        pid = self.entries[name].pid
        cpu_s = cpu_seconds(pid) if is_end else 0.0
        state = await self.state(name)
        if not is_end:
            cpu_s = cpu_seconds(pid)
        counts = state["peers"]["counts"]
        return Reading(
            cpu_s=cpu_s,
            sent=counts.get("bytes_sent", 0),
            received=counts.get("bytes_received", 0),
            calls=state["store"]["calls"],
            writes=state["store"]["writes"],
        )

    async def owner(self, domain: str) -> InstanceId | None:
        """Returns the instance whose service of the domain runs, if any."""
        for name in list(self.entries):
            if domain in (await self.state(name))["domains"]:
                return name
        return None

    async def _spawn(self, name: InstanceId, number: int) -> None:
        settings = {
            "instance": name,
            "zone": ZONES[number % len(ZONES)],
            "http": {"host": "127.0.0.1", "port": 0},
            "peers": {"host": "127.0.0.1", "port": 0},
            "store": {"url": self.store.url},
            "instance_list": {"url": self.list.url},
            "stop_timeout_s": 10.0,
        }
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        self.entries[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "magnoliaglade", "entry", str(path)),
            env={
                **os.environ,
                "MAGNOLIAGLADE_OPERATOR_KEY": OPERATOR_KEY,
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )

    async def _connect(self, entries: int) -> None:
        """Learns the addresses that the instances have registered."""
        found: list[Any] = []
        while len(found) < entries:
            await asyncio.sleep(0.1)
            found, _ = await self.store.memory.list_prefix("members/")
        for entry in found:
            member = msgpack.unpackb(entry.value)
            client = http.HttpClient(
                url=f"http://{member['http_address']}", timeout_s=10.0
            )
            await client.start()
            self.clients[InstanceId(member["instance"])] = client

    async def _has_settled(self) -> bool:
        states = [await self.state(n) for n in self.entries]
        others = len(self.entries) - 1
        return all(
            s["ready"]
            and s["configuration"]["revision"] == self.revision
            and len(s["peers"]["live"]) == others
            and len(s["owners"]) >= len(ZONES)
            for s in states
        )


class Bed:
    """A platform with a number of entry processes, as a context."""

    def __init__(self, *, entries: int) -> None:
        self.entries = entries

    async def __aenter__(self) -> Platform:
        """Starts everything."""
        self._directory = tempfile.TemporaryDirectory()
        self._platform = Platform(directory=pathlib.Path(self._directory.name))
        try:
            await self._platform.start(entries=self.entries)
        except BaseException:
            await self.__aexit__()
            raise
        return self._platform

    async def __aexit__(self, *_: object) -> None:
        """Ends every process that was started."""
        await self._platform.stop()
        self._directory.cleanup()


def make_configuration(
    revision: int, *, accounts: int = 4, zones: tuple[str, ...] = ZONES
) -> configuration.Configuration:
    """Returns a configuration; each revision differs in one weight."""
    return configuration.Configuration(
        revision=Revision(revision),
        zones=tuple(
            configuration.ZoneConfig(zone=ZoneId(z), region="r") for z in zones
        ),
        accounts=tuple(
            configuration.AccountConfig(
                account=AccountId(f"a{n}"),
                key_digest=configuration.key_digest(f"secret-{n}"),
                request_share=round(0.8 / accounts, 6),
                weight=1.0 + (revision % 7 if n == 1 else 0),
            )
            for n in range(accounts)
        ),
        services=(
            configuration.ServiceConfig(
                service=SERVICE,
                kinds=(
                    configuration.RequestKind(name="proof", idempotent=True),
                    configuration.RequestKind(name="reprint", idempotent=False),
                ),
            ),
        ),
    )


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    # The command's name may contain spaces; fields 14 and 15 follow it.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in megabytes (2^20)."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    line = next(x for x in text.splitlines() if x.startswith("VmRSS:"))
    return int(line.split()[1]) / 1024


async def idle_memory_mb(imports: str) -> float:
    """Returns the resident memory of a process that only imports modules."""
    code = f"import {imports}\nprint('ready', flush=True)\ninput()"
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-c", code),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    assert process.stdout is not None
    assert process.stdin is not None
    await process.stdout.readline()
    found = resident_mb(process.pid)
    process.stdin.write(b"\n")
    process.stdin.close()
    await process.wait()
    return found
