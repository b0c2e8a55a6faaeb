"""Ownership of domains: a key under the instance lease, and an epoch."""

import contextlib
import dataclasses
from collections.abc import Callable, Iterable

import msgpack

from magnoliaglade.store import _errors
from magnoliaglade.store._lease import InstanceLease
from magnoliaglade.store.base import Store
from magnoliaglade.types import Epoch, InstanceId, LeaseId


@dataclasses.dataclass(frozen=True, kw_only=True)
class DomainOwnership:
    """The right to act for a domain in one epoch, while the lease is valid.

    Attributes:
        domain: name of the domain.
        epoch: epoch of this ownership.
        lease: lease of the owner key.
        instance_lease: the owner's lease, which determines the validity.
        previous_members: members in the view of the previous epoch's owner
            when it acquired the domain; empty if there was none. A majority
            of them may still permit that owner to act.
    """

    domain: str
    epoch: Epoch
    lease: LeaseId
    instance_lease: InstanceLease
    previous_members: tuple[InstanceId, ...] = ()

    @property
    def is_valid(self) -> bool:
        """Whether the owner may act now."""
        lease = self.instance_lease
        return lease.is_valid and lease.lease == self.lease

    def check(self) -> Epoch:
        """Returns the epoch if the owner may act now.

        Raises:
            LeaseLapsedError: the lease has lapsed or was replaced.
        """
        if self.instance_lease.check() != self.lease:
            raise _errors.LeaseLapsedError(
                f"{self.domain}: the lease of epoch {self.epoch} was replaced"
            )
        return self.epoch


class OwnershipManager:
    """Acquires and releases domains for one instance.

    Attributes:
        store: the store.
        instance: the instance that acquires domains.
        lease: lease of the instance, and of its owner keys.
        members: returns the instances of the current view, which are stored
            with each epoch.
    """

    def __init__(
        self,
        *,
        store: Store,
        instance: InstanceId,
        lease: InstanceLease,
        members: Callable[[], Iterable[InstanceId]] = tuple,
    ) -> None:
        self.store = store
        self.instance = instance
        self.lease = lease
        self.members = members

    async def acquire(self, domain: str) -> DomainOwnership | None:
        """Acquires a domain; returns None if another instance owns it.

        The epoch is higher than that of any earlier owner, also when this
        instance acquires the domain again.

        Raises:
            LeaseLapsedError: the instance holds no valid lease.
            StoreError: the store did not respond; ownership is not assumed.
        """
        lease = self.lease.check()
        if not await self._create_owner_key(domain, lease):
            return None
        epoch, previous = await self._increment_epoch(domain)
        owned = DomainOwnership(
            domain=domain,
            epoch=epoch,
            lease=lease,
            instance_lease=self.lease,
            previous_members=previous,
        )
        owned.check()
        return owned

    async def release(self, owned: DomainOwnership) -> None:
        """Releases a domain.

        Store errors are ignored, because the ownership ends with the lease.
        """
        with contextlib.suppress(_errors.StoreError):
            entry = await self.store.get(_owner_key(owned.domain))
            if entry is not None and entry.lease == owned.lease:
                await self.store.delete(entry.key, expected=entry.revision)

    async def owner_of(self, domain: str) -> InstanceId | None:
        """Returns the instance that owns a domain, or None.

        Raises:
            StoreError: the store did not respond.
        """
        entry = await self.store.get(_owner_key(domain))
        if entry is None:
            return None
        return InstanceId(msgpack.unpackb(entry.value)["instance"])

    async def owners(self, prefix: str) -> dict[str, InstanceId]:
        """Returns the owners of all domains whose name begins with `prefix`.

        Raises:
            StoreError: the store did not respond.
        """
        entries, _ = await self.store.list_prefix(_owner_key(prefix))
        return {
            e.key.removeprefix(_owner_key("")): InstanceId(
                msgpack.unpackb(e.value)["instance"]
            )
            for e in entries
        }

    async def _create_owner_key(self, domain: str, lease: LeaseId) -> bool:
        key = _owner_key(domain)
        value = msgpack.packb({"instance": self.instance})
        try:
            await self.store.put(key, value, expected=0, lease=lease)
        except _errors.ConflictError:
            return await self._holds_key(key, lease)
        except _errors.StoreOutcomeUnknownError:
            return await self._holds_key(key, lease)
        return True

    async def _holds_key(self, key: str, lease: LeaseId) -> bool:
        entry = await self.store.get(key)
        return entry is not None and entry.lease == lease

    async def _increment_epoch(
        self, domain: str
    ) -> tuple[Epoch, tuple[InstanceId, ...]]:
        key = f"epochs/{domain}"
        attempted_values: set[bytes] = set()
        previous: tuple[InstanceId, ...] = ()
        while True:
            entry = await self.store.get(key)
            stored = msgpack.unpackb(entry.value) if entry else {}
            current = stored.get("epoch", 0)
            # A value that this call wrote, but whose response was lost, is
            # not the predecessor's.
            if entry is None or entry.value not in attempted_values:
                previous = tuple(stored.get("members", ()))
            value = msgpack.packb(
                {
                    "epoch": current + 1,
                    "instance": self.instance,
                    "members": sorted(self.members()),
                }
            )
            attempted_values.add(value)
            expected = entry.revision if entry else 0
            # After a conflict or an unknown outcome, the epoch may have been
            # incremented already. Incrementing it once more is harmless.
            with contextlib.suppress(
                _errors.ConflictError, _errors.StoreOutcomeUnknownError
            ):
                await self.store.put(key, value, expected=expected)
                return Epoch(current + 1), previous


def _owner_key(domain: str) -> str:
    return f"owners/{domain}"
