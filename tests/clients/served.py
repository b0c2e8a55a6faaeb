"""An instance in a process of its own, with the figures of its resources."""

import asyncio
import os
import pathlib
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


class Served:
    """Runs `magnoliaglade serve` beside the stand-in of the platform.

    Attributes:
        folder: folder of settings and log.
        limits: limits of the settings.
        configured: limits of the configuration.
    """

    def __init__(self, *, folder, limits, configured=None):
        self.folder = pathlib.Path(folder)
        self.limits = limits
        self.configured = LIMITS | (configured or {})
        self.addresses = {
            n: free_address() for n in ("calls", "ready", "internal")
        }
        self.platform = platform_standin.PlatformStandIn(
            clock=clock_lib.SystemClock(), workers=1
        )
        self.process = None

    async def start(self):
        await self.platform.start()
        await self.platform.configure(
            {
                "version": 1,
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
                "limits": self.configured,
                "tenants": [{"name": "studio", "apiKeys": [KEY]}],
            }
        )
        settings = InstanceSettings(
            instance=InstanceId("e1"),
            zone=ZoneId("a"),
            api_address=self.addresses["calls"],
            readiness_address=self.addresses["ready"],
            internal_address=self.addresses["internal"],
            store_address=self.platform.store_address,
            bounds=TimeBounds(),
        )
        fields = orjson.loads(testing.encode_settings(settings))
        path = self.folder / "boot.json"
        path.write_bytes(orjson.dumps(fields | {"limits": self.limits}))
        self._spawn(path)
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

    def _spawn(self, path):
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "magnoliaglade", "serve"]
                + ["--settings", str(path)],
                stdout=log,
                stderr=log,
            )

    async def stop(self):
        if self.process is not None:
            self.process.terminate()
            try:
                await asyncio.to_thread(self.process.wait, _TIMEOUT_S)
            finally:
                self.process.kill()
                self.process.wait()
                await self.platform.stop()

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

    def memory_mb(self, name):
        """Returns `VmRSS` or `VmHWM` of the process."""
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        fields = dict(
            x.split(":", 1) for x in path.read_text().splitlines() if ":" in x
        )
        return int(fields[name].split()[0]) / 1024

    def descriptors(self):
        """Returns the number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))
