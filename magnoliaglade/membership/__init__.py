"""Membership view, heartbeats, domain ownership and grants."""

from magnoliaglade.membership._campaign import (
    DomainService,
    Handover,
    OwnershipCampaign,
)
from magnoliaglade.membership._confirmations import (
    ConfirmationSource,
    ConfirmationTracker,
)
from magnoliaglade.membership._grants import (
    Grant,
    GrantCollector,
    GrantIssuer,
    GrantPurpose,
    GrantRequest,
)
from magnoliaglade.membership._heartbeat import Heartbeat, HeartbeatExchange
from magnoliaglade.membership._outage import OutageGrantManager
from magnoliaglade.membership._owners import OwnerDirectory, OwnerRecord
from magnoliaglade.membership._registry import MemberRegistry
from magnoliaglade.membership._view import (
    Member,
    View,
    make_view,
    rendezvous_order,
)

__all__ = [
    "ConfirmationSource",
    "ConfirmationTracker",
    "DomainService",
    "Grant",
    "GrantCollector",
    "GrantIssuer",
    "GrantPurpose",
    "GrantRequest",
    "Handover",
    "Heartbeat",
    "HeartbeatExchange",
    "Member",
    "MemberRegistry",
    "OutageGrantManager",
    "OwnerDirectory",
    "OwnerRecord",
    "OwnershipCampaign",
    "View",
    "make_view",
    "rendezvous_order",
]
