"""The requester's side of claims: asks for a claim and reports its outcome."""

import asyncio
import dataclasses
import enum
from typing import Any

import msgpack

from magnoliaglade import base, peers
from magnoliaglade import clock as clock_lib
from magnoliaglade.requests import _causes, _claims
from magnoliaglade.requests import _claim_messages as messages
from magnoliaglade.requests import base as requests_base
from magnoliaglade.types import AccountId, IdempotencyKey, RequestId

# Largest answer that is kept with an outcome.
ANSWER_KEPT_BYTES = 4096
# One exchange with an owner; a lost reply costs at most this much of the
# deadline, and the same claim is then asked for again.
_EXCHANGE_S = 1.0
_RETRY_PAUSE_S = 0.1
_REPORT_PAUSE_S = 0.5
# A failed owner is replaced within 5 s; after that the store is out.
OWNER_PATIENCE_S = 5.5
# Time that `stop` allows for outcomes that are not stored yet.
REPORT_DRAIN_S = 5.0


class ClaimStatus(enum.Enum):
    """What a requester may do after it has asked for a claim.

    GRANTED alone permits a dispatch. KNOWN carries the outcome of an earlier
    attempt. UNAVAILABLE means that this attempt holds no claim and does not
    run. UNDECIDED means that another attempt of the key may run or have run.
    """

    GRANTED = "granted"
    KNOWN = "known"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNDECIDED = "undecided"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimSpec:
    """What is claimed.

    Attributes:
        request_id: unique per attempt of a caller.
        account: the authenticated client account.
        key: the caller's idempotency key.
        body_digest: from `digest_body`.
    """

    request_id: RequestId
    account: AccountId
    key: IdempotencyKey
    body_digest: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimDecision:
    """Result of asking for a claim.

    Attributes:
        status: what the requester may do.
        result: outcome of the earlier attempt, with KNOWN.
        response: its kept answer, or None.
        covers_key: with UNAVAILABLE, whether the owner confirmed that no
            other attempt holds the key, or can still claim it.
        reason: with UNAVAILABLE, what was lacking.
        cause: with UNAVAILABLE, the kind of reason.
    """

    status: ClaimStatus
    result: messages.ClaimResult | None = None
    response: requests_base.UpstreamResponse | None = None
    covers_key: bool = False
    reason: str = ""
    cause: _causes.NotRunCause = _causes.NotRunCause.UNAVAILABLE


@dataclasses.dataclass(kw_only=True)
class _Progress:
    """What one call of `claim` has learned.

    Attributes:
        may_be_stored: an owner may hold a claim of this attempt.
        saw_other: another attempt of the key was in progress.
        last: the last reply, or None if the last exchange failed.
    """

    may_be_stored: bool = False
    saw_other: bool = False
    last: messages.ClaimReply | None = None


