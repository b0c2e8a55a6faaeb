"""Conversion of worker requests and reports to and from plain data.

Both sides of the HTTP protocol use it: `HttpWorker` and the worker stand-in.
"""

import dataclasses
from typing import Any

from magnoliaglade.instances import worker

__all__ = ["CodecError", "decode_report", "decode_request", "encode"]


class CodecError(worker.WorkerCallError):
    """The data is not a valid request or report of the interface."""


def encode(value: Any) -> dict[str, Any]:
    """Returns the fields of a request or report as plain data."""
    return _to_plain(dataclasses.asdict(value))


def decode_request(cls: type, data: Any) -> Any:
    """Returns a request of class `cls` built from plain data.

    Raises:
        CodecError: a field is missing, unknown or of the wrong type.
    """
    try:
        fields = {k: _list_to_tuple(v) for k, v in data.items()}
        if "spec" in fields:
            spec = {k: _list_to_tuple(v) for k, v in data["spec"].items()}
            fields["spec"] = worker.TaskSpec(**spec)
        return cls(**fields)
    except (AttributeError, TypeError) as error:
        raise CodecError(f"{cls.__name__}: {error}") from error


def decode_report(data: Any) -> worker.WorkerReport:
    """Returns a worker's report built from plain data.

    Raises:
        CodecError: the data is not a valid report.
    """
    try:
        tasks = tuple(
            worker.TaskReport(**{**t, "phase": worker.TaskPhase(t["phase"])})
            for t in data["tasks"]
        )
        return worker.WorkerReport(
            worker=data["worker"],
            epoch=data["epoch"],
            tasks=tasks,
            reserved_jobs=tuple(data["reserved_jobs"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise CodecError(f"WorkerReport: {error}") from error


def _to_plain(value: Any) -> Any:
    if isinstance(value, dict):
        return {k: _to_plain(v) for k, v in value.items()}
    if isinstance(value, list | tuple):
        return [_to_plain(v) for v in value]
    if isinstance(value, worker.TaskPhase):
        return value.value
    return value


def _list_to_tuple(value: Any) -> Any:
    return tuple(value) if isinstance(value, list) else value
