"""Settings of an entry process, read from a YAML file."""

import dataclasses
import pathlib
from typing import Any

import yaml
from returns import result

from magnoliaglade import base
from magnoliaglade.settings import _errors, _fields
from magnoliaglade.types import InstanceId, ZoneId

_PORT = base.Interval(kind=int, low=0, high=65535)

FIELDS: tuple[_fields.Field, ...] = (
    _fields.Field(
        key="instance",
        constraint=_fields.NonEmptyText(max_length=64),
        help="Id of this instance, unique among the entry instances.",
    ),
    _fields.Field(
        key="zone",
        constraint=_fields.NonEmptyText(max_length=64),
        help="Availability zone of this instance.",
    ),
    _fields.Field(
        key="http.host",
        constraint=_fields.NonEmptyText(),
        help="IP address for callers, operators and health checks.",
    ),
    _fields.Field(
        key="http.port",
        constraint=_PORT,
        help="Port for callers, operators and health checks; 0 picks one.",
        default=8080,
    ),
    _fields.Field(
        key="peers.host",
        constraint=_fields.NonEmptyText(),
        help="IP address for the other entry instances.",
    ),
    _fields.Field(
        key="peers.port",
        constraint=_PORT,
        help="Port for the other entry instances; 0 picks one.",
        default=7070,
    ),
    _fields.Field(
        key="store.url",
        constraint=_fields.Url(),
        help="Base URL of the platform's key-value service.",
    ),
    _fields.Field(
        key="store.timeout_s",
        constraint=base.Interval(kind=float, low=0, low_open=True, high=3),
        help="Deadline of a store call in seconds; below the lease's TTL.",
        default=1.0,
    ),
    _fields.Field(
        key="instance_list.url",
        constraint=_fields.Url(),
        help="Base URL of the platform's instance list.",
    ),
    _fields.Field(
        key="instance_list.poll_s",
        constraint=base.Interval(kind=float, low=0.1, high=60),
        help="Interval in seconds between reads of the instance list.",
        default=1.0,
    ),
    _fields.Field(
        key="operator_key_file",
        constraint=_fields.NonEmptyText(max_length=4096),
        help="File with the operators' key; the environment variable "
        "MAGNOLIAGLADE_OPERATOR_KEY takes precedence.",
        default="",
    ),
    _fields.Field(
        key="statsd.host",
        constraint=_fields.NonEmptyText(),
        help="IP address of the statsd daemon; none is used if empty.",
        default="",
    ),
    _fields.Field(
        key="statsd.port",
        constraint=_PORT,
        help="UDP port of the statsd daemon.",
        default=8125,
    ),
    _fields.Field(
        key="statsd.prefix",
        constraint=_fields.NonEmptyText(max_length=64),
        help="Prefix of all metric names.",
        default="magnoliaglade",
    ),
    _fields.Field(
        key="stop_timeout_s",
        constraint=base.Interval(kind=float, low=1, high=600),
        help="Longest wait in seconds for requests in flight at a graceful "
        "stop.",
        default=60.0,
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Validated settings; `FIELDS` describes each value."""

    instance: InstanceId
    zone: ZoneId
    http_host: str
    http_port: int
    peers_host: str
    peers_port: int
    store_url: str
    store_timeout_s: float
    instance_list_url: str
    instance_list_poll_s: float
    operator_key_file: str
    statsd_host: str
    statsd_port: int
    statsd_prefix: str
    stop_timeout_s: float


def load(path: str | pathlib.Path) -> Settings:
    """Returns the validated settings of a file.

    Raises:
        SettingsError: lists every problem with its key.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        data = yaml.safe_load(text)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        reason = " ".join(str(error).split())
        problem = _errors.Problem(
            key="(file)", found=reason, allowed="a readable YAML file"
        )
        raise _errors.SettingsError(
            path=str(path), problems=[problem]
        ) from error
    return parse(data, path=str(path))


def parse(data: Any, *, path: str = "(settings)") -> Settings:
    """Returns validated settings for data that has been read already.

    Raises:
        SettingsError: lists every problem with its key.
    """
    match _fields.check(FIELDS, data):
        case result.Success(values):
            fields = {k.replace(".", "_"): v for k, v in values.items()}
            return Settings(**fields)
        case result.Failure(problems):
            raise _errors.SettingsError(path=path, problems=problems)
        case other:
            raise AssertionError(f"not a result: {other!r}")
