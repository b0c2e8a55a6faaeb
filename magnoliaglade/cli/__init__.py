"""Command line of magnoliaglade."""

from magnoliaglade.cli._main import main

__all__ = ["main"]
