"""Which running work to stop for a demand that must start.

Answers a burst of urgent jobs on a full pool. Work that loses least is stopped
first; gangs are stopped whole, since none of their members can go on alone.
The search looks at each worker once and again only where something changed, so
that its cost grows with the pool and not with its square.
"""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from magnoliaglade.jobs import Resources
from magnoliaglade.placement._model import Allocation, Candidate, Demand, UnitId
from magnoliaglade.placement._room import Room
from magnoliaglade.types import WorkerId

# An accelerator counts as this many cores where work is compared, as in the
# platform's prices.
CORES_PER_ACCELERATOR = 8

VictimId = tuple[UnitId, int | None]


def core_seconds(resources: Resources, duration_s: float) -> float:
    """Returns work in core-seconds; accelerators count as cores."""
    cores = resources.cores_m / 1000.0
    cores += resources.accelerators * CORES_PER_ACCELERATOR
    return cores * duration_s


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Victim:
    """Runs that are stopped together.

    Attributes:
        unit: the step run.
        index: index of the task; None stands for the whole gang.
        priority: priority of the job.
        loss: work thrown away, in core-seconds.
        freed: capacity that becomes free, by worker.
    """

    unit: UnitId
    index: int | None
    priority: int
    loss: float
    freed: Mapping[WorkerId, Resources]

    @property
    def key(self) -> VictimId:
        """Identifies the victim within a snapshot."""
        return self.unit, self.index

    @property
    def price(self) -> float:
        """Loss for each accelerator that becomes free."""
        freed = sum(max(1, r.accelerators) for r in self.freed.values())
        return self.loss / freed


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stoppable:
    """What may be stopped on one worker, cheapest first, and its capacity."""

    victims: tuple[Victim, ...] = ()
    total: Resources = Resources()


class VictimIndex:
    """Work that may be stopped, by worker and by how important a demand is."""

    def __init__(self, *, allocations: Iterable[Allocation]) -> None:
        self._stopped: set[VictimId] = set()
        self._by_worker: dict[WorkerId, list[Victim]] = {}
        self._found: dict[WorkerId, dict[tuple[int, bool], Stoppable]] = {}
        victims = sorted(
            _group(allocations), key=lambda v: (-v.priority, v.price)
        )
        for victim in victims:
            for worker in victim.freed:
                self._by_worker.setdefault(worker, []).append(victim)

    def stop(self, victim: Victim) -> None:
        """Takes note that a victim is being stopped."""
        self._stopped.add(victim.key)
        for worker in victim.freed:
            self._found.pop(worker, None)

    def on_worker(self, worker: WorkerId, demand: Demand) -> Stoppable:
        """Returns what may be stopped on a worker in favour of a demand."""
        found = self._found.setdefault(worker, {})
        key = (demand.priority, demand.is_guaranteed)
        if key not in found:
            found[key] = self._find(worker, demand)
        return found[key]

    def _find(self, worker: WorkerId, demand: Demand) -> Stoppable:
        lowest = demand.priority + (not demand.is_guaranteed)
        victims = tuple(
            v
            for v in self._by_worker.get(worker, ())
            if v.priority >= lowest and v.key not in self._stopped
        )
        total = sum((v.freed[worker] for v in victims), Resources())
        return Stoppable(victims=victims, total=total)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Option:
    """Victims on one worker that make room there for more tasks.

    Attributes:
        victims: what to stop.
        rank: sorts options with less important and cheaper victims first.
    """

    victims: tuple[Victim, ...]
    rank: tuple[int, float, WorkerId]


