"""Interfaces to the platform's workers and instance list."""

from magnoliaglade.platform import instance_list, worker

__all__ = ["instance_list", "worker"]
