"""Stand-in of the users' platform: its store and some workers over HTTP."""

from typing import Any

from magnoliaglade import base, http, store
from magnoliaglade import clock as clock_lib
from magnoliaglade.platform import testing
from magnoliaglade.standins.worker_engine import WorkerEngine
from magnoliaglade.types import WorkerId

# Run time of every task in seconds.
RUN_S = 0.3


class PlatformStandIn(base.Component):
    """Serves an in-memory store and workers on loopback.

    Attributes:
        clock: source of time.
        workers: number of workers, in two zones.
        run_s: run time of every task in seconds.
    """

    def __init__(
        self, *, clock: clock_lib.Clock, workers: int = 4, run_s: float = RUN_S
    ) -> None:
        self.clock = clock
        self.workers = workers
        self.run_s = run_s
        self.store = store.InMemoryStore(clock=clock)
        self.engines = [
            WorkerEngine(
                clock=clock,
                worker=WorkerId(f"i-{n:08x}"),
                duration_s=lambda _: self.run_s,
                zone="ab"[n % 2],
                rack=f"r{n // 4}",
            )
            for n in range(workers)
        ]
        self._servers: list[http.HttpServer] = []

    @property
    def store_address(self) -> str:
        """`host:port` of the store."""
        return f"127.0.0.1:{self._servers[0].bound_port}"

    async def start(self) -> None:
        """Serves and lists the workers."""
        await self._serve(
            testing.store_application(
                self.store, revision=lambda: self.store.revision
            )
        )
        for engine in self.engines:
            port = await self._serve(testing.worker_application(engine))
            engine.address = f"127.0.0.1:{port}"
            key, value = testing.encode_worker(engine.listed())
            await self.store.put(key, value)

    async def stop(self) -> None:
        """Stops serving."""
        self.store.close()
        for server in self._servers:
            await server.stop()

    async def configure(self, fields: dict[str, Any]) -> None:
        """Writes the operators' configuration."""
        key, value = testing.encode_configuration(fields)
        await self.store.put(key, value)

    async def _serve(self, application: Any) -> int:
        server = http.HttpServer(application=application, stop_timeout_s=0.1)
        await server.start()
        self._servers.append(server)
        return server.bound_port
