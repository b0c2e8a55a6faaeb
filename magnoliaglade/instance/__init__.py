"""One instance of the scheduler: its settings and components."""

from magnoliaglade.instance._settings import (
    Address,
    InstanceSettings,
    InstanceSettingsError,
    TimeBounds,
)

__all__ = [
    "Address",
    "InstanceSettings",
    "InstanceSettingsError",
    "TimeBounds",
]