class VictimSearch:
    """Looks for a cheap set of victims in a group of workers.

    Workers are cleared one task at a time, the cheapest next. Victims that
    turn out to be needless are dropped, dearest first.

    Args:
        demand: what needs room.
        candidates: workers that may be cleared.
        room: free capacity.
        index: work that may be stopped.
    """

    def __init__(
        self,
        *,
        demand: Demand,
        candidates: Iterable[Candidate],
        room: Room,
        index: VictimIndex,
    ) -> None:
        self._demand = demand
        self._room = room
        workers = [c.worker for c in candidates]
        self._stoppable = {w: index.on_worker(w, demand) for w in workers}
        self._freed: dict[WorkerId, Resources] = {}
        self._slots: dict[WorkerId, int] = {}
        self._total = 0
        self._chosen: dict[VictimId, Victim] = {}

    def may_succeed(self, count: int) -> bool:
        """Tells whether stopping all would make room for `count` tasks."""
        total = 0
        for worker, stoppable in self._stoppable.items():
            total += self._slots_with(worker, stoppable.total)
            if total >= count:
                return True
        return False

    def run(self, count: int) -> list[Victim] | None:
        """Returns victims that make room for `count` tasks, or None."""
        self._slots = {w: self._slots_with(w, None) for w in self._stoppable}
        self._total = sum(self._slots.values())
        options = {w: self._option(w) for w in self._stoppable}
        while self._total < count:
            usable = [o for o in options.values() if o is not None]
            if not usable:
                return None
            best = min(usable, key=lambda o: o.rank)
            for victim in best.victims:
                self._add(victim)
            touched = {w for v in best.victims for w in v.freed}
            options.update(
                {w: self._option(w) for w in touched if w in options}
            )
        self._drop_needless(count)
        return list(self._chosen.values())

    def _slots_with(self, worker: WorkerId, extra: Resources | None) -> int:
        return self._room.slots(
            self._demand, worker, with_coming=True, extra=extra
        )

    def _option(self, worker: WorkerId) -> _Option | None:
        present = self._slots[worker]
        freed = self._freed.get(worker, Resources())
        picked: list[Victim] = []
        slots = present
        for victim in self._stoppable[worker].victims:
            is_own = victim.unit == self._demand.unit
            if is_own or victim.key in self._chosen:
                continue
            picked.append(victim)
            freed += victim.freed[worker]
            slots = self._slots_with(worker, freed)
            if slots > present:
                break
        if slots == present:
            return None
        for victim in sorted(picked[:-1], key=lambda v: -v.loss):
            rest = freed - victim.freed[worker]
            if self._slots_with(worker, rest) == slots:
                freed = rest
                picked.remove(victim)
        priority = min(v.priority for v in picked)
        loss = sum(v.loss for v in picked) / (slots - present)
        return _Option(victims=tuple(picked), rank=(-priority, loss, worker))

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

    def _drop_needless(self, count: int) -> None:
        for victim in sorted(self._chosen.values(), key=lambda v: -v.loss):
            self._drop(victim)
            if self._total < count:
                self._add(victim)


def _group(allocations: Iterable[Allocation]) -> Iterator[Victim]:
    """Yields single runs and whole gangs that may be stopped at all."""
    gangs: dict[UnitId, list[Allocation]] = {}
    for allocation in allocations:
        if allocation.is_gang:
            gangs.setdefault(allocation.unit, []).append(allocation)
        elif _is_stoppable(allocation):
            yield _make_victim([allocation], index=allocation.index)
    for members in gangs.values():
        if all(_is_stoppable(m) for m in members):
            yield _make_victim(members, index=None)


def _is_stoppable(allocation: Allocation) -> bool:
    return not (allocation.is_stopping or allocation.is_protected)


def _make_victim(allocations: list[Allocation], *, index: int | None) -> Victim:
    freed: dict[WorkerId, Resources] = {}
    for allocation in allocations:
        before = freed.get(allocation.worker)
        freed[allocation.worker] = (
            before + allocation.demand if before else allocation.demand
        )
    return Victim(
        unit=allocations[0].unit,
        index=index,
        priority=allocations[0].priority,
        loss=sum(core_seconds(u.demand, u.loss_s) for u in allocations),
        freed=freed,
    )
