"""Encodes accepted jobs and their progress for the store, as msgpack."""

from typing import Any

import msgpack

from magnoliaglade import exceptions
from magnoliaglade.jobs._model import (
    Job,
    JobSpec,
    JobState,
    Resources,
    StepKey,
    StepSpec,
)
from magnoliaglade.jobs._progress import (
    Attempt,
    AttemptState,
    JobProgress,
    StepProgress,
    TaskProgress,
)
from magnoliaglade.types import Lifetime, WorkerId

# Version of the record format; a record of any other version is rejected.
_FORMAT_VERSION = 1


class RecordError(exceptions.MagnoliagladeError):
    """A stored record is damaged or has another format."""


def encode_job(job: Job) -> bytes:
    """Returns the stored record of an accepted job."""
    fields = _fields(job) | {
        "spec": _fields(job.spec),
        "format": _FORMAT_VERSION,
    }
    fields["spec"]["steps"] = [
        _fields(s) | {"demand": _fields(s.demand)} for s in job.spec.steps
    ]
    return msgpack.packb(fields)


def decode_job(data: bytes) -> Job:
    """Returns the job of a record from `encode_job`.

    Raises:
        RecordError: the record is damaged or has another format.
    """
    try:
        fields = msgpack.unpackb(data)
        _check_format(fields)
        spec = fields.pop("spec")
        steps = tuple(_decode_step(s) for s in spec.pop("steps"))
        return Job(spec=JobSpec(steps=steps, **spec), **fields)
    except _DECODE_ERRORS as error:
        raise RecordError(f"cannot decode job record: {error!r}") from error


def encode_progress(progress: JobProgress) -> bytes:
    """Returns the stored record of a job's progress."""
    return msgpack.packb(
        {
            "format": _FORMAT_VERSION,
            "state": progress.state.value,
            "started": progress.has_started,
            "done": sorted(progress.done_steps),
            "steps": [
                [*key, *_encode_step(step)]
                for key, step in progress.steps.items()
            ],
            # Decoders of earlier versions ignore this field.
            "addresses": {
                attempt.worker: attempt.address
                for _, attempt in progress.attempts()
                if attempt.address
            },
        }
    )


def decode_progress(
    data: bytes, *, job: Job, now_s: float = float("-inf")
) -> JobProgress:
    """Returns the progress of a record from `encode_progress`.

    Args:
        data: the record.
        job: the job that it belongs to.
        now_s: monotonic time in seconds that counts as the time of the failures
            in the record, which names workers but no times. By default they
            are too long ago to matter.

    Raises:
        RecordError: the record is damaged or has another format.
    """
    try:
        fields = msgpack.unpackb(data, strict_map_key=False)
        _check_format(fields)
        progress = JobProgress(job=job)
        progress.state = JobState(fields["state"])
        progress.has_started = fields["started"]
        progress.done_steps = {StepKey(*k) for k in fields["done"]}
        for occurrence, number, *rest in fields["steps"]:
            count = job.spec.steps[number].count
            key = StepKey(occurrence, number)
            progress.steps[key] = _decode_step_progress(rest, count, now_s)
        addresses = fields.get("addresses", {})
        for _, attempt in progress.attempts():
            attempt.address = addresses.get(attempt.worker, "")
        return progress
    except _DECODE_ERRORS as error:
        raise RecordError(
            f"cannot decode progress of job {job.job}: {error!r}"
        ) from error


def decode_state(data: bytes) -> JobState:
    """Returns only the state of a job, from its progress record.

    Raises:
        RecordError: the record is damaged or has another format.
    """
    try:
        fields = msgpack.unpackb(data, strict_map_key=False)
        _check_format(fields)
        return JobState(fields["state"])
    except _DECODE_ERRORS as error:
        raise RecordError(
            f"cannot decode state in progress record: {error!r}"
        ) from error


_DECODE_ERRORS = (
    ValueError,
    TypeError,
    AttributeError,
    KeyError,
    IndexError,
    msgpack.UnpackException,
)


def _fields(value: Any) -> dict[str, Any]:
    return {name: getattr(value, name) for name in value.__slots__}


def _check_format(fields: dict[str, Any]) -> None:
    found = fields.pop("format")
    if found != _FORMAT_VERSION:
        raise ValueError(
            f"record format is {found!r}, expected {_FORMAT_VERSION}"
        )


def _decode_step(fields: dict[str, Any]) -> StepSpec:
    demand = Resources(**fields.pop("demand"))
    after = tuple(fields.pop("after"))
    return StepSpec(demand=demand, after=after, **fields)


def _encode_step(step: StepProgress) -> list[Any]:
    tasks = [
        [index, task.run, task.failures, task.is_done, sorted(task.failed_at_s)]
        + _encode_attempt(task.attempt)
        for index, task in enumerate(step.tasks)
        if task.run
    ]
    return [step.gang_failures, step.last_failed_run, step.checkpoints, tasks]


def _encode_attempt(attempt: Attempt | None) -> list[Any]:
    if attempt is None:
        return []
    return [attempt.run, attempt.worker, attempt.lifetime]


def _decode_step_progress(
    fields: list[Any], count: int, now_s: float
) -> StepProgress:
    gang_failures, last_failed_run, checkpoints, rows = fields
    tasks = [TaskProgress() for _ in range(count)]
    for index, run, failures, is_done, failed_on, *attempt in rows:
        tasks[index] = TaskProgress(
            run=run,
            failures=failures,
            is_done=is_done,
            failed_at_s={WorkerId(w): now_s for w in failed_on},
            attempt=_decode_attempt(attempt),
        )
    return StepProgress(
        tasks=tasks,
        gang_failures=gang_failures,
        last_failed_run=last_failed_run,
        checkpoints=checkpoints,
    )


def _decode_attempt(fields: list[Any]) -> Attempt | None:
    if not fields:
        return None
    run, worker, lifetime = fields
    # The coordinator that wrote the record may have sent the start order after
    # storing it. Its epoch is over, so none of its orders can still start a
    # run unnoticed.
    return Attempt(
        run=run,
        worker=WorkerId(worker),
        lifetime=Lifetime(lifetime),
        state=AttemptState.SENT,
        settled_at_s=float("-inf"),
    )
