"""Maps calls to queues, services and client accounts."""

from magnoliaglade.routing._configuration import (
    Account,
    Configuration,
    Queue,
    digest_key,
)
from magnoliaglade.routing._watcher import (
    ConfigurationWatcher,
    OperatorState,
)

__all__ = [
    "Account",
    "Configuration",
    "ConfigurationWatcher",
    "OperatorState",
    "Queue",
    "digest_key",
]
