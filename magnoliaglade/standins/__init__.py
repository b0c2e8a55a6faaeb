"""Stand-ins of the platform for tests and demonstrations."""

from magnoliaglade.standins._faulty_store import FaultyStore
from magnoliaglade.standins._worker import InMemoryWorker, TaskRun
from magnoliaglade.standins._worker_link import WorkerLink

__all__ = ["FaultyStore", "InMemoryWorker", "TaskRun", "WorkerLink"]
