"""Serves a blacksheep application with uvicorn on the running event loop."""

import asyncio
import contextlib
import functools
import json
import socket
from collections.abc import Awaitable, Callable, Iterator, Mapping
from http import HTTPStatus
from typing import Any

import blacksheep
import msgpack
import uvicorn
from blacksheep.server import routing

from magnoliaglade import base, exceptions
from magnoliaglade.http._ledger import ConnectionLedger
from magnoliaglade.http._limits import ConnectionLimits
from magnoliaglade.http._protocol import LimitedHttpProtocol

Handler = Callable[[blacksheep.Request], Awaitable[blacksheep.Response]]

# Receive buffer of a connection in bytes; the kernel takes twice as much. The
# buffers count as memory of the process on the users' platform, and those that
# the kernel sizes itself grow to several MB.
RECEIVE_BUFFER_BYTES = 32_768
# Connections that are accepted in one step of the event loop. They take
# descriptors before the limit on connections can close any.
_ACCEPTED_AT_ONCE = 32
_STARTUP_POLL_S = 0.005


class HttpServerError(exceptions.MagnoliagladeError):
    """The server could not be started."""


class BodyTooLargeError(HttpServerError):
    """A request body exceeds the limit."""


class _Server(uvicorn.Server):
    """uvicorn without signal handlers; the daemon handles signals itself."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leaves the process's signal handlers unchanged."""
        yield


class HttpServer(base.Component):
    """Listens on one address; `stop` waits for requests in flight.

    Attributes:
        application: application to serve.
        host: address to bind.
        port: port to bind; 0 for any free one.
        listener: bound socket that replaces host and port (see `bind`), for
            servers that must know their address before they serve.
        stop_timeout_s: time that `stop` leaves for requests in flight, rounded
            down to whole seconds, at least 1.
        ledger: connections of all servers of the process; its own if None,
            with the default limits as far as they fit the process.
        limits: returns the limits of this server's connections; those of the
            ledger if None.
        backlog: connections that wait in the kernel to be accepted; the limit
            of the ledger if None. The kernel receives for them as well.
    """

    _parameter_constraints = {
        "port": [base.Interval(kind=int, low=0, high=65535)],
        "stop_timeout_s": [base.Interval(kind=float, low=0)],
    }

    def __init__(
        self,
        *,
        application: blacksheep.Application,
        host: str = "127.0.0.1",
        port: int = 0,
        listener: socket.socket | None = None,
        stop_timeout_s: float = 30.0,
        ledger: ConnectionLedger | None = None,
        limits: Callable[[], ConnectionLimits] | None = None,
        backlog: int | None = None,
    ) -> None:
        self.application = application
        self.host = host
        self.port = port
        self.listener = listener
        self.stop_timeout_s = stop_timeout_s
        self.ledger = ledger
        self.limits = limits
        self.backlog = backlog
        self._socket: socket.socket | None = None
        self._bound_port = 0
        self._server: _Server | None = None
        self._serve_task: asyncio.Task[None] | None = None

    @property
    def bound_port(self) -> int:
        """Port of the listener; differs from `port` if that is 0."""
        if self._socket is None:
            raise HttpServerError("the server has not been started")
        return self._bound_port

    async def start(self) -> None:
        """Binds the address and starts serving.

        Raises:
            HttpServerError: the address cannot be bound.
        """
        self.validate_params()
        self._socket = self.listener or bind(self.host, self.port)
        self._bound_port = self._socket.getsockname()[1]
        # Connections inherit it.
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        ledger = self.ledger or ConnectionLedger(
            limits=ConnectionLimits().for_machine()
        )
        protocol = functools.partial(
            LimitedHttpProtocol,
            ledger=ledger,
            limits=self.limits or (lambda: ledger.limits),
        )
        config = uvicorn.Config(
            self.application,
            log_config=None,
            access_log=False,
            lifespan="on",
            loop="asyncio",
            http=protocol,  # type: ignore[arg-type]
            ws="none",
            backlog=_ACCEPTED_AT_ONCE,
            timeout_graceful_shutdown=max(1, int(self.stop_timeout_s)),
        )
        self._server = _Server(config)
        self._serve_task = asyncio.create_task(
            self._server.serve([self._socket])
        )
        while not self._server.started:
            if self._serve_task.done():
                raise HttpServerError("the server stopped during startup")
            await asyncio.sleep(_STARTUP_POLL_S)
        self._socket.listen(self.backlog or ledger.limits.max_queued)

    async def stop(self) -> None:
        """Stops accepting connections, then waits for requests in flight."""
        if self._server is None or self._serve_task is None:
            return
        self._server.should_exit = True
        await asyncio.gather(self._serve_task, return_exceptions=True)
        self._server = None


def new_application(
    routes: Mapping[tuple[str, str], Handler],
) -> blacksheep.Application:
    """Returns an application that serves the given routes.

    A handler need not catch the errors of a body that is too large or does not
    arrive as a whole.

    Args:
        routes: handler by method and path pattern, such as
            `("GET", "/v1/jobs/{job}")`; values of the pattern are in
            `request.route_values`.
    """
    application = blacksheep.Application(router=routing.Router())
    for (method, path), handler in routes.items():
        application.router.add(method, path, _wrap_handler(handler))
    return application


def json_response(status: int, value: Any) -> blacksheep.Response:
    """Returns a response with a JSON body."""
    content = blacksheep.Content(
        b"application/json", json.dumps(value).encode()
    )
    return blacksheep.Response(status, None, content)


def msgpack_response(status: int, value: Any) -> blacksheep.Response:
    """Returns a response with a msgpack body."""
    content = blacksheep.Content(b"application/msgpack", msgpack.packb(value))
    return blacksheep.Response(status, None, content)


def _wrap_handler(handler: Handler) -> Handler:
    # The router sets attributes on its handlers; bound methods do not allow it.
    async def route(request: blacksheep.Request) -> blacksheep.Response:
        try:
            return await handler(request)
        except BodyTooLargeError as error:
            return json_response(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, {"error": str(error)}
            )
        except blacksheep.exceptions.MessageAborted:
            # The client has gone, or was rejected; nobody reads the response.
            return blacksheep.Response(HTTPStatus.BAD_REQUEST)

    return route


async def read_body(request: blacksheep.Request, *, max_bytes: int) -> bytes:
    """Returns the body of a request of at most `max_bytes` bytes.

    Raises:
        BodyTooLargeError: the body is longer.
    """
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > max_bytes:
            raise BodyTooLargeError(f"the body exceeds {max_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


def bind(host: str, port: int) -> socket.socket:
    """Returns a socket bound to an address.

    Raises:
        HttpServerError: the address cannot be bound.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError as error:
        listener.close()
        raise HttpServerError(f"{host}:{port}: {error}") from error
    return listener
