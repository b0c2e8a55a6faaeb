"""The settings file that the platform writes for each process."""

import os
import pathlib

import orjson

from magnoliaglade.instance import (
    Address,
    InstanceSettings,
    InstanceSettingsError,
    TimeBounds,
)
from magnoliaglade.platform._fields import Fields, MalformedError
from magnoliaglade.types import InstanceId, ZoneId

SETTINGS_VARIABLE = "MAGNOLIAGLADE_SETTINGS"
DEFAULT_PATH = "/etc/magnoliaglade/boot.json"


def settings_path() -> pathlib.Path:
    """Returns the path of the settings file."""
    return pathlib.Path(os.environ.get(SETTINGS_VARIABLE) or DEFAULT_PATH)


def load_settings(path: pathlib.Path) -> InstanceSettings:
    """Reads and checks the settings file.

    Raises:
        InstanceSettingsError: naming the file, the key and what is allowed.
    """
    try:
        return _decode(Fields(data=orjson.loads(path.read_bytes())))
    except (OSError, orjson.JSONDecodeError, MalformedError) as error:
        raise InstanceSettingsError(f"{path}: {error}") from error


def _decode(fields: Fields) -> InstanceSettings:
    listen = fields.part("listen")
    front = _address(listen, "front")
    ports = fields.items("internalPorts")
    if len(ports) != 2 or not all(isinstance(p, int) for p in ports):
        raise MalformedError("internalPorts: two ports are expected")
    return InstanceSettings(
        instance=InstanceId(fields.text("node", is_required=True)),
        zone=ZoneId(fields.text("zone", is_required=True)),
        api_address=front,
        readiness_address=_address(listen, "ready"),
        internal_address=Address(host=front.host, port=ports[0]),
        store_address=str(_address(fields.part("platform"), "address")),
        bounds=_bounds(fields.part("bounds")),
        cores=_cores(fields.part("limits")),
    )


def _cores(limits: Fields) -> float:
    # Both names mislead: the share is of one core, and the second is the speed
    # of that core as a multiple of the reference one.
    return (limits.number("cpuShare") or 1.0) * (limits.number("cores") or 1.0)


def _bounds(bounds: Fields) -> TimeBounds:
    default = TimeBounds()

    def seconds(name: str, fallback: float, unit: float = 1.0) -> float:
        return bounds.number(name) * unit or fallback

    milli = 0.001
    return TimeBounds(
        longest_lease_s=seconds("holdMaxMs", default.longest_lease_s, milli),
        revoke_s=seconds("revokeMs", default.revoke_s, milli),
        stop_s=seconds("stopMs", default.stop_s, milli),
        grace_s=seconds("graceS", default.grace_s),
        status_s=seconds("status_s", default.status_s),
        restore_s=seconds("restoreMs", default.restore_s, milli),
        evacuate_s=seconds("evacuateMs", default.evacuate_s, milli),
        drain_s=seconds("drainMs", default.drain_s, milli),
    )


def _address(fields: Fields, name: str) -> Address:
    host, port = fields.address(name)
    return Address(host=host, port=port)
