"""Kernel: plug-in registry and ordered start and stop of components."""

from magnoliaglade.kernel._registry import (
    PluginError,
    create,
    names,
    register,
)
from magnoliaglade.kernel._runtime import Runtime

__all__ = ["PluginError", "Runtime", "create", "names", "register"]
