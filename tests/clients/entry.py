"""The entry process beside stand-ins of its store and its instance list."""

import asyncio
import subprocess
import sys

import yaml

from magnoliaglade import http
from tests.clients import served
from tests.soak.addresses import free_address

_TIMEOUT_S = 30.0


class Entry(served.Process):
    """Runs `magnoliaglade entry`, which has no settings of limits."""

    def __init__(self, *, folder, max_fds=None):
        addresses = {"calls": free_address()}
        super().__init__(folder=folder, addresses=addresses, max_fds=max_fds)
        self._standins = []

    async def start(self):
        store = self._spawn_standin("store")
        listing = self._spawn_standin("instance-list")
        address = self.addresses["calls"]
        path = self.folder / "entry.yaml"
        fields = {
            "instance": "e1",
            "zone": "a",
            "http": {"host": address.host, "port": address.port},
            "peers": {"host": "127.0.0.1", "port": 0},
            "store": {"url": store},
            "instance_list": {"url": listing, "poll_s": 0.25},
        }
        path.write_text(yaml.safe_dump(fields))
        self.spawn("entry", str(path))
        async with asyncio.timeout(_TIMEOUT_S):
            while not await self.is_serving():
                await asyncio.sleep(0.1)

    async def stop(self):
        try:
            await self.end()
        finally:
            for process in self._standins:
                process.kill()
                process.wait()
                process.stdout.close()

    async def is_serving(self):
        """Returns whether an ordinary call is served."""
        try:
            reply = await self.call("GET", "/healthz")
        except http.HttpClientError:
            return False
        return reply.status == 200

    def _spawn_standin(self, name):
        with open(self.folder / f"{name}.log", "wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "magnoliaglade", "standin", name],
                stdout=subprocess.PIPE,
                stderr=log,
            )
        self._standins.append(process)
        return process.stdout.readline().decode().strip()
