"""Stops stalled runs and runs whose worker leaves before they can end."""

from collections.abc import Callable

from magnoliaglade import clock as clock_lib
from magnoliaglade import observability, placement
from magnoliaglade.coordinator import _watchdog
from magnoliaglade.coordinator._link import WorkerLink
from magnoliaglade.coordinator._orders import OrderSender
from magnoliaglade.coordinator._table import JobTable
from magnoliaglade.jobs import (
    Attempt,
    AttemptState,
    JobProgress,
    StepKey,
    StepProgress,
    StepSpec,
    StopCause,
)
from magnoliaglade.types import WorkerId

# Shortest time between two checks in seconds; reports arrive once a second.
CHECK_INTERVAL_S = 0.1


class RunMonitor:
    """Checks all runs with the rules of `_watchdog`.

    Attributes:
        table: the jobs.
        links: links by worker.
        sender: sends stops.
        clock: source of time.
        run_times: predicts run times from declared ones.
        speeds: estimates the speeds of workers.
        stop_s: longest time that a worker takes to stop a run, in seconds.
        on_stall: called with job and worker of a stalled run.
    """

    def __init__(
        self,
        *,
        table: JobTable,
        links: dict[WorkerId, WorkerLink],
        sender: OrderSender,
        clock: clock_lib.Clock,
        run_times: placement.RunTimeEstimator,
        speeds: placement.SpeedEstimator,
        stop_s: float,
        on_stall: Callable[[JobProgress, WorkerId], None],
    ) -> None:
        self.table = table
        self.links = links
        self.sender = sender
        self.clock = clock
        self.run_times = run_times
        self.speeds = speeds
        self.stop_s = stop_s
        self.on_stall = on_stall
        self._checked_at_s = float("-inf")

    def check(self) -> None:
        """Checks all runs, at most once in `CHECK_INTERVAL_S` seconds."""
        now_s = self.clock.now()
        if now_s - self._checked_at_s < CHECK_INTERVAL_S:
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
            if not any(self._may_have_to_stop(a) for _, a in group):
                continue
            index = None if spec.is_gang else group[0][0]
            runs = [attempt for _, attempt in group]
            stalled = _watchdog.stalled_runs(spec, runs)
            if stalled:
                self._stop_runs(
                    progress, key, index, stalled, StopCause.STALLED
                )
                self._report_stalls(progress, stalled, runs)
                continue
            run_time_s = self.run_times.run_time_s(
                progress.job.queue, spec.estimate_s
            )
            departing = [
                a for a in runs if self._must_stop(spec, a, run_time_s, now_s)
            ]
            if departing:
                self._stop_runs(
                    progress, key, index, departing, StopCause.WORKER_LEAVES
                )

    def _may_have_to_stop(self, attempt: Attempt) -> bool:
        """Returns False for most runs, at a low cost for thousands of them."""
        if attempt.state is not AttemptState.RUNNING:
            return False
        link = self.links.get(attempt.worker)
        return attempt.no_progress_s > _watchdog.STALL_GRACE_S or (
            link is not None and link.leaves_at_s != float("inf")
        )

    def _must_stop(
        self, spec: StepSpec, attempt: Attempt, run_time_s: float, now_s: float
    ) -> bool:
        link = self.links.get(attempt.worker)
        if link is None:
            return False
        departure = _watchdog.Departure(
            leaves_at_s=link.leaves_at_s, stop_s=self.stop_s
        )
        speed = self.speeds.known_lasting_speed(attempt.worker)
        remaining_s = run_time_s / speed * (100.0 - attempt.percent) / 100.0
        return _watchdog.must_stop_before_departure(
            spec, attempt, departure, now_s=now_s, remaining_s=remaining_s
        )

    def _report_stalls(
        self, progress: JobProgress, stalled: list[Attempt], runs: list[Attempt]
    ) -> None:
        """Reports the workers whose stalled runs delay a step."""
        if len(runs) > 1 and len(stalled) == len(runs):
            # All members of the gang have stalled: none is worse than the
            # others.
            return
        for attempt in stalled:
            self.on_stall(progress, attempt.worker)

    def _stop_runs(
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
        self.sender.stop_step_runs(progress, key, index, cause)
