"""One instance of the scheduler: settings and wiring."""

from magnoliaglade.instance._settings import (
    Address,
    Bounds,
    InstanceSettings,
    InstanceSettingsError,
)

__all__ = [
    "Address",
    "Bounds",
    "InstanceSettings",
    "InstanceSettingsError",
]
