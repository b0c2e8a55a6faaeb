"""A pool of workers in virtual time that drives a planner, without processes.

Jobs of one step arrive, the planner decides on snapshots, and runs end, stop or
are broken after fixed times. It compares policies and replays load patterns in
tests; there are no failures of workers, messages or stores.
"""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Iterable

from magnoliaglade import placement
from magnoliaglade.jobs import Resources
from magnoliaglade.placement import (
    Allocation,
    Candidate,
    Demand,
    Snapshot,
    UnitId,
)
from magnoliaglade.standins._pool_load import LoadJob, LoadShape, draw_load
from magnoliaglade.types import (
    AccountId,
    RackId,
    ServiceName,
    WorkerId,
    ZoneId,
)

__all__ = [
    "LoadJob",
    "LoadShape",
    "Outcome",
    "PoolModel",
    "draw_load",
    "make_workers",
]

SERVICE = ServiceName("render")
# Time from a decision to its effect on a worker, in seconds.
ORDER_S = 0.02
# Shortest time between two plans and longest one, in seconds.
PLAN_S = 0.05
IDLE_PLAN_S = 0.25
# A gang off its rack runs this many times longer, unless stated otherwise.
OFF_RACK_SLOWDOWN = 3.0
# Part of a run from which its end is known from its progress.
MIN_PROGRESS = 0.05
# An occurrence that ends within this many times its objective is late, and
# worth nothing afterwards.
LATE_FACTOR = 3.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Run:
    """A task on a worker; `ends_at_s` is infinite while it is stopping.

    Attributes:
        slowdown: its run time as a ratio to that on an average worker near its
            data.
    """

    job: LoadJob
    index: int
    worker: WorkerId
    began_at_s: float
    ends_at_s: float
    slowdown: float
    frees_at_s: float = float("inf")


@dataclasses.dataclass(kw_only=True, slots=True)
class Outcome:
    """What became of a load.

    Attributes:
        earned: value of the jobs that ended.
        owed: value of all jobs.
        wasted_core_s: work that was thrown away.
        preempted: runs that were stopped.
        done: runs that ended.
        waited_s: time from submission to start of the whole job, by job.
        ended_at_s: when jobs were complete.
        on_time: names of the jobs that met their objective.
        spread: gangs that were started off their rack.
    """

    earned: float = 0.0
    owed: float = 0.0
    wasted_core_s: float = 0.0
    preempted: int = 0
    done: int = 0
    waited_s: dict[str, float] = dataclasses.field(default_factory=dict)
    ended_at_s: dict[str, float] = dataclasses.field(default_factory=dict)
    on_time: set[str] = dataclasses.field(default_factory=set)
    spread: int = 0


def make_workers(
    count: int,
    *,
    per_rack: int,
    capacity: Resources,
    speeds: tuple[float, ...] = (1.0,),
    seed: int = 0,
) -> tuple[Candidate, ...]:
    """Returns sound workers in racks, each with one of the speeds."""
    rng = random.Random(f"{seed}/speeds")
    drawn = [rng.choice(speeds) for _ in range(count)]
    return tuple(
        Candidate(
            worker=WorkerId(f"w{n:04}"),
            service=SERVICE,
            zone=ZoneId("a"),
            rack=RackId(f"r{n // per_rack}"),
            labels=frozenset({f"r{n // per_rack}"}),
            capacity=capacity,
            is_schedulable=True,
            speed=speed,
            lasting_speed=speed,
        )
        for n, speed in enumerate(drawn)
    )


