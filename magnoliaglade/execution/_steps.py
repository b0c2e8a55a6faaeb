"""Steps of a job outside of its launch, for the fault matrix."""

import enum


class JobStep(enum.Enum):
    """Steps at which the owner is called, writes a record or calls a worker.

    The value is the call point: `owner:` with the name of the owner's method,
    `record:` with the kind of the record, or `worker:` with the name of the
    worker call. `LaunchStep` has the steps of
    a launch.
    """

    ACCEPT = "owner:submit"
    PERSIST = "record:accepted"
    RENEW = "worker:renew"
    CHECKPOINT = "worker:checkpoint"
    RECORD_CHECKPOINT = "record:checkpointed"
    STOP = "worker:stop"
    RELEASE = "worker:release"
    RECORD_FAILURE = "record:failed"
    REPORT = "record:finished"
    CANCEL = "record:cancelled"
    HAND_OVER = "record:moving"
    HANDED_OVER = "record:moved"
    STOP_OWNER = "owner:stop"
    FENCE = "worker:fence"
