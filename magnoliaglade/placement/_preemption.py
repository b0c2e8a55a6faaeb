"""Selects the running work to preempt for a demand.

Handles a burst of urgent jobs on a full pool. Work whose preemption costs the
callers the least is preempted first: by its priority, the work thrown away, and
whether it then misses an objective that it would have met. A gang is preempted
as a whole, since its members cannot run without each other. The search
evaluates each worker once, and again only after a change on it, so that its
cost is linear in the number of workers and not quadratic.
"""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from magnoliaglade.jobs import Resources
from magnoliaglade.placement._capacity_tracker import CapacityTracker
from magnoliaglade.placement._model import Allocation, Candidate, Demand, UnitId
from magnoliaglade.types import WorkerId

# Number of cores that an accelerator counts as when work is compared; the ratio
# of the platform's prices.
CORES_PER_ACCELERATOR = 8

# Part of the value of a result that is lost if it misses its objective.
MISSED_OBJECTIVE_LOSS = 0.7
# Time in seconds after which preempted work is expected to run again, besides
# what it has to repeat; the time of a stop, of a start, and of a short wait.
RESTART_DELAY_S = 1.0

VictimId = tuple[UnitId, int | None]


def core_seconds(resources: Resources, duration_s: float) -> float:
    """Returns work in core-seconds, with accelerators converted to cores."""
    cores = resources.cores_m / 1000.0
    cores += resources.accelerators * CORES_PER_ACCELERATOR
    return cores * duration_s


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Victim:
    """A run, or all runs of a gang, that can be preempted as one.

    Attributes:
        unit: the step run.
        index: index of the task; None for a whole gang.
        priority: priority of the job.
        loss_core_s: work thrown away, in core-seconds.
        cost_core_s: the same, plus the worth of an objective that will be
            missed, as the core-seconds of work that are worth as much.
        freed: capacity that becomes free, by worker.
    """

    unit: UnitId
    index: int | None
    priority: int
    loss_core_s: float
    cost_core_s: float
    freed: Mapping[WorkerId, Resources]

    @property
    def key(self) -> VictimId:
        """Key that is unique within a snapshot."""
        return self.unit, self.index

    @property
    def cost_per_accelerator(self) -> float:
        """Cost in core-seconds per freed accelerator.

        A worker on which no accelerator becomes free counts as one.
        """
        freed = sum(max(1, r.accelerators) for r in self.freed.values())
        return self.cost_core_s / freed


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PreemptibleWork:
    """Work on one worker that may be preempted.

    Attributes:
        victims: least important first, then the lowest cost per accelerator.
        total: capacity of all victims on the worker.
    """

    victims: tuple[Victim, ...] = ()
    total: Resources = Resources()


class VictimIndex:
    """Index of work that may be preempted.

    Lists are cached by worker, and by priority and guarantee of a demand.
    """

    def __init__(self, *, allocations: Iterable[Allocation]) -> None:
        self._stopping: set[VictimId] = set()
        self._by_worker: dict[WorkerId, list[Victim]] = {}
        self._cache: dict[
            WorkerId, dict[tuple[int, bool], PreemptibleWork]
        ] = {}
        victims = sorted(
            _group_victims(allocations),
            key=lambda v: (-v.priority, v.cost_per_accelerator),
        )
        for victim in victims:
            for worker in victim.freed:
                self._by_worker.setdefault(worker, []).append(victim)

    def mark_stopping(self, victim: Victim) -> None:
        """Excludes a victim that is being stopped."""
        self._stopping.add(victim.key)
        for worker in victim.freed:
            self._cache.pop(worker, None)

    def preemptible_on(
        self, worker: WorkerId, demand: Demand
    ) -> PreemptibleWork:
        """Returns the work on a worker that a demand may preempt."""
        found = self._cache.setdefault(worker, {})
        key = (demand.priority, demand.is_guaranteed)
        if key not in found:
            found[key] = self._list_preemptible(worker, demand)
        return found[key]

    def _list_preemptible(
        self, worker: WorkerId, demand: Demand
    ) -> PreemptibleWork:
        min_priority = demand.priority + (not demand.is_guaranteed)
        victims = tuple(
            v
            for v in self._by_worker.get(worker, ())
            if v.priority >= min_priority and v.key not in self._stopping
        )
        total = sum((v.freed[worker] for v in victims), Resources())
        return PreemptibleWork(victims=victims, total=total)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _WorkerOption:
    """Victims on one worker whose preemption makes more tasks fit there.

    Attributes:
        victims: runs and gangs to stop.
        rank: sort key: less important victims first, then the lower cost per
            additional task.
    """

    victims: tuple[Victim, ...]
    rank: tuple[int, float, WorkerId]


