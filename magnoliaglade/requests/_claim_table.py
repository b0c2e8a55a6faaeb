"""State of one claim partition, rebuilt by applying the log's records."""

import dataclasses
import enum
import itertools
from collections.abc import Callable, Iterator
from typing import Any

import msgpack

from magnoliaglade.requests import _claim_messages as messages
from magnoliaglade.types import AccountId, InstanceId, RequestId

# A caller may retry a key for a day, including the night that nobody works.
CLAIM_RETENTION_S = 86_400.0
# A released attempt is remembered until no repeated claim request of it can
# still be on the network.
RELEASED_KEPT_S = 600.0
# Answers kept per partition. A full partition of 40,000 claims takes 21 MB
# without answers, so it stays below 32 MB with them.
MAX_ANSWERS_BYTES = 8_000_000

# Fields of a claim's record; its progress follows from other records.
_STORED_FIELDS = (
    "key_digest",
    "account",
    "body_digest",
    "request_id",
    "holder",
    "incarnation",
    "claimed_at_s",
)


class ClaimState(enum.Enum):
    """Progress of a claim.

    A claim is DISPATCHED as soon as it is stored and granted, because its
    holder may dispatch from then on; whether it did is not recorded.
    """

    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    FINISHED = "finished"


@dataclasses.dataclass(kw_only=True)
class Claim:
    """A claim on an idempotency key.

    Attributes:
        key_digest: digest of account and key.
        account: client account.
        body_digest: digest of service, kind and body.
        request_id: the attempt that holds the claim.
        holder: instance that may dispatch the attempt.
        incarnation: incarnation of the holder.
        claimed_at_s: wall time of the claim.
        state: progress; CLAIMED only while the record is being stored.
        is_in_doubt: a write of the record has an unknown outcome.
        result: how the request ended, once FINISHED.
        answer: encoded answer that is kept, or None.
    """

    key_digest: bytes
    account: AccountId
    body_digest: bytes
    request_id: RequestId
    holder: InstanceId
    incarnation: str
    claimed_at_s: float
    state: ClaimState = ClaimState.CLAIMED
    is_in_doubt: bool = False
    result: messages.ClaimResult | None = None
    answer: bytes | None = None


