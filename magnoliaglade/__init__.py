"""Scheduler for multi-accelerator jobs and requests with account guarantees."""

__version__ = "0.1.0"

__all__ = ["__version__"]
