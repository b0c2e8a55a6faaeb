"""Messages about claims between entry instances, and digests of keys."""

import dataclasses
import enum
import hashlib

from magnoliaglade import peers
from magnoliaglade.types import AccountId, IdempotencyKey, RequestId

CLAIM_PARTITIONS = 8


class ReplyState(enum.Enum):
    """How the owner of a partition answers a claim request."""

    GRANTED = "granted"
    DUPLICATE = "duplicate"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"


class ClaimResult(enum.Enum):
    """How a claimed request ended."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimRequest(peers.Message):
    """Asks for the right to dispatch a request.

    Repeating it with the same request id is harmless.

    Attributes:
        partition: partition of the key.
        account: client account.
        key_digest: digest of account and idempotency key.
        body_digest: digest of service, kind and body.
        request_id: id of the caller's attempt.
        incarnation: incarnation of the sending instance.
        deadline_s: remaining time, in seconds, for the owner to reply.
    """

    partition: int
    account: AccountId
    key_digest: bytes
    body_digest: bytes
    request_id: RequestId
    incarnation: str
    deadline_s: float


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimReply(peers.Message):
    """Answer to a `ClaimRequest`.

    Attributes:
        state: value of a `ReplyState`.
        outcome: value of a `ClaimResult` for a finished duplicate; empty for
            a duplicate that is still in progress.
        answer: kept answer of a duplicate that ran, or None.
        is_first: with state unavailable, whether the owner knows that no
            other attempt holds the key.
        is_stored: with state unavailable, whether the claim may be in the log.
        reason: with state unavailable, what the owner lacks.
        is_full: with state unavailable, whether it holds too many claims.
        is_out: with state unavailable, whether the store did not answer, so
            that an attempt waiting elsewhere may claim the key later.
    """

    state: str
    outcome: str = ""
    answer: bytes | None = None
    is_first: bool = False
    is_stored: bool = False
    reason: str = ""
    is_full: bool = False
    is_out: bool = False


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimOutcome(peers.Message):
    """Reports how a claimed request ended.

    Attributes:
        partition: partition of the key.
        key_digest: digest of account and idempotency key.
        request_id: id of the attempt that holds the claim.
        outcome: value of a `ClaimResult`.
        answer: encoded answer of at most `ANSWER_KEPT_BYTES`, or None.
    """

    partition: int
    key_digest: bytes
    request_id: RequestId
    outcome: str
    answer: bytes | None = None


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimAck(peers.Message):
    """Answer to a `ClaimOutcome`; a report that is not stored is repeated."""

    is_stored: bool


def digest_key(account: AccountId, key: IdempotencyKey) -> bytes:
    """Returns the digest under which a key is claimed."""
    return _digest(account.encode(), key.encode())


def digest_body(service: str, kind: str, body: bytes) -> bytes:
    """Returns the digest that tells requests with the same key apart."""
    return _digest(service.encode(), kind.encode(), body)


def partition_of(key_digest: bytes) -> int:
    """Returns the partition of a key."""
    return key_digest[0] % CLAIM_PARTITIONS


def domain_of(partition: int) -> str:
    """Returns the ownership domain and log name of a partition."""
    return f"claims.{partition}"


def _digest(*parts: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        # The length separates the parts, so ("ab", "c") and ("a", "bc") differ.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
