"""Builds the input of placement from the current state."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence

from magnoliaglade import observability, supervision
from magnoliaglade.coordinator._link import WorkerLink
from magnoliaglade.coordinator._table import JobTable
from magnoliaglade.jobs import (
    AttemptState,
    Job,
    JobProgress,
    StepKey,
    StepSpec,
    TaskKey,
)
from magnoliaglade.placement import (
    MAX_LATENESS_FACTOR,
    Allocation,
    Candidate,
    Claim,
    Demand,
    RunTimeEstimator,
    Snapshot,
    SpeedEstimator,
    TrustEstimator,
    UnitId,
    WorkEstimator,
    WorkObservation,
    excluded_workers,
    job_core_s,
    job_value,
    step_core_s,
)
from magnoliaglade.routing import Configuration
from magnoliaglade.types import AccountId, JobId, ServiceName, ZoneId

# Time in seconds for which a job is not planned after an unexpected error.
REPLAN_DELAY_S = 5.0
_NO_LOST_WORK: Mapping[UnitId, float] = {}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _PlannableJob:
    """A job with what all of its allocations and demands share.

    Attributes:
        progress: the job.
        run_times_s: expected run time of a task of each step, in seconds.
        is_protected: the job is within its account's guarantee.
        work_ratio: work of the job, as a ratio to the mean of its queue.
    """

    progress: JobProgress
    run_times_s: list[float]
    is_protected: bool
    work_ratio: float


class SnapshotBuilder:
    """Converts jobs and links into the input of placement.

    Attributes:
        table: the jobs.
        trust: estimates the suspicion of workers.
        run_times: predicts run times from declared ones.
        speeds: estimates the speeds of workers.
        restore_s: time to resume from a checkpoint, in seconds.
        configuration: returns the configuration in force.
        removed_zones: returns the zones in which nothing may start.
    """

    def __init__(
        self,
        *,
        table: JobTable,
        trust: TrustEstimator,
        run_times: RunTimeEstimator,
        speeds: SpeedEstimator,
        restore_s: float,
        configuration: Callable[[], Configuration | None],
        removed_zones: Callable[[], frozenset[ZoneId]],
    ) -> None:
        self.table = table
        self.trust = trust
        self.run_times = run_times
        self.speeds = speeds
        self.restore_s = restore_s
        self.configuration = configuration
        self.removed_zones = removed_zones
        self.work = WorkEstimator()
        self._excluded_until_s: dict[JobId, float] = {}

    def build(
        self,
        links: Iterable[WorkerLink],
        *,
        wall_s: float,
        now_s: float,
        claims: tuple[Claim, ...] = (),
        lost_core_s: Mapping[UnitId, float] = _NO_LOST_WORK,
    ) -> Snapshot:
        """Returns the snapshot; its times are wall-clock times.

        A snapshot without demands has no allocations.

        Args:
            links: links to all workers.
            wall_s: wall-clock time in seconds.
            now_s: monotonic time in seconds.
            claims: claims that the last plan returned.
            lost_core_s: work discarded so far in favour of each unit, in
                core-seconds.
        """
        protected = self._protected_jobs()
        candidates = tuple(self._make_candidate(x, now_s) for x in links)
        plannable_jobs = []
        for progress in self.table.active_jobs():
            job = progress.job
            run_times_s = self.run_times.step_run_times_s(job)
            plannable = _PlannableJob(
                progress=progress,
                run_times_s=run_times_s,
                is_protected=job.job in protected,
                work_ratio=self._work_ratio(job, run_times_s),
            )
            plannable_jobs.append(plannable)
        demands = [
            demand
            for plannable in plannable_jobs
            if not plannable.progress.state.is_final
            for demand in self._demands_of(
                plannable, candidates, wall_s=wall_s, now_s=now_s
            )
        ]
        allocations: list[Allocation] = []
        # Without demands nothing is planned, and with thousands of runs their
        # allocations take most of the time.
        if demands:
            for plannable in plannable_jobs:
                allocations.extend(self._iter_allocations(plannable, wall_s))
        return Snapshot(
            now_s=wall_s,
            candidates=candidates,
            allocations=tuple(allocations),
            demands=tuple(demands),
            claims=claims,
            lost_core_s=lost_core_s,
        )

    def _work_ratio(self, job: Job, run_times_s: Sequence[float]) -> float:
        """Returns the work of a job as a ratio to the mean of its queue."""
        core_s = job_core_s(job, run_times_s)
        observation = WorkObservation(job.queue, job.job, core_s)
        self.work.partial_fit([observation])
        return self.work.work_ratio(job.queue, core_s)

    def _make_candidate(self, link: WorkerLink, now_s: float) -> Candidate:
        listed = link.listed
        suspicion = self.trust.suspicion(listed.worker, now_s)
        is_allowed = listed.zone not in self.removed_zones()
        return Candidate(
            worker=listed.worker,
            service=listed.service,
            zone=listed.zone,
            rack=listed.rack,
            labels=listed.labels,
            capacity=listed.capacity,
            is_schedulable=link.is_schedulable and is_allowed,
            suspicion=round(suspicion, 1),
            speed=round(self.speeds.speed(listed.worker, now_s), 2),
            lasting_speed=round(
                self.speeds.known_lasting_speed(listed.worker), 2
            ),
            is_overdue=link.is_overdue,
            is_quarantined=self.trust.is_quarantined(listed.worker, now_s),
        )

    def _iter_allocations(
        self, plannable: _PlannableJob, wall_s: float
    ) -> Iterable[Allocation]:
        progress = plannable.progress
        attempts = list(progress.attempts())
        if not attempts:
            return
        chain_lengths_s = progress.job.chain_lengths_s(plannable.run_times_s)
        for key, attempt in attempts:
            spec = progress.job.spec.steps[key.step]
            run_time_s = plannable.run_times_s[
                key.step
            ] / self.speeds.known_lasting_speed(attempt.worker)
            elapsed_s = max(0.0, wall_s - attempt.started_at_s)
            if not attempt.started_at_s:
                elapsed_s = run_time_s * attempt.percent / 100.0
            is_stopping = (
                attempt.state is AttemptState.STOPPING
                or progress.state.is_final
            )
            remaining_s = _remaining_s(run_time_s, elapsed_s, attempt.percent)
            if spec.is_long_running:
                # Ends only when it is stopped, whatever its progress.
                remaining_s = 0.0 if is_stopping else float("inf")
            yield Allocation(
                unit=_unit_id(progress, key),
                index=key.index,
                worker=attempt.worker,
                demand=spec.demand,
                priority=progress.job.priority,
                account=progress.job.account,
                is_protected=plannable.is_protected,
                is_stopping=is_stopping,
                is_gang=spec.is_gang,
                loss_s=self._loss_s(spec, elapsed_s),
                ends_at_s=wall_s + remaining_s,
                latest_end_s=_latest_end_s(
                    progress.job, key, plannable.run_times_s, chain_lengths_s
                ),
                estimate_s=run_time_s,
            )

    def _loss_s(self, spec: StepSpec, elapsed_s: float) -> float:
        if spec.is_checkpointable:
            # A stop saves a checkpoint, so only resuming costs time.
            return min(elapsed_s, self.restore_s)
        return elapsed_s

    def _demands_of(
        self,
        plannable: _PlannableJob,
        candidates: tuple[Candidate, ...],
        *,
        wall_s: float,
        now_s: float,
    ) -> list[Demand]:
        """Returns a job's demands; an error excludes this job for a while."""
        job = plannable.progress.job.job
        if now_s < self._excluded_until_s.get(job, now_s):
            return []
        self._excluded_until_s.pop(job, None)
        try:
            return [
                self._exclude_workers(
                    plannable.progress, demand, candidates, now_s
                )
                for demand in self._iter_demands(plannable, wall_s)
            ]
        except Exception as error:
            self._excluded_until_s[job] = now_s + REPLAN_DELAY_S
            observability.log_event(
                "job",
                state="excluded from planning",
                job=job,
                **supervision.describe_error(error),
            )
            return []

    def _iter_demands(
        self, plannable: _PlannableJob, wall_s: float
    ) -> Iterable[Demand]:
        progress = plannable.progress
        waiting = [
            (key, indexes)
            for key in progress.ready_steps(now_s=wall_s)
            if (indexes := _waiting_indexes(progress, key))
        ]
        if not waiting:
            return
        chain_lengths_s = progress.job.chain_lengths_s(plannable.run_times_s)
        for key, indexes in waiting:
            yield self._make_demand(plannable, key, indexes, chain_lengths_s)

    def _make_demand(
        self,
        plannable: _PlannableJob,
        key: StepKey,
        indexes: tuple[int, ...],
        chain_lengths_s: list[float],
    ) -> Demand:
        progress = plannable.progress
        job = progress.job
        spec = progress.spec_of(key)
        arrived_at_s = job.arrived_at_s(key.occurrence)
        objective_at_s = job.objective_at_s(key.occurrence, chain_lengths_s)
        latest_end_s = arrived_at_s + MAX_LATENESS_FACTOR * (
            objective_at_s - arrived_at_s
        )
        remaining_s = chain_lengths_s[key.step]
        return Demand(
            unit=UnitId(job.job, key),
            service=self._service_of(progress),
            indexes=indexes,
            resources=spec.demand,
            is_gang=spec.is_gang,
            same_rack=spec.same_rack,
            data_rack=spec.data_rack,
            label=spec.label,
            max_per_worker=spec.max_per_worker,
            excluded_workers=frozenset(),
            priority=job.priority,
            account=job.account,
            is_guaranteed=plannable.is_protected,
            arrived_at_s=arrived_at_s,
            estimate_s=plannable.run_times_s[key.step],
            latest_start_s=objective_at_s - remaining_s,
            latest_useful_start_s=latest_end_s - remaining_s,
            has_begun=progress.has_started,
            value=job_value(plannable.work_ratio)
            * _work_share(job, key.step, plannable.run_times_s),
        )

    def _exclude_workers(
        self,
        progress: JobProgress,
        demand: Demand,
        candidates: tuple[Candidate, ...],
        now_s: float,
    ) -> Demand:
        """Excludes workers on which a task of the step has failed."""
        key = demand.unit.step
        failed_at_s = progress.failure_times_s(key)
        if not failed_at_s:
            return demand
        excluded = excluded_workers(
            demand,
            candidates,
            failed_at_s=failed_at_s,
            has_last_attempt=progress.has_last_attempt(key),
            now_s=now_s,
        )
        return dataclasses.replace(demand, excluded_workers=excluded)

    def _service_of(self, progress: JobProgress) -> ServiceName:
        configuration = self.configuration()
        queue = (
            configuration.queue(progress.job.queue) if configuration else None
        )
        return queue.service if queue else progress.job.service

    def _protected_jobs(self) -> set[JobId]:
        """Returns urgent jobs that are within their account's guarantee."""
        configuration = self.configuration()
        accounts = configuration.accounts if configuration else {}
        used: dict[AccountId, int] = {}
        protected: set[JobId] = set()
        for progress in self.table.active_jobs():
            job = progress.job
            if job.priority > 0 or progress.state.is_final:
                continue
            account = accounts.get(job.account)
            if account is None:
                continue
            required = max(
                s.count * s.demand.accelerators for s in job.spec.steps
            )
            total = used.get(job.account, 0) + required
            if total <= account.guaranteed_accelerators:
                used[job.account] = total
                protected.add(job.job)
        return protected


