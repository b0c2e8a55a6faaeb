"""Takes callers' requests through every step to a typed outcome."""

import asyncio
import collections
import dataclasses
import enum
import itertools
from typing import Any

from magnoliaglade import base
from magnoliaglade import clock as clock_lib
from magnoliaglade.requests import (
    _answers,
    _causes,
    _claim_messages,
    _claims_client,
    _errors,
    _outcome,
    _screening,
)
from magnoliaglade.requests import base as requests_base
from magnoliaglade.types import IdempotencyKey, InstanceId, RequestId

# A dispatcher that observes the deadline itself can tell `not run` from
# `unknown`; the gateway intervenes only this much later.
_DISPATCH_GRACE_S = 0.1

_Cause = _causes.NotRunCause


class GatewayState(enum.Enum):
    """Whether the gateway accepts requests."""

    NEW = "new"
    RUNNING = "running"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclasses.dataclass(kw_only=True)
class _Flight:
    """A request in progress.

    Attributes:
        request: as it is sent to an upstream.
        spec: the claim it needs; None for an idempotent request.
        is_sending: a dispatch is in progress.
        may_have_run: an earlier dispatch had an unknown outcome.
        has_claim: the claim was granted to this attempt.
        task: takes the request through its steps.
    """

    request: requests_base.UpstreamRequest
    spec: _claims_client.ClaimSpec | None
    is_sending: bool = False
    may_have_run: bool = False
    has_claim: bool = False
    task: asyncio.Task[None] | None = None


