"""Runs a policy on drawn work on a virtual clock."""

import dataclasses
import heapq
import itertools

from benchmarks import _workloads
from magnoliaglade import configuration as configuration_lib
from magnoliaglade import scheduling
from magnoliaglade.types import ZoneId

# As the owner in `execution`: a change starts a decision at once, or this long
# after the previous one, and evicted gangs are considered again after the
# period. Decisions without a change are left out, as rules that depend on time
# alone have bounds of 30 s and more.
_PAUSE_S = 0.05
_PERIOD_S = 0.5
# Time until an evicted gang has written its checkpoint and stopped; its
# beneficiary starts that much later, and the gang repeats as much work.
# Urgent beneficiaries wait for URGENT_CHECKPOINT_S only; the evicted gang
# repeats the same amount, as it falls back to an earlier checkpoint.
CHECKPOINT_S = 15.0


@dataclasses.dataclass(kw_only=True)
class Record:
    """What happened to one job; times in seconds."""

    job: _workloads.Job
    left_s: float
    first_start_s: float | None = None
    end_s: float | None = None
    useful_s: float = 0.0
    evictions: int = 0
    run_from_s: float = 0.0
    epoch: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outage:
    """A zone that is out of service for a while."""

    zone: str
    from_s: float
    until_s: float


def _checkpoint_s(beneficiary: scheduling.Gang) -> float:
    if beneficiary.priority is scheduling.Priority.URGENT:
        return scheduling.URGENT_CHECKPOINT_S
    return CHECKPOINT_S


