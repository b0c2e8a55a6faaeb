"""Applies workers' reports to the jobs."""

from collections.abc import Callable

from magnoliaglade import clock as clock_lib
from magnoliaglade import jobs, observability, placement
from magnoliaglade.coordinator import _reconcile, _watchdog
from magnoliaglade.coordinator._journal import Journal
from magnoliaglade.coordinator._link import WorkerLink
from magnoliaglade.coordinator._orders import OrderSender
from magnoliaglade.coordinator._table import JobTable
from magnoliaglade.fleet import WorkerReport
from magnoliaglade.jobs import (
    AttemptState,
    JobProgress,
    LossCause,
    RunOutcome,
    StopCause,
    TaskKey,
)
from magnoliaglade.placement import (
    Evidence,
    Observation,
    RunTimeObservation,
    SpeedObservation,
    UnitId,
)
from magnoliaglade.types import WorkerId

OnEnd = Callable[[JobProgress, TaskKey, int, RunOutcome], None]
ObserveUnexpected = Callable[[str], None]

# Longest run time, in seconds, that is measured from the order to the report of
# the end. Longer runs are listed by a report in between, unless reports are
# missing, and then the time of the end is not known.
MAX_MEASURED_RUN_S = _watchdog.MAX_REPORT_GAP_S
# Shortest one; below it the delays of messages outweigh the run time.
MIN_MEASURED_RUN_S = 0.4


