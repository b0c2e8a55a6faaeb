"""Checks the rule LOST for tasks that last.

Broken if such a task has nothing running for 3 s although there is capacity
for it twice over. The 3 s and the 4 s before them are calm, and they begin 6 s
or more after the task's last run.
"""

import asyncio
import time
from collections.abc import Callable

import deployment as deployment_lib

AFTER_LAST_RUN_S = 6.0
CALM_S = 4.0
IDLE_S = 3.0
LOOK_S = 0.1


class LastingTasks:
    """Observes single tasks that last, one of each job."""

    def __init__(
        self, deployment: deployment_lib.Deployment, jobs: list[str]
    ) -> None:
        self._record = deployment.record
        self._pool = deployment.pool
        self._jobs = jobs
        self._last_run_s = dict.fromkeys(jobs, time.monotonic())
        self._idle_since_s: dict[str, float] = {}

    async def observe(
        self,
        for_s: float,
        *,
        calm_since_s: Callable[[], float],
        free_slots: Callable[[], int],
    ) -> None:
        """Observes the tasks for some seconds.

        Args:
            for_s: how long.
            calm_since_s: returns the time of the end of the last disruption.
            free_slots: returns how many such tasks sound executors have room
                for, beside what they run.
        """
        end_s = time.monotonic() + for_s
        left = list(self._jobs)
        while time.monotonic() < end_s:
            await asyncio.sleep(LOOK_S)
            now_s = time.monotonic()
            free = free_slots()
            for job in list(left):
                if self._pool.running(f"{job}.0.0.0"):
                    self._last_run_s[job] = now_s
                    self._idle_since_s.pop(job, None)
                elif not self._is_due(job, now_s, calm_since_s(), free):
                    self._idle_since_s.pop(job, None)
                elif now_s - self._idle_since_s.setdefault(job, now_s) > IDLE_S:
                    left.remove(job)
                    idle_s = now_s - self._last_run_s[job]
                    self._record.rule_broken(
                        f"LOST: {job}.0.0.0 has not run for {idle_s:.1f} s "
                        f"while there is room for {free} such tasks"
                    )

    def _is_due(
        self, job: str, now_s: float, calm_since_s: float, free: int
    ) -> bool:
        return (
            now_s >= calm_since_s + CALM_S
            and now_s >= self._last_run_s[job] + AFTER_LAST_RUN_S
            and free >= 2
        )


def free_accelerators(executor: deployment_lib.Executor) -> int:
    """Returns the accelerators of an executor that no run uses."""
    if not executor.is_up or executor.is_draining:
        return 0
    used = sum(executor.pool.tasks[t].accelerators for t in executor.runs)
    return executor.capacity["gpu"] - used


async def submit(
    deployment: deployment_lib.Deployment,
    job: str,
    *,
    accelerators: int,
    count: int = 1,
    seconds: float = 5.0,
    is_lasting: bool = True,
    **fields: object,
) -> None:
    """Submits a job of one step and requires that it is accepted."""
    step = {
        "count": count,
        "cpu": 1000 * accelerators,
        "memMb": 1024,
        "gpu": accelerators,
        "estimateMs": int(seconds * 1000),
        **fields,
    }
    task = deployment_lib.Task(
        seconds,
        members=count,
        is_gang=bool(fields.get("gang")),
        is_lasting=is_lasting,
        accelerators=accelerators,
    )
    job_fields = {"longRunning": True} if is_lasting else {}
    answer = await deployment.submit(
        deployment.instances[0], "/batch/", job, [step], task, **job_fields
    )
    if answer is None or answer[0] != 200:
        raise RuntimeError(f"job {job} was not accepted: {answer}")


async def wait_for_runs(
    pool: deployment_lib.Pool, job: str, count: int
) -> None:
    """Waits until a number of tasks of a job run."""
    await deployment_lib.wait_until(
        lambda: pool.count_runs(job) >= count, timeout_s=10.0
    )