class Run:
    """One policy on one list of jobs."""

    def __init__(self, *, deployment, jobs, policy, seed, outage=None):
        self.deployment = deployment
        self.policy = policy
        self.seed = seed
        self.outage = outage
        self.now_s = 0.0
        self.records = {j.gang.job: Record(job=j, left_s=j.run_s) for j in jobs}
        # Sums over all decisions: free accelerators, and those of them in
        # which the largest guaranteed shape finds no place.
        self.free_sum = 0
        self.fragmented_sum = 0
        # Accelerator-seconds of work kept, by time at which it was done.
        self.done: list[tuple[float, float, float]] = []
        self.estimator = scheduling.RunTimeEstimator()
        self._order = itertools.count()
        self._events: list = []
        self._ready = False
        self.snapshot = scheduling.ClusterSnapshot(
            now_s=0.0,
            workers=_workloads.make_workers(deployment),
            running={},
            pending=(),
        )
        self._set_zones(frozenset(deployment.zones))
        for job in jobs:
            self._push(job.gang.submitted_at_s, "arrive", job)
        if outage is not None:
            left = frozenset(deployment.zones) - {outage.zone}
            self._push(outage.from_s, "zones", left)
            self._push(outage.until_s, "zones", frozenset(deployment.zones))

    def run(self) -> "Run":
        """Runs until all work that can end has ended."""
        while self._events:
            at = max(self._events[0][0], self.now_s + _PAUSE_S)
            while self._events and self._events[0][0] <= at:
                self.now_s, _, kind, value = heapq.heappop(self._events)
                getattr(self, f"_on_{kind}")(value)
            self.now_s = at
            if self._ready:
                self._decide()
        return self

    def _push(self, at, kind, value) -> None:
        heapq.heappush(self._events, (at, next(self._order), kind, value))

    def _on_wake(self, _) -> None:
        self._ready = True

    def _on_arrive(self, job) -> None:
        self._change(pending=(*self.snapshot.pending, job.gang))

    def _on_end(self, value) -> None:
        job, epoch = value
        record = self.records[job]
        if record.epoch != epoch:
            return
        running = dict(self.snapshot.running)
        del running[job]
        record.end_s = self.now_s
        self._keep(record, self.now_s, 0.0)
        gang = record.job.gang
        self.estimator.partial_fit(
            [
                scheduling.Observation(
                    account=gang.account,
                    kind=gang.kind,
                    declared=gang.declared_run_s,
                    actual=record.job.run_s,
                )
            ]
        )
        self._change(running=running)

    def _on_zones(self, zones) -> None:
        self._set_zones(zones)
        self._change(now_s=self.now_s)
        moved = [
            job
            for zone in self.deployment.zones
            if zone not in zones
            for job in scheduling.plan_zone_removal(
                self.snapshot,
                ZoneId(zone),
                policy=configuration_lib.ZonePolicy.CHECKPOINT,
            ).checkpoint
        ]
        self._apply(
            scheduling.Plan(
                evictions=tuple(scheduling.Eviction(job=j) for j in moved)
            )
        )

    def _set_zones(self, zones) -> None:
        configuration = _workloads.make_configuration(self.deployment, zones)
        self._change(
            startable_zones=frozenset(map(ZoneId, zones)),
            guarantees=scheduling.bind_guarantees(configuration),
        )

    def _change(self, **values) -> None:
        self.snapshot = dataclasses.replace(self.snapshot, **values)
        self._ready = True

    def _decide(self) -> None:
        gangs = [*self.snapshot.pending]
        gangs += [r.gang for r in self.snapshot.running.values()]
        runs = self.estimator.predict(gangs)
        self._change(
            now_s=self.now_s,
            expected_run_s={g.job: r for g, r in zip(gangs, runs, strict=True)},
        )
        plan = scheduling.decide(
            self.snapshot, policy=self.policy, seed=self.seed
        )
        self._apply(plan)
        self._ready = False
        if plan.evictions:
            self._push(self.now_s + _PERIOD_S, "wake", None)
        self._measure_fragmentation()

    def _apply(self, plan) -> None:
        delayed = {e.beneficiary for e in plan.evictions}
        for eviction in plan.evictions:
            record = self.records[eviction.job]
            record.epoch += 1
            record.evictions += 1
            self._keep(record, self.now_s, CHECKPOINT_S)
        self.snapshot = scheduling.apply_plan(self.snapshot, plan)
        for placement in plan.starts:
            record = self.records[placement.job]
            at = self.now_s
            if placement.job in delayed:
                at += _checkpoint_s(record.job.gang)
            record.run_from_s = at
            if record.first_start_s is None:
                record.first_start_s = at
            self._push(at + record.left_s, "end", (placement.job, record.epoch))

    def _keep(self, record, at, lost_s) -> None:
        """Counts the work since the last start, less what is repeated."""
        gang = record.job.gang
        useful = max(0.0, at - record.run_from_s - lost_s)
        if lost_s and not gang.checkpointable:
            useful = 0.0
        record.left_s -= useful
        size = gang.tasks * gang.shape.accelerators
        if useful:
            self.done.append((record.run_from_s, useful, size))

    def _measure_fragmentation(self) -> None:
        """Share of free accelerators outside a free pair of workers."""
        free = dict.fromkeys(self.snapshot.workers, _workloads.ACCELERATORS)
        for running in self.snapshot.running.values():
            for w, n in running.placement.assignments:
                free[w] -= n * running.gang.shape.accelerators
        zones = self.snapshot.startable_zones
        total, whole = 0, dict.fromkeys(zones, 0)
        for w, n in free.items():
            zone = self.snapshot.workers[w].zone
            if zone not in zones:
                continue
            total += n
            whole[zone] += n == _workloads.ACCELERATORS
        largest = 2
        placed = sum(
            n // largest * largest * _workloads.ACCELERATORS
            for n in whole.values()
        )
        self.free_sum += total
        self.fragmented_sum += total - placed

    def useful_between(self, begin: float, end: float) -> float:
        """Returns accelerator-hours of useful work within an interval."""
        spent = sum(
            size * max(0.0, min(at + length, end) - max(at, begin))
            for at, length, size in self.done
        )
        return spent / 3600
