"""Request path: connections, balancing, ejection, slots and limits."""

from magnoliaglade.requests._balancer import (
    Balancer,
    Candidate,
    PowerOfTwoBalancer,
    RandomBalancer,
    RoundRobinBalancer,
    UpstreamLoads,
)
from magnoliaglade.requests._connection import (
    UpstreamConnection,
    UpstreamRequest,
    UpstreamResponse,
    open_connection,
)
from magnoliaglade.requests._ejection import OutlierEjector, UpstreamHealth
from magnoliaglade.requests._errors import (
    AdmissionRefusedError,
    NoProgressError,
    NoSlotError,
    NotSentError,
    OutcomeUnknownError,
    RequestsError,
    SlotLapsedError,
    UpstreamRefusedError,
)
from magnoliaglade.requests._limits import (
    AccountLimiter,
    FairQueue,
    ServiceTimeEstimator,
    Ticket,
)
from magnoliaglade.requests._pool import ConnectionPool
from magnoliaglade.requests._retries import RetryBudget, backoff_s
from magnoliaglade.requests._slot_holder import HeldSlot, SlotHolder
from magnoliaglade.requests._slots import (
    SlotCoordinator,
    SlotGrant,
    SlotRequest,
    SlotReturn,
    coordinator_of,
)
from magnoliaglade.requests._upstreams import UpstreamDirectory

__all__ = [
    "AccountLimiter",
    "AdmissionRefusedError",
    "Balancer",
    "Candidate",
    "ConnectionPool",
    "FairQueue",
    "HeldSlot",
    "NoProgressError",
    "NoSlotError",
    "NotSentError",
    "OutcomeUnknownError",
    "OutlierEjector",
    "PowerOfTwoBalancer",
    "RandomBalancer",
    "RequestsError",
    "RetryBudget",
    "RoundRobinBalancer",
    "ServiceTimeEstimator",
    "SlotCoordinator",
    "SlotGrant",
    "SlotHolder",
    "SlotLapsedError",
    "SlotRequest",
    "SlotReturn",
    "Ticket",
    "UpstreamConnection",
    "UpstreamDirectory",
    "UpstreamHealth",
    "UpstreamLoads",
    "UpstreamRefusedError",
    "UpstreamRequest",
    "UpstreamResponse",
    "backoff_s",
    "coordinator_of",
    "open_connection",
]
