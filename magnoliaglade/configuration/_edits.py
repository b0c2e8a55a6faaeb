"""Edits of a configuration, and what must hold before it is accepted."""

import dataclasses

from magnoliaglade.configuration import _check, _codec, _errors, _schema
from magnoliaglade.types import ZoneId


def with_zone_state(
    configuration: _schema.Configuration,
    zone: ZoneId,
    state: _schema.ZoneState,
) -> _schema.Configuration:
    """Returns the configuration with another state of one zone.

    Raises:
        InvalidConfigurationError: the zone is not configured.
    """
    names = [z.zone for z in configuration.zones]
    if zone not in names:
        raise _errors.InvalidConfigurationError(
            source=f"revision {configuration.revision}",
            path="zones",
            found=_errors.format_value(zone),
            allowed="one of " + ", ".join(names),
        )
    zones = tuple(
        dataclasses.replace(z, state=state) if z.zone == zone else z
        for z in configuration.zones
    )
    return dataclasses.replace(configuration, zones=zones)


def require_acceptable(configuration: _schema.Configuration, base: int) -> None:
    """Raises InvalidConfigurationError for what must not be stored."""
    if configuration.revision <= base:
        raise _errors.InvalidConfigurationError(
            source="configuration",
            path="revision",
            found=str(configuration.revision),
            allowed=f"a revision above its base {base}",
        )
    # What is stored must be readable, also when it was not built by decoding.
    _codec.decode(
        _schema.Configuration,
        _codec.encode(configuration),
        source=f"revision {configuration.revision}",
    )
    _check.require_structure(configuration)


def missing_configuration_error() -> _errors.ConfigurationError:
    """Returns the error for a command before the first configuration."""
    return _errors.InvalidConfigurationError(
        source="config/current",
        path="",
        found="nothing",
        allowed="an accepted configuration; accept a generated one first",
    )
