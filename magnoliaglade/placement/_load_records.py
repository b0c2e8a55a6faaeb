"""Format of the record of waiting jobs and of overloaded queues.

The record maps queues to their numbers of waiting jobs. Loads of overloaded
queues are added under a key of another type than the names of queues, so that
readers of earlier versions ignore it.
"""

from collections.abc import Mapping
from typing import Any

import msgpack

from magnoliaglade.placement._admission import QueueLoad
from magnoliaglade.types import QueueName

_LOADS_KEY = b"loads"


def encode_counts(
    counts: Mapping[QueueName, int], loads: Mapping[QueueName, QueueLoad]
) -> bytes:
    """Returns the record of waiting jobs and of overloaded queues."""
    record: dict[str | bytes, Any] = dict(counts)
    if loads:
        record[_LOADS_KEY] = {
            queue: [load.path_s, load.core_s, list(load.waits_s)]
            for queue, load in loads.items()
        }
    return msgpack.packb(record)


def decode_counts(
    value: bytes,
) -> tuple[dict[QueueName, int], dict[QueueName, QueueLoad]]:
    """Returns counts and loads; loads of an unknown form are ignored."""
    record = msgpack.unpackb(value)
    loads = record.pop(_LOADS_KEY, {})
    try:
        decoded = {
            queue: QueueLoad(
                path_s=float(path_s),
                core_s=float(core_s),
                waits_s=tuple(float(w) for w in waits_s),
            )
            for queue, (path_s, core_s, waits_s) in loads.items()
        }
    except (AttributeError, TypeError, ValueError):
        decoded = {}
    return record, decoded
