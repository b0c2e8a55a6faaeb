"""Randomized soak: real instances, faults from outside, checked promises.

The platform's stand-in runs in this process, each instance as a process of its
own, with a proxy between it and the store. Faults come in series and overlap;
only processes that the soak has started are signalled, by their ids.
"""

import asyncio
import collections
import dataclasses
import json
import pathlib
import random
import signal
import subprocess
import sys

from magnoliaglade import clock as clock_lib
from magnoliaglade import http
from magnoliaglade.instance import InstanceSettings, TimeBounds
from magnoliaglade.jobs import JobState
from magnoliaglade.platform import testing
from magnoliaglade.standins import platform as platform_standin
from magnoliaglade.types import InstanceId, ZoneId
from tests.soak.addresses import free_address
from tests.soak.proxy import Link, Proxy

KEY = "soak-key"
PREFIX = "/soak/"
# Time after the last fault in which every accepted job must end, in seconds.
SETTLE_S = 45.0
# Interval of looking at the workers, in seconds.
LOOK_S = 0.02
JOB_S = 0.12


@dataclasses.dataclass
class Findings:
    """What went wrong, and how much was tried."""

    violations: list = dataclasses.field(default_factory=list)
    accepted: dict = dataclasses.field(default_factory=dict)
    refused: set = dataclasses.field(default_factory=set)
    unknown: set = dataclasses.field(default_factory=set)
    faults: list = dataclasses.field(default_factory=list)


