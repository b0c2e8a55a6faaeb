"""A small deployment: store, executors, instances and a client's calls."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from typing import Any

from support import executor as executor_lib
from support import httpd
from support import store as store_lib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ["zone-a", "zone-b", "zone-c"]
SERVICE = "render"
HOST = "queue.example"
KEY = "review-key"
RACK_SIZE = 8
# Bounds of a small deployment, as the page on deployments shows them.
BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "evacuateMs": 5000,
    "holdMaxMs": 6000,
    "stopMs": 400,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "checkpointIntervalS": 2,
    "restoreMs": 250,
}
READY_TIMEOUT_S = 20.0
_PORTS = (18_000, 30_000)
EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN = 1, 0, 2


class NotRunError(Exception):
    """The case could not run."""


class Deployment:
    """Runs the stand-ins in this process and the instances as processes.

    Attributes:
        routes: routes of the configuration, by prefix.
        executors: the executors.
        events: starts and ends of runs.
    """

    def __init__(
        self,
        *,
        record: pathlib.Path,
        routes: list[dict[str, Any]],
        work_of: Callable[[str, int], executor_lib.Work],
        executors: int = 24,
        instances: int = 6,
        kind_of: Callable[[int], str] = lambda _: "a",
    ) -> None:
        self.record = record
        self.routes = routes
        self.events: list[executor_lib.Event] = []
        self.store = store_lib.Store()
        self.executors = [
            executor_lib.Executor(
                name=f"i-{random.getrandbits(40):010x}",
                zone=ZONES[n // RACK_SIZE % len(ZONES)],
                labels=[kind_of(n), f"r{n // RACK_SIZE + 1}-1"],
                service=SERVICE,
                keeper=self.store,
                work_of=work_of,
                events=self.events,
            )
            for n in range(executors)
        ]
        self.instances = instances
        self.began_s = time.monotonic()
        self._lines: list[str] = []
        self._fronts: list[str] = []
        self._readiness: list[str] = []
        self._processes: list[subprocess.Popen[bytes]] = []
        self._temporary = tempfile.TemporaryDirectory()
        # A folder that is named here keeps the logs of the instances.
        self._folder = pathlib.Path(
            os.environ.get("REVIEW_LOGS") or self._temporary.name
        )

    def log(self, text: str) -> None:
        """Adds a line to the record."""
        self._lines.append(f"{time.monotonic() - self.began_s:8.3f} s  {text}")

    async def start(self) -> None:
        """Starts everything; returns when all instances are ready.

        Raises:
            NotRunError: an instance does not become ready.
        """
        await self.store.start()
        self.store.put("op/config", self._configuration())
        for each in self.executors:
            await each.start()
        for number in range(self.instances):
            self._start_instance(number)
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for address in self._readiness:
            while (await httpd.call(address, "GET", "/api/ready"))[0] != 200:
                if time.monotonic() > deadline_s:
                    raise NotRunError(f"{address} is not ready")
                await asyncio.sleep(0.1)
        # Leaves time for the first looks at all executors.
        await asyncio.sleep(2.0)
        self.log(f"{self.instances} instances are ready")

    async def stop(self) -> None:
        """Ends all processes and writes the record."""
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.wait()
        for each in self.executors:
            await each.stop()
        await self.store.stop()
        for event in self.events:
            self._lines.append(
                f"{event.at_s - self.began_s:8.3f} s  executor "
                f"{event.executor}: run {event.run} of {event.task}: "
                f"{event.kind}"
            )
        self._lines.sort()
        self.record.write_text("\n".join(self._lines) + "\n", encoding="utf-8")
        self._temporary.cleanup()

    async def submit(
        self, prefix: str, steps: list[dict[str, Any]], **fields: Any
    ) -> str:
        """Submits a job, with retries at other instances; returns its id.

        Raises:
            NotRunError: the job is not accepted.
        """
        job = f"{random.getrandbits(64):016x}"
        body = {"spec": f"work of {job}", "steps": steps} | fields
        for _ in range(5):
            status, _ = await self.call("POST", prefix + job, body)
            if status == 200:
                return job
            await asyncio.sleep(0.5)
        raise NotRunError(f"job {job} is not accepted")

    async def call(
        self, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Makes a client's call at a random instance."""
        headers = {
            "host": HOST,
            "authorization": f"Token {KEY}",
            "deadline-ms": "3000",
        }
        address = random.choice(self._fronts)
        self.log(f"client: {method} {path} {json.dumps(body) if body else ''}")
        status, reply = await httpd.call(
            address, method, path, headers=headers, body=body
        )
        self.log(f"client: {method} {path} -> {status} {json.dumps(reply)}")
        return status, reply

    def runs_of(self, job: str) -> list[tuple[str, int]]:
        """Returns what runs of a job now, as pairs of task and run."""
        return [
            key
            for each in self.executors
            for key in each.running
            if key[0].startswith(f"{job}.")
        ]

    def starts_of(self, job: str) -> int:
        """Returns how many runs of a job have started."""
        return sum(
            e.kind == "start" and e.task.startswith(f"{job}.")
            for e in self.events
        )

    def busy_share(self) -> float:
        """Returns how many of the executors have a run, as a share."""
        return sum(bool(e.running) for e in self.executors) / len(
            self.executors
        )

    def _configuration(self) -> dict[str, Any]:
        defaults = {
            "host": HOST,
            "type": "unsafe",
            "timeoutMs": 3000,
            "sloMs": 3000,
            "priority": 2,
            "service": SERVICE,
            "maxAttempts": 3,
            "stretch": 3.0,
            "public": False,
        }
        return {
            "version": 7,
            "routes": [defaults | route for route in self.routes],
            "services": [
                {
                    "name": SERVICE,
                    "healthPath": "/health",
                    "maxConns": 64,
                    "protocol": "h1",
                    "admissionCheck": False,
                }
            ],
            "limits": {"maxBodyBytes": 262144},
            "tenants": [
                {
                    "name": "studio",
                    "apiKeys": [KEY],
                    "priority": 1,
                    "guaranteed": {"gpu": 32},
                }
            ],
        }

    def _start_instance(self, number: int) -> None:
        front, ready, internal, control = _free_ports(4)
        zone = ZONES[number % len(ZONES)]
        name = f"edge-{zone}-{number}"
        settings = {
            "node": name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "region",
            "zones": dict.fromkeys(ZONES, "region"),
            "listen": {
                "front": f"127.0.0.1:{front}",
                "ready": f"127.0.0.1:{ready}",
                "control": f"127.0.0.1:{control}",
            },
            "internalPorts": [internal, internal],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1500,
            "bounds": BOUNDS,
            "orders": "call",
            "platform": {
                "address": self.store.server.address,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        environment = {
            k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")
        }
        environment |= {
            "MAGNOLIAGLADE_SETTINGS": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        log = open(path.with_suffix(".log"), "wb")  # noqa: SIM115
        with log:
            process = subprocess.Popen(
                ["python3", "-m", "magnoliaglade", "serve"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        self._fronts.append(settings["listen"]["front"])
        self._readiness.append(settings["listen"]["ready"])


def _free_ports(count: int) -> list[int]:
    """Returns free ports below the range of outgoing connections."""
    ports: set[int] = set()
    while len(ports) < count:
        port = random.randrange(*_PORTS)
        with socket.socket() as found, contextlib.suppress(OSError):
            found.bind(("127.0.0.1", port))
            ports.add(port)
    return list(ports)


def has_trouble() -> bool:
    """Returns whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(
    deployment: Deployment,
    check: Callable[[Deployment], Coroutine[Any, Any, bool]],
) -> None:
    """Runs a case and exits with its status.

    Args:
        deployment: the deployment, not yet started.
        check: runs the case; returns whether the rule held.
    """

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(115.0):
                await deployment.start()
                has_held = await check(deployment)
            deployment.log(f"the rule {'held' if has_held else 'was broken'}")
            return EXIT_HELD if has_held else EXIT_BROKEN
        except (NotRunError, TimeoutError, asyncio.CancelledError) as error:
            deployment.log(f"not run: {error!r}")
            return EXIT_NOT_RUN
        finally:
            await deployment.stop()

    status = asyncio.run(run())
    print({0: "held", 1: "broken", 2: "not run"}[status])
    sys.exit(status)
