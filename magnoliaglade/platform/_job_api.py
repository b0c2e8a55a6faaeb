"""HTTP API for callers that submit jobs, and the readiness check."""

import asyncio
import re
import time
from collections.abc import Callable

import blacksheep
from blacksheep.server import routing as routes

from magnoliaglade import http, jobs, observability, routing, supervision
from magnoliaglade.gateway import CallOutcome, Gateway
from magnoliaglade.platform import _submission
from magnoliaglade.platform._fields import MalformedError
from magnoliaglade.types import AccountId, JobId

# Largest request body in bytes if the configuration sets no limit.
DEFAULT_MAX_BODY_BYTES = 262_144
# Timeout of a call without the header `deadline-ms`.
DEFAULT_TIMEOUT_MS = 3_000
# Timeouts of this length or more are replaced by the default.
TIMEOUT_LIMIT_MS = 1_000_000
# Fraction of the caller's timeout within which a call is answered in any case.
TIMEOUT_FRACTION = 0.8

_JOB_ID = re.compile(r"[0-9a-f]{16}", re.IGNORECASE)
_AUTHORIZATION_SCHEME = "Token "

_STATUS_BY_OUTCOME = {
    CallOutcome.ACCEPTED: 200,
    CallOutcome.REFUSED: 503,
    CallOutcome.UNKNOWN: 504,
    CallOutcome.ABSENT: 410,
    CallOutcome.CONFLICTING: 409,
    CallOutcome.WITHDRAWN: 410,
    CallOutcome.OVERLOADED: 503,
}


