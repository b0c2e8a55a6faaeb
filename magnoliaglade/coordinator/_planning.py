"""Makes plans and executes them."""

import asyncio
import contextlib
import dataclasses
import functools
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from magnoliaglade import clock as clock_lib
from magnoliaglade import jobs, observability, placement
from magnoliaglade.coordinator._dispatcher import Urgency
from magnoliaglade.coordinator._journal import Journal
from magnoliaglade.coordinator._link import WorkerLink
from magnoliaglade.coordinator._orders import OrderSender
from magnoliaglade.coordinator._permission import Permission
from magnoliaglade.coordinator._run_monitor import RunMonitor
from magnoliaglade.coordinator._snapshot import SnapshotBuilder
from magnoliaglade.coordinator._table import JobTable
from magnoliaglade.jobs import JobProgress, StopCause, TaskKey
from magnoliaglade.types import WorkerId

# Longest time between two plans, in seconds, so that work that becomes due is
# planned.
PLAN_INTERVAL_S = 0.25
# Shortest pause after a plan, in seconds, so that one plan handles ends and
# submissions that arrive together.
MIN_PLAN_PAUSE_S = 0.01

# Shortest time between two log lines on deferred demands, in seconds.
DEFERRAL_LOG_INTERVAL_S = 1.0
# Planned runs that are passed to the order queues in one step of the event
# loop.
MAX_STEP_STARTS = 200

# Duration, in seconds, above which a plan is logged; a plan delays a renewal of
# the coordinator's lease by as much.
SLOW_PLAN_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _StartGroup:
    """Planned runs of a job that are sent together."""

    progress: JobProgress
    members: list[tuple[TaskKey, jobs.Attempt]]
    urgency: Urgency


