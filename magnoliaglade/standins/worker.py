"""Stand-in of a worker over HTTP.

Serves any `instances.worker.WorkerClient`, one `POST /v1/<call>` for each of
its methods with msgpack bodies; 409 stands for a refusal and 412 for a stale
epoch.
"""

from collections.abc import Awaitable, Mapping
from typing import Any

import blacksheep
import msgpack

from magnoliaglade import http
from magnoliaglade.instances import codec, worker
from magnoliaglade.standins import _server

__all__ = ["WorkerServer"]

_MAX_BODY_BYTES = 1_048_576
_REQUESTS = {
    "reserve": worker.ReserveRequest,
    "commit": worker.CommitRequest,
    "release": worker.TaskCommand,
    "renew": worker.RenewRequest,
    "checkpoint": worker.TaskCommand,
    "throttle": worker.TaskCommand,
    "stop": worker.TaskCommand,
}


class WorkerServer(_server.StandinServer):
    """Serves one worker."""

    def __init__(
        self,
        *,
        worker: worker.WorkerClient,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self.worker = worker
        super().__init__(host=host, port=port)

    def _routes(self) -> Mapping[tuple[str, str], http.Handler]:
        routes = {
            ("POST", f"/v1/{name}"): self._serve(name) for name in _REQUESTS
        }
        return {**routes, ("POST", "/v1/fence"): self._fence}

    def _serve(self, name: str) -> http.Handler:
        async def serve(request: blacksheep.Request) -> blacksheep.Response:
            data = await _unpack(request)
            value = codec.decode_request(_REQUESTS[name], data)
            return await _answer(getattr(self.worker, name)(value))

        return serve

    async def _fence(self, request: blacksheep.Request) -> blacksheep.Response:
        data = await _unpack(request)
        return await _answer(
            self.worker.fence(domain=data["domain"], epoch=data["epoch"])
        )


async def _unpack(request: blacksheep.Request) -> Any:
    return msgpack.unpackb(
        await http.read_body(request, max_bytes=_MAX_BODY_BYTES)
    )


async def _answer(call: Awaitable[Any]) -> blacksheep.Response:
    try:
        result = await call
    except worker.WorkerRefusedError as error:
        return http.msgpack_response(409, {"reason": str(error)})
    except worker.StaleEpochError as error:
        return http.msgpack_response(412, {"reason": str(error)})
    return http.msgpack_response(200, codec.encode(result) if result else {})
