"""Worker client wrapper that brings about faults of the network."""

from typing import Any

from magnoliaglade.instances import worker as worker_lib


class WorkerLink:
    """One caller's connection to a worker, with faults of the network.

    Attributes:
        is_cut: every call raises `WorkerUnreachableError`.
        lost_answers: number of coming calls that take effect and then raise
            `WorkerOutcomeUnknownError`.
        lost_requests: number of coming calls that raise
            `WorkerOutcomeUnknownError` and have no effect.
        call_count: calls made, failed ones included.
    """

    def __init__(self, *, worker: worker_lib.WorkerClient) -> None:
        self.worker = worker
        self.is_cut = False
        self.lost_answers = 0
        self.lost_requests = 0
        self.call_count = 0

    def __getattr__(self, name: str) -> Any:
        """Returns the worker's method with the faults in front of it."""
        method = getattr(self.worker, name)

        async def call(*args: Any, **options: Any) -> Any:
            self.call_count += 1
            if self.is_cut:
                raise worker_lib.WorkerUnreachableError("link is cut")
            if self.lost_requests > 0:
                self.lost_requests -= 1
                raise worker_lib.WorkerOutcomeUnknownError("request lost")
            result = await method(*args, **options)
            if self.lost_answers > 0:
                self.lost_answers -= 1
                raise worker_lib.WorkerOutcomeUnknownError("answer lost")
            return result

        return call
