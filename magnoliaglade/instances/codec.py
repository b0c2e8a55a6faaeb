"""Plain data of the worker interface's requests and reports.

Both sides of the HTTP protocol use it: `HttpWorker` and the stand-in.
"""

import dataclasses
from typing import Any

from magnoliaglade.instances import worker

__all__ = ["CodecError", "decode_report", "decode_request", "encode"]


class CodecError(worker.WorkerCallError):
    """Data that is no request or report of the interface."""


def encode(value: Any) -> dict[str, Any]:
    """Returns the fields of a request or report as plain data."""
    return _plain(dataclasses.asdict(value))


def decode_request(cls: type, data: Any) -> Any:
    """Builds a request of class `cls`.

    Raises:
        CodecError: a field is missing, unknown or of the wrong type.
    """
    try:
        fields = {k: _immutable(v) for k, v in data.items()}
        if "spec" in fields:
            spec = {k: _immutable(v) for k, v in data["spec"].items()}
            fields["spec"] = worker.TaskSpec(**spec)
        return cls(**fields)
    except (AttributeError, TypeError) as error:
        raise CodecError(f"{cls.__name__}: {error}") from error


def decode_report(data: Any) -> worker.WorkerReport:
    """Builds a worker's report.

    Raises:
        CodecError: the data is no report.
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


def _plain(value: Any) -> Any:
    if isinstance(value, dict):
        return {k: _plain(v) for k, v in value.items()}
    if isinstance(value, list | tuple):
        return [_plain(v) for v in value]
    if isinstance(value, worker.TaskPhase):
        return value.value
    return value


def _immutable(value: Any) -> Any:
    return tuple(value) if isinstance(value, list) else value
