"""What the configuration in force says, with defaults before the first one."""

from magnoliaglade import configuration
from magnoliaglade.types import ZoneId

# Before a configuration is known: one connection for work, one for probes.
_MIN_CONNECTIONS = 2


class ConfiguredValues:
    """Single values of the configuration in force."""

    def __init__(
        self,
        *,
        agent: configuration.ConfigurationAgent,
        intents: configuration.ZoneIntentTable,
    ) -> None:
        self.agent = agent
        self.intents = intents

    @property
    def current(self) -> configuration.Configuration | None:
        """The configuration in force, or None before the first one."""
        return self.agent.configuration

    def zones(self) -> frozenset[ZoneId]:
        """Returns all zones, removed ones included."""
        current = self.current
        return frozenset(z.zone for z in (current.zones if current else ()))

    def removed_zones(self) -> frozenset[ZoneId]:
        """Returns the zones that the configuration or an intent removes."""
        current = self.current
        in_service = current.zones_in_service if current else frozenset()
        return (self.zones() - in_service) | self.intents.removed_zones

    def services(self) -> frozenset[str]:
        """Returns the names of all services."""
        current = self.current
        return frozenset(
            s.service for s in (current.services if current else ())
        )

    def accounts(self) -> tuple[configuration.AccountConfig, ...]:
        """Returns all client accounts."""
        return self.current.accounts if self.current else ()

    def slots(self, service: str) -> int:
        """Returns the slots per upstream of a service; 0 if unknown."""
        config = self.current.service(service) if self.current else None
        return config.slots_per_upstream if config else 0

    def connection_share(self, service: str) -> int:
        """Returns this instance's connections per upstream of a service."""
        current = self.current
        config = current.service(service) if current else None
        if current is None or config is None:
            return _MIN_CONNECTIONS
        share = config.connections_per_upstream // current.entry_instances
        return max(_MIN_CONNECTIONS, share)
