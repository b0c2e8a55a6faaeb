"""Interface of the platform's list of instances.

The list lags: an instance may be gone before it is marked as leaving, and a new
one may be missing. An adapter for another platform implements `InstanceList`.
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
    """Role of an instance."""

    ENTRY = "entry"
    WORKER = "worker"
    UPSTREAM = "upstream"


class InstanceState(enum.Enum):
    """State of an instance according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListedInstance:
    """An instance as the platform lists it.

    Attributes:
        instance: id, unique across all roles.
        role: role of the instance.
        zone: availability zone of the instance.
        address: `host:port` of the HTTP interface.
        state: live or leaving.
        rack: rack of a worker.
        service: service of an upstream.
        cores: number of processor cores of a worker.
        memory_gb: memory of a worker in gigabytes.
        accelerators: number of accelerators of a worker.
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
    """Client of the platform's list of instances."""

    async def instances(self) -> list[ListedInstance]:
        """Returns all listed instances.

        Raises:
            InstanceListError: the list could not be read.
        """