class Soak:
    """One seeded run."""

    def __init__(self, *, seed, folder, seconds, instances=3, workers=6):
        self.random = random.Random(seed)
        self.folder = pathlib.Path(folder)
        self.seconds = seconds
        self.count = instances
        self.platform = platform_standin.PlatformStandIn(
            clock=clock_lib.SystemClock(), workers=workers, run_s=0.4
        )
        self.proxies = []
        self.processes = {}
        self.log_starts = {}
        self.addresses = []
        self.findings = Findings()
        self.clients = []

    async def run(self):
        await self._start()
        looking = asyncio.ensure_future(self._look())
        working = asyncio.ensure_future(self._submit())
        await self._inject()
        working.cancel()
        await asyncio.gather(working, return_exceptions=True)
        await self._heal()
        await self._check_ends()
        looking.cancel()
        await asyncio.gather(looking, return_exceptions=True)
        await self._stop()
        return self.findings

    async def _start(self):
        await self.platform.start()
        host, port = self.platform.store_address.split(":")
        for number in range(self.count):
            proxy = Proxy(host=host, port=int(port))
            await proxy.start()
            self.proxies.append(proxy)
            self.addresses.append(free_address())
            self._write_settings(number)
            self._spawn(number)
        await self._configure()
        for address in self.addresses:
            client = http.HttpClient(url=f"http://{address}", timeout_s=3.0)
            self.clients.append(client)
        async with asyncio.timeout(SETTLE_S):
            while not all([await self._serves(c) for c in self.clients]):
                await asyncio.sleep(0.1)

    async def _configure(self):
        await self.platform.configure(
            {
                "version": 1,
                "routes": [
                    {
                        "name": "soak",
                        "host": "127.0.0.1",
                        "prefix": PREFIX,
                        "service": "render",
                        "maxAttempts": 3,
                        "stretch": 3.0,
                    }
                ],
                "tenants": [{"name": "soak", "apiKeys": [KEY]}],
            }
        )

    def _write_settings(self, number):
        settings = InstanceSettings(
            instance=InstanceId(f"e{number}"),
            zone=ZoneId("a"),
            api_address=self.addresses[number],
            readiness_address=free_address(),
            internal_address=free_address(),
            store_address=self.proxies[number].address,
            bounds=TimeBounds(),
        )
        path = self.folder / f"e{number}.json"
        path.write_bytes(testing.encode_settings(settings))

    def _spawn(self, number):
        path = self.folder / f"e{number}.json"
        log_path = self.folder / f"e{number}.log"
        is_new = not log_path.exists()
        begin = 0 if is_new else log_path.stat().st_size
        with open(log_path, "ab") as log:
            self.processes[number] = subprocess.Popen(
                [sys.executable, "-m", "magnoliaglade", "serve"]
                + ["--settings", str(path)],
                stdout=log,
                stderr=log,
            )
        self.log_starts[self.processes[number].pid] = begin

    async def _serves(self, client):
        return (await self._call(client, "GET", PREFIX))[0] == 200

    async def _call(self, client, method, path, body=None):
        headers = {"authorization": f"Token {KEY}", "deadline-ms": "3000"}
        try:
            reply = await client.call(
                method,
                path,
                body=body,
                headers=headers,
                content_type="application/json",
            )
        except http.NotSentError:
            return -1, {}
        except http.NoReplyError:
            return 0, {}
        if reply.status not in _STATUSES:
            self._violate(f"STATUS {method} {reply.status}")
            return reply.status, {}
        return reply.status, reply.json()

    async def _submit(self):
        """Hands jobs in; each caller repeats its call at other instances."""
        tasks = set()
        while True:
            job = f"{self.random.getrandbits(64):016x}"
            count = self.random.randint(1, 4)
            gang = self.random.random() < 0.4
            task = asyncio.ensure_future(self._hand_in(job, count, gang))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(JOB_S)

    async def _hand_in(self, job, count, gang):
        step = {"count": count, "cpu": 1000, "gpu": 1, "estimateMs": 400}
        body = testing.encode_submission(
            [step | ({"gang": True} if gang else {})]
        )
        statuses = []
        for _ in range(4):
            client = self.random.choice(self.clients)
            status, _ = await self._call(client, "POST", PREFIX + job, body)
            statuses.append(status)
            if status == 200:
                self.findings.accepted[job] = count
                return
            await asyncio.sleep(0.3)
        if all(s in (-1, 429, 503) for s in statuses):
            self.findings.refused.add(job)
        else:
            self.findings.unknown.add(job)

    async def _look(self):
        """Checks what the workers see."""
        while True:
            holders = collections.Counter()
            for engine in self.platform.engines:
                running = engine.running
                holders.update(running.keys())
                if len(running) > engine.capacity.accelerators:
                    self._violate(f"LIMIT {engine.worker}")
            for task, count in holders.items():
                if count > 1:
                    self._violate(f"TWICE {task}")
                if task.partition(".")[0] in self.findings.refused:
                    self._violate(f"REFUSED {task}")
            await asyncio.sleep(LOOK_S)

    def _violate(self, text):
        if text not in self.findings.violations:
            self.findings.violations.append(text)

    async def _inject(self):
        """Brings faults about, one after the other, overlapping in time."""
        faults = [
            self._kill,
            self._terminate,
            self._pause,
            self._harm_link,
            self._reset_links,
            self._harm_worker,
            self._store_leases_lapse,
        ]
        running = set()
        deadline_s = asyncio.get_running_loop().time() + self.seconds
        while asyncio.get_running_loop().time() < deadline_s:
            fault = self.random.choice(faults)
            self.findings.faults.append(fault.__name__)
            running.add(asyncio.ensure_future(fault()))
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
        await asyncio.gather(*running)

    async def _kill(self):
        await self._end(signal.SIGKILL)

    async def _terminate(self):
        await self._end(signal.SIGTERM)

    async def _end(self, number):
        which = self.random.randrange(self.count)
        process = self.processes[which]
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.send_signal(number)
        while process.poll() is None:
            await asyncio.sleep(0.05)
        is_planned = number is signal.SIGTERM
        if is_planned and process.returncode not in (0, -signal.SIGKILL):
            states = self._states(which, process.pid)
            # Before the first line and after the last nothing is in flight.
            if states and states[-1] != "stopped":
                self._violate(f"EXIT {process.returncode} after {states}")
        if self.processes[which] is process:
            self._spawn(which)

    def _states(self, which, pid):
        """Returns the states that a process has logged of itself."""
        begin = self.log_starts[pid]
        data = (self.folder / f"e{which}.log").read_bytes()[begin:]
        lines = [x for x in data.splitlines() if b"glade:instance" in x]
        found = [json.loads(x[x.index(b"{") :])["state"] for x in lines]
        # What follows the first start belongs to the next process.
        again = [i for i, x in enumerate(found) if x == "started"][1:2]
        return found[: again[0]] if again else found

    async def _pause(self):
        process = self.processes[self.random.randrange(self.count)]
        if process.poll() is not None:
            return
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def _harm_link(self):
        proxy = self.random.choice(self.proxies)
        proxy.link = self.random.choice(
            [
                Link(delay_s=0.25),
                Link(is_silent=True),
                Link(loses_answers=True),
                Link(refuses=True),
            ]
        )
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        proxy.link = Link()
        proxy.reset()

    async def _reset_links(self):
        for proxy in self.proxies:
            proxy.reset()

    async def _harm_worker(self):
        engine = self.random.choice(self.platform.engines)
        name = self.random.choice(
            ["is_cut", "loses_answers", "defers_orders", "fails_all"]
        )
        setattr(engine.faults, name, True)
        await asyncio.sleep(self.random.uniform(0.3, 3.0))
        setattr(engine.faults, name, False)
        engine.deliver_deferred()

    async def _store_leases_lapse(self):
        self.platform.store.expire_leases()

    async def _heal(self):
        for proxy in self.proxies:
            proxy.link = Link()
        for number, process in list(self.processes.items()):
            if process.poll() is not None:
                self._spawn(number)
            else:
                process.send_signal(signal.SIGCONT)

    async def _check_ends(self):
        """Every accepted job ends, and none is unknown."""
        open_jobs = set(self.findings.accepted)
        deadline_s = asyncio.get_running_loop().time() + SETTLE_S
        while open_jobs and asyncio.get_running_loop().time() < deadline_s:
            for job in list(open_jobs):
                client = self.random.choice(self.clients)
                status, fields = await self._call(client, "GET", PREFIX + job)
                if status == 410:
                    self._violate(f"LOST {job}")
                if fields.get("state") in _FINAL:
                    open_jobs.discard(job)
            await asyncio.sleep(0.1)
        for job in open_jobs:
            self._violate(f"OPEN {job}")

    async def _stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for client in self.clients:
            await client.stop()
        for proxy in self.proxies:
            await proxy.stop()
        await self.platform.stop()


_STATUSES = frozenset({200, 401, 404, 410, 503, 504})
_FINAL = frozenset({JobState.COMPLETED.value, JobState.FAILED.value})
