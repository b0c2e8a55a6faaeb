"""The operators' configuration of queues, services and client accounts."""

import dataclasses
import functools
import hashlib
from collections.abc import Mapping

from magnoliaglade.types import AccountId, QueueName, ServiceName


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """A queue of jobs, selected by the host and the path of a call.

    Attributes:
        name: name of the queue.
        host: value of the Host header.
        prefix: prefix of the path; the queue with the longest match is used.
        service: pool of workers that runs its jobs.
        priority: 0 is the highest priority.
        max_attempts: number of failed runs of a task, or gang, after which
            the job fails.
        stretch: factor on the critical path of a job in the objective.
        objective_s: seconds added to that product.
        is_public: whether calls need no key.
        needs_advice: whether only an advisory service can determine the
            allowed workers.
    """

    name: QueueName
    host: str
    prefix: str
    service: ServiceName
    priority: int
    max_attempts: int
    stretch: float
    objective_s: float
    is_public: bool = False
    needs_advice: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """A client account.

    Attributes:
        name: id of the account.
        key_digests: digests of its keys, see `digest_key`.
        guaranteed_accelerators: accelerators that it can always reclaim for
            jobs of priority 0.
    """

    name: AccountId
    key_digests: frozenset[bytes]
    guaranteed_accelerators: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the configuration; later versions have higher numbers.

    Attributes:
        version: number of the version.
        queues: the queues in the order of the configuration.
        services: names of the pools of workers.
        accounts: client accounts by id.
        max_body_bytes: largest request body; 0 if no limit is configured.
        accounts_by_digest: account ids by the digests of their keys.
        max_header_bytes: largest request head; 0 if no limit is configured.
        header_timeout_s: time until a head is complete; 0 if not configured.
        idle_timeout_s: time for which a connection may be idle; 0 if not
            configured.
    """

    version: int
    queues: tuple[Queue, ...]
    services: frozenset[ServiceName]
    accounts: Mapping[AccountId, Account]
    max_body_bytes: int
    accounts_by_digest: Mapping[bytes, AccountId]
    max_header_bytes: int = 0
    header_timeout_s: float = 0.0
    idle_timeout_s: float = 0.0

    @functools.cached_property
    def _queues_by_name(self) -> Mapping[QueueName, Queue]:
        # If several queues have the same name, the first one is used.
        return {q.name: q for q in reversed(self.queues)}

    def match(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching prefix, or None."""
        found = [
            q
            for q in self.queues
            if q.host == host and path.startswith(q.prefix)
        ]
        return max(found, key=lambda q: len(q.prefix), default=None)

    def queue(self, name: QueueName) -> Queue | None:
        """Returns the queue of this name, or None."""
        return self._queues_by_name.get(name)

    def account_of(self, key: str) -> AccountId | None:
        """Returns the account that a key belongs to, or None.

        The lookup is by digest, so its duration reveals nothing about the
        keys.
        """
        return self.accounts_by_digest.get(digest_key(key))


def digest_key(key: str) -> bytes:
    """Returns the SHA-256 digest under which a key is stored."""
    return hashlib.sha256(key.encode("utf-8", "replace")).digest()
