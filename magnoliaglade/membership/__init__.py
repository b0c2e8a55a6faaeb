"""Membership of entry instances, confirmations with age, and grants."""

from magnoliaglade.membership._view import Member, View, rendezvous_order

__all__ = ["Member", "View", "rendezvous_order"]
