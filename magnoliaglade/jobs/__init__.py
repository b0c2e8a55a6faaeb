"""Job model: what clients submit, and the progress of accepted jobs."""

from magnoliaglade.jobs._model import (
    Job,
    JobSpec,
    JobState,
    Resources,
    StepKey,
    StepSpec,
    TaskKey,
    parse_task_name,
)
from magnoliaglade.jobs._progress import (
    FAILURE_MEMORY_S,
    Attempt,
    AttemptState,
    JobProgress,
    JobSummary,
    LossCause,
    RunOutcome,
    StepProgress,
    StopCause,
    TaskProgress,
)
from magnoliaglade.jobs._records import (
    RecordError,
    decode_job,
    decode_progress,
    decode_state,
    encode_job,
    encode_progress,
)

__all__ = [
    "FAILURE_MEMORY_S",
    "Attempt",
    "AttemptState",
    "Job",
    "JobProgress",
    "JobSpec",
    "JobState",
    "JobSummary",
    "LossCause",
    "RecordError",
    "Resources",
    "RunOutcome",
    "StepKey",
    "StepProgress",
    "StepSpec",
    "StopCause",
    "TaskKey",
    "TaskProgress",
    "decode_job",
    "decode_progress",
    "decode_state",
    "encode_job",
    "encode_progress",
    "parse_task_name",
]
