"""The HTTP interface for callers, and the readiness check."""

import re
import time
from collections.abc import Callable

import blacksheep
from blacksheep.server import routing as routes

from magnoliaglade import http, jobs, observability, routing, supervision
from magnoliaglade.gateway import Gateway, Verdict
from magnoliaglade.platform import _submission
from magnoliaglade.platform._fields import MalformedError
from magnoliaglade.types import AccountId, JobId

# Largest body where the configuration gives no limit.
DEFAULT_BODY_BYTES = 262_144
# Time limit of a caller that names none, in milliseconds.
DEFAULT_DEADLINE_MS = 3_000
# Time limits from this on, in milliseconds, are taken for the default.
LONGEST_DEADLINE_MS = 1_000_000
# Share of the caller's time limit after which it is answered in any case.
DEADLINE_SHARE = 0.8

_JOB_ID = re.compile(r"[0-9a-f]{16}", re.IGNORECASE)
_SCHEME = "Token "

_STATUS = {
    Verdict.ACCEPTED: 200,
    Verdict.REFUSED: 503,
    Verdict.UNKNOWN: 504,
    Verdict.ABSENT: 410,
    Verdict.CONFLICTING: 409,
}


class FrontApi:
    """Translates callers' requests for the gateway.

    Attributes:
        gateway: takes and answers for jobs.
        follower: the configuration in force.
        is_ready: tells whether the platform may send new connections.
        is_stopping: tells whether connections should be given up.
        observe: called with method, status and seconds of each call.
    """

    def __init__(
        self,
        *,
        gateway: Gateway,
        follower: routing.ConfigurationWatcher,
        is_ready: Callable[[], bool],
        is_stopping: Callable[[], bool],
        observe: Callable[[str, int, float], None] = lambda *_: None,
    ) -> None:
        self.gateway = gateway
        self.follower = follower
        self.is_ready = is_ready
        self.is_stopping = is_stopping
        self.observe = observe

    def application(self) -> blacksheep.Application:
        """Returns the application that serves callers."""
        application = blacksheep.Application(router=routes.Router())

        async def handle(request: blacksheep.Request) -> blacksheep.Response:
            began_s = time.monotonic()
            response = await self._answer_or_report(request)
            duration_s = time.monotonic() - began_s
            self.observe(request.method, response.status, duration_s)
            if self.is_stopping():
                response.add_header(b"connection", b"close")
            return response

        for method in ("GET", "POST", "DELETE"):
            application.router.add(method, "/*", handle)
        return application

    def readiness_application(self) -> blacksheep.Application:
        """Returns the application that serves the readiness check."""

        async def ready(_: blacksheep.Request) -> blacksheep.Response:
            return blacksheep.Response(200 if self.is_ready() else 503)

        return http.new_application({("GET", "/api/ready"): ready})

    async def _answer_or_report(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        """Handles a call; after an unforeseen error its effect is unknown."""
        try:
            return await self._handle(request)
        except Exception as error:
            observability.log_event(
                "error",
                part="front",
                method=request.method,
                path=request.url.path.decode("latin-1"),
                **supervision.describe_error(error),
            )
            return _status(504)

    async def _handle(self, request: blacksheep.Request) -> blacksheep.Response:
        configuration = self.follower.configuration
        if configuration is None:
            return self._refusal()
        path = request.url.path.decode("latin-1")
        queue = configuration.match(_host(request), path)
        if queue is None:
            return _status(404)
        account: AccountId | None = None
        if not queue.is_public:
            account = configuration.account_of(_key(request))
            if account is None:
                return _status(401 if self.gateway.is_fresh else 503)
            if not self.gateway.is_fresh:
                return self._refusal()
        response = await self._dispatch(
            request, queue, account, path.removeprefix(queue.prefix)
        )
        is_served = response.status < 300
        if is_served and account is not None and not self.gateway.is_fresh:
            # The key may have been revoked while the call was waiting.
            return _status(504)
        return response

    async def _dispatch(
        self,
        request: blacksheep.Request,
        queue: routing.Queue,
        account: AccountId | None,
        name: str,
    ) -> blacksheep.Response:
        limit_s = _limit_s(request)
        if not name and request.method == "GET":
            count = await self.gateway.waiting(queue, limit_s=limit_s)
            if count.verdict is not Verdict.ACCEPTED:
                return self._answer(count.verdict)
            return http.json_response(200, {"pending": count.waiting})
        if not _JOB_ID.fullmatch(name):
            return _problem(400, "the id must have 16 hexadecimal digits")
        job = JobId(name)
        if request.method == "POST":
            return await self._submit(request, queue, account, job, limit_s)
        if request.method == "DELETE":
            verdict = await self.gateway.cancel(
                job=job, account=account, limit_s=limit_s
            )
            return self._answer(verdict)
        answer = await self.gateway.state(
            job=job, account=account, limit_s=limit_s
        )
        if answer.state is None:
            return self._answer(answer.verdict)
        return http.json_response(200, {"state": _STATES[answer.state]})

    async def _submit(
        self,
        request: blacksheep.Request,
        queue: routing.Queue,
        account: AccountId | None,
        job: JobId,
        limit_s: float,
    ) -> blacksheep.Response:
        configuration = self.follower.configuration
        limit = configuration.max_body_bytes if configuration else 0
        try:
            body = await http.read_body(
                request, max_bytes=limit or DEFAULT_BODY_BYTES
            )
            spec = _submission.decode_submission(body)
        except http.BodyTooLargeError as error:
            return _problem(413, str(error))
        except MalformedError as error:
            return _problem(400, str(error))
        if queue.needs_advice:
            return _problem(503, "queues with advice are not offered")
        verdict = await self.gateway.submit(
            job=job,
            queue=queue,
            account=account or AccountId(""),
            spec=spec,
            limit_s=limit_s,
        )
        return self._answer(verdict)

    def _answer(self, verdict: Verdict) -> blacksheep.Response:
        if verdict is Verdict.REFUSED:
            return self._refusal()
        return _status(_STATUS[verdict])

    def _refusal(self) -> blacksheep.Response:
        response = _status(503)
        after = str(self.gateway.retry_after_s).encode()
        response.add_header(b"retry-after", after)
        return response


_STATES = {
    jobs.JobState.QUEUED: "queued",
    jobs.JobState.RUNNING: "running",
    jobs.JobState.COMPLETED: "completed",
    jobs.JobState.FAILED: "failed",
    jobs.JobState.CANCELLED: "cancelled",
}


def _host(request: blacksheep.Request) -> str:
    value = request.get_first_header(b"host") or b""
    return value.decode("latin-1").partition(":")[0]


def _key(request: blacksheep.Request) -> str:
    value = request.get_first_header(b"authorization") or b""
    return value.decode("latin-1").removeprefix(_SCHEME)


def _limit_s(request: blacksheep.Request) -> float:
    value = request.get_first_header(b"deadline-ms") or b""
    text = value.decode("latin-1")
    limit_ms = DEFAULT_DEADLINE_MS
    if text.isdecimal() and len(text) < len(str(LONGEST_DEADLINE_MS)):
        limit_ms = int(text)
    return max(0.05, limit_ms * DEADLINE_SHARE / 1000.0)


def _status(status: int) -> blacksheep.Response:
    return http.json_response(status, {})


def _problem(status: int, reason: str) -> blacksheep.Response:
    return http.json_response(status, {"error": reason})
