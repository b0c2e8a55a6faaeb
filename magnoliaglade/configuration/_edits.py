"""Edits of a configuration, and the checks before it is accepted."""

import dataclasses

from magnoliaglade.configuration import _check, _codec, _errors, _schema
from magnoliaglade.types import ZoneId


def with_zone_state(
    configuration: _schema.Configuration,
    zone: ZoneId,
    state: _schema.ZoneState,
) -> _schema.Configuration:
    """Returns the configuration with the state of one zone replaced.

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
    """Raises an error unless a configuration may be stored.

    Args:
        configuration: the configuration to store.
        base: revision from which the configuration was made.

    Raises:
        InvalidConfigurationError: the revision is not above `base`, a value
            would not decode, or the structure does not pass the check.
    """
    if configuration.revision <= base:
        raise _errors.InvalidConfigurationError(
            source="configuration",
            path="revision",
            found=str(configuration.revision),
            allowed=f"a revision above its base {base}",
        )
    # A stored configuration must be decodable, even if it was not built by
    # decoding.
    _codec.decode(
        _schema.Configuration,
        _codec.encode(configuration),
        source=f"revision {configuration.revision}",
    )
    _check.require_structure(configuration)


def missing_configuration_error() -> _errors.ConfigurationError:
    """Returns the error for a command before a configuration is accepted."""
    return _errors.InvalidConfigurationError(
        source="config/current",
        path="",
        found="nothing",
        allowed="an accepted configuration; accept a generated one first",
    )
