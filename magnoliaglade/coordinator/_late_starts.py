"""Start orders without an answer, which workers may execute late."""

import dataclasses
from collections.abc import Iterator

from magnoliaglade import clock as clock_lib
from magnoliaglade.coordinator._link import MAX_ORDER_DELAY_S
from magnoliaglade.jobs import Attempt, JobProgress, TaskKey
from magnoliaglade.types import Lifetime, WorkerId

# Identifies a run and where it is: name of the task, number of the run, worker.
RunKey = tuple[str, int, WorkerId]


@dataclasses.dataclass(kw_only=True, slots=True)
class UnansweredStart:
    """A start order without an answer, which may be executed late.

    Attributes:
        progress: the job.
        key: the task.
        attempt: the run.
        lifetime: lifetime of the worker that was sent the order, or that has
            last confirmed a stop of the run.
        expires_at_s: monotonic time from which the order has no effect.
    """

    progress: JobProgress
    key: TaskKey
    attempt: Attempt
    lifetime: Lifetime
    expires_at_s: float


class UnansweredStarts:
    """The unanswered starts by worker, as long as they may have an effect.

    Attributes:
        clock: source of time.
    """

    def __init__(self, *, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self._starts: dict[WorkerId, list[UnansweredStart]] = {}

    def __iter__(self) -> Iterator[WorkerId]:
        return iter(self._starts)

    def record(
        self,
        progress: JobProgress,
        key: TaskKey,
        attempt: Attempt,
        *,
        lifetime: Lifetime,
    ) -> UnansweredStart:
        """Adds a start; drops what has expired."""
        now_s = self.clock.now()
        # Workers that are gone send no report that would drop their starts.
        for worker, starts in list(self._starts.items()):
            if all(s.expires_at_s <= now_s for s in starts):
                del self._starts[worker]
        start = UnansweredStart(
            progress=progress,
            key=key,
            attempt=attempt,
            lifetime=lifetime,
            expires_at_s=now_s + MAX_ORDER_DELAY_S,
        )
        self._starts.setdefault(attempt.worker, []).append(start)
        return start

    def extend(self, start: UnansweredStart) -> None:
        """Records that the order may have been sent up to now."""
        start.expires_at_s = self.clock.now() + MAX_ORDER_DELAY_S

    def valid_starts(self, worker: WorkerId) -> list[UnansweredStart]:
        """Returns the starts at a worker that may still have an effect."""
        now_s = self.clock.now()
        starts = [
            s for s in self._starts.pop(worker, ()) if s.expires_at_s > now_s
        ]
        if starts:
            self._starts[worker] = starts
        return starts


def run_key(progress: JobProgress, key: TaskKey, attempt: Attempt) -> RunKey:
    """Returns the key of a run."""
    return progress.job.task_name(key), attempt.run, attempt.worker


def is_current(progress: JobProgress, key: TaskKey, attempt: Attempt) -> bool:
    """Returns whether a run has not ended."""
    task = progress.task(key)
    return task is not None and task.attempt is attempt
