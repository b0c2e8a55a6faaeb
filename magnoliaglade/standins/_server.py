"""Common part of the stand-ins that serve HTTP."""

import abc
from collections.abc import Mapping

from magnoliaglade import base, http

# A stand-in plays a process that ends; open watches must not hold it up.
_STOP_TIMEOUT_S = 1.0


class StandinServer(base.Component):
    """Serves the routes of a stand-in on one address."""

    def __init__(self, *, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._server = http.HttpServer(
            application=http.new_application(self._routes()),
            host=host,
            port=port,
            stop_timeout_s=_STOP_TIMEOUT_S,
        )

    @property
    def address(self) -> str:
        """`host:port` of the interface."""
        return f"{self.host}:{self._server.bound_port}"

    @property
    def url(self) -> str:
        """Base URL of the interface."""
        return f"http://{self.address}"

    async def start(self) -> None:
        """Starts to serve."""
        await self._server.start()

    async def stop(self) -> None:
        """Stops serving; the state is gone with the process."""
        await self._server.stop()

    @abc.abstractmethod
    def _routes(self) -> Mapping[tuple[str, str], http.Handler]:
        """Returns the handlers by method and path."""
