"""Types of identifiers and counters that all subpackages share."""

from typing import NewType

__all__ = [
    "AccountId",
    "Epoch",
    "IdempotencyKey",
    "InstanceId",
    "JobId",
    "LeaseId",
    "Lifetime",
    "QueueName",
    "RackId",
    "RequestId",
    "Revision",
    "ServiceName",
    "TaskId",
    "UpstreamId",
    "WorkerId",
    "ZoneId",
]

AccountId = NewType("AccountId", str)
Epoch = NewType("Epoch", int)
IdempotencyKey = NewType("IdempotencyKey", str)
InstanceId = NewType("InstanceId", str)
JobId = NewType("JobId", str)
LeaseId = NewType("LeaseId", str)
Lifetime = NewType("Lifetime", int)
QueueName = NewType("QueueName", str)
RackId = NewType("RackId", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
ServiceName = NewType("ServiceName", str)
TaskId = NewType("TaskId", str)
UpstreamId = NewType("UpstreamId", str)
WorkerId = NewType("WorkerId", str)
ZoneId = NewType("ZoneId", str)
