"""Messages between entry instances about jobs."""

import dataclasses
import enum

from magnoliaglade import peers


class JobState(enum.Enum):
    """Result of a call about a job."""

    OK = "ok"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    NO_SUCH_JOB = "no-such-job"
    NOT_OWNER = "not-owner"


class JobAction(enum.Enum):
    """What to do with a job."""

    STATUS = "status"
    CANCEL = "cancel"
    FIND_SUBMISSION = "find-submission"


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class JobSubmit(peers.Message):
    """Asks the registrar of a submission to route it.

    Attributes:
        registrar: domain whose owner serialises this submission.
        record: the encoded `Accepted` record.
        zones: zones that the submitter allows; empty for all.
        is_repeated: whether an earlier attempt may have been accepted.
    """

    registrar: str
    record: bytes
    zones: tuple[str, ...] = ()
    is_repeated: bool = True


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class JobAccept(peers.Message):
    """Asks the owner of a domain to accept a job into its log.

    Attributes:
        domain: the domain.
        record: the encoded `Accepted` record.
        registrar: registrar domain of a submission; "" for a moved job.
        epoch: the registrar's epoch.
    """

    domain: str
    record: bytes
    registrar: str = ""
    epoch: int = 0


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class JobCommand(peers.Message):
    """Asks the owner of a domain about a job or a submission.

    Attributes:
        domain: the domain.
        action: a `JobAction` value.
        subject: id of the job or of the submission.
        registrar: registrar domain that looks for a submission.
        epoch: the registrar's epoch.
    """

    domain: str
    action: str
    subject: str
    registrar: str = ""
    epoch: int = 0


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class JobList(peers.Message):
    """Asks the owner of a domain for the jobs of an account."""

    domain: str
    account: str


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class JobReply(peers.Message):
    """Reply to the messages of this module.

    Attributes:
        state: a `JobState` value.
        domain: domain that has the job.
        entries: encoded `Snapshot` records of the jobs.
        reason: why a call had no effect.
    """

    state: str
    domain: str = ""
    entries: tuple[bytes, ...] = ()
    reason: str = ""