class Gateway(base.Component):
    """Authenticates, limits, admits, claims and dispatches requests.

    A request that was dispatched goes on when its caller disconnects, so that
    the outcome of its claim is stored; one that was not is given up.
    """

    _parameter_constraints = {
        "max_in_progress": [base.Interval(kind=int, low=1)],
    }

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        instance: InstanceId,
        configurations: requests_base.ConfigurationSource,
        admission: requests_base.Admission,
        claims: _claims_client.ClaimsClient,
        dispatcher: requests_base.Dispatcher,
        retries: requests_base.RetryPolicy,
        max_in_progress: int = 1000,
    ) -> None:
        self.clock = clock
        self.instance = instance
        self.configurations = configurations
        self.admission = admission
        self.claims = claims
        self.dispatcher = dispatcher
        self.retries = retries
        self.max_in_progress = max_in_progress
        self.counters: collections.Counter[str] = collections.Counter()
        self._state = GatewayState.NEW
        self._numbers = itertools.count(1)
        self._flights: dict[RequestId, _Flight] = {}
        self._answers: _answers.AnswerMatcher[_outcome.Outcome] = (
            _answers.AnswerMatcher()
        )

    @property
    def state(self) -> GatewayState:
        """Whether requests are accepted."""
        return self._state

    async def start(self) -> None:
        """Accepts requests from now on."""
        self.validate_params()
        self._state = GatewayState.RUNNING

    async def stop(self, *, force: bool = False) -> None:
        """Refuses new requests and returns when none is in progress.

        Args:
            force: answer every caller at once instead of finishing its
                request; a call that waits for the requests then returns too.
        """
        self._state = GatewayState.DRAINING
        if force:
            for flight in list(self._flights.values()):
                self._interrupt(flight)
        tasks = [f.task for f in self._flights.values() if f.task]
        if tasks:
            # Unlike `gather`, `wait` leaves the requests alone when the caller
            # of `stop` is cancelled.
            await asyncio.wait(tasks)
        self._state = GatewayState.STOPPED

    def dump(self) -> dict[str, Any]:
        """Returns state, requests in progress, outcomes, dropped answers."""
        return {
            "state": self._state.value,
            "in_progress": len(self._flights),
            "outcomes": dict(self.counters),
            "answers": self._answers.dump(),
        }

    async def handle(self, request: _outcome.CallerRequest) -> _outcome.Outcome:
        """Returns the outcome of a caller's request."""
        request_id = self._next_id()
        try:
            flight = self._accept(request_id, request)
        except _errors.RequestError as error:
            self.counters["refused"] += 1
            return _outcome.NotRun(
                request_id=request_id, reason=str(error), cause=error.cause
            )
        answer = self._answers.expect(request_id)
        self._flights[request_id] = flight
        flight.task = asyncio.create_task(self._process(flight))
        try:
            return await asyncio.shield(answer)
        except asyncio.CancelledError:
            self._answers.abandon(request_id)
            raise

    def _accept(
        self, request_id: RequestId, request: _outcome.CallerRequest
    ) -> _Flight:
        """Screens a request; raises RequestError if it is refused."""
        if self._state is not GatewayState.RUNNING:
            is_new = self._state is GatewayState.NEW
            raise _errors.RefusedError(
                f"gateway is {self._state.value}",
                cause=_Cause.UNAVAILABLE if is_new else _Cause.STOPPING,
            )
        screened = _screening.screen(self.configurations.configuration, request)
        if len(self._flights) >= self.max_in_progress:
            raise _errors.RefusedError(
                "too many requests in progress", cause=_Cause.OVERLOADED
            )
        upstream_request = requests_base.UpstreamRequest(
            request_id=request_id,
            account=screened.account,
            service=request.service,
            kind=request.kind,
            body=request.body,
            headers=request.headers,
            deadline_s=self.clock.now() + screened.timeout_s,
            idempotent=screened.kind.idempotent,
            progress_timeout_s=screened.kind.progress_timeout_s,
        )
        return _Flight(
            request=upstream_request,
            spec=_make_spec(upstream_request, request.key),
        )

    async def _process(self, flight: _Flight) -> None:
        request_id = flight.request.request_id
        outcome = None
        try:
            outcome = await self._admit(flight)
        except Exception as error:
            # A fault in an injected part must not leave the caller waiting.
            outcome = _interrupted(flight, f"internal error: {error!r}")
            self.counters["errors"] += 1
        finally:
            del self._flights[request_id]
            self._finish(flight, outcome)

    def _finish(
        self, flight: _Flight, outcome: _outcome.Outcome | None
    ) -> None:
        if outcome is None:
            is_running = self._state is GatewayState.RUNNING
            outcome = _interrupted(
                flight,
                "request was interrupted",
                _Cause.UNAVAILABLE if is_running else _Cause.STOPPING,
            )
        if self._answers.answer(flight.request.request_id, outcome):
            self.counters[type(outcome).__name__] += 1

    def _interrupt(self, flight: _Flight) -> None:
        """Answers a caller now; the task ends without another dispatch."""
        self._finish(flight, None)
        if flight.task is not None:
            flight.task.cancel()

    async def _admit(self, flight: _Flight) -> _outcome.Outcome:
        request = flight.request
        try:
            async with self.admission.admit(request):
                if flight.spec is None:
                    return await self._dispatch(flight)
                return await self._claim(flight, flight.spec)
        except _errors.RefusedError as error:
            return _interrupted(flight, str(error), error.cause)

    async def _claim(
        self, flight: _Flight, spec: _claims_client.ClaimSpec
    ) -> _outcome.Outcome:
        decision = await self.claims.claim(
            spec, deadline_s=flight.request.deadline_s
        )
        if decision.status is not _claims_client.ClaimStatus.GRANTED:
            return _outcome_of(decision, spec.request_id)
        flight.has_claim = True
        outcome = None
        try:
            outcome = await self._dispatch(flight)
        finally:
            self._report(
                spec, outcome or _interrupted(flight, "request was interrupted")
            )
        return outcome

    async def _dispatch(self, flight: _Flight) -> _outcome.Outcome:
        """Dispatches until the request has run or may not be repeated."""
        self.retries.record_request()
        deadline_s = flight.request.deadline_s
        for attempt in itertools.count(1):
            outcome = await self._dispatch_once(flight)
            if isinstance(outcome, _outcome.Ran):
                return outcome
            if flight.may_have_run and not flight.request.idempotent:
                return outcome
            delay_s = self.retries.next_delay_s(attempt, deadline_s=deadline_s)
            if delay_s is None or self.clock.now() + delay_s >= deadline_s:
                return _interrupted(
                    flight,
                    outcome.reason,
                    getattr(outcome, "cause", _Cause.UNAVAILABLE),
                )
            await self.clock.sleep(delay_s)
        raise AssertionError("unreachable")

    async def _dispatch_once(self, flight: _Flight) -> _outcome.Outcome:
        request = flight.request
        remaining_s = request.deadline_s - self.clock.now()
        # A caller that was answered or has gone must not cause a run.
        if remaining_s <= 0 or not self._answers.is_waiting(request.request_id):
            return _interrupted(
                flight, "deadline or caller has gone", _Cause.DEADLINE
            )
        flight.is_sending = True
        try:
            response = await self.clock.wait_for(
                self.dispatcher.dispatch(request),
                remaining_s + _DISPATCH_GRACE_S,
            )
            self._answers.check(request, response)
        except _errors.NotSentError as error:
            flight.is_sending = False
            is_late = self.clock.now() >= request.deadline_s
            cause = _Cause.DEADLINE if is_late else error.cause
            return _interrupted(flight, str(error), cause)
        except (_errors.OutcomeUnknownError, TimeoutError) as error:
            flight.is_sending = False
            flight.may_have_run = True
            return _interrupted(flight, str(error))
        return _outcome.Ran(request_id=request.request_id, response=response)

    def _report(
        self, spec: _claims_client.ClaimSpec, outcome: _outcome.Outcome
    ) -> None:
        results = {
            _outcome.Ran: _claim_messages.ClaimResult.RAN,
            _outcome.NotRun: _claim_messages.ClaimResult.NOT_RUN,
            _outcome.Unknown: _claim_messages.ClaimResult.UNKNOWN,
        }
        response = getattr(outcome, "response", None)
        self.claims.report(spec, results[type(outcome)], response)

    def _next_id(self) -> RequestId:
        number = next(self._numbers)
        return RequestId(f"{self.instance}-{self.claims.incarnation}-{number}")