def _unit_id(progress: JobProgress, key: TaskKey) -> UnitId:
    return UnitId(progress.job.job, StepKey(key.occurrence, key.step))


def _waiting_indexes(progress: JobProgress, key: StepKey) -> tuple[int, ...]:
    tasks = progress.step(key).tasks
    waiting = tuple(
        i for i, t in enumerate(tasks) if t.attempt is None and not t.is_done
    )
    # A gang waits until the last run of its previous start has ended.
    if progress.spec_of(key).is_gang and len(waiting) < len(tasks):
        return ()
    return waiting


def _latest_end_s(
    job: Job,
    key: TaskKey,
    run_times_s: Sequence[float],
    chain_lengths_s: Sequence[float],
) -> float:
    """Returns the latest end of a task with which its job is on time."""
    if job.spec.steps[key.step].is_long_running:
        return float("inf")
    following_s = chain_lengths_s[key.step] - run_times_s[key.step]
    return job.objective_at_s(key.occurrence, chain_lengths_s) - following_s


def _work_share(job: Job, step: int, run_times_s: Sequence[float]) -> float:
    """Returns the part of the work of an occurrence that a step does."""
    total = job_core_s(job, run_times_s)
    if not total:
        return 1.0
    return step_core_s(job.spec.steps[step], run_times_s[step]) / total


def _remaining_s(run_time_s: float, elapsed_s: float, percent: float) -> float:
    if percent > 5.0 and elapsed_s > 0.0:
        return elapsed_s * (100.0 - percent) / percent
    return max(0.1, run_time_s - elapsed_s)
