"""Interface of the platform's list of instances.

The list lags behind: an instance may be gone before it is marked as leaving,
and a new one may be missing. An adapter implements `InstanceList`.
"""

import dataclasses
import enum
from typing import Protocol

from magnoliaglade import exceptions
from magnoliaglade.types import InstanceId, RackId, ZoneId

__all__ = [
    "InstanceList",
    "InstanceListError",
    "InstanceRole",
    "InstanceState",
    "ListedInstance",
]


class InstanceListError(exceptions.MagnoliagladeError):
    """The list could not be read."""


class InstanceRole(enum.Enum):
    """What an instance does."""

    ENTRY = "entry"
    WORKER = "worker"
    UPSTREAM = "upstream"


class InstanceState(enum.Enum):
    """State according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListedInstance:
    """An instance as the platform lists it.

    Attributes:
        instance: id, unique among all roles.
        role: what the instance does.
        zone: its availability zone.
        address: `host:port` of its HTTP interface.
        state: live or leaving.
        rack: rack of a worker.
        service: service of an upstream.
        cores: processor cores of a worker.
        memory_gb: memory of a worker in gigabytes.
        accelerators: accelerators of a worker.
    """

    instance: InstanceId
    role: InstanceRole
    zone: ZoneId
    address: str
    state: InstanceState = InstanceState.LIVE
    rack: RackId = RackId("")
    service: str = ""
    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0


class InstanceList(Protocol):
    """Reads the platform's list."""

    async def instances(self) -> list[ListedInstance]:
        """Returns all listed instances.

        Raises:
            InstanceListError: the list could not be read.
        """
