"""Keys in the store under which instances keep jobs and their progress.

What callers send and what the coordinator decides have different prefixes, so
that the coordinator's watch is not woken by its own writes.
"""

import enum

from magnoliaglade.types import JobId

INTAKE_PREFIX = "magnoliaglade/in/"
PROGRESS_PREFIX = "magnoliaglade/out/"
COORDINATOR_KEY = "magnoliaglade/coordinator"
COUNTS_KEY = "magnoliaglade/counts"


class IntakeKind(enum.Enum):
    """What a key under the intake prefix tells, with its suffix."""

    JOB = ""
    CANCELLATION = "/cancel"
    COMPLETION = "/done"


def job_key(job: JobId) -> str:
    """Returns the key of an accepted job."""
    return f"{INTAKE_PREFIX}{job}"


def cancellation_key(job: JobId) -> str:
    """Returns the key that tells that a job is cancelled."""
    return f"{INTAKE_PREFIX}{job}{IntakeKind.CANCELLATION.value}"


def completion_key(job: JobId) -> str:
    """Returns the key that tells that a job was shown as completed."""
    return f"{INTAKE_PREFIX}{job}{IntakeKind.COMPLETION.value}"


def progress_key(job: JobId) -> str:
    """Returns the key of a job's progress."""
    return f"{PROGRESS_PREFIX}{job}"


def parse_intake_key(key: str) -> tuple[JobId, IntakeKind]:
    """Returns the job of an intake key, and what the key tells."""
    name = key.removeprefix(INTAKE_PREFIX)
    for kind in (IntakeKind.CANCELLATION, IntakeKind.COMPLETION):
        if name.endswith(kind.value):
            return JobId(name.removesuffix(kind.value)), kind
    return JobId(name), IntakeKind.JOB
