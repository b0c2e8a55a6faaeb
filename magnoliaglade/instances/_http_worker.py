"""HTTP client of a worker.

Every call is `POST /v1/<call>` with msgpack bodies in both directions. The
status is 200 with the result, 409 if the worker refused the call, or 412 if it
has seen a higher epoch. After any other status or a malformed response, the
outcome of the call is unknown.
"""

from typing import Any

import msgpack

from magnoliaglade import http
from magnoliaglade.instances import codec, worker
from magnoliaglade.types import Epoch

CALL_TIMEOUT_S = 1.0
# A worker may take this long to stop its tasks or to write a checkpoint.
STOP_TIMEOUT_S = 10.0


class HttpWorker:
    """Implements `instances.worker.WorkerClient` over HTTP."""

    def __init__(self, *, url: str, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self.url = url
        self.timeout_s = timeout_s
        self._client = http.HttpClient(url=url, timeout_s=timeout_s)

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.stop()

    async def reserve(
        self, request: worker.ReserveRequest
    ) -> worker.ReservationReply:
        """See `WorkerClient.reserve`."""
        reply = await self._call("reserve", codec.encode(request))
        return worker.ReservationReply(reservation=str(reply["reservation"]))

    async def commit(
        self, request: worker.CommitRequest
    ) -> worker.WorkerReport:
        """See `WorkerClient.commit`."""
        return await self._report("commit", codec.encode(request))

    async def release(self, request: worker.TaskCommand) -> None:
        """See `WorkerClient.release`."""
        await self._call("release", codec.encode(request))

    async def renew(self, request: worker.RenewRequest) -> worker.WorkerReport:
        """See `WorkerClient.renew`."""
        return await self._report("renew", codec.encode(request))

    async def checkpoint(self, request: worker.TaskCommand) -> None:
        """See `WorkerClient.checkpoint`."""
        await self._call("checkpoint", codec.encode(request), STOP_TIMEOUT_S)

    async def throttle(self, request: worker.TaskCommand) -> None:
        """See `WorkerClient.throttle`."""
        await self._call("throttle", codec.encode(request))

    async def stop(self, request: worker.TaskCommand) -> None:
        """See `WorkerClient.stop`."""
        await self._call("stop", codec.encode(request), STOP_TIMEOUT_S)

    async def fence(self, *, domain: str, epoch: Epoch) -> worker.WorkerReport:
        """See `WorkerClient.fence`."""
        return await self._report("fence", {"domain": domain, "epoch": epoch})

    async def _report(
        self, name: str, fields: dict[str, Any]
    ) -> worker.WorkerReport:
        reply = await self._call(name, fields)
        try:
            return codec.decode_report(reply)
        except codec.CodecError as error:
            raise worker.WorkerOutcomeUnknownError(str(error)) from error

    async def _call(
        self, name: str, fields: dict[str, Any], timeout_s: float | None = None
    ) -> Any:
        try:
            reply = await self._client.call(
                "POST",
                f"/v1/{name}",
                body=msgpack.packb(fields),
                timeout_s=timeout_s,
            )
            if reply.status == 409:
                raise worker.WorkerRefusedError(str(reply.unpack()["reason"]))
            if reply.status == 412:
                raise worker.StaleEpochError(str(reply.unpack()["reason"]))
            if reply.status != 200:
                raise worker.WorkerOutcomeUnknownError(f"status {reply.status}")
            return reply.unpack()
        except http.NotSentError as error:
            raise worker.WorkerUnreachableError(str(error)) from error
        except http.NoReplyError as error:
            raise worker.WorkerOutcomeUnknownError(str(error)) from error
