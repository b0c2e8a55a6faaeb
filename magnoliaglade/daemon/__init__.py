"""The entry process."""

from magnoliaglade.daemon._entry import EntryProcess
from magnoliaglade.daemon._errors import DaemonError
from magnoliaglade.daemon._run import read_operator_key, run

__all__ = ["DaemonError", "EntryProcess", "read_operator_key", "run"]
