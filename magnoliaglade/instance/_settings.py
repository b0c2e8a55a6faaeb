"""Settings of an instance, with the time bounds of the platform."""

import dataclasses

from magnoliaglade import exceptions
from magnoliaglade.types import InstanceId, ZoneId


class InstanceSettingsError(exceptions.MagnoliagladeError):
    """The settings cannot be read, or a value is not allowed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimeBounds:
    """Bounds that the platform states for this deployment; times in seconds.

    Attributes:
        longest_lease_s: longest lease of a run that a worker accepts.
        revoke_s: time after which a revoked key must not be served.
        stop_s: maximum time that a worker takes to stop a run.
        grace_s: time between SIGTERM and SIGKILL.
        status_s: minimum time for which the state of an ended job is kept.
        restore_s: time that a run takes to resume from a checkpoint.
        evacuate_s: time after which nothing may start in a removed zone.
        drain_s: time after which nothing may start on a draining worker.
        reclaim_s: time from acceptance within which a guaranteed job of
            priority 0 has begun.
        off_rack_slowdown: factor on the run time of work off its rack; 1 if
            racks don't matter.
    """

    longest_lease_s: float = 6.0
    revoke_s: float = 5.0
    stop_s: float = 0.4
    grace_s: float = 6.0
    status_s: float = 120.0
    restore_s: float = 0.25
    evacuate_s: float = 5.0
    drain_s: float = 2.0
    reclaim_s: float = 2.7
    off_rack_slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InstanceSettings:
    """Settings of one instance.

    Attributes:
        instance: id of the machine.
        zone: availability zone of the machine.
        api_address: address for callers.
        readiness_address: address for the platform's readiness checks.
        internal_address: address for metrics and state dumps.
        store_address: `host:port` of the platform's key-value service.
        bounds: time bounds of the deployment.
        cores: processor cores that the instance may use.
        memory_mb: memory of the machine in MB; 0 if not stated.
        max_fds: descriptors that the process may open; 0 if not stated.
    """

    instance: InstanceId
    zone: ZoneId
    api_address: Address
    readiness_address: Address
    internal_address: Address
    store_address: str
    bounds: TimeBounds
    cores: float = 1.0
    memory_mb: int = 0
    max_fds: int = 0
