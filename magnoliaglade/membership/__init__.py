"""Membership of entry instances, heartbeats, and grants."""

from magnoliaglade.membership._grants import (
    Grant,
    GrantBook,
    GrantCollector,
    GrantPurpose,
    GrantRequest,
)
from magnoliaglade.membership._heartbeat import Heartbeat, HeartbeatBoard
from magnoliaglade.membership._registry import MemberRegistry
from magnoliaglade.membership._view import (
    Member,
    View,
    make_view,
    rendezvous_order,
)

__all__ = [
    "Grant",
    "GrantBook",
    "GrantCollector",
    "GrantPurpose",
    "GrantRequest",
    "Heartbeat",
    "HeartbeatBoard",
    "Member",
    "MemberRegistry",
    "View",
    "make_view",
    "rendezvous_order",
]
