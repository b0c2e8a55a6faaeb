"""Request path: connections, balancing, ejection, slots and limits."""

from magnoliaglade.requests._connection import (
    UpstreamConnection,
    UpstreamRequest,
    UpstreamResponse,
    open_connection,
)
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
from magnoliaglade.requests._pool import ConnectionPool

__all__ = [
    "AdmissionRefusedError",
    "ConnectionPool",
    "NoProgressError",
    "NoSlotError",
    "NotSentError",
    "OutcomeUnknownError",
    "RequestsError",
    "SlotLapsedError",
    "UpstreamConnection",
    "UpstreamRefusedError",
    "UpstreamRequest",
    "UpstreamResponse",
    "open_connection",
]
