"""Stops runs that stand still or that outlive their worker."""

from collections.abc import Callable

from magnoliaglade import clock as clock_lib
from magnoliaglade import observability
from magnoliaglade.coordinator import _watchdog
from magnoliaglade.coordinator._link import WorkerLink
from magnoliaglade.coordinator._orders import OrderSender
from magnoliaglade.coordinator._table import JobTable
from magnoliaglade.jobs import (
    Attempt,
    JobProgress,
    StepKey,
    StepProgress,
    StepSpec,
    StopCause,
)
from magnoliaglade.types import WorkerId

# Shortest time between two checks in seconds; reports come once a second.
CHECK_S = 0.1


class RunWatch:
    """Checks all runs against `_watchdog`.

    Attributes:
        table: the jobs.
        links: links by worker.
        sender: sends stops.
        clock: source of time.
        stop_s: longest time that a worker takes to stop a run, in seconds.
        on_stall: called with job and worker of a run that stands still.
    """

    def __init__(
        self,
        *,
        table: JobTable,
        links: dict[WorkerId, WorkerLink],
        sender: OrderSender,
        clock: clock_lib.Clock,
        stop_s: float,
        on_stall: Callable[[JobProgress, WorkerId], None],
    ) -> None:
        self.table = table
        self.links = links
        self.sender = sender
        self.clock = clock
        self.stop_s = stop_s
        self.on_stall = on_stall
        self._checked_at_s = float("-inf")

    def check(self) -> None:
        """Checks all runs, unless that was done a moment ago."""
        now_s = self.clock.now()
        if now_s - self._checked_at_s < CHECK_S:
            return
        self._checked_at_s = now_s
        for job in list(self.table.active):
            progress = self.table.jobs[job]
            for key, step in list(progress.steps.items()):
                if not step.is_done:
                    self._check_step(progress, key, step, now_s)

    def _check_step(
        self,
        progress: JobProgress,
        key: StepKey,
        step: StepProgress,
        now_s: float,
    ) -> None:
        spec = progress.spec_of(key)
        attempts = list(step.attempts())
        if not attempts:
            return
        groups = [attempts] if spec.is_gang else [[a] for a in attempts]
        for group in groups:
            index = None if spec.is_gang else group[0][0]
            runs = [attempt for _, attempt in group]
            stalled = _watchdog.stalled_runs(spec, runs)
            if stalled:
                self._give_up(progress, key, index, stalled, StopCause.STALLED)
                self._suspect(progress, stalled, runs)
                continue
            leaving = [a for a in runs if self._must_leave(spec, a, now_s)]
            if leaving:
                self._give_up(
                    progress, key, index, leaving, StopCause.WORKER_LEAVES
                )

    def _must_leave(
        self, spec: StepSpec, attempt: Attempt, now_s: float
    ) -> bool:
        link = self.links.get(attempt.worker)
        if link is None:
            return False
        departure = _watchdog.Departure(
            leaves_at_s=link.leaves_at_s, stop_s=self.stop_s
        )
        remaining_s = spec.estimate_s * (100.0 - attempt.percent) / 100.0
        return _watchdog.must_leave(
            spec, attempt, departure, now_s=now_s, remaining_s=remaining_s
        )

    def _suspect(
        self, progress: JobProgress, stalled: list[Attempt], runs: list[Attempt]
    ) -> None:
        """Takes note of the workers that hold a step up."""
        if len(runs) > 1 and len(stalled) == len(runs):
            # No member of the gang is worse than the others.
            return
        for attempt in stalled:
            self.on_stall(progress, attempt.worker)

    def _give_up(
        self,
        progress: JobProgress,
        key: StepKey,
        index: int | None,
        runs: list[Attempt],
        cause: StopCause,
    ) -> None:
        observability.log_event(
            "run",
            state="given up",
            reason=cause.value,
            job=progress.job.job,
            step=list(key),
            index=index,
            runs=[
                [a.worker, a.run, a.percent, round(a.no_progress_s, 2)]
                for a in runs
            ],
        )
        self.sender.stop_unit(progress, key, index, cause)
