"""The operators' configuration as immutable dataclasses."""

import dataclasses
import enum

from magnoliaglade.types import AccountId, Revision, ZoneId


class ZoneState(enum.Enum):
    """Whether operators allow work in an availability zone."""

    IN_SERVICE = "in-service"
    REMOVED = "removed"


class ZonePolicy(enum.Enum):
    """What happens to running tasks when their zone is removed."""

    CHECKPOINT = "checkpoint"
    FINISH = "finish"


class CellLevel(enum.Enum):
    """Level of the zone hierarchy at which a guarantee counts cells."""

    ACCELERATOR = "accelerator"
    WORKER = "worker"
    RACK = "rack"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneConfig:
    """An availability zone and its state."""

    zone: ZoneId
    region: str
    state: ZoneState = ZoneState.IN_SERVICE


@dataclasses.dataclass(frozen=True, kw_only=True)
class Guarantee:
    """Part of a guaranteed shape: `count` cells of one level.

    Attributes:
        level: level of the cells in the hierarchy.
        count: number of cells that must be reclaimable at the same time.
        accelerators: accelerators per cell; used at level ACCELERATOR, where
            a cell is 1, 2, 4 or 8 adjacent accelerators of one worker.
        zone: zone to which the cells are bound; with None, the binding
            chooses one.
    """

    level: CellLevel
    count: int
    accelerators: int = 1
    zone: ZoneId | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class AccountConfig:
    """A client account with its guarantees and limits.

    Attributes:
        account: id of the account.
        key_digest: SHA-256 digest of the account's key in hexadecimal.
        guarantees: the guaranteed shape for jobs.
        request_share: guaranteed share of request slots, 0 to 1.
        weight: share of capacity beyond the guarantees, relative to the
            weights of other accounts.
        max_accelerators: largest number of accelerators in use; None is
            unlimited.
    """

    account: AccountId
    key_digest: str
    guarantees: tuple[Guarantee, ...] = ()
    request_share: float = 0.0
    weight: float = 1.0
    max_accelerators: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestKind:
    """A kind of request of a service.

    Attributes:
        name: path segment under the service.
        idempotent: whether a second run of the request is harmless.
        deadline_s: deadline in seconds if the caller gives none.
        max_body_bytes: size above which request bodies are rejected.
        progress_timeout_s: longest time in seconds without a byte of the
            response.
    """

    name: str
    idempotent: bool
    deadline_s: float = 30.0
    max_body_bytes: int = 1_048_576
    progress_timeout_s: float = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceConfig:
    """A service that runs on upstreams.

    Attributes:
        service: name of the service.
        kinds: the kinds of request that it accepts.
        slots_per_upstream: requests that an upstream runs at once.
        connections_per_upstream: connections that an upstream accepts.
    """

    service: str
    kinds: tuple[RequestKind, ...]
    slots_per_upstream: int = 8
    connections_per_upstream: int = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One revision of the configuration.

    Attributes:
        revision: number that rises by one with each accepted change.
        zones: all availability zones.
        accounts: all client accounts.
        services: all services.
        zone_policy: what happens to running tasks in a removed zone.
        entry_instances: largest number of entry instances; divides the
            connections of an upstream into fixed shares.
        answers: the answers from which it was generated, as YAML.
    """

    revision: Revision
    zones: tuple[ZoneConfig, ...] = ()
    accounts: tuple[AccountConfig, ...] = ()
    services: tuple[ServiceConfig, ...] = ()
    zone_policy: ZonePolicy = ZonePolicy.CHECKPOINT
    entry_instances: int = 9
    answers: str = ""

    @property
    def zones_in_service(self) -> frozenset[ZoneId]:
        """Zones in which work may start."""
        return frozenset(
            z.zone for z in self.zones if z.state is ZoneState.IN_SERVICE
        )

    def account(self, account: AccountId) -> AccountConfig | None:
        """Returns an account's configuration, or None."""
        return next((a for a in self.accounts if a.account == account), None)

    def service(self, name: str) -> ServiceConfig | None:
        """Returns a service's configuration, or None."""
        return next((s for s in self.services if s.service == name), None)

    def kind(self, service: str, name: str) -> RequestKind | None:
        """Returns a request kind of a service, or None."""
        config = self.service(service)
        if config is None:
            return None
        return next((k for k in config.kinds if k.name == name), None)