class JobApi:
    """Translates HTTP requests of callers to calls of the gateway.

    Attributes:
        gateway: accepts, cancels and looks up jobs.
        configuration_watcher: source of the configuration in force.
        is_ready: returns whether the platform may send new connections.
        is_stopping: returns whether connections should be closed.
        observe_call: called with method, status and duration in seconds of each
            call.
    """

    def __init__(
        self,
        *,
        gateway: Gateway,
        configuration_watcher: routing.ConfigurationWatcher,
        is_ready: Callable[[], bool],
        is_stopping: Callable[[], bool],
        observe_call: Callable[[str, int, float], None] = lambda *_: None,
    ) -> None:
        self.gateway = gateway
        self.configuration_watcher = configuration_watcher
        self.is_ready = is_ready
        self.is_stopping = is_stopping
        self.observe_call = observe_call

    def application(self) -> blacksheep.Application:
        """Returns the application that serves callers."""
        application = blacksheep.Application(router=routes.Router())

        async def handle(request: blacksheep.Request) -> blacksheep.Response:
            started_at_s = time.monotonic()
            response = await self._handle_or_log(request)
            duration_s = time.monotonic() - started_at_s
            self.observe_call(request.method, response.status, duration_s)
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

    async def _handle_or_log(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        """Handles a call; an unexpected error is logged and returns 504.

        The status says that the effect of the call is unknown.
        """
        try:
            return await self._handle(request)
        except blacksheep.exceptions.MessageAborted:
            # The body has not arrived as a whole, and nobody reads the answer.
            return _empty_response(400)
        except asyncio.CancelledError:
            # The server ends the calls that are left when it stops. What they
            # have sent to the store may take effect.
            return _empty_response(504)
        except Exception as error:
            observability.log_event(
                "error",
                part="front",
                method=request.method,
                path=request.url.path.decode("latin-1"),
                **supervision.describe_error(error),
            )
            return _empty_response(504)

    async def _handle(self, request: blacksheep.Request) -> blacksheep.Response:
        configuration = self.configuration_watcher.configuration
        if configuration is None:
            return self._refused_response()
        path = request.url.path.decode("latin-1")
        queue = configuration.match(_host(request), path)
        if queue is None:
            return _empty_response(404)
        account: AccountId | None = None
        if not queue.is_public:
            account = configuration.account_of(_api_key(request))
            if account is None:
                return _empty_response(
                    401 if self.gateway.has_fresh_configuration else 503
                )
            if not self.gateway.has_fresh_configuration:
                return self._refused_response()
        response = await self._dispatch(
            request, queue, account, path.removeprefix(queue.prefix)
        )
        is_served = response.status < 300
        if (
            is_served
            and account is not None
            and not self.gateway.has_fresh_configuration
        ):
            # The key may have been revoked while the call was in progress.
            return _empty_response(504)
        return response

    async def _dispatch(
        self,
        request: blacksheep.Request,
        queue: routing.Queue,
        account: AccountId | None,
        path_suffix: str,
    ) -> blacksheep.Response:
        timeout_s = _timeout_s(request)
        if not path_suffix and request.method == "GET":
            count = await self.gateway.count_waiting(queue, timeout_s=timeout_s)
            if count.outcome is not CallOutcome.ACCEPTED:
                return self._outcome_response(count.outcome)
            return http.json_response(200, {"pending": count.waiting})
        if not _JOB_ID.fullmatch(path_suffix):
            return _error_response(
                400, "the id must have 16 hexadecimal digits"
            )
        job = JobId(path_suffix)
        if request.method == "POST":
            return await self._submit(request, queue, account, job, timeout_s)
        if request.method == "DELETE":
            outcome = await self.gateway.cancel(
                job=job, account=account, timeout_s=timeout_s
            )
            return self._outcome_response(outcome)
        result = await self.gateway.state(
            job=job, account=account, timeout_s=timeout_s
        )
        if result.state is None:
            return self._outcome_response(result.outcome)
        return http.json_response(200, {"state": _STATE_NAMES[result.state]})

    async def _submit(
        self,
        request: blacksheep.Request,
        queue: routing.Queue,
        account: AccountId | None,
        job: JobId,
        timeout_s: float,
    ) -> blacksheep.Response:
        configuration = self.configuration_watcher.configuration
        max_body_bytes = configuration.max_body_bytes if configuration else 0
        try:
            body = await http.read_body(
                request, max_bytes=max_body_bytes or DEFAULT_MAX_BODY_BYTES
            )
            spec = _submission.decode_submission(body)
        except http.BodyTooLargeError as error:
            return _error_response(413, str(error))
        except MalformedError as error:
            return _error_response(400, str(error))
        if queue.needs_advice:
            return _error_response(503, "queues with advice are not offered")
        result = await self.gateway.submit(
            job=job,
            queue=queue,
            account=account or AccountId(""),
            spec=spec,
            timeout_s=timeout_s,
        )
        if _STATUS_BY_OUTCOME[result.outcome] == 503:
            return _retry_response(result.retry_after_s)
        return self._outcome_response(result.outcome)

    def _outcome_response(self, outcome: CallOutcome) -> blacksheep.Response:
        if outcome is CallOutcome.REFUSED:
            return self._refused_response()
        return _empty_response(_STATUS_BY_OUTCOME[outcome])

    def _refused_response(self) -> blacksheep.Response:
        return _retry_response(self.gateway.retry_after_s)


_STATE_NAMES = {
    jobs.JobState.QUEUED: "queued",
    jobs.JobState.RUNNING: "running",
    jobs.JobState.COMPLETED: "completed",
    jobs.JobState.FAILED: "failed",
    jobs.JobState.CANCELLED: "cancelled",
}


def _host(request: blacksheep.Request) -> str:
    value = request.get_first_header(b"host") or b""
    return value.decode("latin-1").partition(":")[0]


def _api_key(request: blacksheep.Request) -> str:
    value = request.get_first_header(b"authorization") or b""
    return value.decode("latin-1").removeprefix(_AUTHORIZATION_SCHEME)


def _timeout_s(request: blacksheep.Request) -> float:
    value = request.get_first_header(b"deadline-ms") or b""
    text = value.decode("latin-1")
    timeout_ms = DEFAULT_TIMEOUT_MS
    if text.isdecimal() and len(text) < len(str(TIMEOUT_LIMIT_MS)):
        timeout_ms = int(text)
    return max(0.05, timeout_ms * TIMEOUT_FRACTION / 1000.0)


def _empty_response(status: int) -> blacksheep.Response:
    return http.json_response(status, {})


def _retry_response(retry_after_s: int) -> blacksheep.Response:
    response = _empty_response(503)
    response.add_header(b"retry-after", str(retry_after_s).encode())
    return response


def _error_response(status: int, reason: str) -> blacksheep.Response:
    return http.json_response(status, {"error": reason})
