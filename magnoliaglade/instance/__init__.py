"""One instance of the scheduler: settings and wiring."""

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
