"""Keys in the store under which instances keep jobs and their progress.

What callers send and what the coordinator decides have different prefixes, so
that the coordinator's watch is not woken by its own writes.
"""

from magnoliaglade.types import JobId

INTAKE_PREFIX = "magnoliaglade/in/"
PROGRESS_PREFIX = "magnoliaglade/out/"
COORDINATOR_KEY = "magnoliaglade/coordinator"
COUNTS_KEY = "magnoliaglade/counts"

_CANCELLATION_SUFFIX = "/cancel"


def job_key(job: JobId) -> str:
    """Returns the key of an accepted job."""
    return f"{INTAKE_PREFIX}{job}"


def cancellation_key(job: JobId) -> str:
    """Returns the key that tells that a job is cancelled."""
    return f"{INTAKE_PREFIX}{job}{_CANCELLATION_SUFFIX}"


def progress_key(job: JobId) -> str:
    """Returns the key of a job's progress."""
    return f"{PROGRESS_PREFIX}{job}"


def job_of(key: str) -> tuple[JobId, bool]:
    """Returns the job of an intake key, and whether it is a cancellation."""
    name = key.removeprefix(INTAKE_PREFIX)
    is_cancellation = name.endswith(_CANCELLATION_SUFFIX)
    return JobId(name.removesuffix(_CANCELLATION_SUFFIX)), is_cancellation
