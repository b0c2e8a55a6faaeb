"""Membership of entry instances, confirmations with age, and grants."""

from magnoliaglade.membership._confirmations import Confirmations, Source
from magnoliaglade.membership._view import Member, View, rendezvous_order

__all__ = ["Confirmations", "Member", "Source", "View", "rendezvous_order"]
