"""The owner of one scheduling domain and its renewal delegate."""

from magnoliaglade.execution._delegate import (
    DelegateNotifier,
    DelegateRenewal,
    RenewalDelegate,
)
from magnoliaglade.execution._errors import (
    ExecutionError,
    ForwardError,
    NotOwnerError,
    NotRunError,
    OutcomeUnknownError,
    RecordError,
    UnknownJobError,
)
from magnoliaglade.execution._hooks import OwnerHooks
from magnoliaglade.execution._launch import (
    GANG_CONFIRM_S,
    RESERVATION_TTL_S,
    TASK_LEASE_TTL_S,
    LaunchOutcome,
    LaunchStep,
)
from magnoliaglade.execution._loads import DomainLoad, LoadBoard, measure_load
from magnoliaglade.execution._owner import DomainOwner
from magnoliaglade.execution._records import (
    Accepted,
    FailureCause,
    JobEntry,
    JobPhase,
    JobSpec,
    decode_record,
    encode_record,
    make_job_id,
)
from magnoliaglade.execution._router import JobRouter
from magnoliaglade.execution._routing_replies import (
    FoundJob,
    domain_of,
    zone_of,
)
from magnoliaglade.execution._steps import JobStep
from magnoliaglade.execution._table import JobTable

__all__ = [
    "GANG_CONFIRM_S",
    "RESERVATION_TTL_S",
    "TASK_LEASE_TTL_S",
    "Accepted",
    "DelegateNotifier",
    "DelegateRenewal",
    "DomainLoad",
    "DomainOwner",
    "ExecutionError",
    "FailureCause",
    "ForwardError",
    "FoundJob",
    "JobEntry",
    "JobPhase",
    "JobRouter",
    "JobSpec",
    "JobStep",
    "JobTable",
    "LaunchOutcome",
    "LaunchStep",
    "LoadBoard",
    "NotOwnerError",
    "NotRunError",
    "OutcomeUnknownError",
    "OwnerHooks",
    "RecordError",
    "RenewalDelegate",
    "UnknownJobError",
    "decode_record",
    "domain_of",
    "encode_record",
    "make_job_id",
    "measure_load",
    "zone_of",
]
