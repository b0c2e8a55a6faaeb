"""Client of the platform's key-value service, with logs, leases and ownership.

`Store` is the interface that a platform adapter implements. `SingleWriterLog`
stores records that must outlive the process, and `InstanceLease` and
`OwnershipManager` decide which instance may act for a domain.
"""

from magnoliaglade.store._errors import (
    ConflictError,
    HistoryLostError,
    LeaseLapsedError,
    LeaseLostError,
    LogFencedError,
    LogUnavailableError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreThrottledError,
    StoreUnavailableError,
    TransactionConflictError,
)
from magnoliaglade.store._http import HttpStore
from magnoliaglade.store._lease import InstanceLease
from magnoliaglade.store._log import SingleWriterLog
from magnoliaglade.store._memory import InMemoryStore
from magnoliaglade.store._monitored import MonitoredStore
from magnoliaglade.store._ownership import DomainOwnership, OwnershipManager
from magnoliaglade.store._prefix_watcher import PrefixWatcher
from magnoliaglade.store._stamped import Stamp, StampedWriter
from magnoliaglade.store._stamped import pack as pack_stamped
from magnoliaglade.store._stamped import unpack as unpack_stamped
from magnoliaglade.store.base import (
    Entry,
    Event,
    EventKind,
    Put,
    Store,
    TransactionalStore,
)

__all__ = [
    "ConflictError",
    "DomainOwnership",
    "Entry",
    "Event",
    "EventKind",
    "HistoryLostError",
    "HttpStore",
    "InMemoryStore",
    "InstanceLease",
    "LeaseLapsedError",
    "LeaseLostError",
    "LogFencedError",
    "LogUnavailableError",
    "MonitoredStore",
    "OwnershipManager",
    "PrefixWatcher",
    "Put",
    "SingleWriterLog",
    "Stamp",
    "StampedWriter",
    "Store",
    "StoreError",
    "StoreOutcomeUnknownError",
    "StoreThrottledError",
    "StoreUnavailableError",
    "TransactionConflictError",
    "TransactionalStore",
    "pack_stamped",
    "unpack_stamped",
]
