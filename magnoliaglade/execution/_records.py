"""Records of the job log and their encoding.

A record is msgpack `[kind, fields]`. Decoding ignores unknown fields and fills
missing ones from the defaults, so that two versions of the program read each
other's logs during an upgrade. Times are wall seconds since the Unix epoch,
because records are read by other processes than the one that wrote them.
"""

import dataclasses
import enum
import hashlib
from collections.abc import Callable
from typing import Any

import msgpack

from magnoliaglade import scheduling
from magnoliaglade.execution import _errors
from magnoliaglade.types import AccountId, JobId


class JobPhase(enum.Enum):
    """Where a job stands in this domain."""

    PENDING = "pending"
    ACTIVE = "active"
    MOVING = "moving"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    MOVED = "moved"

    @property
    def is_terminal(self) -> bool:
        """Whether the job never runs again in this domain."""
        return self in _TERMINAL


_TERMINAL = frozenset(
    {JobPhase.FINISHED, JobPhase.FAILED, JobPhase.CANCELLED, JobPhase.MOVED}
)


class FailureCause(enum.Enum):
    """Why an attempt ended without a result."""

    NOT_STARTED = "not-started"
    START_FAILED = "start-failed"
    TASK_FAILED = "task-failed"
    MEMBER_LOST = "member-lost"
    OWNER_LOST = "owner-lost"
    EVICTED = "evicted"
    REFUSED = "refused"

    @property
    def uses_retry(self) -> bool:
        """Whether it counts against the retry cap of the job."""
        return self in _USES_RETRY


# Evictions, and owners that fail, are no fault of the job.
_USES_RETRY = frozenset(
    {
        FailureCause.START_FAILED,
        FailureCause.TASK_FAILED,
        FailureCause.MEMBER_LOST,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobSpec:
    """A job as it was submitted.

    Attributes:
        gang: size and requirements; `gang.attempt` is not used.
        command: program and arguments of every task.
        submission: id chosen by the submitter; a repeated submission with the
            same id is the same job.
    """

    gang: scheduling.Gang
    command: tuple[str, ...]
    submission: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """The domain is responsible for the job.

    Attributes:
        spec: the job.
        attempt: number of the last attempt in earlier domains.
        failures: attempts that used a retry in earlier domains.
        checkpoint: checkpoint to continue from, or "".
        hops: number of domains that the job was moved through.
    """

    spec: JobSpec
    attempt: int = 0
    failures: int = 0
    checkpoint: str = ""
    hops: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decided:
    """An attempt is to start at `placement`."""

    job: JobId
    attempt: int
    placement: scheduling.Placement
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finished:
    """Every member of the attempt has finished."""

    job: JobId
    attempt: int
    at_s: float
    detail: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failed:
    """An attempt ended without a result; `final` ends the job."""

    job: JobId
    attempt: int
    cause: FailureCause
    at_s: float
    final: bool = False
    detail: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancelled:
    """The submitter cancelled the job."""

    job: JobId
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Checkpointed:
    """The attempt can be continued from `checkpoint`."""

    job: JobId
    attempt: int
    checkpoint: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Moving:
    """The job is being forwarded to `domain` and does not start here."""

    job: JobId
    domain: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Moved:
    """The other domain has the job in its log."""

    job: JobId
    at_s: float


@dataclasses.dataclass(kw_only=True)
class JobEntry:
    """State of a job that the records yield.

    Attributes:
        accepted: the job with what earlier domains knew of it.
        phase: where it stands.
        attempt: number of the last attempt, 0 before the first.
        failures: attempts that used a retry.
        checkpoint: checkpoint to continue from, or "".
        placement: of the current attempt; None unless active.
        started_at_s: time of the decision of the current attempt.
        ended_at_s: time at which the job ended.
        detail: result, or reason of the last failure.
        cause: why the last attempt failed, or None.
        domain: where a moving or moved job goes.
    """

    accepted: Accepted
    phase: JobPhase = JobPhase.PENDING
    attempt: int = 0
    failures: int = 0
    checkpoint: str = ""
    placement: scheduling.Placement | None = None
    started_at_s: float = 0.0
    ended_at_s: float = 0.0
    detail: str = ""
    cause: FailureCause | None = None
    domain: str = ""

    @property
    def spec(self) -> JobSpec:
        """The job as submitted."""
        return self.accepted.spec

    @property
    def job(self) -> JobId:
        """Id of the job."""
        return self.spec.gang.job

    @property
    def gang(self) -> scheduling.Gang:
        """The gang with the number of its next or current attempt."""
        is_active = self.phase is JobPhase.ACTIVE
        attempt = self.attempt if is_active else self.attempt + 1
        return dataclasses.replace(self.spec.gang, attempt=attempt)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """State of one job in a compacted log."""

    entry: JobEntry


Record = (
    Accepted
    | Decided
    | Finished
    | Failed
    | Cancelled
    | Checkpointed
    | Moving
    | Moved
    | Snapshot
)

_KINDS: dict[str, type[Any]] = {
    "accepted": Accepted,
    "decided": Decided,
    "finished": Finished,
    "failed": Failed,
    "cancelled": Cancelled,
    "checkpointed": Checkpointed,
    "moving": Moving,
    "moved": Moved,
    "snapshot": Snapshot,
}
_NAMES = {cls: name for name, cls in _KINDS.items()}


def make_job_id(account: AccountId, submission: str) -> JobId:
    """Returns the id of the job of an account's submission.

    It is derived, so that a repeated submission cannot become another job.
    """
    data = msgpack.packb([account, submission])
    return JobId(hashlib.blake2b(data, digest_size=16).hexdigest())


def encode_record(record: Record) -> bytes:
    """Returns the record as it is kept in the log."""
    return msgpack.packb([_NAMES[type(record)], _encode(record)])


def decode_record(data: bytes) -> Record:
    """Returns the record of its encoding.

    Raises:
        RecordError: the kind is unknown or a field is missing or malformed.
    """
    try:
        name, fields = msgpack.unpackb(data)
        return _build(_KINDS[name], fields)
    except (KeyError, TypeError, ValueError) as error:
        raise _errors.RecordError(f"record: {error!r}") from error


def _encode(value: Any) -> Any:
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, tuple):
        return [_encode(v) for v in value]
    if not dataclasses.is_dataclass(value):
        return value
    return {
        f.name: _encode(getattr(value, f.name))
        for f in dataclasses.fields(value)
    }


def _build(cls: type[Any], fields: dict[str, Any]) -> Any:
    known = {}
    for field in dataclasses.fields(cls):
        if field.name not in fields:
            continue
        value = fields[field.name]
        convert = _CONVERTERS.get(field.name)
        if convert is not None and value is not None:
            value = convert(value)
        known[field.name] = value
    return cls(**known)


def _build_as(cls: type[Any]) -> Callable[[Any], Any]:
    return lambda fields: _build(cls, fields)


# By field name; the records use one name for one type throughout.
_CONVERTERS: dict[str, Callable[[Any], Any]] = {
    "spec": _build_as(JobSpec),
    "gang": _build_as(scheduling.Gang),
    "shape": _build_as(scheduling.Shape),
    "placement": _build_as(scheduling.Placement),
    "accepted": _build_as(Accepted),
    "entry": _build_as(JobEntry),
    "command": tuple,
    "assignments": lambda pairs: tuple((w, n) for w, n in pairs),
    "adjacency": scheduling.Adjacency,
    "priority": scheduling.Priority,
    "phase": JobPhase,
    "cause": FailureCause,
}
