"""One instance of the scheduler: settings and wiring."""

from magnoliaglade.instance._settings import (
    Address,
    TimeBounds,
    InstanceSettings,
    InstanceSettingsError,
)

__all__ = [
    "Address",
    "TimeBounds",
    "InstanceSettings",
    "InstanceSettingsError",
]