class ClaimsClient(base.Component):
    """Asks partition owners for claims on behalf of one instance."""

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        network: peers.PeerNetwork,
        service: _claims.ClaimService,
        incarnation: str,
    ) -> None:
        self.clock = clock
        self.network = network
        self.service = service
        self.incarnation = incarnation
        self._reports: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Checks the parameters."""
        self.validate_params()

    async def stop(self) -> None:
        """Waits a bounded time until every outcome is stored."""
        if self._reports:
            timer = asyncio.create_task(self.clock.sleep(REPORT_DRAIN_S))
            reports = asyncio.gather(*self._reports, return_exceptions=True)
            await asyncio.wait(
                {timer, reports}, return_when=asyncio.FIRST_COMPLETED
            )
            timer.cancel()
            reports.cancel()
            await asyncio.gather(*self._reports, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Returns the number of outcomes that are not stored yet."""
        return {"unstored_outcomes": len(self._reports)}

    async def claim(
        self, spec: ClaimSpec, *, deadline_s: float
    ) -> ClaimDecision:
        """Asks for a claim until it is decided or the deadline has passed.

        Unless the result is GRANTED the attempt must not be dispatched, and
        what an owner may hold for it is released.

        Args:
            spec: what is claimed.
            deadline_s: on the monotonic clock.
        """
        progress = _Progress()
        is_granted = False
        try:
            decision = await self._ask(spec, progress, deadline_s)
            is_granted = decision.status is ClaimStatus.GRANTED
            return decision
        finally:
            if progress.may_be_stored and not is_granted:
                self.report(spec, messages.ClaimResult.NOT_RUN)

    def report(
        self,
        spec: ClaimSpec,
        result: messages.ClaimResult,
        response: requests_base.UpstreamResponse | None = None,
    ) -> None:
        """Stores an outcome in the background, repeating until it is in."""
        key_digest = messages.digest_key(spec.account, spec.key)
        outcome = messages.ClaimOutcome(
            partition=messages.partition_of(key_digest),
            key_digest=key_digest,
            request_id=spec.request_id,
            outcome=result.value,
            answer=_encode_answer(response),
        )
        task = asyncio.create_task(self._deliver(outcome))
        self._reports.add(task)
        task.add_done_callback(self._reports.discard)

    async def _ask(
        self, spec: ClaimSpec, progress: _Progress, deadline_s: float
    ) -> ClaimDecision:
        started_s = self.clock.now()
        while (remaining_s := deadline_s - self.clock.now()) > 0:
            begun_s = self.clock.now()
            await self._exchange(spec, progress, min(remaining_s, _EXCHANGE_S))
            if self.clock.now() >= deadline_s:
                break
            decision = _decide(progress)
            if decision is not None:
                return decision
            waited_s = self.clock.now() - started_s
            if waited_s >= OWNER_PATIENCE_S and _is_refused(progress):
                break
            # An owner that waits for the key's other attempt has paused
            # already; only an immediate answer needs a pause here.
            await self._sleep_until(min(begun_s + _RETRY_PAUSE_S, deadline_s))
        return _give_up(progress)

    async def _sleep_until(self, end_s: float) -> None:
        delay_s = end_s - self.clock.now()
        if delay_s > 0:
            await self.clock.sleep(delay_s)

    async def _exchange(
        self, spec: ClaimSpec, progress: _Progress, timeout_s: float
    ) -> None:
        progress.last = None
        request = self._make_request(spec, timeout_s)
        owner = self.service.owner_of(request.partition)
        if owner is None:
            return
        could_be_stored = progress.may_be_stored
        # Set before the call, so that a cancelled call is released as well.
        progress.may_be_stored = True
        try:
            reply = await self.network.request(
                owner, request, timeout_s=timeout_s
            )
        except (peers.PeerUnreachableError, peers.PeerRefusedError):
            progress.may_be_stored = could_be_stored
            return
        except peers.PeerError:
            return
        progress.last = reply
        state = messages.ReplyState(reply.state)
        is_stored = reply.is_stored or state is messages.ReplyState.GRANTED
        progress.may_be_stored = could_be_stored or is_stored
        if state is messages.ReplyState.DUPLICATE:
            progress.saw_other = True

    def _make_request(
        self, spec: ClaimSpec, timeout_s: float
    ) -> messages.ClaimRequest:
        key_digest = messages.digest_key(spec.account, spec.key)
        return messages.ClaimRequest(
            partition=messages.partition_of(key_digest),
            account=spec.account,
            key_digest=key_digest,
            body_digest=spec.body_digest,
            request_id=spec.request_id,
            incarnation=self.incarnation,
            deadline_s=timeout_s,
        )

    async def _deliver(self, outcome: messages.ClaimOutcome) -> None:
        while True:
            owner = self.service.owner_of(outcome.partition)
            if owner is not None and await self._is_stored(owner, outcome):
                return
            await self.clock.sleep(_REPORT_PAUSE_S)

    async def _is_stored(
        self, owner: Any, outcome: messages.ClaimOutcome
    ) -> bool:
        try:
            reply = await self.network.request(
                owner, outcome, timeout_s=_EXCHANGE_S
            )
        except peers.PeerError:
            return False
        return reply.is_stored


def _decide(progress: _Progress) -> ClaimDecision | None:
    """Returns the decision of the last reply, or None if it has none."""
    reply = progress.last
    if reply is None:
        return None
    state = messages.ReplyState(reply.state)
    if state is messages.ReplyState.GRANTED:
        return ClaimDecision(status=ClaimStatus.GRANTED)
    if state is messages.ReplyState.CONFLICT:
        return ClaimDecision(status=ClaimStatus.CONFLICT)
    if state is messages.ReplyState.DUPLICATE and reply.outcome:
        return ClaimDecision(
            status=ClaimStatus.KNOWN,
            result=messages.ClaimResult(reply.outcome),
            response=_decode_answer(reply.answer),
        )
    is_new = reply.is_first and not progress.may_be_stored
    if is_new and not progress.saw_other:
        return _unavailable(reply)
    return None


def _is_refused(progress: _Progress) -> bool:
    return not (progress.may_be_stored or progress.saw_other)


def _give_up(progress: _Progress) -> ClaimDecision:
    reply = progress.last
    if reply is not None and reply.state == messages.ReplyState.GRANTED.value:
        return ClaimDecision(
            status=ClaimStatus.UNAVAILABLE,
            covers_key=True,
            reason="claim was granted after the deadline",
            cause=_causes.NotRunCause.DEADLINE,
        )
    if reply is not None and reply.is_first and not progress.saw_other:
        return _unavailable(reply)
    if _is_refused(progress):
        return _unavailable(reply)
    return ClaimDecision(status=ClaimStatus.UNDECIDED)


def _unavailable(reply: messages.ClaimReply | None) -> ClaimDecision:
    if reply is None:
        return ClaimDecision(
            status=ClaimStatus.UNAVAILABLE, reason="no claim owner is reachable"
        )
    causes = _causes.NotRunCause
    return ClaimDecision(
        status=ClaimStatus.UNAVAILABLE,
        covers_key=reply.is_first and not reply.is_out,
        reason=reply.reason,
        cause=causes.OVERLOADED if reply.is_full else causes.UNAVAILABLE,
    )


def _encode_answer(
    response: requests_base.UpstreamResponse | None,
) -> bytes | None:
    if response is None:
        return None
    answer = msgpack.packb([response.status, response.headers, response.body])
    return answer if len(answer) <= ANSWER_KEPT_BYTES else None


def _decode_answer(
    answer: bytes | None,
) -> requests_base.UpstreamResponse | None:
    if answer is None:
        return None
    status, headers, body = msgpack.unpackb(answer)
    return requests_base.UpstreamResponse(
        status=status, headers=tuple((n, v) for n, v in headers), body=body
    )