def _make_spec(
    request: requests_base.UpstreamRequest, key: IdempotencyKey | None
) -> _claims_client.ClaimSpec | None:
    if request.idempotent or key is None:
        return None
    return _claims_client.ClaimSpec(
        request_id=request.request_id,
        account=request.account,
        key=key,
        body_digest=_claim_messages.digest_body(
            request.service, request.kind, request.body
        ),
    )


def _interrupted(
    flight: _Flight,
    reason: str,
    cause: _causes.NotRunCause = _causes.NotRunCause.UNAVAILABLE,
) -> _outcome.NotRun | _outcome.Unknown:
    """Returns what is true of a request that goes no further."""
    request_id = flight.request.request_id
    if flight.is_sending or flight.may_have_run:
        return _outcome.Unknown(request_id=request_id, reason=reason)
    return _outcome.NotRun(
        request_id=request_id,
        reason=reason,
        cause=cause,
        covers_key=flight.has_claim,
    )


def _outcome_of(
    decision: _claims_client.ClaimDecision, request_id: RequestId
) -> _outcome.Outcome:
    """Translates a claim that was not granted."""
    status = decision.status
    if status is _claims_client.ClaimStatus.UNAVAILABLE:
        return _outcome.NotRun(
            request_id=request_id,
            reason=decision.reason,
            cause=decision.cause,
            covers_key=decision.covers_key,
        )
    if status is _claims_client.ClaimStatus.CONFLICT:
        return _outcome.NotRun(
            request_id=request_id,
            reason="key was used with another body",
            cause=_Cause.KEY_CONFLICT,
        )
    if decision.result is _claim_messages.ClaimResult.RAN:
        return _outcome.Ran(request_id=request_id, response=decision.response)
    return _outcome.Unknown(
        request_id=request_id, reason="another attempt of the key may have run"
    )
