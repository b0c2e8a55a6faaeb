"""Confirmation by a majority if no reachable instance has store access."""

from collections.abc import Mapping

from magnoliaglade import membership
from magnoliaglade.configuration import _messages, _stored
from magnoliaglade.types import InstanceId

_StoreState = _messages.StoreState


def is_confirmed_by_majority(
    *,
    own: InstanceId,
    own_state: _messages.StoreState,
    stored: _stored.StoredConfiguration | None,
    replies: Mapping[InstanceId, _messages.ConfigUpdate],
    view: membership.View,
) -> bool:
    """Returns whether a majority of the view holds the same revision.

    The majority must include the instance itself. The intents of the replies
    must have been merged before, so that nothing starts in a zone whose
    removal intent is held by a member of the majority.
    """
    states = {r.store_state for r in replies.values()} | {own_state.value}
    if _StoreState.REACHED.value in states or stored is None:
        return False
    votes = {
        peer
        for peer, reply in replies.items()
        if reply.store_state == _StoreState.UNREACHABLE.value
        and is_same_write(stored, reply)
    }
    if own_state is _StoreState.UNREACHABLE:
        votes.add(own)
    votes &= set(view.instances)
    return own in votes and len(votes) >= view.majority


def is_same_write(
    stored: _stored.StoredConfiguration | None, reply: _messages.ConfigUpdate
) -> bool:
    """Returns whether a peer has the same revision from the same write."""
    if stored is None or reply.revision != stored.configuration.revision:
        return False
    stamp = stored.stamp
    return (reply.writer, reply.sequence) == (stamp.writer, stamp.sequence)
