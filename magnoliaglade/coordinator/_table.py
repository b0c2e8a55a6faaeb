"""All jobs of the coordinator, and the runs on each worker."""

from collections.abc import Iterable, Iterator

from magnoliaglade.jobs import (
    Attempt,
    Job,
    JobProgress,
    RunOutcome,
    StepKey,
    TaskKey,
)
from magnoliaglade.types import JobId, Lifetime, WorkerId


class JobTable:
    """Jobs by id, with an index of attempts by worker.

    Attributes:
        jobs: all jobs.
        active: ids of the jobs that can change or have runs on workers.
    """

    def __init__(self) -> None:
        self.jobs: dict[JobId, JobProgress] = {}
        self.active: set[JobId] = set()
        self._by_worker: dict[WorkerId, set[tuple[JobId, TaskKey]]] = {}

    def add(self, job: Job) -> JobProgress:
        """Adds a job without progress."""
        return self.restore(JobProgress(job=job))

    def restore(self, progress: JobProgress) -> JobProgress:
        """Adds a job with its progress."""
        job = progress.job.job
        self.jobs[job] = progress
        for key, attempt in progress.attempts():
            self._tasks_on(attempt.worker).add((job, key))
        self.update_active(job)
        return progress

    def remove(self, job: JobId) -> None:
        """Removes a job that has ended."""
        self.jobs.pop(job, None)
        self.active.discard(job)

    def update_active(self, job: JobId) -> None:
        """Marks a job as active if it can change or has runs on workers."""
        progress = self.jobs[job]
        has_runs = next(progress.attempts(), None) is not None
        if has_runs or not progress.state.is_final:
            self.active.add(job)
        else:
            self.active.discard(job)

    def active_jobs(self) -> Iterator[JobProgress]:
        """Yields the active jobs in order of acceptance."""
        found = [self.jobs[j] for j in self.active]
        found.sort(key=lambda p: (p.job.accepted_at_s, p.job.job))
        yield from found

    def add_planned_runs(
        self,
        progress: JobProgress,
        key: StepKey,
        placement: Iterable[tuple[int, WorkerId, Lifetime]],
        *,
        now_s: float,
    ) -> list[TaskKey]:
        """Records planned runs; see `JobProgress.add_planned_runs`."""
        keys = progress.add_planned_runs(key, placement, now_s=now_s)
        for task_key in keys:
            task = progress.task(task_key)
            if task is not None and task.attempt is not None:
                self._tasks_on(task.attempt.worker).add(
                    (progress.job.job, task_key)
                )
        return keys

    def end_run(
        self,
        progress: JobProgress,
        key: TaskKey,
        run: int,
        outcome: RunOutcome,
        *,
        now_s: float,
    ) -> Attempt | None:
        """Applies the end of a run; returns its attempt if it was current.

        See `JobProgress.end_run`.
        """
        task = progress.task(key)
        attempt = task.attempt if task else None
        if attempt is None or not progress.end_run(
            key, run, outcome, now_s=now_s
        ):
            return None
        self._tasks_on(attempt.worker).discard((progress.job.job, key))
        self.update_active(progress.job.job)
        return attempt

    def attempts_on(
        self, worker: WorkerId
    ) -> list[tuple[JobProgress, TaskKey, Attempt]]:
        """Returns the attempts that are, or may be, on a worker."""
        found: list[tuple[JobProgress, TaskKey, Attempt]] = []
        for job, key in self._by_worker.get(worker, ()):
            progress = self.jobs[job]
            task = progress.task(key)
            if task is not None and task.attempt is not None:
                found.append((progress, key, task.attempt))
        return found

    def has_attempts_on(self, worker: WorkerId) -> bool:
        """Returns whether attempts are, or may be, on a worker."""
        return bool(self._by_worker.get(worker))

    def count_attempts(self) -> int:
        """Returns the number of attempts on all workers."""
        return sum(len(keys) for keys in self._by_worker.values())

    def workers(self) -> list[WorkerId]:
        """Returns the workers that have attempts."""
        return [w for w, keys in self._by_worker.items() if keys]

    def _tasks_on(self, worker: WorkerId) -> set[tuple[JobId, TaskKey]]:
        return self._by_worker.setdefault(worker, set())
