"""Ownership of domains: a key under the instance lease, and a rising epoch."""

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
        domain: the domain.
        epoch: the epoch.
        lease: lease of the owner key.
        instance_lease: source of the lease's validity.
        previous_members: view of the owner of the epoch before, as it was
            when that one acquired the domain; empty if there was none. A
            majority of it may still let that owner act.
    """

    domain: str
    epoch: Epoch
    lease: LeaseId
    instance_lease: InstanceLease
    previous_members: tuple[InstanceId, ...] = ()

    @property
    def is_valid(self) -> bool:
        """Whether the owner may act now."""
        held = self.instance_lease
        return held.is_valid and held.lease == self.lease

    def check(self) -> Epoch:
        """Returns the epoch if the owner may act.

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
        members: the instances of the present view; kept with each epoch.
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
        """Tries to become the owner; None if another instance is.

        The epoch is one more than any earlier owner's, also when this
        instance acquires the domain again.

        Raises:
            LeaseLapsedError: the instance holds no valid lease.
            StoreError: the store did not answer; ownership is not assumed.
        """
        lease = self.lease.check()
        if not await self._create_owner_key(domain, lease):
            return None
        epoch, previous = await self._raise_epoch(domain)
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
        """Gives the domain up; errors are ignored, the lease ends it."""
        with contextlib.suppress(_errors.StoreError):
            entry = await self.store.get(_owner_key(owned.domain))
            if entry is not None and entry.lease == owned.lease:
                await self.store.delete(entry.key, expected=entry.revision)

    async def owner_of(self, domain: str) -> InstanceId | None:
        """Returns the instance that holds the domain's key.

        Raises:
            StoreError: the store did not answer.
        """
        entry = await self.store.get(_owner_key(domain))
        if entry is None:
            return None
        return InstanceId(msgpack.unpackb(entry.value)["instance"])

    async def owners(self, prefix: str) -> dict[str, InstanceId]:
        """Returns the owners of all domains that begin with `prefix`.

        Raises:
            StoreError: the store did not answer.
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

    async def _raise_epoch(
        self, domain: str
    ) -> tuple[Epoch, tuple[InstanceId, ...]]:
        key = f"epochs/{domain}"
        tried: set[bytes] = set()
        previous: tuple[InstanceId, ...] = ()
        while True:
            entry = await self.store.get(key)
            known = msgpack.unpackb(entry.value) if entry else {}
            current = known.get("epoch", 0)
            # A value of this call, whose answer was lost, is not the
            # predecessor's.
            if entry is None or entry.value not in tried:
                previous = tuple(known.get("members", ()))
            value = msgpack.packb(
                {
                    "epoch": current + 1,
                    "instance": self.instance,
                    "members": sorted(self.members()),
                }
            )
            tried.add(value)
            expected = entry.revision if entry else 0
            # A conflict, or an unknown outcome, means that the epoch may have
            # risen already. Raising it once more is harmless.
            with contextlib.suppress(
                _errors.ConflictError, _errors.StoreOutcomeUnknownError
            ):
                await self.store.put(key, value, expected=expected)
                return Epoch(current + 1), previous


def _owner_key(domain: str) -> str:
    return f"owners/{domain}"