class PlanRunner:
    """Plans on every change; starts are stored before they are sent.

    Attributes:
        planner: makes plans.
        snapshot_builder: builds the input of a plan.
        table: the jobs.
        links: links by worker.
        journal: stores starts before they are sent.
        sender: sends orders.
        permission: decides whether orders may be sent.
        clock: source of time.
        run_monitor: stops runs that have stalled or would outlast their worker.
        observe_plan: called with the duration of each plan, in seconds.
        observe_gang: called with the option of each start of an urgent gang
            with a rack constraint.
        on_planned: called with a job whose planned runs have to be stored.
        on_lost: called with job, task and run of a start that is not sent.
        observe_deferred: called with the priority of each demand that is
            deferred in favour of others.
        snapshot: snapshot of the last plan; None if none could be made, or
            nothing was waiting.
        wake: event that is set when something has changed.
    """

    def __init__(
        self,
        *,
        planner: placement.Planner,
        snapshot_builder: SnapshotBuilder,
        table: JobTable,
        links: dict[WorkerId, WorkerLink],
        journal: Journal,
        sender: OrderSender,
        permission: Permission,
        clock: clock_lib.Clock,
        run_monitor: RunMonitor,
        observe_plan: Callable[[float], None],
        on_planned: Callable[[JobProgress], None],
        on_lost: Callable[[JobProgress, TaskKey, int], None],
        observe_gang: Callable[[placement.PlacementOption], None] = lambda _: (
            None
        ),
        observe_deferred: Callable[[int], None] = lambda _: None,
    ) -> None:
        self.planner = planner
        self.snapshot_builder = snapshot_builder
        self.table = table
        self.links = links
        self.journal = journal
        self.sender = sender
        self.permission = permission
        self.clock = clock
        self.run_monitor = run_monitor
        self.observe_plan = observe_plan
        self.on_planned = on_planned
        self.on_lost = on_lost
        self.observe_gang = observe_gang
        self.observe_deferred = observe_deferred
        self.snapshot: placement.Snapshot | None = None
        self.wake = asyncio.Event()
        self._claims: tuple[placement.Claim, ...] = ()
        self._lost_core_s: dict[placement.UnitId, float] = {}
        self._deferred: frozenset[placement.UnitId] = frozenset()
        self._deferrals_logged_at_s = float("-inf")
        self._start_tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Cancels starts that have not been sent."""
        for start_task in self._start_tasks:
            start_task.cancel()
        await asyncio.gather(*self._start_tasks, return_exceptions=True)

    async def run(self) -> None:
        """Plans whenever something has changed, until cancelled.

        A plan is followed by a pause of at least its own duration, so that
        renewals and reports get half of the event loop's time.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                await self.clock.wait_for(self.wake.wait(), PLAN_INTERVAL_S)
            self.wake.clear()
            started_at_s = self.clock.now()
            self._plan()
            duration_s = self.clock.now() - started_at_s
            self._report_duration(duration_s)
            await self.clock.sleep(max(MIN_PLAN_PAUSE_S, duration_s))

    def _report_duration(self, duration_s: float) -> None:
        self.observe_plan(duration_s)
        if duration_s > SLOW_PLAN_S:
            observability.log_event(
                "plan",
                state="slow",
                took_s=round(duration_s, 3),
                active_jobs=len(self.table.active),
                workers=len(self.links),
            )

    def _plan(self) -> None:
        self.sender.check_queues()
        self.snapshot = None
        if not self.permission.may_send_orders():
            return
        self.run_monitor.check()
        if not self.permission.may_start():
            return
        wall_s = self.clock.time()
        snapshot = self.snapshot_builder.build(
            self.links.values(),
            wall_s=wall_s,
            now_s=self.clock.now(),
            claims=self._claims,
            lost_core_s=self._lost_core_s,
        )
        if not snapshot.demands:
            self._deferred = frozenset()
            return
        self.snapshot = snapshot
        plan = self.planner.plan(snapshot)
        self._report_deferred(plan.deferred)
        self._claims = plan.claims
        self._add_lost_work(plan.lost_core_s)
        if not plan.is_complete:
            self.wake.set()
        urgencies = _find_urgencies(snapshot, plan)
        self._preempt(plan.preemptions, urgencies)
        groups = [
            item
            for start in plan.starts
            for item in self._record_start(start, wall_s, urgencies[start.unit])
        ]
        if groups:
            start_task = asyncio.ensure_future(
                self._send_starts(groups, self.journal.position)
            )
            self._start_tasks.add(start_task)
            start_task.add_done_callback(self._start_tasks.discard)

    def _report_deferred(self, deferred: frozenset[placement.UnitId]) -> None:
        """Counts demands when they become deferred; logs how many are."""
        new = deferred - self._deferred
        self._deferred = deferred
        for unit in new:
            self.observe_deferred(self.table.jobs[unit.job].job.priority)
        now_s = self.clock.now()
        since_log_s = now_s - self._deferrals_logged_at_s
        if new and since_log_s >= DEFERRAL_LOG_INTERVAL_S:
            self._deferrals_logged_at_s = now_s
            observability.log_event(
                "deferral", new=len(new), deferred=len(deferred)
            )

    def _add_lost_work(
        self, lost_core_s: Mapping[placement.UnitId, float]
    ) -> None:
        """Adds the work that a plan discards; removes ended jobs."""
        if not lost_core_s:
            return
        for unit, loss in lost_core_s.items():
            self._lost_core_s[unit] = self._lost_core_s.get(unit, 0.0) + loss
        for unit in list(self._lost_core_s):
            if unit.job not in self.table.active:
                del self._lost_core_s[unit]

    def _record_start(
        self, start: placement.Start, wall_s: float, urgency: Urgency
    ) -> list[_StartGroup]:
        """Records a start; returns its runs in groups to send together."""
        progress = self.table.jobs[start.unit.job]
        placed = [
            (index, worker, self.links[worker].lifetime)
            for index, worker in start.placement
        ]
        task_keys = self.table.add_planned_runs(
            progress, start.unit.step, placed, now_s=wall_s
        )
        members = [
            (key, task.attempt)
            for key in task_keys
            if (task := progress.task(key)) and task.attempt
        ]
        spec = progress.spec_of(start.unit.step)
        for _, attempt in members:
            self._describe_place(spec, attempt, is_spread=start.is_spread)
        self.on_planned(progress)
        observability.log_event(
            "placement",
            job=progress.job.job,
            step=list(start.unit.step),
            workers=[w for _, w, _ in placed],
            runs=sorted({attempt.run for _, attempt in members}),
            epoch=self.sender.epoch,
            spread=start.is_spread,
            waited_s=round(
                wall_s - progress.job.arrived_at_s(start.unit.step.occurrence),
                3,
            ),
            **_describe_choice(start.choice),
        )
        if start.choice:
            self.observe_gang(start.choice.option)
        sent_together = [members] if spec.is_gang else [[m] for m in members]
        return [
            _StartGroup(progress=progress, members=group, urgency=urgency)
            for group in sent_together
        ]

    def _describe_place(
        self, spec: jobs.StepSpec, attempt: jobs.Attempt, *, is_spread: bool
    ) -> None:
        """Records the worker's address and whether the place is slow."""
        listed = self.links[attempt.worker].listed
        attempt.address = listed.address
        is_far = bool(spec.data_rack) and spec.data_rack not in listed.labels
        attempt.is_off_rack = is_far or (spec.same_rack and is_spread)

    async def _send_starts(
        self, groups: list[_StartGroup], position: int
    ) -> None:
        """Sends starts once they are stored.

        A gang is sent as a whole or not at all: members without the others
        would wait for them and end with the outcome `broken`.
        """
        await self.journal.wait_stored(position)
        handled = 0
        for group in groups:
            handled += len(group.members)
            if handled > MAX_STEP_STARTS:
                handled = 0
                await asyncio.sleep(0)
            current = [
                (key, attempt)
                for key, attempt in group.members
                if (task := group.progress.task(key))
                and task.attempt is attempt
            ]
            is_allowed = (
                len(current) == len(group.members)
                and self.permission.may_start()
                and all(
                    self._is_start_valid(group.progress, a) for _, a in current
                )
            )
            for key, attempt in current:
                if not is_allowed:
                    attempt.loss_cause = jobs.LossCause.NOT_SENT
                    self.on_lost(group.progress, key, attempt.run)
                    continue
                self.sender.send_start(
                    group.progress,
                    key,
                    attempt,
                    may_send=functools.partial(
                        self._is_start_allowed, group.progress, attempt
                    ),
                    urgency=group.urgency,
                )

    def _is_start_valid(
        self, progress: JobProgress, attempt: jobs.Attempt
    ) -> bool:
        """Returns whether the assumptions of the plan still hold."""
        link = self.links.get(attempt.worker)
        return (
            link is not None
            and link.is_schedulable
            and self._is_start_allowed(progress, attempt)
        )

    def _is_start_allowed(
        self, progress: JobProgress, attempt: jobs.Attempt
    ) -> bool:
        """Returns whether a start that is about to be sent is allowed."""
        link = self.links.get(attempt.worker)
        return (
            link is not None
            and not link.listed.is_draining
            and link.listed.zone not in self.snapshot_builder.removed_zones()
            and not progress.state.is_final
            and attempt.state is not jobs.AttemptState.STOPPING
        )

    def _preempt(
        self,
        preemptions: Iterable[placement.Preemption],
        urgencies: Mapping[placement.UnitId, Urgency],
    ) -> None:
        """Stops all victims; logs one line for each beneficiary."""
        by_unit: dict[placement.UnitId, list[placement.Preemption]] = {}
        for preemption in preemptions:
            by_unit.setdefault(preemption.beneficiary, []).append(preemption)
        for beneficiary, group in by_unit.items():
            observability.log_event(
                "preemption",
                beneficiary=beneficiary.job,
                guaranteed=group[0].is_guaranteed,
                jobs=sorted({p.victim.job for p in group}),
                victims=[
                    [p.victim.job, *p.victim.step, p.index] for p in group
                ],
            )
        for preemption in preemptions:
            victim = preemption.victim
            cause = StopCause.PRIORITY
            if preemption.is_guaranteed:
                cause = StopCause.GUARANTEE
            self.sender.stop_step_runs(
                self.table.jobs[victim.job],
                victim.step,
                preemption.index,
                cause,
                urgency=urgencies.get(preemption.beneficiary),
            )


def _describe_choice(choice: placement.GangChoice | None) -> dict[str, Any]:
    """Returns log fields that say which option was taken and why."""
    if choice is None:
        return {}
    return {
        "option": choice.option.value,
        "option_reason": choice.reason,
        "option_values": [[o.value, value] for o, value in choice.values],
    }


def _find_urgencies(
    snapshot: placement.Snapshot, plan: placement.Plan
) -> dict[placement.UnitId, Urgency]:
    """Returns the urgency of each unit that a plan starts or stops runs for."""
    units = {s.unit for s in plan.starts}
    units.update(p.beneficiary for p in plan.preemptions)
    if not units:
        return {}
    return {
        d.unit: Urgency(d.priority, d.latest_start_s)
        for d in snapshot.demands
        if d.unit in units
    }
