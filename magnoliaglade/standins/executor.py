"""Stand-in of an upstream's executor over HTTP.

`POST /v1/services/{service}/{kind}` runs a request and answers 200 with the
body that it was given, prefixed by the run's number, and the request's
`x-request-id`. Requests beyond the slots are answered 503 with
`x-not-run: true`. A leaving executor adds `x-leaving: true` to its answers.
`GET /healthz` answers 200 with the same two headers, so that a leaving executor
without requests is noticed as well.
"""

import asyncio
import collections
from collections.abc import Mapping

import blacksheep

from magnoliaglade import clock as clock_lib
from magnoliaglade import http
from magnoliaglade.standins import _server

__all__ = ["ExecutorServer"]

_MAX_BODY_BYTES = 16_777_216


class ExecutorServer(_server.StandinServer):
    """Runs requests in a bounded number of slots.

    Attributes:
        run_s: time that a request takes.
        slots: requests that run at the same time.
        is_leaving: answers announce that the executor is leaving.
        is_failing: every request is answered 500 after it ran.
        is_silent: requests run but no answer is ever sent.
        runs: number of runs by idempotency key, or by request id without one.
        most_running: largest number of requests that ran at the same time.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        run_s: float = 0.0,
        slots: int = 8,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self.clock = clock
        self.run_s = run_s
        self.slots = slots
        self.is_leaving = False
        self.is_failing = False
        self.is_silent = False
        self.runs: collections.Counter[str] = collections.Counter()
        self.most_running = 0
        self._running = 0
        super().__init__(host=host, port=port)

    def _routes(self) -> Mapping[tuple[str, str], http.Handler]:
        return {
            ("POST", "/v1/services/{service}/{kind}"): self._run,
            ("GET", "/healthz"): self._health,
        }

    async def _health(self, request: blacksheep.Request) -> blacksheep.Response:
        return self._finish(request, 200, b"alive")

    async def _run(self, request: blacksheep.Request) -> blacksheep.Response:
        body = await http.read_body(request, max_bytes=_MAX_BODY_BYTES)
        if self._running >= self.slots:
            return self._finish(request, 503, b"no slot", not_run=True)
        key = _header(request, b"idempotency-key")
        self._running += 1
        self.most_running = max(self.most_running, self._running)
        self.runs[key or _header(request, b"x-request-id")] += 1
        try:
            await self.clock.sleep(self.run_s)
            if self.is_silent:
                await asyncio.Event().wait()
        finally:
            self._running -= 1
        if self.is_failing:
            return self._finish(request, 500, b"failed")
        return self._finish(request, 200, b"done: " + body)

    def _finish(
        self,
        request: blacksheep.Request,
        status: int,
        body: bytes,
        *,
        not_run: bool = False,
    ) -> blacksheep.Response:
        request_id = _header(request, b"x-request-id").encode()
        headers = [(b"x-request-id", request_id)]
        if self.is_leaving:
            headers.append((b"x-leaving", b"true"))
        if not_run:
            headers.append((b"x-not-run", b"true"))
        content = blacksheep.Content(b"application/octet-stream", body)
        return blacksheep.Response(status, headers, content)


def _header(request: blacksheep.Request, name: bytes) -> str:
    value = request.get_first_header(name)
    return value.decode() if value else ""
