"""Decodes the bodies of submissions."""

from magnoliaglade.jobs import JobSpec, StepSpec
from magnoliaglade.platform._documents import decode_resources
from magnoliaglade.platform._fields import Fields, MalformedError, parse_json

# Limits of a submission; the platform specifies that of the payload.
MAX_PAYLOAD_BYTES = 4_000
MAX_STEPS = 64
MAX_TASKS = 4_096
# Limits on the occurrences of a job, and on the tasks of all occurrences.
MAX_REPETITIONS = 10_000
MAX_TOTAL_TASKS = 1_000_000

# Fields of features that this version does not support. A submission that sets
# one of them is rejected; ignoring the field would change what runs.
_UNSUPPORTED_FIELDS = ("fills", "targetMs", "mayMiss")


class UnsupportedError(MalformedError):
    """The submission uses a feature that is not supported."""


def decode_submission(body: bytes) -> JobSpec:
    """Returns the job of a submission's body.

    The texts of the errors are sent to callers.

    Raises:
        MalformedError: the body is invalid; the message names the field and
            what is allowed.
        UnsupportedError: the body uses a feature that is not supported.
    """
    fields = Fields(data=parse_json(body))
    payload = fields.string("spec")
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise MalformedError(f"spec: more than {MAX_PAYLOAD_BYTES} bytes")
    rows = fields.array("steps", is_required=True)
    if not 1 <= len(rows) <= MAX_STEPS:
        raise MalformedError(f"steps: found {len(rows)}, 1 to {MAX_STEPS}")
    is_long_running = fields.boolean("longRunning")
    steps = tuple(
        _decode_step(Fields(data=row), index, is_long_running)
        for index, row in enumerate(rows)
    )
    tasks = sum(s.count for s in steps)
    if tasks > MAX_TASKS:
        raise MalformedError(f"steps: more than {MAX_TASKS} tasks")
    repetitions = fields.integer("repetitions")
    if repetitions > MAX_REPETITIONS or tasks * repetitions > MAX_TOTAL_TASKS:
        raise MalformedError(
            f"repetitions: at most {MAX_REPETITIONS} with "
            f"{MAX_TOTAL_TASKS} tasks in all"
        )
    return JobSpec(
        payload=payload,
        steps=steps,
        repetitions=repetitions,
        start_at_s=fields.number("startMs") / 1000.0,
        interval_s=fields.number("intervalMs") / 1000.0,
    )


def _decode_step(fields: Fields, index: int, is_long_running: bool) -> StepSpec:
    for name in _UNSUPPORTED_FIELDS:
        if fields.data.get(name):
            raise UnsupportedError(f"{name}: is not offered")
    after = fields.array("after")
    if not all(isinstance(i, int) and 0 <= i < index for i in after):
        raise MalformedError("after: numbers of earlier steps are allowed")
    return StepSpec(
        count=fields.integer("count", is_required=True, low=1),
        demand=decode_resources(fields),
        estimate_s=fields.number("estimateMs") / 1000.0,
        after=tuple(after),
        is_gang=fields.boolean("gang"),
        same_rack=fields.boolean("sameRack"),
        data_rack=fields.string("dataRack"),
        label=fields.string("requires"),
        max_per_worker=fields.integer("maxPerServer"),
        is_checkpointable=fields.boolean("checkpointable"),
        is_long_running=is_long_running or fields.boolean("longRunning"),
    )
