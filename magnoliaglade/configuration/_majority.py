"""Confirmation by a majority when nobody reached reaches the store."""

from collections.abc import Mapping

from magnoliaglade import membership
from magnoliaglade.configuration import _messages, _stored
from magnoliaglade.types import InstanceId

_StoreState = _messages.StoreState


def confirms(
    *,
    own: InstanceId,
    own_state: _messages.StoreState,
    stored: _stored.StoredConfiguration | None,
    replies: Mapping[InstanceId, _messages.ConfigUpdate],
    view: membership.View,
) -> bool:
    """Tells whether a majority of the view holds the same revision.

    The instance itself must be part of it. The intents of the replies must
    have been taken over, so that a zone on which a member of the majority
    holds an intent is not started in.
    """
    states = {r.store_state for r in replies.values()} | {own_state.value}
    if _StoreState.REACHED.value in states or stored is None:
        return False
    votes = {
        peer
        for peer, reply in replies.items()
        if reply.store_state == _StoreState.UNREACHABLE.value
        and matches(stored, reply)
    }
    if own_state is _StoreState.UNREACHABLE:
        votes.add(own)
    votes &= set(view.instances)
    return own in votes and len(votes) >= view.majority


def matches(
    stored: _stored.StoredConfiguration | None, reply: _messages.ConfigUpdate
) -> bool:
    """Tells whether a peer has the same revision, by the same write."""
    if stored is None or reply.revision != stored.configuration.revision:
        return False
    stamp = stored.stamp
    return (reply.writer, reply.sequence) == (stamp.writer, stamp.sequence)
