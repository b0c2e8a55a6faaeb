"""Views of the entry instances and rendezvous hashing over them."""

import dataclasses
import hashlib
from collections.abc import Iterable

from magnoliaglade.types import InstanceId, ZoneId


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """A registered entry instance.

    Attributes:
        instance: id of the instance.
        incarnation: differs after every restart.
        zone: availability zone of the instance.
        peer_address: `host:port` of the listener for peers.
        http_address: `host:port` of the HTTP interface.
    """

    instance: InstanceId
    incarnation: str
    zone: ZoneId
    peer_address: str
    http_address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class View:
    """The registered entry instances as read from the store.

    Attributes:
        version: fingerprint of the members and their incarnations, equal on
            all instances that have read the same registrations; 0 if nothing
            has been read. Compare it for equality only.
        members: members sorted by instance id.
    """

    version: int = 0
    members: tuple[Member, ...] = ()

    @property
    def instances(self) -> tuple[InstanceId, ...]:
        """Ids of the members, sorted."""
        return tuple(sorted(m.instance for m in self.members))

    @property
    def majority(self) -> int:
        """Smallest number of members that is more than half of them."""
        return len(self.members) // 2 + 1

    def member(self, instance: InstanceId) -> Member | None:
        """Returns a member by id, or None."""
        return next((m for m in self.members if m.instance == instance), None)


def make_view(members: Iterable[Member]) -> View:
    """Returns the view of these members with its fingerprint."""
    ordered = tuple(sorted(members, key=lambda m: m.instance))
    identities = "\n".join(f"{m.instance} {m.incarnation}" for m in ordered)
    digest = hashlib.blake2b(identities.encode(), digest_size=6).digest()
    return View(version=int.from_bytes(digest), members=ordered)


def rendezvous_order(
    key: str, instances: Iterable[InstanceId]
) -> list[InstanceId]:
    """Returns instances ordered for a key by highest-random-weight hashing.

    When an instance joins or leaves, the first instance changes only for the
    keys for which it is first.
    """
    return sorted(instances, key=lambda i: (_weight(key, i), i), reverse=True)


def _weight(key: str, instance: InstanceId) -> bytes:
    data = f"{key}\0{instance}".encode()
    return hashlib.blake2b(data, digest_size=8).digest()
