"""Reads the settings file that the platform writes for each process."""

import os
import pathlib

from magnoliaglade.instance import (
    Address,
    InstanceSettings,
    InstanceSettingsError,
    TimeBounds,
)
from magnoliaglade.platform._fields import Fields, MalformedError, parse_json
from magnoliaglade.types import InstanceId, ZoneId

SETTINGS_VARIABLE = "MAGNOLIAGLADE_SETTINGS"
DEFAULT_SETTINGS_PATH = "/etc/magnoliaglade/boot.json"


def settings_path() -> pathlib.Path:
    """Returns the path of the settings file."""
    return pathlib.Path(
        os.environ.get(SETTINGS_VARIABLE) or DEFAULT_SETTINGS_PATH
    )


def load_settings(path: pathlib.Path) -> InstanceSettings:
    """Reads and checks the settings file.

    Raises:
        InstanceSettingsError: the file is missing or malformed; the message
            names the file, the key and what is allowed.
    """
    try:
        return _decode_settings(Fields(data=parse_json(path.read_bytes())))
    except (OSError, MalformedError) as error:
        raise InstanceSettingsError(f"{path}: {error}") from error


def _decode_settings(fields: Fields) -> InstanceSettings:
    listen = fields.nested("listen")
    api_address = _decode_address(listen, "front")
    ports = fields.array("internalPorts")
    if len(ports) != 2 or not all(isinstance(p, int) for p in ports):
        raise MalformedError("internalPorts: two ports are expected")
    return InstanceSettings(
        instance=InstanceId(fields.string("node", is_required=True)),
        zone=ZoneId(fields.string("zone", is_required=True)),
        api_address=api_address,
        readiness_address=_decode_address(listen, "ready"),
        internal_address=Address(host=api_address.host, port=ports[0]),
        store_address=str(
            _decode_address(fields.nested("platform"), "address")
        ),
        bounds=_decode_bounds(fields.nested("bounds")),
        cores=_decode_cores(fields.nested("limits")),
        memory_mb=fields.nested("limits").integer("memoryMb"),
        max_fds=fields.nested("limits").integer("maxFds"),
    )


def _decode_cores(limits: Fields) -> float:
    # Both keys are misnamed: `cpuShare` is a share of one core, and `cores` is
    # the speed of that core as a multiple of the reference core's speed.
    return (limits.number("cpuShare") or 1.0) * (limits.number("cores") or 1.0)


def _decode_bounds(bounds: Fields) -> TimeBounds:
    default = TimeBounds()

    def seconds(name: str, default_s: float, unit_s: float = 1.0) -> float:
        return bounds.number(name) * unit_s or default_s

    seconds_per_ms = 0.001
    return TimeBounds(
        longest_lease_s=seconds(
            "holdMaxMs", default.longest_lease_s, seconds_per_ms
        ),
        revoke_s=seconds("revokeMs", default.revoke_s, seconds_per_ms),
        stop_s=seconds("stopMs", default.stop_s, seconds_per_ms),
        grace_s=seconds("graceS", default.grace_s),
        status_s=seconds("status_s", default.status_s),
        restore_s=seconds("restoreMs", default.restore_s, seconds_per_ms),
        evacuate_s=seconds("evacuateMs", default.evacuate_s, seconds_per_ms),
        drain_s=seconds("drainMs", default.drain_s, seconds_per_ms),
        reclaim_s=seconds("reclaimMs", default.reclaim_s, seconds_per_ms),
        # A factor below 1 would make work faster off its rack, which no
        # deployment states; it is read as 1.
        off_rack_slowdown=max(
            default.off_rack_slowdown, bounds.number("crossRackFactor")
        ),
    )


def _decode_address(fields: Fields, name: str) -> Address:
    host, port = fields.address(name)
    return Address(host=host, port=port)
