"""The entry process."""

from magnoliaglade.daemon._entry import EntryProcess
from magnoliaglade.daemon._errors import DaemonError
from magnoliaglade.daemon._run import read_operator_key, run
from magnoliaglade.daemon._steps import ShutdownStep

__all__ = [
    "DaemonError",
    "EntryProcess",
    "ShutdownStep",
    "read_operator_key",
    "run",
]
