"""Identifiers shared by all subpackages."""

from typing import NewType

__all__ = [
    "AccountId",
    "Epoch",
    "IdempotencyKey",
    "InstanceId",
    "JobId",
    "LeaseId",
    "RackId",
    "RequestId",
    "Revision",
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
RackId = NewType("RackId", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
TaskId = NewType("TaskId", str)
UpstreamId = NewType("UpstreamId", str)
WorkerId = NewType("WorkerId", str)
ZoneId = NewType("ZoneId", str)
