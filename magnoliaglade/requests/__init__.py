"""Requests: claims on non-idempotent requests and the gateway."""

from magnoliaglade.requests._claim_messages import (
    CLAIM_PARTITIONS,
    ClaimAck,
    ClaimOutcome,
    ClaimReply,
    ClaimRequest,
    ClaimResult,
    ReplyState,
    digest_body,
    digest_key,
    partition_of,
)
from magnoliaglade.requests._claim_table import CLAIM_RETENTION_S, ClaimState
from magnoliaglade.requests._claims import CLAIM_FLUSH_S, ClaimService
from magnoliaglade.requests._claims_client import (
    ANSWER_KEPT_BYTES,
    ClaimDecision,
    ClaimsClient,
    ClaimSpec,
    ClaimStatus,
)
from magnoliaglade.requests._errors import (
    AuthenticationError,
    NotSentError,
    OutcomeUnknownError,
    RefusedError,
    RequestError,
)
from magnoliaglade.requests.base import (
    Admission,
    Dispatcher,
    RetryPolicy,
    UpstreamRequest,
    UpstreamResponse,
    ViewSource,
)

__all__ = [
    "ANSWER_KEPT_BYTES",
    "CLAIM_FLUSH_S",
    "CLAIM_PARTITIONS",
    "CLAIM_RETENTION_S",
    "Admission",
    "AuthenticationError",
    "ClaimAck",
    "ClaimDecision",
    "ClaimOutcome",
    "ClaimReply",
    "ClaimRequest",
    "ClaimResult",
    "ClaimService",
    "ClaimSpec",
    "ClaimState",
    "ClaimStatus",
    "ClaimsClient",
    "Dispatcher",
    "NotSentError",
    "OutcomeUnknownError",
    "RefusedError",
    "ReplyState",
    "RequestError",
    "RetryPolicy",
    "UpstreamRequest",
    "UpstreamResponse",
    "ViewSource",
    "digest_body",
    "digest_key",
    "partition_of",
]
