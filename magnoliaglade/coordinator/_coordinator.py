"""One term of the coordinator: from its election until it is replaced."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from magnoliaglade import clock as clock_lib
from magnoliaglade import (
    fleet,
    jobs,
    observability,
    placement,
    store,
    supervision,
)
from magnoliaglade.coordinator._election import LEASE_TTL_S
from magnoliaglade.coordinator._housekeeping import Housekeeping
from magnoliaglade.coordinator._journal import CoordinatorLostError, Journal
from magnoliaglade.coordinator._link import WorkerLink
from magnoliaglade.coordinator._orders import OrderSender
from magnoliaglade.coordinator._permission import Permission, make_limits
from magnoliaglade.coordinator._planning import PlanRunner
from magnoliaglade.coordinator._queue_loads import QueueLoadEstimator
from magnoliaglade.coordinator._reports import ReportHandler
from magnoliaglade.coordinator._run_monitor import RunMonitor
from magnoliaglade.coordinator._snapshot import SnapshotBuilder
from magnoliaglade.coordinator._speed_store import SpeedStore
from magnoliaglade.coordinator._table import JobTable
from magnoliaglade.coordinator._waste import WasteLog
from magnoliaglade.coordinator._worker_registry import (
    LIST_INTERVAL_S,
    WorkerRegistry,
)
from magnoliaglade.fleet import ListedWorker, WorkerReport
from magnoliaglade.jobs import (
    AttemptState,
    JobProgress,
    RunOutcome,
    StopCause,
    TaskKey,
    keys,
)
from magnoliaglade.placement import Evidence
from magnoliaglade.routing import Configuration
from magnoliaglade.types import Epoch, JobId, WorkerId, ZoneId

# Timeout of a watch on submissions, in seconds.
INTAKE_WATCH_TIMEOUT_S = 1.5
# Number of runs and queued orders up to which a worker is polled again at once.
# Each poll reports all runs of its worker and returns at the first end, so that
# thousands of runs that end in turn cost the square of their number, and the
# orders that wait to be sent are delayed.
UNTHROTTLED_RUNS = 1_000
# Increase of the shortest time between polls of a worker with each further run
# or order, in seconds, and its limit. A row of a report costs about 40 us.
POLL_INTERVAL_PER_RUN_S = 100e-6
MAX_POLL_INTERVAL_S = 1.0
# Timeout for storing pending changes when the term is cancelled, in seconds.
FINAL_STORE_TIMEOUT_S = 0.4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Timings:
    """Time limits of the deployment, in seconds.

    Attributes:
        longest_lease_s: longest lease of a run.
        stop_s: longest time that a worker takes to stop a run.
        status_s: shortest time for which the state of an ended job remains
            available.
        restore_s: time to resume from a checkpoint.
        evacuate_s: time after the removal of a zone from which nothing may
            start there.
        drain_s: time after the beginning of a worker's draining from which
            nothing may start on it.
    """

    longest_lease_s: float
    stop_s: float
    status_s: float
    restore_s: float
    evacuate_s: float
    drain_s: float


class Coordinator:
    """Places jobs on workers in one epoch.

    Attributes:
        store: the platform's key-value service.
        clock: source of time.
        epoch: epoch of this term, which is also the revision of its key.
        connect: returns a client for a worker.
        list_workers: reads the list of workers.
        configuration: returns the configuration in force.
        removed_zones: returns the zones in which nothing may start.
        unconfirmed_s: returns the seconds since the store last confirmed this
            coordinator.
        zones_age_s: returns the age of configuration and removed zones, in
            seconds.
        timings: time limits of the deployment.
        planner: makes plans.
        observe_plan: called with the duration of each plan, in seconds.
        observe_waste: called with the cause and the core-seconds of wasted
            work.
        observe_gang: called with the option of each start of an urgent gang
            with a rack constraint.
        observe_unexpected: called with the kind of each run or end that a
            worker lists although the run counts as ended.
        observe_deferred: called with the priority of each demand that is
            deferred in favour of others.
    """

    def __init__(
        self,
        *,
        store: store.TransactionalStore,
        clock: clock_lib.Clock,
        epoch: Epoch,
        connect: Callable[[ListedWorker], fleet.WorkerClient],
        list_workers: Callable[[], Awaitable[list[ListedWorker]]],
        configuration: Callable[[], Configuration | None],
        removed_zones: Callable[[], frozenset[ZoneId]],
        unconfirmed_s: Callable[[], float],
        zones_age_s: Callable[[], float],
        timings: Timings,
        planner: placement.Planner,
        observe_plan: Callable[[float], None] = lambda _: None,
        observe_waste: Callable[[str, float], None] = lambda *_: None,
        observe_gang: Callable[[placement.PlacementOption], None] = lambda _: (
            None
        ),
        observe_unexpected: Callable[[str], None] = lambda _: None,
        observe_deferred: Callable[[int], None] = lambda _: None,
    ) -> None:
        self.store = store
        self.clock = clock
        self.epoch = epoch
        self.connect = connect
        self.list_workers = list_workers
        self.configuration = configuration
        self.removed_zones = removed_zones
        self.unconfirmed_s = unconfirmed_s
        self.zones_age_s = zones_age_s
        self.timings = timings
        self.planner = planner
        self.observe_plan = observe_plan
        self.observe_waste = observe_waste
        self.observe_gang = observe_gang
        self.observe_unexpected = observe_unexpected
        self.observe_deferred = observe_deferred
        self._waste = WasteLog(observe_waste=observe_waste)
        self.table = JobTable()
        self.trust = placement.TrustEstimator()
        self.run_times = placement.RunTimeEstimator()
        self.speeds = placement.SpeedEstimator()
        self.links: dict[WorkerId, WorkerLink] = {}
        self.journal = Journal(
            store=store, clock=clock, guard=(keys.COORDINATOR_KEY, epoch)
        )
        self.permission = Permission(
            unconfirmed_s=unconfirmed_s,
            zones_age_s=zones_age_s,
            workers_age_s=lambda: self._worker_registry.list_age_s,
            limits=make_limits(
                lease_ttl_s=LEASE_TTL_S,
                evacuate_s=timings.evacuate_s,
                drain_s=timings.drain_s,
            ),
        )
        self.sender = OrderSender(
            links=self.links,
            clock=clock,
            epoch=epoch,
            permission=self.permission,
            on_end=self._end_run,
            on_fenced=self.handle_fencing,
        )
        self._reports = ReportHandler(
            table=self.table,
            journal=self.journal,
            sender=self.sender,
            trust=self.trust,
            run_times=self.run_times,
            speeds=self.speeds,
            clock=clock,
            on_end=self._end_run,
            observe_unexpected=observe_unexpected,
        )
        snapshot_builder = SnapshotBuilder(
            table=self.table,
            trust=self.trust,
            run_times=self.run_times,
            speeds=self.speeds,
            restore_s=timings.restore_s,
            configuration=configuration,
            removed_zones=removed_zones,
        )
        self._plan_runner = PlanRunner(
            planner=planner,
            snapshot_builder=snapshot_builder,
            table=self.table,
            links=self.links,
            journal=self.journal,
            sender=self.sender,
            permission=self.permission,
            clock=clock,
            run_monitor=RunMonitor(
                table=self.table,
                links=self.links,
                sender=self.sender,
                clock=clock,
                run_times=self.run_times,
                speeds=self.speeds,
                stop_s=timings.stop_s,
                on_stall=self._record_stall,
            ),
            observe_plan=observe_plan,
            observe_gang=observe_gang,
            on_planned=self._store_progress,
            on_lost=self._end_lost_run,
            observe_deferred=observe_deferred,
        )
        self._worker_registry = WorkerRegistry(
            links=self.links,
            table=self.table,
            trust=self.trust,
            speeds=self.speeds,
            clock=clock,
            owner=self,
            connect=connect,
            list_workers=list_workers,
            longest_lease_s=timings.longest_lease_s,
            on_lost=self._end_lost_run,
            on_draining=self._plan_runner.wake.set,
        )
        self._housekeeping = Housekeeping(
            store=store,
            clock=clock,
            table=self.table,
            journal=self.journal,
            permission=self.permission,
            status_s=timings.status_s,
            estimate_loads=QueueLoadEstimator(
                table=self.table,
                snapshot_builder=snapshot_builder,
                configuration=configuration,
                snapshot=lambda: self._plan_runner.snapshot,
            ).estimate,
        )
        self._speed_store = SpeedStore(
            clock=clock,
            journal=self.journal,
            speeds=self.speeds,
            links=self.links,
        )
        self._replaced = asyncio.Event()
        self._is_loaded = False
        self._stored_entries: dict[str, store.Entry] = {}
        self._intake = _make_intake(self)

    async def run(self) -> None:
        """Runs the coordinator until cancelled; returns when replaced."""
        tasks: list[asyncio.Task[Any]] = []
        try:
            await self._load()
            tasks = [asyncio.ensure_future(self._replaced.wait())]
            tasks.extend(
                asyncio.ensure_future(
                    supervision.keep_running(
                        work,
                        part=part,
                        clock=self.clock,
                        expected=(CoordinatorLostError,),
                    )
                )
                for part, work in (
                    ("journal", self.journal.run),
                    ("intake", self._intake.run),
                    ("worker list", self._worker_registry.run),
                    ("plans", self._plan_runner.run),
                    ("counts", self._housekeeping.publish_counts),
                    ("speeds", self._speed_store.run),
                    ("clean-up", self._housekeeping.clean_up),
                    (
                        "clean-up of withdrawals",
                        self._housekeeping.clean_up_withdrawals,
                    ),
                )
            )
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        except CoordinatorLostError as error:
            observability.log_event(
                "coordinator", state="replaced", reason=str(error)
            )
        except asyncio.CancelledError:
            await self.journal.wait_stored(
                self.journal.position, timeout_s=FINAL_STORE_TIMEOUT_S
            )
            raise
        finally:
            await self._close(tasks)

    def is_busy(self, worker: WorkerId) -> bool:
        """See `LinkOwner.is_busy`."""
        return self.table.has_attempts_on(worker)

    def min_poll_interval_s(self) -> float:
        """See `LinkOwner.min_poll_interval_s`."""
        queued = sum(self.sender.queued().values())
        pending = self.table.count_attempts() + queued - UNTHROTTLED_RUNS
        interval_s = pending * POLL_INTERVAL_PER_RUN_S
        return max(0.0, min(interval_s, MAX_POLL_INTERVAL_S))

    async def wait_stored(self, position: int, *, timeout_s: float) -> bool:
        """See `LinkOwner.wait_stored`."""
        return await self.journal.wait_stored(position, timeout_s=timeout_s)

    def handle_fencing(self, link: WorkerLink) -> None:
        """See `LinkOwner.handle_fencing`."""
        if self._replaced.is_set():
            return
        observability.log_event(
            "coordinator", state="fenced", worker=link.worker, epoch=self.epoch
        )
        self._replaced.set()

    def summary(self, job: JobId) -> jobs.JobSummary | None:
        """Returns a job's state and account.

        An end that runs have brought about counts once its record is stored: a
        successor might never learn of it if the worker is lost too.

        Returns None for an unknown job, and for a state that is not final if a
        successor may have changed it.
        """
        progress = self.table.jobs.get(job)
        if progress is None:
            return None
        state = progress.state
        if progress.end_position > self.journal.stored_position:
            # The start of the run that ended is stored, so a successor also
            # shows the job as running.
            state = jobs.JobState.RUNNING
        if not state.is_final and not self.permission.may_renew():
            # A successor may have changed the state by now; a stored final
            # state does not change.
            return None
        return jobs.JobSummary(state=state, account=progress.job.account)

    def accept_entry(self, entry: store.Entry) -> None:
        """Applies an entry of the intake before the watch returns it.

        Handles moments at which the watch is late: the store is slow or has
        dropped its history. The entry is ignored until the stored jobs are
        loaded, which includes it.
        """
        if self._is_loaded:
            self._intake.add_entry(entry)

    def dump(self) -> dict[str, Any]:
        """Returns the epoch, counts of jobs, and the state of the parts."""
        return {
            "epoch": self.epoch,
            "jobs": len(self.table.jobs),
            "active_jobs": len(self.table.active),
            "workers": {w: x.dump() for w, x in self.links.items()},
            "journal": self.journal.dump(),
            "permission": self.permission.dump(),
        }

    def handle_report(
        self, link: WorkerLink, report: WorkerReport, requested_at_s: float
    ) -> int:
        """See `LinkOwner.handle_report`."""
        position = self._reports.handle(link, report, requested_at_s)
        self.sender.void_late_starts(link)
        return position

    # Loading.

    async def _load(self) -> None:
        """Reads the records that earlier coordinators have stored."""
        while True:
            try:
                entries, _ = await self.store.list_prefix(keys.PROGRESS_PREFIX)
                counts = await self.store.get(keys.COUNTS_KEY)
                speeds = await self.store.get(keys.SPEEDS_KEY)
                entries_by_key = {e.key: e for e in entries}
                for entry in (counts, speeds):
                    if entry is not None:
                        entries_by_key[entry.key] = entry
                self._stored_entries = entries_by_key
                self.journal.load(
                    {k: e.revision for k, e in entries_by_key.items()}
                )
                if speeds is not None:
                    self._speed_store.load(speeds.value)
                await self._intake.reload()
                self._is_loaded = True
                break
            except store.StoreError as error:
                observability.log_event(
                    "coordinator", state="load failed", reason=str(error)
                )
                await self.clock.sleep(LIST_INTERVAL_S)
        observability.log_event(
            "coordinator",
            state="loaded",
            epoch=self.epoch,
            jobs=len(self.table.jobs),
            active=len(self.table.active),
            workers_in_use=len(self.table.workers()),
        )

    # Jobs.

    def handle_intake(self, changed: Iterable[str]) -> None:
        """Applies new submissions, cancellations and completions."""
        affected: set[JobId] = set()
        for key in sorted(changed):
            entry = self._intake.entries.get(key)
            job, kind = keys.parse_intake_key(key)
            if entry is None:
                continue
            if kind is keys.IntakeKind.JOB and job not in self.table.jobs:
                self._add_job(entry)
            affected.add(job)
        for job in sorted(affected):
            # An announced cancellation can arrive before its job.
            self._apply_end_requests(job)
        self._plan_runner.wake.set()

    def _add_job(self, entry: store.Entry) -> None:
        try:
            job = jobs.decode_job(entry.value)
        except jobs.RecordError as error:
            observability.log_event(
                "job", state="unreadable", key=entry.key, reason=str(error)
            )
            return
        stored = self._stored_entries.pop(keys.progress_key(job.job), None)
        if stored is None:
            self.table.add(job)
            return
        try:
            progress = jobs.decode_progress(
                stored.value, job=job, now_s=self.clock.now()
            )
        except jobs.RecordError as error:
            observability.log_event(
                "job", state="unreadable", key=stored.key, reason=str(error)
            )
            return
        self.table.restore(progress)
        if progress.state.is_final:
            self._housekeeping.record_job_end(job.job)
            self._stop_all(progress)

    def _apply_end_requests(self, job: JobId) -> None:
        """Applies the stored cancellation and completion of a job."""
        progress = self.table.jobs.get(job)
        if progress is None:
            return
        entries = self._intake.entries
        for key, end_job in (
            (keys.cancellation_key(job), progress.cancel),
            (keys.completion_key(job), progress.complete),
        ):
            if key in entries and end_job():
                self._finish_job(progress)
                self._store_progress(progress)
                self._stop_all(progress)

    def _finish_job(self, progress: JobProgress) -> None:
        job = progress.job.job
        self._housekeeping.record_job_end(job)
        self.table.update_active(job)
        run_times_s = self.run_times.step_run_times_s(progress.job)
        arrived_at_s = progress.job.arrived_at_s(0)
        objective_at_s = progress.job.objective_at_s(
            0, progress.job.chain_lengths_s(run_times_s)
        )
        observability.log_event(
            "job",
            state=progress.state.value,
            job=job,
            priority=progress.job.priority,
            took_s=round(self.clock.time() - arrived_at_s, 3),
            objective_s=round(objective_at_s - arrived_at_s, 3),
        )

    def _stop_all(self, progress: JobProgress) -> None:
        for key, attempt in list(progress.attempts()):
            self.sender.send_stop(progress, key, attempt, StopCause.JOB_ENDED)

    def _store_progress(self, progress: JobProgress) -> int:
        return self.journal.write(
            keys.progress_key(progress.job.job),
            lambda: jobs.encode_progress(progress),
        )

    def _end_run(
        self, progress: JobProgress, key: TaskKey, run: int, outcome: RunOutcome
    ) -> None:
        was_final = progress.state.is_final
        attempt = self.table.end_run(
            progress, key, run, outcome, now_s=self.clock.now()
        )
        if attempt is None:
            return
        self._waste.record_run_end(
            progress, key, attempt, outcome, wall_s=self.clock.time()
        )
        if progress.state.is_final and not was_final:
            self._finish_job(progress)
            # Members of a complete gang end by themselves.
            if progress.state is not jobs.JobState.COMPLETED:
                self._stop_all(progress)
        elif outcome is not RunOutcome.DONE:
            self._stop_rest_of_gang(progress, key, run)
        position = self._store_progress(progress)
        if progress.state.is_final and not was_final:
            progress.end_position = position
        self._plan_runner.wake.set()

    def _end_lost_run(
        self, progress: JobProgress, key: TaskKey, run: int
    ) -> None:
        self._end_run(progress, key, run, RunOutcome.LOST)

    def _record_stall(self, progress: JobProgress, worker: WorkerId) -> None:
        self._reports.record_evidence(progress, worker, Evidence.STALL)

    def _stop_rest_of_gang(
        self, progress: JobProgress, key: TaskKey, run: int
    ) -> None:
        """Stops the members that cannot continue without the ended one."""
        step_key = jobs.StepKey(key.occurrence, key.step)
        if not progress.spec_of(step_key).is_gang:
            return
        step = progress.steps.get(step_key)
        if step is None or step.is_done:
            return
        for index, attempt in list(step.attempts()):
            is_member = attempt.run == run
            if is_member and attempt.state is not AttemptState.STOPPING:
                self.sender.send_stop(
                    progress,
                    TaskKey(*step_key, index),
                    attempt,
                    StopCause.GANG,
                )

    # Shutdown.

    async def _close(self, tasks: list[asyncio.Task[Any]]) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._plan_runner.close()
        await self.sender.close()
        for link in self.links.values():
            await link.stop()


def _make_intake(coordinator: Coordinator) -> store.PrefixWatcher:
    return store.PrefixWatcher(
        store=coordinator.store,
        clock=coordinator.clock,
        prefix=keys.INTAKE_PREFIX,
        wait_s=INTAKE_WATCH_TIMEOUT_S,
        on_change=coordinator.handle_intake,
    )
