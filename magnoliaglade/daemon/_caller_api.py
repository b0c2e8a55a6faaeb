"""HTTP interface for callers: requests to services, and jobs."""

import functools
from collections.abc import Callable, Mapping
from typing import Any

import blacksheep

from magnoliaglade import clock as clock_lib
from magnoliaglade import configuration, execution, http, requests
from magnoliaglade.daemon import _calls, _errors, _job_request, _jobs
from magnoliaglade.types import AccountId, IdempotencyKey

# Larger bodies are cut off while they are read; the limit of the kind of
# request is checked by the gateway.
MAX_BODY_BYTES = 16 * 1024 * 1024

# Headers that are the caller's business with this system alone.
_OWN_HEADERS = frozenset({"authorization", "idempotency-key", "host"})
# Set again for this connection, or valid for one hop only.
_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "transfer-encoding",
        "x-request-id",
    }
)

_STATUS = {
    requests.NotRunCause.UNAUTHENTICATED: 401,
    requests.NotRunCause.INVALID: 400,
    requests.NotRunCause.TOO_LARGE: 413,
    requests.NotRunCause.KEY_CONFLICT: 409,
    requests.NotRunCause.OVERLOADED: 429,
    requests.NotRunCause.DEADLINE: 503,
    requests.NotRunCause.UNAVAILABLE: 503,
    requests.NotRunCause.STOPPING: 503,
}


class CallerApi:
    """Serves requests and jobs."""

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        gateway: requests.Gateway,
        router: execution.JobRouter,
        configured: Callable[[], configuration.Configuration | None],
        is_accepting: Callable[[], bool],
    ) -> None:
        self.clock = clock
        self.gateway = gateway
        self.router = router
        self.configured = configured
        self.is_accepting = is_accepting

    def routes(self) -> Mapping[tuple[str, str], _calls.Handler]:
        """Returns the handlers by method and path."""
        handlers = {
            ("POST", "/v1/services/{service}/{kind}"): self._request,
            ("POST", "/v1/jobs"): self._submit,
            ("GET", "/v1/jobs"): self._list,
            ("GET", "/v1/jobs/{domain}/{job}"): self._status,
            ("DELETE", "/v1/jobs/{domain}/{job}"): self._cancel,
        }
        return {route: _translated(h) for route, h in handlers.items()}

    async def _request(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        if self.configured() is None:
            raise _errors.CallRefusedError("no configuration", status=503)
        body = await http.read_body(request, max_bytes=MAX_BODY_BYTES)
        outcome = await self.gateway.handle(
            requests.CallerRequest(
                service=request.route_values["service"],
                kind=request.route_values["kind"],
                authorization=_calls.header(request, b"authorization"),
                body=body,
                headers=_forwarded(request),
                key=_key(request),
                timeout_s=_timeout_s(request),
            )
        )
        return _answer(outcome)

    async def _submit(self, request: blacksheep.Request) -> blacksheep.Response:
        account = self._account(request)
        if not self.is_accepting():
            raise _errors.CallRefusedError("is stopping", status=503)
        fields = await _calls.read_json(request)
        job = _job_request.parse_job(fields)
        spec = _job_request.make_spec(
            job, account=account, now_s=self.clock.time()
        )
        found = await self.router.submit(
            spec, zones=job.zones, is_repeated=bool(job.submission_id)
        )
        return http.json_response(202, _jobs.job_row(found))

    async def _list(self, request: blacksheep.Request) -> blacksheep.Response:
        account = self._account(request)
        found = await self.router.list_jobs(account)
        rows = [_jobs.job_row(f) for f in found]
        return http.json_response(200, {"jobs": rows})

    async def _status(self, request: blacksheep.Request) -> blacksheep.Response:
        found = await self._find(request)
        return http.json_response(200, _jobs.job_row(found))

    async def _cancel(self, request: blacksheep.Request) -> blacksheep.Response:
        found = await self._find(request)
        cancelled = await self.router.cancel(found.domain, found.entry.job)
        return http.json_response(200, _jobs.job_row(cancelled))

    async def _find(self, request: blacksheep.Request) -> execution.FoundJob:
        """Returns the job of the path if it is the caller's own."""
        account = self._account(request)
        values = request.route_values
        domain, job = _jobs.split_job(f"{values['domain']}/{values['job']}")
        found = await self.router.status(domain, job)
        if found.entry.spec.gang.account != account:
            raise _errors.CallRefusedError("there is no such job", status=404)
        return found

    def _account(self, request: blacksheep.Request) -> AccountId:
        current = self.configured()
        if current is None:
            raise _errors.CallRefusedError("no configuration", status=503)
        try:
            return requests.authenticate(
                current, _calls.header(request, b"authorization")
            )
        except requests.AuthenticationError as error:
            raise _errors.CallRefusedError(str(error), status=401) from error


def _translated(handler: _calls.Handler) -> _calls.Handler:
    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        try:
            return await handler(request)
        except execution.UnknownJobError as error:
            return _calls.refusal(404, f"there is no such job: {error}")
        except execution.NotRunError as error:
            return _calls.refusal(503, str(error))
        except execution.OutcomeUnknownError as error:
            return http.json_response(
                504, {"outcome": "unknown", "reason": str(error)}
            )

    return _calls.answering(handle)


@functools.singledispatch
def _answer(outcome: Any) -> blacksheep.Response:
    raise TypeError(f"no answer for {type(outcome).__name__}")


@_answer.register
def _(outcome: requests.Ran) -> blacksheep.Response:
    headers = [
        (b"x-outcome", b"ran"),
        (b"x-request-id", str(outcome.request_id).encode()),
    ]
    response = outcome.response
    if response is None:
        # The answer was too large to be kept with the outcome.
        return blacksheep.Response(200, [*headers, (b"x-answer", b"not-kept")])
    passed = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers
        if name not in _HOP_HEADERS and name != "content-type"
    ]
    media_type = dict(response.headers).get("content-type", "")
    content = blacksheep.Content(
        (media_type or "application/octet-stream").encode("latin-1"),
        response.body,
    )
    return blacksheep.Response(response.status, [*headers, *passed], content)


