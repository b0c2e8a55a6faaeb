"""Processes of the system, with the figures of their resources."""

import asyncio
import contextlib
import os
import pathlib
import resource
import signal
import subprocess
import sys

import orjson

from magnoliaglade import clock as clock_lib
from magnoliaglade import http
from magnoliaglade.instance import InstanceSettings, TimeBounds
from magnoliaglade.platform import testing
from magnoliaglade.standins import platform as platform_standin
from magnoliaglade.types import InstanceId, ZoneId
from tests.soak.addresses import free_address
from tests.soak.proxy import Proxy

KEY = "a-key"
PREFIX = "/proofs/"
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 262_144,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
JOB = b'{"spec":"x","steps":[{"count":1,"cpu":10}]}'
_WARM_UP_JOB = "f" * 16
# More than the idle connections that an HTTP client keeps.
_WARM_UP_CALLS = 48
_TIMEOUT_S = 30.0
_PORT_STATE_LISTEN = "0A"


class Process:
    """A process of the system and what it uses.

    Attributes:
        folder: folder of settings and log.
        max_fds: descriptors that the kernel allows; None for those of the test.
        addresses: addresses of its listeners by name.
    """

    def __init__(self, *, folder, addresses, max_fds=None):
        self.folder = pathlib.Path(folder)
        self.max_fds = max_fds
        self.addresses = addresses
        self.process = None

    def spawn(self, *arguments):
        def limit_descriptors():
            if self.max_fds is not None:
                limits = (self.max_fds, self.max_fds)
                resource.setrlimit(resource.RLIMIT_NOFILE, limits)

        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "magnoliaglade", *arguments],
                stdout=log,
                stderr=log,
                preexec_fn=limit_descriptors,
            )

    async def end(self):
        """Ends the process with SIGTERM."""
        if self.process is None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.terminate()
        try:
            await asyncio.to_thread(self.process.wait, _TIMEOUT_S)
        finally:
            self.process.kill()
            self.process.wait()

    async def call(self, method, path, *, body=None, port="calls"):
        """Calls over a connection of its own."""
        client = http.HttpClient(
            url=f"http://{self.addresses[port]}", timeout_s=_TIMEOUT_S
        )
        headers = {"authorization": f"Token {KEY}"}
        try:
            return await client.call(method, path, body=body, headers=headers)
        finally:
            await client.stop()

    def memory_mb(self, name):
        """Returns `VmRSS` or `VmHWM` of the process."""
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        fields = dict(
            x.split(":", 1) for x in path.read_text().splitlines() if ":" in x
        )
        return int(fields[name].split()[0]) / 1024

    def unread_mb(self):
        """Returns what its listeners' connections have received, unread."""
        ports = {a.port for a in self.addresses.values()}
        unread_bytes = 0
        lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
        for line in lines:
            _, local, _, state, queues = line.split()[:5]
            port = int(local.partition(":")[2], 16)
            if port in ports and state != _PORT_STATE_LISTEN:
                unread_bytes += int(queues.partition(":")[2], 16)
        return unread_bytes / 1e6

    def descriptors(self):
        """Returns the number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    @contextlib.asynccontextmanager
    async def sampled(self, interval_s=0.1):
        """Yields the peaks of memory with unread bytes, and of descriptors."""
        peaks = {"memory_mb": 0.0, "descriptors": 0}

        def sample():
            used_mb = self.memory_mb("VmRSS") + self.unread_mb()
            peaks["memory_mb"] = max(peaks["memory_mb"], used_mb)
            peaks["descriptors"] = max(peaks["descriptors"], self.descriptors())

        async def repeat():
            while True:
                sample()
                await asyncio.sleep(interval_s)

        sampling = asyncio.ensure_future(repeat())
        try:
            yield peaks
        finally:
            sampling.cancel()
            await asyncio.gather(sampling, return_exceptions=True)
            if self.process.poll() is None:
                sample()


class Served(Process):
    """Runs `magnoliaglade serve` beside the stand-in of the platform.

    Attributes:
        limits: limits of the settings.
        configured: limits of the configuration; None leaves them out.
        platform: stand-in of the platform.
        store_link: proxy between the instance and the store.
    """

    def __init__(self, *, folder, limits, configured=LIMITS, max_fds=None):
        addresses = {n: free_address() for n in ("calls", "ready", "internal")}
        super().__init__(folder=folder, addresses=addresses, max_fds=max_fds)
        self.limits = limits
        self.configured = configured
        self.platform = platform_standin.PlatformStandIn(
            clock=clock_lib.SystemClock(), workers=1
        )
        self.store_link = None
        self._version = 0

    async def start(self):
        await self.platform.start()
        host, _, port = self.platform.store_address.partition(":")
        self.store_link = Proxy(host=host, port=int(port))
        await self.store_link.start()
        await self.configure()
        self.write_settings()
        self.spawn("serve", "--settings", str(self.folder / "boot.json"))
        async with asyncio.timeout(_TIMEOUT_S):
            while not await self.is_serving():
                await asyncio.sleep(0.1)
            # Loads what the first job needs, and opens the connections that the
            # process keeps to the store. Both are part of the rest.
            await asyncio.gather(
                *(
                    self.call("POST", PREFIX + _WARM_UP_JOB, body=JOB)
                    for _ in range(_WARM_UP_CALLS)
                )
            )
            while (await self.call("GET", PREFIX + _WARM_UP_JOB)).json() != {
                "state": "completed"
            }:
                await asyncio.sleep(0.1)

    async def configure(self):
        """Writes the next version of the configuration."""
        self._version += 1
        limits = {} if self.configured is None else {"limits": self.configured}
        await self.platform.configure(
            {
                "version": self._version,
                "routes": [
                    {
                        "name": "r-proofs",
                        "host": "127.0.0.1",
                        "prefix": PREFIX,
                        "service": "render",
                        "maxAttempts": 2,
                        "stretch": 3.0,
                    }
                ],
                "services": [{"name": "render"}],
                **limits,
                "tenants": [{"name": "studio", "apiKeys": [KEY]}],
            }
        )

    def write_settings(self):
        """Writes the settings file."""
        settings = InstanceSettings(
            instance=InstanceId("e1"),
            zone=ZoneId("a"),
            api_address=self.addresses["calls"],
            readiness_address=self.addresses["ready"],
            internal_address=self.addresses["internal"],
            store_address=self.store_link.address,
            bounds=TimeBounds(),
        )
        fields = orjson.loads(testing.encode_settings(settings))
        fields.pop("limits", None)
        if self.limits is not None:
            fields["limits"] = self.limits
        path = self.folder / "boot.json"
        path.write_bytes(orjson.dumps(fields))

    async def stop(self):
        if self.store_link is not None:
            self.store_link.link.is_silent = False
        try:
            await self.end()
        finally:
            if self.store_link is not None:
                await self.store_link.stop()
            await self.platform.stop()

    async def is_serving(self):
        """Returns whether an ordinary call is served on each port."""
        paths = {"calls": PREFIX, "ready": "/api/ready", "internal": "/metrics"}
        try:
            replies = [
                await self.call("GET", path, port=port)
                for port, path in paths.items()
            ]
        except http.HttpClientError:
            return False
        return all(r.status == 200 for r in replies)
