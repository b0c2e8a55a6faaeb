"""Access to the platform's key-value service and what is built on it.

`Store` is the interface to write a platform adapter against. `SingleWriterLog`
keeps records that must outlive the process, and `InstanceLease` and
`Ownership` decide which instance may act for a domain.
"""

from magnoliaglade.store._errors import (
    ConflictError,
    LeaseLapsedError,
    LeaseLostError,
    LogFencedError,
    LogUnavailableError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownError,
)
from magnoliaglade.store._http import HttpStore
from magnoliaglade.store._lease import InstanceLease
from magnoliaglade.store._log import SingleWriterLog
from magnoliaglade.store._memory import InMemoryStore
from magnoliaglade.store._monitored import MonitoredStore
from magnoliaglade.store._ownership import Owned, Ownership
from magnoliaglade.store._stamped import Stamp, StampedWriter
from magnoliaglade.store._stamped import pack as pack_stamped
from magnoliaglade.store._stamped import unpack as unpack_stamped
from magnoliaglade.store.base import Entry, Event, EventKind, Store

__all__ = [
    "ConflictError",
    "Entry",
    "Event",
    "EventKind",
    "HttpStore",
    "InMemoryStore",
    "InstanceLease",
    "LeaseLapsedError",
    "LeaseLostError",
    "LogFencedError",
    "LogUnavailableError",
    "MonitoredStore",
    "Owned",
    "Ownership",
    "SingleWriterLog",
    "Stamp",
    "StampedWriter",
    "Store",
    "StoreError",
    "StoreUnavailableError",
    "StoreUnknownError",
    "pack_stamped",
    "unpack_stamped",
]