class VictimSearch:
    """Greedy search for a cheap set of victims in a group of workers.

    Each iteration takes the cheapest victims on one worker that make another
    task fit there. Victims that turn out to be unnecessary are removed at the
    end, the most expensive first.

    Args:
        demand: the demand that needs capacity.
        candidates: workers on which work may be preempted.
        tracker: free capacity of the workers.
        index: work that may be preempted.
    """

    def __init__(
        self,
        *,
        demand: Demand,
        candidates: Iterable[Candidate],
        tracker: CapacityTracker,
        index: VictimIndex,
    ) -> None:
        self._demand = demand
        self._tracker = tracker
        workers = [c.worker for c in candidates]
        self._preemptible = {
            w: index.preemptible_on(w, demand) for w in workers
        }
        self._freed: dict[WorkerId, Resources] = {}
        self._slots: dict[WorkerId, int] = {}
        self._total = 0
        self._chosen: dict[VictimId, Victim] = {}

    def is_feasible(self, count: int) -> bool:
        """Returns whether `count` tasks fit if all victims are preempted."""
        total = 0
        for worker, preemptible in self._preemptible.items():
            total += self._slots_with(worker, preemptible.total)
            if total >= count:
                return True
        return False

    def run(self, count: int) -> list[Victim] | None:
        """Returns victims whose preemption lets `count` tasks fit, or None."""
        self._slots = {w: self._slots_with(w, None) for w in self._preemptible}
        self._total = sum(self._slots.values())
        options = {w: self._cheapest_option(w) for w in self._preemptible}
        while self._total < count:
            usable = [o for o in options.values() if o is not None]
            if not usable:
                return None
            best = min(usable, key=lambda o: o.rank)
            for victim in best.victims:
                self._add(victim)
            touched = {w for v in best.victims for w in v.freed}
            options.update(
                {w: self._cheapest_option(w) for w in touched if w in options}
            )
        self._drop_unneeded(count)
        return list(self._chosen.values())

    def _slots_with(self, worker: WorkerId, extra: Resources | None) -> int:
        return self._tracker.slots(
            self._demand, worker, include_releasing=True, extra=extra
        )

    def _cheapest_option(self, worker: WorkerId) -> _WorkerOption | None:
        current_slots = self._slots[worker]
        freed = self._freed.get(worker, Resources())
        picked: list[Victim] = []
        slots = current_slots
        for victim in self._preemptible[worker].victims:
            is_same_unit = victim.unit == self._demand.unit
            if is_same_unit or victim.key in self._chosen:
                continue
            picked.append(victim)
            freed += victim.freed[worker]
            slots = self._slots_with(worker, freed)
            if slots > current_slots:
                break
        if slots == current_slots:
            return None
        for victim in sorted(picked[:-1], key=lambda v: -v.cost_core_s):
            rest = freed - victim.freed[worker]
            if self._slots_with(worker, rest) == slots:
                freed = rest
                picked.remove(victim)
        priority = min(v.priority for v in picked)
        cost_per_task = sum(v.cost_core_s for v in picked) / (
            slots - current_slots
        )
        return _WorkerOption(
            victims=tuple(picked), rank=(-priority, cost_per_task, worker)
        )

    def _add(self, victim: Victim) -> None:
        self._chosen[victim.key] = victim
        for worker, resources in victim.freed.items():
            if worker in self._slots:
                before = self._freed.get(worker, Resources())
                self._set_freed(worker, before + resources)

    def _drop(self, victim: Victim) -> None:
        del self._chosen[victim.key]
        for worker, resources in victim.freed.items():
            if worker in self._slots:
                self._set_freed(worker, self._freed[worker] - resources)

    def _set_freed(self, worker: WorkerId, freed: Resources) -> None:
        self._freed[worker] = freed
        slots = self._slots_with(worker, freed)
        self._total += slots - self._slots[worker]
        self._slots[worker] = slots

    def _drop_unneeded(self, count: int) -> None:
        for victim in sorted(
            self._chosen.values(), key=lambda v: -v.cost_core_s
        ):
            self._drop(victim)
            if self._total < count:
                self._add(victim)


def _group_victims(allocations: Iterable[Allocation]) -> Iterator[Victim]:
    """Yields the single runs and whole gangs that may be preempted."""
    gangs: dict[UnitId, list[Allocation]] = {}
    for allocation in allocations:
        if allocation.is_gang:
            gangs.setdefault(allocation.unit, []).append(allocation)
        elif _is_preemptible(allocation):
            yield _make_victim([allocation], index=allocation.index)
    for members in gangs.values():
        if all(_is_preemptible(m) for m in members):
            yield _make_victim(members, index=None)


def _is_preemptible(allocation: Allocation) -> bool:
    return not (allocation.is_stopping or allocation.is_protected)


def _make_victim(allocations: list[Allocation], *, index: int | None) -> Victim:
    freed: dict[WorkerId, Resources] = {}
    for allocation in allocations:
        before = freed.get(allocation.worker)
        freed[allocation.worker] = (
            before + allocation.demand if before else allocation.demand
        )
    loss_core_s = sum(core_seconds(a.demand, a.loss_s) for a in allocations)
    cost_core_s = loss_core_s
    if any(_will_miss_objective(a) for a in allocations):
        cost_core_s += MISSED_OBJECTIVE_LOSS * sum(
            core_seconds(a.demand, a.estimate_s) for a in allocations
        )
    return Victim(
        unit=allocations[0].unit,
        index=index,
        priority=allocations[0].priority,
        loss_core_s=loss_core_s,
        cost_core_s=cost_core_s,
        freed=freed,
    )


def _will_miss_objective(allocation: Allocation) -> bool:
    """Returns whether a run misses its objective only if it is preempted."""
    ends_again_s = allocation.ends_at_s + allocation.loss_s + RESTART_DELAY_S
    return allocation.ends_at_s <= allocation.latest_end_s < ends_again_s
