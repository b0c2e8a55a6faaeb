"""Estimates how long new submissions to overloaded queues have to wait.

Handles an overload that lasts: work that would be worth nothing by the time it
starts is refused at once, so that its caller can act. The estimates are lower
bounds, so that nothing is refused that might still be served.
"""

import dataclasses
import math
from collections.abc import Iterable, Sequence

from magnoliaglade.jobs import Job
from magnoliaglade.placement import _overload, _pool_capacity
from magnoliaglade.placement._model import Demand, Snapshot
from magnoliaglade.placement._overload import Rank
from magnoliaglade.placement._pool_capacity import Width, width_of
from magnoliaglade.placement._preemption import core_seconds
from magnoliaglade.types import ServiceName

# An occurrence still has value if it ends within this multiple of its
# objective, counted from its arrival.
MAX_LATENESS_FACTOR = 3.0
# Work of new jobs for which waits are estimated, as ratios to the mean of their
# queue. Small jobs precede large ones, as they are worth more for their work.
WORK_RATIOS = (0.0, 0.5, 1.0, 2.0, 4.0)


def objective_after_s(
    path_s: float, *, stretch: float, objective_s: float
) -> float:
    """Returns the time in seconds in which a job should be complete.

    Args:
        path_s: its critical path in seconds.
        stretch: factor on the critical path.
        objective_s: seconds added to the product.
    """
    return stretch * path_s + objective_s


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueueLoad:
    """What is ahead of new submissions to an overloaded queue.

    Attributes:
        path_s: mean critical path of the queue's jobs, in seconds.
        core_s: mean work of the queue's jobs, in core-seconds.
        waits_s: lower bounds on the time in seconds until a new job starts, for
            each of `WORK_RATIOS`.
    """

    path_s: float
    core_s: float
    waits_s: tuple[float, ...]

    def max_useful_wait_s(
        self, path_s: float, *, stretch: float, objective_s: float
    ) -> float:
        """Returns the wait in seconds after which a job is worth nothing."""
        path_s = max(path_s, self.path_s)
        allowed_s = objective_after_s(
            path_s, stretch=stretch, objective_s=objective_s
        )
        return MAX_LATENESS_FACTOR * allowed_s - path_s

    def refusal_s(self, job: Job) -> float | None:
        """Returns when a new job would be on time, or None if it may be useful.

        Declared run times are often too short, so the critical path of a job
        counts as no shorter than the mean of the queue.

        Returns:
            The time in seconds after which it would be on time.
        """
        run_times_s = [s.estimate_s for s in job.spec.steps]
        path_s = max(job.chain_lengths_s(run_times_s), default=0.0)
        limits = {"stretch": job.stretch, "objective_s": job.objective_s}
        wait_s = self._wait_s(job)
        if wait_s <= self.max_useful_wait_s(path_s, **limits):
            return None
        path_s = max(path_s, self.path_s)
        return wait_s - (objective_after_s(path_s, **limits) - path_s)

    def _wait_s(self, job: Job) -> float:
        core_s = sum(
            s.count * core_seconds(s.demand, s.estimate_s)
            for s in job.spec.steps
        )
        ratio = core_s / self.core_s if self.core_s > 0.0 else 0.0
        return max(
            (
                wait_s
                for bound, wait_s in zip(
                    WORK_RATIOS, self.waits_s, strict=False
                )
                if bound <= ratio
            ),
            default=0.0,
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Running:
    """Capacity of a pool and what occupies it.

    Attributes:
        capacity: capacity without that of runs that last.
        runs: remaining time in seconds and capacity of each other run, by time.
    """

    capacity: Width
    runs: list[tuple[float, Width]]


class WaitEstimator:
    """Estimates waits from a snapshot.

    Args:
        snapshot: the snapshot.
    """

    def __init__(self, *, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        self._ranks = _overload.rank_demands(snapshot)
        self._running_by_pool: dict[tuple[ServiceName, int], _Running] = {}

    @property
    def is_overloaded(self) -> bool:
        """Whether any demand has to wait for others that go first."""
        return bool(self._ranks.by_unit)

    def waits_s(
        self,
        service: ServiceName,
        priority: int,
        densities: Sequence[float],
    ) -> tuple[float, ...]:
        """Returns lower bounds on the time in seconds until a new job starts.

        What is ahead are the runs, and the demands that will be useful and
        precede the job: those within guarantees, those of higher priorities,
        and those of its priority that are worth more for their work.

        Args:
            service: the service.
            priority: priority of the job.
            densities: values of the job per core-second.
        """
        ahead = []
        own = []
        for demand in self._snapshot.demands:
            rank = self._ranks.of(demand)[0]
            if demand.service != service or rank in _NOT_AHEAD:
                continue
            if demand.is_guaranteed or demand.priority < priority:
                ahead.append(demand)
            elif demand.priority == priority:
                own.append((_density(demand), demand))
        return tuple(
            self._time_s(
                service,
                priority,
                [*ahead, *(d for value, d in own if value >= density)],
            )
            for density in densities
        )

    def _time_s(
        self, service: ServiceName, priority: int, ahead: Iterable[Demand]
    ) -> float:
        """Returns until when the capacity is filled, less the longest demand.

        The longest demand may be the last one, and others start beside it.
        """
        pool = (service, priority)
        if pool not in self._running_by_pool:
            self._running_by_pool[pool] = self._running(service, priority)
        running = self._running_by_pool[pool]
        longest_s = 0.0
        work: Width = (0, 0, 0)
        for demand in ahead:
            longest_s = max(longest_s, demand.estimate_s)
            width = width_of(demand.resources, len(demand.indexes))
            work = _add_scaled(work, width, demand.estimate_s)
        wait_s = max(
            _filled_until_s(
                running.capacity[kind],
                [(end_s, width[kind]) for end_s, width in running.runs],
                work[kind],
            )
            for kind in range(len(work))
        )
        # Without any capacity nothing is known about the time of its return.
        wait_s -= longest_s
        return max(0.0, wait_s) if math.isfinite(wait_s) else 0.0

    def _running(self, service: ServiceName, priority: int) -> _Running:
        """Returns the capacity and the runs that a new job has to wait for.

        Runs that last reduce the capacity. Runs that are preempted for the
        priority do not count.
        """
        now_s = self._snapshot.now_s
        capacity: Width = (0, 0, 0)
        runs: list[tuple[float, Width]] = []
        usable = set()
        for candidate in self._snapshot.candidates:
            if candidate.service == service and candidate.is_schedulable:
                usable.add(candidate.worker)
                speed = max(1.0, candidate.speed)
                width = width_of(candidate.capacity)
                capacity = _add_scaled(capacity, width, speed)
        for run in self._snapshot.allocations:
            is_preemptible = (
                priority == 0 and run.priority > 0 and not run.is_protected
            )
            if run.worker not in usable or run.is_stopping or is_preemptible:
                continue
            width = width_of(run.demand)
            remaining_s = max(0.0, run.ends_at_s - now_s)
            if math.isinf(remaining_s):
                capacity = _pool_capacity.subtract(capacity, width)
            else:
                runs.append((remaining_s, width))
        runs.sort(key=lambda r: r[0])
        return _Running(capacity=capacity, runs=runs)


def _filled_until_s(
    total: float, runs: Sequence[tuple[float, float]], work: float
) -> float:
    """Returns how long runs and other work can fill the capacity of one kind.

    Other work may be divided at will, but a run occupies its own part until its
    end, so it does not keep a new job from capacity beside it.

    Args:
        total: capacity.
        runs: remaining time in seconds and capacity of each run, by time.
        work: other work, as capacity times seconds.
    """
    used = sum(width for _, width in runs)
    if total <= 0:
        return math.inf if work > 0 or used > 0 else 0.0
    for end_s, width in runs:
        if used < total and work / (total - used) <= end_s:
            return work / (total - used)
        work += width * end_s
        used -= width
    return work / total


# Ranks of demands that a new job need not wait for.
_NOT_AHEAD = frozenset({Rank.REST, Rank.UNSERVABLE})


def _density(demand: Demand) -> float:
    task_core_s = core_seconds(demand.resources, demand.estimate_s)
    core_s = len(demand.indexes) * task_core_s
    return demand.value / core_s if core_s > 0.0 else math.inf


def _add_scaled(a: Width, b: Width, factor: float) -> Width:
    return _pool_capacity.add(a, _pool_capacity.scale(b, factor))