class ClaimTable:
    """Claims by key digest, and attempts that were released.

    An answer beyond `max_answers_bytes` is not kept; its outcome is.
    """

    def __init__(self, *, max_answers_bytes: int = MAX_ANSWERS_BYTES) -> None:
        self.max_answers_bytes = max_answers_bytes
        self._answers_bytes = 0
        self._claims: dict[bytes, Claim] = {}
        self._open: dict[bytes, Claim] = {}
        self._released: dict[RequestId, float] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def find(self, key_digest: bytes) -> Claim | None:
        """Returns the claim on a key."""
        return self._claims.get(key_digest)

    def is_released(self, request_id: RequestId) -> bool:
        """Whether the attempt has given its claim up for good."""
        return request_id in self._released

    def open_claims(self) -> list[Claim]:
        """Returns the claims that have no outcome."""
        return list(self._open.values())

    def add(self, claim: Claim) -> None:
        """Adds a claim on a key that has none."""
        self._claims[claim.key_digest] = claim
        self._open[claim.key_digest] = claim

    def discard(self, claim: Claim) -> None:
        """Removes a claim that is known not to be in the log."""
        if self._claims.get(claim.key_digest) is claim:
            del self._claims[claim.key_digest]
            del self._open[claim.key_digest]

    def finish(
        self, outcome: messages.ClaimOutcome, *, at_s: float
    ) -> Claim | None:
        """Applies an outcome; returns the claim that it changed.

        A later `ran` replaces `unknown`, because the holder may only have been
        paused. Nothing else replaces an outcome.
        """
        result = messages.ClaimResult(outcome.outcome)
        claim = self._claims.get(outcome.key_digest)
        if claim is None or claim.request_id != outcome.request_id:
            if result is messages.ClaimResult.NOT_RUN:
                self._released[outcome.request_id] = at_s
            return None
        if not accepts(claim, result):
            return None
        self._open.pop(outcome.key_digest, None)
        if result is messages.ClaimResult.NOT_RUN:
            self._released[outcome.request_id] = at_s
            return self._claims.pop(outcome.key_digest)
        claim.state = ClaimState.FINISHED
        claim.result = result
        self._keep_answer(claim, outcome.answer)
        return claim

    def expire(self, now_s: float, *, limit: int | None = None) -> int:
        """Forgets the oldest entries past their retention.

        Entries are in the order in which they were added. One that was added
        early under a clock that was ahead delays those behind it, by no more
        than the clocks differ.

        Args:
            now_s: wall time.
            limit: largest number of claims and of released attempts to forget.

        Returns:
            The number of claims that were forgotten.
        """
        claims = _leading(
            self._claims,
            lambda c: c.claimed_at_s + CLAIM_RETENTION_S <= now_s,
            limit,
        )
        for key in claims:
            self._answers_bytes -= len(self._claims.pop(key).answer or b"")
            self._open.pop(key, None)
        released = _leading(
            self._released, lambda at_s: at_s + RELEASED_KEPT_S <= now_s, limit
        )
        for request_id in released:
            del self._released[request_id]
        return len(claims)

    def apply(self, record: bytes) -> None:
        """Applies one record of the log."""
        kind, fields = msgpack.unpackb(record)
        if kind == "claim":
            self._apply_claim(Claim(**fields, state=ClaimState.DISPATCHED))
            return
        at_s = fields.pop("at_s")
        self.finish(
            messages.ClaimOutcome(partition=0, **fields),
            at_s=at_s,
        )

    def snapshot(self) -> Iterator[bytes]:
        """Yields records that reproduce what may be in the log.

        A claim that is still being stored is left out: its write may yet be
        refused, and the claim is then dropped. Between two records claims may
        be added, but nothing else may change.
        """
        for claim in list(self._claims.values()):
            is_new = claim.state is ClaimState.CLAIMED
            if is_new and not claim.is_in_doubt:
                continue
            yield encode_claim(claim)
            if claim.result is not None:
                yield _encode_result(claim)
        for request_id, at_s in list(self._released.items()):
            released = messages.ClaimOutcome(
                partition=0,
                key_digest=b"",
                request_id=request_id,
                outcome=messages.ClaimResult.NOT_RUN.value,
            )
            yield encode_outcome(released, at_s=at_s)

    def _keep_answer(self, claim: Claim, answer: bytes | None) -> None:
        size = len(answer or b"")
        if self._answers_bytes + size <= self.max_answers_bytes:
            claim.answer = answer
            self._answers_bytes += size

    def _apply_claim(self, claim: Claim) -> None:
        # A claim whose first write was in doubt may be in the log twice.
        if claim.key_digest in self._claims:
            return
        if claim.request_id not in self._released:
            self.add(claim)


def encode_claim(claim: Claim) -> bytes:
    """Encodes a claim without its progress as a log record."""
    fields = {n: getattr(claim, n) for n in _STORED_FIELDS}
    return _pack("claim", fields)


def encode_outcome(outcome: messages.ClaimOutcome, *, at_s: float) -> bytes:
    """Encodes an outcome with its wall time as a log record."""
    fields = dataclasses.asdict(outcome)
    del fields["partition"]
    return _pack("outcome", {**fields, "at_s": at_s})


def _encode_result(claim: Claim) -> bytes:
    assert claim.result is not None
    outcome = messages.ClaimOutcome(
        partition=0,
        key_digest=claim.key_digest,
        request_id=claim.request_id,
        outcome=claim.result.value,
        answer=claim.answer,
    )
    return encode_outcome(outcome, at_s=claim.claimed_at_s)


def accepts(claim: Claim, result: messages.ClaimResult) -> bool:
    """Whether a result may replace what the claim holds."""
    if claim.state is not ClaimState.FINISHED:
        return True
    return (
        claim.result is messages.ClaimResult.UNKNOWN
        and result is messages.ClaimResult.RAN
    )


def _leading(
    entries: dict[Any, Any],
    is_expired: Callable[[Any], bool],
    limit: int | None,
) -> list[Any]:
    """Returns the keys of the expired entries at the start."""
    first = itertools.islice(entries.items(), limit)
    expired = itertools.takewhile(lambda item: is_expired(item[1]), first)
    return [key for key, _ in expired]


def _pack(kind: str, fields: dict[str, Any]) -> bytes:
    return msgpack.packb([kind, fields])