class PoolModel:
    """Plays a load on a pool; the same arguments give the same outcome.

    Attributes:
        planner: makes the plans.
        workers: the pool.
        guarantees: accelerators that accounts can always have for urgent jobs.
        stop_s: time that a stop takes, in seconds.
        run_times: predicts run times from declared ones; learns from the jobs
            that end.
        off_rack_slowdown: factor on the run time of a gang off its rack.
        began_protected: jobs that were within a guarantee whenever they waited.
        sacrificed: work thrown away for each unit, in core-seconds.
    """

    def __init__(
        self,
        *,
        planner: placement.Planner,
        workers: Iterable[Candidate],
        guarantees: dict[str, int] | None = None,
        stop_s: float = 0.2,
        run_times: placement.RunTimeEstimator | None = None,
        off_rack_slowdown: float = OFF_RACK_SLOWDOWN,
    ) -> None:
        self.planner = planner
        self.workers = tuple(workers)
        self.guarantees = guarantees or {}
        self.stop_s = stop_s
        self.run_times = run_times or placement.RunTimeEstimator(max_units=0)
        self.off_rack_slowdown = off_rack_slowdown
        self.outcome = Outcome()
        self.began_protected: set[str] = set()
        self._unprotected: set[str] = set()
        self.plans: list[tuple[float, placement.Plan]] = []
        self._racks = {c.worker: c.rack for c in self.workers}
        self._speeds = {c.worker: c.speed for c in self.workers}
        self._now_s = 0.0
        self._waiting: dict[str, set[int]] = {}
        self._jobs: dict[str, LoadJob] = {}
        self._all: dict[str, LoadJob] = {}
        self._runs: dict[tuple[str, int], _Run] = {}
        self._left: dict[str, int] = {}
        self._claims: tuple[placement.Claim, ...] = ()
        self.sacrificed: collections.Counter[UnitId] = collections.Counter()

    def play(self, load: Iterable[LoadJob], *, until_s: float) -> Outcome:
        """Plays a load up to a time in seconds."""
        order = itertools.count()
        arrivals = [(j.arrives_at_s, next(order), j) for j in load]
        heapq.heapify(arrivals)
        planned_at_s = float("-inf")
        has_changed = True
        while self._now_s < until_s:
            while arrivals and arrivals[0][0] <= self._now_s:
                self._arrive(heapq.heappop(arrivals)[2])
                has_changed = True
            has_changed |= self._finish_due()
            is_due = self._now_s - planned_at_s >= IDLE_PLAN_S
            if has_changed or is_due:
                planned_at_s = self._now_s
                has_changed = not self._plan()
            self._now_s += PLAN_S
        return self.outcome

    def work_of(self, unit: UnitId) -> float:
        """Returns the declared work of a job that has come, in core-seconds."""
        job = self._all[str(unit.job)]
        one = placement.core_seconds(job.demand, job.estimate_s)
        return one * job.count

    def _arrive(self, job: LoadJob) -> None:
        self._jobs[job.name] = job
        self._all[job.name] = job
        self._waiting[job.name] = set(range(job.count))
        self._left[job.name] = job.count
        self.outcome.owed += job.worth

    def _finish_due(self) -> bool:
        """Ends runs whose time has come; tells whether there were any."""
        due = [
            key
            for key, run in self._runs.items()
            if min(run.ends_at_s, run.frees_at_s) <= self._now_s
        ]
        for key in due:
            run = self._runs.pop(key)
            if run.frees_at_s <= self._now_s:
                self._waiting[run.job.name].add(run.index)
                continue
            self.outcome.done += 1
            self._left[run.job.name] -= 1
            if not self._left[run.job.name]:
                self._complete(run.job)
        return bool(due)

    def _complete(self, job: LoadJob) -> None:
        took_s = self._now_s - job.arrives_at_s
        self.outcome.ended_at_s[job.name] = self._now_s
        if took_s <= job.objective_s:
            self.outcome.earned += job.worth
            self.outcome.on_time.add(job.name)
        elif took_s <= LATE_FACTOR * job.objective_s:
            self.outcome.earned += job.late_worth
        del self._jobs[job.name]
        self.run_times.partial_fit(
            [
                placement.RunTimeObservation(
                    queue=job.queue,
                    unit=job.unit,
                    index=0,
                    worker=WorkerId(""),
                    declared_s=job.estimate_s,
                    run_time_s=job.work_s,
                )
            ]
        )

    def _plan(self) -> bool:
        """Makes and carries out a plan; tells whether it was complete."""
        plan = self.planner.plan(self._snapshot())
        if plan.starts or plan.preemptions:
            self.plans.append((self._now_s, plan))
        self._claims = plan.claims
        self.sacrificed.update(plan.lost_core_s)
        for preemption in plan.preemptions:
            self._stop(preemption)
        for start in plan.starts:
            self._start(start)
        return plan.is_complete

    def _stop(self, preemption: placement.Preemption) -> None:
        name = str(preemption.victim.job)
        for (job, index), run in self._runs.items():
            is_victim = job == name and preemption.index in (None, index)
            if not is_victim or run.frees_at_s != float("inf"):
                continue
            run.frees_at_s = self._now_s + ORDER_S + self.stop_s
            run.ends_at_s = float("inf")
            self.outcome.preempted += 1
            if not run.job.is_saving:
                lost = placement.core_seconds(
                    run.job.demand, self._now_s - run.began_at_s
                )
                self.outcome.wasted_core_s += lost

    def _start(self, start: placement.Start) -> None:
        job = self._jobs[str(start.unit.job)]
        racks = {self._racks[w] for _, w in start.placement}
        is_spread = job.same_rack and len(racks) > 1
        self.outcome.spread += is_spread
        far = self.off_rack_slowdown if is_spread else 1.0
        slowest = min(self._speeds[w] for _, w in start.placement)
        for index, worker in start.placement:
            # A gang is as slow as its slowest member.
            speed = slowest if job.is_gang else self._speeds[worker]
            slowdown = far / speed
            self._waiting[job.name].discard(index)
            self._runs[job.name, index] = _Run(
                job=job,
                index=index,
                worker=worker,
                began_at_s=self._now_s,
                ends_at_s=self._now_s + ORDER_S + job.work_s * slowdown,
                slowdown=slowdown,
            )
        if job.name not in self._unprotected:
            self.began_protected.add(job.name)
        if not self._waiting[job.name]:
            waited_s = self._now_s - job.arrives_at_s
            self.outcome.waited_s.setdefault(job.name, waited_s)

    def _snapshot(self) -> Snapshot:
        protected = self._protected()
        self._unprotected.update(
            name
            for name, indexes in self._waiting.items()
            if indexes and name not in protected
        )
        demands = [
            self._demand(self._jobs[name], indexes, protected)
            for name, indexes in self._waiting.items()
            if indexes and name in self._jobs
        ]
        return Snapshot(
            now_s=self._now_s,
            candidates=self.workers,
            allocations=tuple(
                self._use(r, protected) for r in self._runs.values()
            ),
            demands=tuple(d for d in demands if d is not None),
            claims=self._claims,
            lost_core_s=self.sacrificed,
        )

    def _protected(self) -> set[str]:
        used: dict[str, int] = {}
        protected: set[str] = set()
        for job in self._jobs.values():
            total = used.get(job.account, 0)
            total += job.count * job.demand.accelerators
            is_within = total <= self.guarantees.get(job.account, 0)
            if job.priority == 0 and is_within:
                used[job.account] = total
                protected.add(job.name)
        return protected

    def _demand(
        self, job: LoadJob, indexes: set[int], protected: set[str]
    ) -> Demand | None:
        if job.is_gang and len(indexes) < job.count:
            return None
        run_time_s = self.run_times.run_time_s(job.queue, job.estimate_s)
        objective_s = job.stretch * run_time_s + job.slack_s
        due_at_s = job.arrives_at_s + objective_s
        late_at_s = job.arrives_at_s + LATE_FACTOR * objective_s
        return Demand(
            unit=job.unit,
            service=SERVICE,
            indexes=tuple(sorted(indexes)),
            resources=job.demand,
            is_gang=job.is_gang,
            same_rack=job.same_rack,
            data_rack="",
            label="",
            max_per_worker=0,
            excluded_workers=frozenset(),
            priority=job.priority,
            account=AccountId(job.account),
            is_guaranteed=job.name in protected,
            arrived_at_s=job.arrives_at_s,
            estimate_s=run_time_s,
            latest_start_s=due_at_s - run_time_s,
            latest_useful_start_s=late_at_s - run_time_s,
            has_begun=job.name in self.outcome.waited_s,
            value=job.worth,
        )

    def _use(self, run: _Run, protected: set[str]) -> Allocation:
        elapsed_s = self._now_s - run.began_at_s
        is_saving = run.job.is_saving
        return Allocation(
            unit=run.job.unit,
            index=run.index,
            worker=run.worker,
            demand=run.job.demand,
            priority=run.job.priority,
            account=AccountId(run.job.account),
            is_protected=run.job.name in protected,
            is_stopping=run.frees_at_s != float("inf"),
            is_gang=run.job.is_gang,
            loss_s=min(elapsed_s, ORDER_S) if is_saving else elapsed_s,
            ends_at_s=self._expected_end_s(run),
            latest_end_s=run.job.arrives_at_s + run.job.objective_s,
            estimate_s=run.job.estimate_s,
        )

    def _expected_end_s(self, run: _Run) -> float:
        """Returns the end that reports of the progress let one expect."""
        run_time_s = run.job.work_s * run.slowdown
        if self._now_s - run.began_at_s > MIN_PROGRESS * run_time_s:
            return run.began_at_s + ORDER_S + run_time_s
        return run.began_at_s + run.job.estimate_s * run.slowdown
