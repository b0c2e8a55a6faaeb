"""Interfaces and HTTP clients of the platform's workers and instance list."""

from magnoliaglade.instances import codec, instance_list, worker
from magnoliaglade.instances._http_instance_list import (
    HttpInstanceList,
    decode_instance,
)
from magnoliaglade.instances._http_worker import HttpWorker
from magnoliaglade.instances._inventory import InstanceInventory

__all__ = [
    "HttpInstanceList",
    "HttpWorker",
    "InstanceInventory",
    "codec",
    "decode_instance",
    "instance_list",
    "worker",
]