class ReportHandler:
    """Applies ends, progress and missing runs from reports.

    Attributes:
        table: the jobs.
        journal: stores what follows from a report.
        sender: sends stops.
        trust: trust estimate that is updated with evidence from ends.
        run_times: run time estimate that is updated with observed run times.
        speeds: estimate of the workers' speeds that is updated with progress.
        clock: source of time.
        on_end: called with job, task, run and outcome of each end.
        observe_unexpected: called with "run" or "end" for each run or end that
            a worker lists although the run counts as ended.
    """

    def __init__(
        self,
        *,
        table: JobTable,
        journal: Journal,
        sender: OrderSender,
        trust: placement.TrustEstimator,
        run_times: placement.RunTimeEstimator,
        speeds: placement.SpeedEstimator,
        clock: clock_lib.Clock,
        on_end: OnEnd,
        observe_unexpected: ObserveUnexpected = lambda _: None,
    ) -> None:
        self.table = table
        self.journal = journal
        self.sender = sender
        self.trust = trust
        self.run_times = run_times
        self.speeds = speeds
        self.clock = clock
        self.on_end = on_end
        self.observe_unexpected = observe_unexpected

    def handle(
        self, link: WorkerLink, report: WorkerReport, requested_at_s: float
    ) -> int:
        """Applies a report; returns the journal position of its ends."""
        self.speeds.set_lifetime(link.worker, report.lifetime)
        attempts = self.table.attempts_on(link.worker)
        expected = {
            id(item): (item, progress, attempt)
            for progress, key, attempt in attempts
            for item in [_make_expected_run(progress, key, attempt)]
        }
        result = _reconcile.reconcile(
            [item for item, _, _ in expected.values()],
            report,
            requested_at_s=requested_at_s,
            applied_end=link.applied_end,
        )
        for item, end in result.ended:
            _, progress, attempt = expected[id(item)]
            progress.confirm_start(attempt)
            if end.outcome is RunOutcome.DONE:
                self._observe_end(progress, item.key, attempt, report)
            progress.save_checkpoint(item.key, end.checkpoint)
            self._record_end(progress, item.key, attempt.worker, end.outcome)
            self.on_end(progress, item.key, item.run, end.outcome)
        run_times: list[RunTimeObservation] = []
        for item, status in result.present:
            _, progress, attempt = expected[id(item)]
            progress.save_checkpoint(item.key, status.checkpoint)
            run_times += self._apply_progress(
                progress, item.key, attempt, status.percent, report
            )
        # Applied together, as the first prediction after each of them fits the
        # queue again.
        self.run_times.partial_fit(run_times)
        for item in result.lost:
            _, progress, attempt = expected[id(item)]
            attempt.loss_cause = LossCause.MISSING
            if item.lifetime != report.lifetime:
                attempt.loss_cause = LossCause.RESTARTED
            self.on_end(progress, item.key, item.run, RunOutcome.LOST)
        for item in result.unsettled:
            _, progress, attempt = expected[id(item)]
            if attempt.state is AttemptState.SENT:
                self._settle_by_stop(progress, item.key, requested_at_s)
        for status in result.orphans:
            self._record_unexpected(link, "run", status.task, status.run)
            self.sender.stop_orphan(link, task=status.task, run=status.run)
        for end in result.unexpected_ends:
            self._record_unexpected(
                link, "end", end.task, end.run, outcome=end.outcome.value
            )
        return self.journal.position

    def _record_unexpected(
        self,
        link: WorkerLink,
        kind: str,
        task: str,
        run: int,
        *,
        outcome: str | None = None,
    ) -> None:
        """Counts and logs a run that a worker lists though it has ended.

        Args:
            link: link to the worker.
            kind: "run" if it is listed as running, "end" if as ended.
            task: name of the task.
            run: number of the run.
            outcome: how the run ended, if it is listed as ended.
        """
        self.observe_unexpected(kind)
        parsed = jobs.parse_task_name(task)
        progress = self.table.jobs.get(parsed[0]) if parsed else None
        current = progress.task(parsed[1]) if parsed and progress else None
        attempt = current.attempt if current else None
        observability.log_event(
            "unexpected",
            listed_as=kind,
            task=task,
            run=run,
            worker=link.worker,
            lifetime=link.lifetime,
            outcome=outcome,
            job_state=progress.state.value if progress else None,
            current_run=attempt.run if attempt else None,
            current_worker=attempt.worker if attempt else None,
        )

    def _record_end(
        self,
        progress: JobProgress,
        key: TaskKey,
        worker: WorkerId,
        outcome: RunOutcome,
    ) -> None:
        evidence = {
            RunOutcome.DONE: Evidence.SUCCESS,
            RunOutcome.FAILED: Evidence.FAILURE,
        }.get(outcome)
        if evidence is not None:
            self.record_evidence(progress, worker, evidence)

    def record_evidence(
        self, progress: JobProgress, worker: WorkerId, evidence: Evidence
    ) -> None:
        """Adds evidence about a worker to the trust estimate."""
        now_s = self.clock.now()
        was_quarantined = self.trust.is_quarantined(worker, now_s)
        observation = Observation(
            worker=worker,
            job=progress.job.job,
            evidence=evidence,
            at_s=now_s,
        )
        self.trust.partial_fit([observation])
        if self.trust.is_quarantined(worker, now_s) and not was_quarantined:
            observability.log_event(
                "worker",
                state="quarantined",
                worker=worker,
                job=progress.job.job,
                evidence=evidence.name.lower(),
                suspicion=round(self.trust.suspicion(worker, now_s), 2),
            )

    def _update_running(
        self, attempt: jobs.Attempt, percent: float, report: WorkerReport
    ) -> None:
        if attempt.settled_at_s is None:
            attempt.settled_at_s = self.clock.now()
        # A delayed order may have reached another lifetime than the one that
        # it was sent to.
        attempt.lifetime = report.lifetime
        _watchdog.record_progress(
            attempt, percent=percent, reported_ms=report.clock_ms
        )

    def _apply_progress(
        self,
        progress: JobProgress,
        key: TaskKey,
        attempt: jobs.Attempt,
        percent: float,
        report: WorkerReport,
    ) -> list[RunTimeObservation]:
        """Applies the progress of a run; returns the observed run time."""
        progress.confirm_start(attempt)
        interval_run_time_s = _watchdog.interval_run_time_s(
            attempt, percent=percent, reported_ms=report.clock_ms
        )
        progressed = percent - attempt.percent
        self._update_running(attempt, percent, report)
        if attempt.state is AttemptState.STOPPING:
            # A run that is being stopped tells nothing about its worker.
            return []
        return self._observe_progress(
            progress, key, attempt, interval_run_time_s, progressed=progressed
        )

    def _observe_progress(
        self,
        progress: JobProgress,
        key: TaskKey,
        attempt: jobs.Attempt,
        interval_run_time_s: float | None,
        *,
        progressed: float,
    ) -> list[RunTimeObservation]:
        """Updates the speed of a worker; returns the observed run time.

        Args:
            progress: the job.
            key: the task.
            attempt: its run.
            interval_run_time_s: run time, in seconds, extrapolated from the
                progress since the last report; None if it is unknown.
            progressed: that progress in percent.
        """
        step_key = jobs.StepKey(key.occurrence, key.step)
        spec = progress.spec_of(step_key)
        if not _is_comparable(spec, attempt):
            return []
        queue = progress.job.queue
        unit = UnitId(progress.job.job, step_key)
        if interval_run_time_s is not None:
            self._observe_speed(
                progress,
                step_key,
                attempt,
                interval_run_time_s,
                share=max(0.0, progressed) / 100.0,
                is_current=True,
            )
        run_time_s = attempt.extrapolated_run_time_s
        if run_time_s is None:
            return []
        return [
            RunTimeObservation(
                queue=queue,
                unit=unit,
                index=key.index,
                worker=attempt.worker,
                declared_s=spec.estimate_s,
                run_time_s=run_time_s
                * self.speeds.lasting_speed(attempt.worker),
            )
        ]

    def _observe_end(
        self,
        progress: JobProgress,
        key: TaskKey,
        attempt: jobs.Attempt,
        report: WorkerReport,
    ) -> None:
        """Updates the lasting speed of a worker with a short run's end.

        Runs whose progress has been measured count by that. Members of a gang
        end with its slowest, which tells nothing about their own workers.
        """
        step_key = jobs.StepKey(key.occurrence, key.step)
        spec = progress.spec_of(step_key)
        is_measured = attempt.percent > attempt.first_percent
        if spec.is_gang or is_measured or not _is_comparable(spec, attempt):
            return
        if attempt.reported_ms:
            elapsed_s = (report.clock_ms - attempt.first_reported_ms) / 1000.0
            share = 1.0 - attempt.first_percent / 100.0
        else:
            if attempt.settled_at_s is None or spec.is_checkpointable:
                return
            elapsed_s = self.clock.now() - attempt.settled_at_s
            share = 1.0
        if not MIN_MEASURED_RUN_S <= elapsed_s <= MAX_MEASURED_RUN_S:
            return
        self._observe_speed(
            progress,
            step_key,
            attempt,
            elapsed_s / share,
            share=share,
            is_current=False,
        )

    def _observe_speed(
        self,
        progress: JobProgress,
        step_key: jobs.StepKey,
        attempt: jobs.Attempt,
        run_time_s: float,
        *,
        share: float,
        is_current: bool,
    ) -> None:
        """Updates the speed of a worker.

        Args:
            progress: the job.
            step_key: the run of a step.
            attempt: a run of one of its tasks.
            run_time_s: its run time in seconds.
            share: share of the run that the run time is extrapolated from.
            is_current: the run time shows the present speed.
        """
        queue = progress.job.queue
        spec = progress.spec_of(step_key)
        sibling_s = self.run_times.sibling_run_time_s(
            queue, UnitId(progress.job.job, step_key), attempt.worker
        )
        expected_s = sibling_s or self.run_times.run_time_s(
            queue, spec.estimate_s
        )
        # Without siblings elsewhere, all tasks of a step deviate alike from the
        # run times of their queue.
        runs = share if sibling_s is not None else share / spec.count
        speed = SpeedObservation(
            worker=attempt.worker,
            ratio=expected_s / run_time_s,
            is_relative=sibling_s is not None,
            at_s=self.clock.now(),
            independent_runs=runs,
            is_current=is_current,
        )
        self.speeds.partial_fit([speed])

    def _settle_by_stop(
        self, progress: JobProgress, key: TaskKey, requested_at_s: float
    ) -> None:
        """Stops a run so that its unanswered start order has no effect."""
        task = progress.task(key)
        attempt = task.attempt if task else None
        if attempt is None or attempt.call_ended_at_s > requested_at_s:
            return
        self.sender.send_stop(progress, key, attempt, StopCause.UNSETTLED)


def _is_comparable(spec: jobs.StepSpec, attempt: jobs.Attempt) -> bool:
    """Returns whether a run shows the run time of its step and its worker."""
    if spec.is_long_running:
        return False
    if attempt.is_off_rack is None:
        return not (spec.same_rack or spec.data_rack)
    return not attempt.is_off_rack


def _make_expected_run(
    progress: JobProgress, key: TaskKey, attempt: jobs.Attempt
) -> _reconcile.ExpectedRun:
    return _reconcile.ExpectedRun(
        job=progress.job.job,
        key=key,
        run=attempt.run,
        lifetime=attempt.lifetime,
        settled_at_s=attempt.settled_at_s,
        is_sent=attempt.state is not AttemptState.PLANNED,
    )
