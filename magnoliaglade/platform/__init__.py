"""Adapter to the users' platform: its names, formats and calls.

It makes no scheduling decisions. The platform's names are used only here.
"""

from magnoliaglade.platform._boot import load_settings, settings_path
from magnoliaglade.platform._documents import (
    OPERATOR_PREFIX,
    WORKER_PREFIX,
    decode_operator_state,
    decode_workers,
)
from magnoliaglade.platform._job_api import JobApi
from magnoliaglade.platform._store import PlatformStore
from magnoliaglade.platform._worker import PlatformWorker

__all__ = [
    "OPERATOR_PREFIX",
    "WORKER_PREFIX",
    "JobApi",
    "PlatformStore",
    "PlatformWorker",
    "decode_operator_state",
    "decode_workers",
    "load_settings",
    "settings_path",
]
