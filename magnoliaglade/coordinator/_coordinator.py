"""One term of the coordinator: from its election until it is replaced."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import msgpack

from magnoliaglade import clock as clock_lib
from magnoliaglade import fleet, jobs, observability, placement, store
from magnoliaglade.coordinator import _reconcile, _watchdog
from magnoliaglade.coordinator._journal import CoordinatorLostError, Journal
from magnoliaglade.coordinator._link import (
    LATE_ORDER_S,
    LEASE_MARGIN_S,
    WorkerLink,
)
from magnoliaglade.coordinator._orders import OrderSender
from magnoliaglade.coordinator._snapshot import RunTimes, SnapshotBuilder
from magnoliaglade.coordinator._table import JobTable
from magnoliaglade.fleet import ListedWorker, WorkerReport
from magnoliaglade.jobs import (
    AttemptState,
    JobProgress,
    RunOutcome,
    TaskKey,
    keys,
)
from magnoliaglade.placement import Evidence, Observation, UnitId
from magnoliaglade.routing import Configuration
from magnoliaglade.types import Epoch, JobId, WorkerId, ZoneId

# Interval of reading the list of workers in seconds; a worker that drains must
# get no work two seconds after it says so.
LIST_S = 0.5
# Longest time between two plans in seconds, for work that falls due.
PLAN_S = 0.25
# Longest wait of a watch on submissions in seconds.
INTAKE_WAIT_S = 1.5
# Interval of publishing counts of waiting jobs in seconds.
COUNTS_S = 0.8
# Leases are renewed without the store's confirmation for this long. Whoever
# takes over waits as long before it gives up a worker that it cannot reach.
UNCONFIRMED_S = 8.0
# Time for storing what is left when the coordinator's place is given up.
RELEASE_S = 0.4
# Ended jobs are removed this long after callers may have forgotten them.
RETENTION_MARGIN_S = 30.0
# Interval of looking for ended jobs to remove, in seconds.
CLEAN_UP_S = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Timings:
    """Bounds of the deployment, in seconds."""

    longest_lease_s: float
    stop_s: float
    status_s: float
    run_times: RunTimes


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
        timings: bounds of the deployment.
        planner: makes plans.
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
        timings: Timings,
        planner: placement.Planner,
    ) -> None:
        self.store = store
        self.clock = clock
        self.epoch = epoch
        self.connect = connect
        self.list_workers = list_workers
        self.configuration = configuration
        self.removed_zones = removed_zones
        self.unconfirmed_s = unconfirmed_s
        self.timings = timings
        self.planner = planner
        self.table = JobTable()
        self.trust = placement.TrustEstimator()
        self.links: dict[WorkerId, WorkerLink] = {}
        self.journal = Journal(
            store=store, clock=clock, guard=(keys.COORDINATOR_KEY, epoch)
        )
        self.sender = OrderSender(
            table=self.table,
            links=self.links,
            clock=clock,
            epoch=epoch,
            on_end=self._end_unseen,
            on_fenced=self.fenced,
        )
        self._snapshots = SnapshotBuilder(
            table=self.table,
            trust=self.trust,
            run_times=timings.run_times,
            configuration=configuration,
            removed_zones=removed_zones,
        )
        self._wake = asyncio.Event()
        self._lost = asyncio.Event()
        self._began_at_s = clock.now()
        self._ended_at_s: dict[JobId, float] = {}
        self._published: dict[str, int] | None = None
        self._stored: dict[str, store.Entry] = {}
        self._intake = _make_intake(self)
        self._launches: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Coordinates until cancelled, or returns when replaced."""
        tasks: list[asyncio.Task[Any]] = []
        try:
            await self._load()
            tasks = [
                asyncio.ensure_future(work)
                for work in (
                    self._lost.wait(),
                    self.journal.run(),
                    self._intake.run(),
                    self._follow_list(),
                    self._plan_forever(),
                    self._publish_counts(),
                    self._clean_up(),
                )
            ]
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
                self.journal.position, timeout_s=RELEASE_S
            )
            raise
        finally:
            await self._close(tasks)

    def may_renew(self) -> bool:
        """See `LinkOwner.may_renew`."""
        return self.unconfirmed_s() <= UNCONFIRMED_S

    def is_busy(self, worker: WorkerId) -> bool:
        """See `LinkOwner.is_busy`."""
        return bool(self.table.attempts_on(worker))

    async def wait_stored(self, position: int, *, timeout_s: float) -> bool:
        """See `LinkOwner.wait_stored`."""
        return await self.journal.wait_stored(position, timeout_s=timeout_s)

    def fenced(self, link: WorkerLink) -> None:
        """See `LinkOwner.fenced`."""
        observability.log_event(
            "coordinator", state="fenced", worker=link.worker, epoch=self.epoch
        )
        self._lost.set()

    def handle_report(
        self, link: WorkerLink, report: WorkerReport, requested_at_s: float
    ) -> int:
        """See `LinkOwner.handle_report`."""
        attempts = self.table.attempts_on(link.worker)
        expected = {
            id(item): (item, progress, attempt)
            for progress, key, attempt in attempts
            for item in [_expected(progress, key, attempt)]
        }
        findings = _reconcile.reconcile(
            [item for item, _, _ in expected.values()],
            report,
            requested_at_s=requested_at_s,
            handled_end=link.handled_end,
        )
        for item, end in findings.ended:
            _, progress, attempt = expected[id(item)]
            progress.save_checkpoint(item.key, end.checkpoint)
            self._observe_end(progress, item.key, attempt.worker, end.outcome)
            self._end(progress, item.key, item.run, end.outcome)
        for item, status in findings.present:
            _, progress, attempt = expected[id(item)]
            progress.save_checkpoint(item.key, status.checkpoint)
            self._note_present(attempt, status.percent, report)
        for item in findings.lost:
            _, progress, _ = expected[id(item)]
            self._end(progress, item.key, item.run, RunOutcome.LOST)
        for item in findings.unsettled:
            _, progress, attempt = expected[id(item)]
            if attempt.state is AttemptState.SENT:
                self._settle_by_stop(progress, item.key, requested_at_s)
        for status in findings.strays:
            self.sender.stop_stray(link, task=status.task, run=status.run)
        return self.journal.position

    def dump(self) -> dict[str, Any]:
        """Returns jobs and workers in figures."""
        return {
            "epoch": self.epoch,
            "jobs": len(self.table.jobs),
            "active_jobs": len(self.table.active),
            "workers": {w: x.dump() for w, x in self.links.items()},
            "journal": self.journal.dump(),
        }

    # Loading and the list of workers.

    async def _load(self) -> None:
        """Reads what earlier coordinators have stored."""
        while True:
            try:
                entries, _ = await self.store.list_prefix(keys.PROGRESS_PREFIX)
                counts = await self.store.get(keys.COUNTS_KEY)
                known = {e.key: e for e in entries}
                if counts is not None:
                    known[counts.key] = counts
                self._stored = known
                self.journal.load({k: e.revision for k, e in known.items()})
                await self._intake.reload()
                break
            except store.StoreError as error:
                observability.log_event(
                    "coordinator", state="load unanswered", reason=str(error)
                )
                await self.clock.sleep(LIST_S)
        observability.log_event(
            "coordinator",
            state="loaded",
            epoch=self.epoch,
            jobs=len(self.table.jobs),
            active=len(self.table.active),
            workers_in_use=len(self.table.workers()),
        )

    async def _follow_list(self) -> None:
        while True:
            try:
                listed = await self.list_workers()
            except store.StoreError as error:
                observability.log_event(
                    "worker list", outcome="no answer", reason=str(error)
                )
            else:
                await self._update_links(listed)
            await self.clock.sleep(LIST_S)

    async def _update_links(self, listed: list[ListedWorker]) -> None:
        now_s = self.clock.now()
        present = {x.worker for x in listed}
        for entry in listed:
            link = self.links.get(entry.worker)
            if link is None:
                self._add_link(entry)
                continue
            if entry.is_draining and not link.listed.is_draining:
                observability.log_event(
                    "worker",
                    state="draining",
                    worker=entry.worker,
                    leaves_in_s=entry.leaves_in_s,
                )
                self._wake.set()
            link.update(entry)
        for worker, link in list(self.links.items()):
            if worker not in present:
                link.is_listed = False
                is_needed = self.is_busy(worker) or link.is_answering
                if not is_needed:
                    del self.links[worker]
                    self.trust.forget(worker)
                    await link.stop()
        self._give_up_unreachable(now_s)

    def _add_link(self, entry: ListedWorker) -> None:
        lease = fleet.LeaseBound(longest_s=self.timings.longest_lease_s)
        # An earlier coordinator may have renewed up to now, or until it
        # notices that it has been replaced.
        lease.assume_granted(self._began_at_s, self.timings.longest_lease_s)
        link = WorkerLink(
            listed=entry,
            owner=self,
            clock=self.clock,
            connect=self.connect,
            lease=lease,
        )
        self.links[entry.worker] = link
        link.start()

    def _give_up_unreachable(self, now_s: float) -> None:
        """Ends runs whose lease has surely ended on a silent worker."""
        for worker in self.table.workers():
            link = self.links.get(worker)
            if link is not None and link.is_answering:
                continue
            for progress, key, attempt in self.table.attempts_on(worker):
                if self._is_surely_over(link, attempt, now_s):
                    self._end(progress, key, attempt.run, RunOutcome.LOST)

    def _is_surely_over(
        self, link: WorkerLink | None, attempt: jobs.Attempt, now_s: float
    ) -> bool:
        longest_s = self.timings.longest_lease_s / (1.0 - fleet.CLOCK_DRIFT)
        inherited_s = self._began_at_s + UNCONFIRMED_S + longest_s
        was_inherited = attempt.settled_at_s == float("-inf")
        if was_inherited and now_s <= inherited_s:
            return False
        if link is None:
            return now_s > self._began_at_s + LATE_ORDER_S
        if attempt.state is AttemptState.PLANNED:
            return False
        is_over = link.lease.has_ended(now_s, margin_s=LEASE_MARGIN_S)
        if attempt.settled_at_s is None:
            # An order that got no answer could reach a later lifetime.
            late_s = link.lease.ends_at_s + LATE_ORDER_S
            return is_over and now_s > late_s - self.timings.longest_lease_s
        return is_over

    # Jobs.

    def handle_intake(self, changed: Iterable[str]) -> None:
        """Applies new submissions and cancellations."""
        cancelled: list[JobId] = []
        for key in sorted(changed):
            entry = self._intake.entries.get(key)
            job, is_cancellation = keys.job_of(key)
            if entry is None:
                continue
            if is_cancellation:
                cancelled.append(job)
            elif job not in self.table.jobs:
                self._add_job(entry)
        for job in cancelled:
            progress = self.table.jobs.get(job)
            if progress is not None:
                self._cancel(progress)
        self._wake.set()

    def _add_job(self, entry: store.Entry) -> None:
        try:
            job = jobs.decode_job(entry.value)
        except jobs.RecordError as error:
            observability.log_event(
                "job", state="unreadable", key=entry.key, reason=str(error)
            )
            return
        stored = self._stored.pop(keys.progress_key(job.job), None)
        if stored is None:
            self.table.add(job)
            return
        try:
            progress = jobs.decode_progress(stored.value, job=job)
        except jobs.RecordError as error:
            observability.log_event(
                "job", state="unreadable", key=stored.key, reason=str(error)
            )
            return
        self.table.restore(progress)
        if progress.state.is_final:
            self._ended_at_s[job.job] = self.clock.now()
            self._stop_all(progress)

    def _cancel(self, progress: JobProgress) -> None:
        if progress.cancel():
            self._finish(progress)
            self._write(progress)
            self._stop_all(progress)

    def _finish(self, progress: JobProgress) -> None:
        job = progress.job.job
        self._ended_at_s.setdefault(job, self.clock.now())
        self.table.refresh(job)
        observability.log_event("job", state=progress.state.value, job=job)

    def _stop_all(self, progress: JobProgress) -> None:
        for key, attempt in list(progress.attempts()):
            self.sender.send_stop(progress, key, attempt)

    def _write(self, progress: JobProgress) -> None:
        self.journal.write(
            keys.progress_key(progress.job.job),
            lambda: jobs.encode_progress(progress),
        )

    def _end_unseen(
        self, progress: JobProgress, key: TaskKey, run: int, how: RunOutcome
    ) -> None:
        self._end(progress, key, run, how)

    def _end(
        self, progress: JobProgress, key: TaskKey, run: int, how: RunOutcome
    ) -> None:
        was_final = progress.state.is_final
        attempt = self.table.end(progress, key, run, how)
        if attempt is None:
            return
        observability.log_event(
            "end",
            task=progress.job.task_name(key),
            run=run,
            worker=attempt.worker,
            outcome=how.value,
            state=progress.state.value,
        )
        if progress.state.is_final and not was_final:
            self._finish(progress)
            # Members of a complete gang end by themselves.
            if progress.state is not jobs.JobState.COMPLETED:
                self._stop_all(progress)
        elif how is not RunOutcome.DONE:
            self._stop_rest_of_gang(progress, key, run)
        self._write(progress)
        self._wake.set()

    def _stop_rest_of_gang(
        self, progress: JobProgress, key: TaskKey, run: int
    ) -> None:
        """Stops members that cannot go on without the one that ended."""
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
                    progress, TaskKey(*step_key, index), attempt
                )

    def _observe_end(
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
            self._observe(progress, worker, evidence)

    def _observe(
        self, progress: JobProgress, worker: WorkerId, evidence: Evidence
    ) -> None:
        observation = Observation(
            worker=worker,
            job=progress.job.job,
            evidence=evidence,
            at_s=self.clock.now(),
        )
        self.trust.partial_fit([observation])

    def _note_present(
        self, attempt: jobs.Attempt, percent: float, report: WorkerReport
    ) -> None:
        now_s = self.clock.now()
        if attempt.state is AttemptState.SENT:
            attempt.state = AttemptState.RUNNING
            attempt.percent_at_s = now_s
        if attempt.settled_at_s is None:
            attempt.settled_at_s = now_s
        # A late order may have reached another lifetime than it was for.
        attempt.lifetime = report.lifetime
        if percent != attempt.percent:
            attempt.percent = percent
            attempt.percent_at_s = now_s

    def _settle_by_stop(
        self, progress: JobProgress, key: TaskKey, requested_at_s: float
    ) -> None:
        """Makes sure that an order without an answer starts nothing."""
        task = progress.task(key)
        attempt = task.attempt if task else None
        if attempt is None or attempt.answered_by_s > requested_at_s:
            return
        self.sender.send_stop(progress, key, attempt)

    # Planning.

    async def _plan_forever(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                await self.clock.wait_for(self._wake.wait(), PLAN_S)
            self._wake.clear()
            self._plan()

    def _plan(self) -> None:
        self._stop_hopeless_runs()
        wall_s = self.clock.time()
        snapshot = self._snapshots.build(
            self.links.values(), wall_s=wall_s, now_s=self.clock.now()
        )
        if not snapshot.demands:
            return
        plan = self.planner.plan(snapshot)
        for preemption in plan.preemptions:
            self._preempt(preemption)
        begun = [
            item for start in plan.starts for item in self._begin(start, wall_s)
        ]
        if begun:
            launch = asyncio.ensure_future(
                self._launch(begun, self.journal.position)
            )
            self._launches.add(launch)
            launch.add_done_callback(self._launches.discard)

    def _begin(
        self, start: placement.Start, wall_s: float
    ) -> list[tuple[JobProgress, TaskKey, jobs.Attempt]]:
        progress = self.table.jobs[start.unit.job]
        placed = [
            (index, worker, self.links[worker].lifetime)
            for index, worker in start.placement
        ]
        begun = self.table.begin(
            progress, start.unit.step, placed, now_s=wall_s
        )
        self._write(progress)
        observability.log_event(
            "placement",
            job=progress.job.job,
            step=list(start.unit.step),
            workers=[w for _, w, _ in placed],
            spread=start.is_spread,
            waited_s=round(
                wall_s - progress.job.arrived_at_s(start.unit.step.occurrence),
                3,
            ),
        )
        found = []
        for key in begun:
            task = progress.task(key)
            if task is not None and task.attempt is not None:
                found.append((progress, key, task.attempt))
        return found

    async def _launch(
        self,
        begun: list[tuple[JobProgress, TaskKey, jobs.Attempt]],
        position: int,
    ) -> None:
        """Sends starts once they are stored."""
        await self.journal.wait_stored(position)
        removed = self.removed_zones()
        for progress, key, attempt in begun:
            task = progress.task(key)
            if task is None or task.attempt is not attempt:
                continue
            link = self.links.get(attempt.worker)
            is_allowed = (
                link is not None
                and not progress.state.is_final
                and not link.listed.is_draining
                and link.listed.zone not in removed
            )
            if is_allowed:
                self.sender.send_start(progress, key, attempt)
            else:
                self._end(progress, key, attempt.run, RunOutcome.LOST)

    def _preempt(self, preemption: placement.Preemption) -> None:
        progress = self.table.jobs[preemption.victim.job]
        observability.log_event(
            "preemption",
            job=preemption.victim.job,
            step=list(preemption.victim.step),
            index=preemption.index,
            beneficiary=preemption.beneficiary.job,
        )
        self._stop_unit(progress, preemption.victim, preemption.index)

    def _stop_unit(
        self, progress: JobProgress, unit: UnitId, index: int | None
    ) -> None:
        step = progress.steps.get(unit.step)
        if step is None:
            return
        for number, attempt in list(step.attempts()):
            if index is None or number == index:
                self.sender.send_stop(
                    progress, TaskKey(*unit.step, number), attempt
                )

    def _stop_hopeless_runs(self) -> None:
        """Stops runs that stand still or that outlive their worker."""
        now_s = self.clock.now()
        for worker in self.table.workers():
            link = self.links.get(worker)
            if link is None:
                continue
            departure = _watchdog.Departure(
                leaves_at_s=link.leaves_at_s, stop_s=self.timings.stop_s
            )
            for progress, key, attempt in self.table.attempts_on(worker):
                self._check_run(progress, key, attempt, departure, now_s)

    def _check_run(
        self,
        progress: JobProgress,
        key: TaskKey,
        attempt: jobs.Attempt,
        departure: _watchdog.Departure,
        now_s: float,
    ) -> None:
        spec = progress.job.spec.steps[key.step]
        remaining_s = spec.estimate_s * (100.0 - attempt.percent) / 100.0
        if _watchdog.is_stalled(spec, attempt, now_s=now_s):
            reason = "stalled"
            self._observe(progress, attempt.worker, Evidence.STALL)
        elif _watchdog.must_leave(
            spec, attempt, departure, now_s=now_s, remaining_s=remaining_s
        ):
            reason = "worker leaves"
        else:
            return
        observability.log_event(
            "run",
            state="given up",
            reason=reason,
            task=progress.job.task_name(key),
            run=attempt.run,
            worker=attempt.worker,
            percent=attempt.percent,
        )
        step = jobs.StepKey(key.occurrence, key.step)
        index = None if spec.is_gang else key.index
        self._stop_unit(progress, UnitId(progress.job.job, step), index)

    # Counts, retention and the end of a term.

    async def _publish_counts(self) -> None:
        while True:
            counts: dict[str, int] = {}
            for progress in self.table.active_jobs():
                is_waiting = not progress.has_started
                if is_waiting and not progress.state.is_final:
                    queue = progress.job.queue
                    counts[queue] = counts.get(queue, 0) + 1
            if counts != self._published:
                self._published = counts
                packed = msgpack.packb(counts)
                self.journal.write(keys.COUNTS_KEY, lambda p=packed: p)
            await self.clock.sleep(COUNTS_S)

    async def _clean_up(self) -> None:
        """Removes records of jobs that ended long ago."""
        keep_s = self.timings.status_s + RETENTION_MARGIN_S
        while True:
            await self.clock.sleep(CLEAN_UP_S)
            now_s = self.clock.now()
            for job, ended_at_s in list(self._ended_at_s.items()):
                if now_s - ended_at_s > keep_s and job not in self.table.active:
                    await self._remove(job)

    async def _remove(self, job: JobId) -> None:
        try:
            await self.store.delete(keys.job_key(job))
            await self.store.delete(keys.cancellation_key(job))
        except store.StoreError as error:
            observability.log_event(
                "job", state="not removed", job=job, reason=str(error)
            )
            return
        self.journal.write(keys.progress_key(job), lambda: None)
        self.table.remove(job)
        del self._ended_at_s[job]

    async def _close(self, tasks: list[asyncio.Task[Any]]) -> None:
        for task in (*tasks, *self._launches):
            task.cancel()
        await asyncio.gather(*tasks, *self._launches, return_exceptions=True)
        await self.sender.close()
        for link in self.links.values():
            await link.stop()


def _make_intake(coordinator: Coordinator) -> store.PrefixWatcher:
    return store.PrefixWatcher(
        store=coordinator.store,
        clock=coordinator.clock,
        prefix=keys.INTAKE_PREFIX,
        wait_s=INTAKE_WAIT_S,
        on_change=coordinator.handle_intake,
    )


def _expected(
    progress: JobProgress, key: TaskKey, attempt: jobs.Attempt
) -> _reconcile.Expected:
    return _reconcile.Expected(
        job=progress.job.job,
        key=key,
        run=attempt.run,
        lifetime=attempt.lifetime,
        settled_at_s=attempt.settled_at_s,
        is_sent=attempt.state is not AttemptState.PLANNED,
    )
