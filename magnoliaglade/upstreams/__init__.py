"""Upstream connections, load balancing, outlier ejection, slot leases."""

from magnoliaglade.upstreams._balancer import (
    Balancer,
    Candidate,
    PowerOfTwoBalancer,
    RandomBalancer,
    RoundRobinBalancer,
    UpstreamLoads,
)
from magnoliaglade.upstreams._connection import (
    ExchangeRequest,
    ExchangeResponse,
    UpstreamConnection,
    open_connection,
)
from magnoliaglade.upstreams._directory import UpstreamDirectory
from magnoliaglade.upstreams._ejection import OutlierEjector, UpstreamHealth
from magnoliaglade.upstreams._errors import (
    NoProgressError,
    NoSlotError,
    NotSentError,
    OutcomeUnknownError,
    SlotLapsedError,
    UpstreamError,
    UpstreamRefusedError,
)
from magnoliaglade.upstreams._pool import ConnectionPool
from magnoliaglade.upstreams._slot_holder import HeldSlot, SlotHolder
from magnoliaglade.upstreams._slots import (
    SlotCoordinator,
    SlotGrant,
    SlotRequest,
    SlotReturn,
    coordinator_of,
)

__all__ = [
    "Balancer",
    "Candidate",
    "ConnectionPool",
    "ExchangeRequest",
    "ExchangeResponse",
    "HeldSlot",
    "NoProgressError",
    "NoSlotError",
    "NotSentError",
    "OutcomeUnknownError",
    "OutlierEjector",
    "PowerOfTwoBalancer",
    "RandomBalancer",
    "RoundRobinBalancer",
    "SlotCoordinator",
    "SlotGrant",
    "SlotHolder",
    "SlotLapsedError",
    "SlotRequest",
    "SlotReturn",
    "UpstreamConnection",
    "UpstreamDirectory",
    "UpstreamError",
    "UpstreamHealth",
    "UpstreamLoads",
    "UpstreamRefusedError",
    "coordinator_of",
    "open_connection",
]
