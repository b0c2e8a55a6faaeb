"""Store keys of jobs and of their progress.

Requests of clients and decisions of the coordinator have different prefixes, so
that the coordinator's watch does not fire on the coordinator's own writes.
"""

import enum
import hashlib

from magnoliaglade.types import AccountId, JobId

INTAKE_PREFIX = "magnoliaglade/in/"
PROGRESS_PREFIX = "magnoliaglade/out/"
# Outside of the intake: the coordinator need not learn of jobs that never come
# into being.
WITHDRAWAL_PREFIX = "magnoliaglade/withdrawn/"
COORDINATOR_KEY = "magnoliaglade/coordinator"
COUNTS_KEY = "magnoliaglade/counts"
SPEEDS_KEY = "magnoliaglade/speeds"


class IntakeKind(enum.Enum):
    """Kind of record under the intake prefix; the value is the key suffix."""

    JOB = ""
    CANCELLATION = "/cancel"
    COMPLETION = "/done"


def job_key(job: JobId) -> str:
    """Returns the key of an accepted job."""
    return f"{INTAKE_PREFIX}{job}"


def cancellation_key(job: JobId) -> str:
    """Returns the key whose presence marks a job as cancelled."""
    return f"{INTAKE_PREFIX}{job}{IntakeKind.CANCELLATION.value}"


def withdrawal_key(job: JobId, account: AccountId) -> str:
    """Returns the key whose presence prevents that an account's job is created.

    The digest of the account bounds the length of the key.
    """
    digest = hashlib.sha256(account.encode()).hexdigest()[:16]
    return f"{WITHDRAWAL_PREFIX}{job}/{digest}"


def completion_key(job: JobId) -> str:
    """Returns the key whose presence marks a job as reported completed."""
    return f"{INTAKE_PREFIX}{job}{IntakeKind.COMPLETION.value}"


def progress_key(job: JobId) -> str:
    """Returns the key of a job's progress."""
    return f"{PROGRESS_PREFIX}{job}"


def parse_intake_key(key: str) -> tuple[JobId, IntakeKind]:
    """Returns the job and the kind of record of an intake key."""
    name = key.removeprefix(INTAKE_PREFIX)
    for kind in (IntakeKind.CANCELLATION, IntakeKind.COMPLETION):
        if name.endswith(kind.value):
            return JobId(name.removesuffix(kind.value)), kind
    return JobId(name), IntakeKind.JOB
