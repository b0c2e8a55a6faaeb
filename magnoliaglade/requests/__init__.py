"""Requests: claims on non-idempotent requests and the gateway."""

from magnoliaglade.requests._admission import BudgetedRetries, SlotAdmission
from magnoliaglade.requests._answers import AnswerMatcher
from magnoliaglade.requests._auth import authenticate
from magnoliaglade.requests._causes import NotRunCause
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
from magnoliaglade.requests._dispatch import UpstreamDispatcher
from magnoliaglade.requests._errors import (
    AuthenticationError,
    NotSentError,
    OutcomeUnknownError,
    RefusedError,
    RequestError,
)
from magnoliaglade.requests._gateway import Gateway, GatewayState
from magnoliaglade.requests._limits import (
    AccountLimiter,
    FairQueue,
    ServiceTimeEstimator,
    Ticket,
)
from magnoliaglade.requests._outcome import (
    CallerRequest,
    NotRun,
    Outcome,
    Ran,
    Unknown,
)
from magnoliaglade.requests._retries import RetryBudget, backoff_s
from magnoliaglade.requests._steps import RequestStep
from magnoliaglade.requests.base import (
    Admission,
    ConfigurationSource,
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
    "AccountLimiter",
    "Admission",
    "AnswerMatcher",
    "AuthenticationError",
    "BudgetedRetries",
    "CallerRequest",
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
    "ConfigurationSource",
    "Dispatcher",
    "FairQueue",
    "Gateway",
    "GatewayState",
    "NotRun",
    "NotRunCause",
    "NotSentError",
    "Outcome",
    "OutcomeUnknownError",
    "Ran",
    "RefusedError",
    "ReplyState",
    "RequestError",
    "RequestStep",
    "RetryBudget",
    "RetryPolicy",
    "ServiceTimeEstimator",
    "SlotAdmission",
    "Ticket",
    "Unknown",
    "UpstreamDispatcher",
    "UpstreamRequest",
    "UpstreamResponse",
    "ViewSource",
    "authenticate",
    "backoff_s",
    "digest_body",
    "digest_key",
    "partition_of",
]