@_answer.register
def _(outcome: requests.NotRun) -> blacksheep.Response:
    fields = {
        "outcome": "not run",
        "reason": outcome.reason,
        "cause": outcome.cause.value,
        "covers_key": outcome.covers_key,
    }
    status = _STATUS[outcome.cause]
    return _with_outcome(status, fields, b"not-run", outcome.request_id)


@_answer.register
def _(outcome: requests.Unknown) -> blacksheep.Response:
    fields = {"outcome": "unknown", "reason": outcome.reason}
    return _with_outcome(504, fields, b"unknown", outcome.request_id)


def _with_outcome(
    status: int, fields: dict[str, Any], outcome: bytes, request_id: str
) -> blacksheep.Response:
    response = http.json_response(status, fields)
    response.add_header(b"x-outcome", outcome)
    response.add_header(b"x-request-id", str(request_id).encode())
    return response


def _forwarded(request: blacksheep.Request) -> tuple[tuple[str, str], ...]:
    pairs = (
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in request.headers
    )
    dropped = _HOP_HEADERS | _OWN_HEADERS - {"idempotency-key"}
    return tuple((n, v) for n, v in pairs if n not in dropped)


def _key(request: blacksheep.Request) -> IdempotencyKey | None:
    value = _calls.header(request, b"idempotency-key")
    return IdempotencyKey(value) if value else None


def _timeout_s(request: blacksheep.Request) -> float | None:
    value = _calls.header(request, b"x-deadline-ms")
    if not value:
        return None
    try:
        return float(value) / 1000.0
    except ValueError as error:
        raise _errors.CallRefusedError(
            f"x-deadline-ms: found {value!r}, allowed is a number", status=400
        ) from error
