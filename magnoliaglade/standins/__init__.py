"""Stand-ins of the platform for tests and demonstrations."""

from magnoliaglade.standins._faulty_store import FaultyStore

__all__ = ["FaultyStore"]
