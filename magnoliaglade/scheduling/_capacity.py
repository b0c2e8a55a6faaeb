"""Free capacity of a snapshot and whole-gang placement on it.

The index is built once per decision. Slots (how many tasks of a shape a
worker still holds) are tabulated per distinct shape with totals per zone and
rack, so a gang that does not fit is rejected without a look at the workers.
"""

import dataclasses
import heapq
import math
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping

from magnoliaglade.scheduling import _model
from magnoliaglade.types import JobId, RackId, WorkerId, ZoneId

# Absorbs rounding in sums of fractional cores and memory.
_EPSILON = 1e-6

_AVAILABLE = _model.WorkerState.AVAILABLE
_PROBATION = _model.WorkerState.PROBATION

Assignments = tuple[tuple[WorkerId, int], ...]
RackKey = tuple[ZoneId, RackId]


def slots_in(
    cores: float, memory_gb: float, accelerators: int, shape: _model.Shape
) -> int:
    """Returns how many tasks of `shape` fit into the given resources."""
    # A task that declares nothing counts as one accelerator, because
    # unlimited slots would hide a missing declaration.
    size = shape.accelerators
    slots = accelerators // size if size > 0 else math.inf
    if shape.cores > 0:
        slots = min(slots, (cores + _EPSILON) // shape.cores)
    if shape.memory_gb > 0:
        slots = min(slots, (memory_gb + _EPSILON) // shape.memory_gb)
    if slots == math.inf:
        slots = max(accelerators, 1)
    return int(slots) if slots > 0 else 0


@dataclasses.dataclass(kw_only=True, slots=True)
class _SlotTable:
    """Slots of one shape by worker, with totals by rack and zone."""

    workers: dict[WorkerId, int]
    racks: dict[RackKey, int]
    zones: dict[ZoneId, int]
    # Workers by free accelerators and cores; entries of workers that have
    # changed since stay until they come up.
    heap: list[tuple[float, float, int, WorkerId]] | None = None


class Capacity:
    """Free resources by worker; changed by `allocate` and `release`.

    Only workers that may get new tasks (available or on probation, in a
    startable zone) offer slots; `any_state` counts all workers, for the
    question whether a gang could ever run. Resources of running gangs are
    tracked on all workers. Workers on probation offer slots while no gang runs
    on any of them, so that a bad worker fails one gang at a time, and none to
    gangs that must not start twice. A job gets no slots on workers that
    `avoided` names for it.
    """

    def __init__(
        self,
        *,
        workers: Mapping[WorkerId, _model.Worker],
        running: Iterable[_model.RunningGang],
        zones: Collection[ZoneId],
        any_state: bool = False,
        avoided: Mapping[JobId, frozenset[WorkerId]] | None = None,
    ) -> None:
        self.workers = workers
        self.avoided = avoided or {}
        self.zones = zones
        self.free: dict[WorkerId, list[float]] = {
            w: [x.shape.cores, x.shape.memory_gb, x.shape.accelerators]
            for w, x in workers.items()
        }
        self.usable = [
            w
            for w, x in workers.items()
            if x.zone in zones and (any_state or is_startable(x))
        ]
        running = list(running)
        self._probation = frozenset(
            w
            for w in self.usable
            if workers[w].state is _PROBATION and not any_state
        )
        if self._probation and any(
            workers[w].state is _PROBATION
            for gang in running
            for w, _ in gang.placement.assignments
            if w in workers
        ):
            self.usable = [w for w in self.usable if w not in self._probation]
            self._probation = frozenset()
        self._position = {w: n for n, w in enumerate(self.usable)}
        self.by_rack: dict[RackKey, list[WorkerId]] = defaultdict(list)
        self.by_zone: dict[ZoneId, list[WorkerId]] = defaultdict(list)
        for w in self.usable:
            x = workers[w]
            self.by_rack[x.zone, x.rack].append(w)
            self.by_zone[x.zone].append(w)
        self._tables: dict[_model.Shape, _SlotTable] = {}
        for gang in running:
            self._take(gang.placement.assignments, gang.gang.shape, 1)

    def allocate(self, assignments: Assignments, shape: _model.Shape) -> None:
        """Takes the resources of a placed gang."""
        self._take(assignments, shape, 1)
        self._refresh(w for w, _ in assignments)
        if any(w in self._probation for w, _ in assignments):
            self._close_probation()

    def usable_for(self, gang: _model.Gang) -> list[WorkerId]:
        """Returns the workers that may get tasks of the gang."""
        closed = self.closed_to(gang)
        if not closed:
            return self.usable
        return [w for w in self.usable if w not in closed]

    def release(self, assignments: Assignments, shape: _model.Shape) -> None:
        """Gives the resources of a gang back."""
        self._take(assignments, shape, -1)
        self._refresh(w for w, _ in assignments)

    def slots_by_worker(self, shape: _model.Shape) -> Mapping[WorkerId, int]:
        """Returns the slots on all usable workers; it changes with them."""
        return self._table(shape).workers

    def slots(self, worker: WorkerId, shape: _model.Shape) -> int:
        """Returns how many tasks of `shape` the worker still holds."""
        if worker not in self._position:
            return 0
        return slots_in(*self.free[worker], shape)

    def find(
        self,
        gang: _model.Gang,
        *,
        withheld: Collection[WorkerId] = frozenset(),
        best_fit: bool = True,
    ) -> Assignments | None:
        """Places the whole gang, or returns None.

        Args:
            gang: the gang to place.
            withheld: workers that it must not use.
            best_fit: fill the smallest sufficient group and the most used
                workers first; otherwise take workers in order of their id.
        """
        withheld = self.closed_to(gang).union(withheld)
        table = self._table(gang.shape)
        if gang.tasks == 1 and best_fit:
            return self._find_single(table, withheld)
        groups = [
            (total, n, group)
            for n, (group, total) in enumerate(
                self._groups(table, gang.adjacency)
            )
            if total >= gang.tasks
        ]
        # The group with the fewest sufficient slots is the best fit.
        for _, _, group in sorted(groups) if best_fit else groups:
            members = self._members(group, table, withheld)
            if sum(table.workers[w] for w in members) >= gang.tasks:
                return self.fill(
                    members, table.workers, gang, best_fit=best_fit
                )
        return None

    def closed_to(self, gang: _model.Gang) -> frozenset[WorkerId]:
        """Returns the workers that must get no tasks of a gang."""
        avoided = self.avoided.get(gang.job, frozenset())
        return avoided | self._probation if gang.at_most_once else avoided

    def _find_single(
        self, table: _SlotTable, withheld: Collection[WorkerId]
    ) -> Assignments | None:
        """Returns the most used worker that holds one task."""
        heap = table.heap
        if heap is None:
            heap = [self._entry(w) for w, n in table.workers.items() if n]
            heapq.heapify(heap)
            table.heap = heap
        best, passed = None, []
        while heap and best is None:
            entry = heap[0]
            w = entry[3]
            if not table.workers[w] or entry[:2] != self._load(w):
                heapq.heappop(heap)
            elif w in withheld:
                passed.append(heapq.heappop(heap))
            else:
                best = w
        for entry in passed:
            heapq.heappush(heap, entry)
        return None if best is None else ((best, 1),)

    def _entry(self, worker: WorkerId) -> tuple[float, float, int, WorkerId]:
        return *self._load(worker), self._position[worker], worker

    def _load(self, worker: WorkerId) -> tuple[float, float]:
        cores, _, accelerators = self.free[worker]
        return accelerators, cores

    def fits(self, gang: _model.Gang) -> bool:
        """Tells whether the whole gang fits, without placing it."""
        table = self._table(gang.shape)
        groups = self._groups(table, gang.adjacency)
        return any(total >= gang.tasks for _, total in groups)

    def fill(
        self,
        members: Iterable[WorkerId],
        slots: Mapping[WorkerId, int],
        gang: _model.Gang,
        *,
        best_fit: bool = True,
    ) -> Assignments:
        """Spreads a gang over members that hold it.

        Best fit uses the most used workers first and ends on the smallest
        worker that holds the rest, which keeps unused workers whole.
        """
        order = list(members)
        if best_fit:
            free = self.free
            order.sort(key=lambda w: (free[w][2], free[w][0], w))
        left, result = gang.tasks, []
        for n, w in enumerate(order):
            if slots[w] >= left:
                rest = order[n:] if best_fit else (w,)
                last = min(rest, key=lambda x: _overshoot(slots[x], left))
                result.append((last, left))
                break
            if slots[w] > 0:
                result.append((w, slots[w]))
                left -= slots[w]
        return tuple(sorted(result))

    def _groups(
        self, table: _SlotTable, adjacency: _model.Adjacency
    ) -> Iterable[tuple[object, int]]:
        if adjacency is _model.Adjacency.WORKER:
            return table.workers.items()
        if adjacency is _model.Adjacency.RACK:
            return table.racks.items()
        if adjacency is _model.Adjacency.ZONE:
            return table.zones.items()
        return ((None, sum(table.zones.values())),)

    def _members(
        self,
        group: object,
        table: _SlotTable,
        withheld: Collection[WorkerId],
    ) -> list[WorkerId]:
        if group is None:
            pool = self.usable
        elif isinstance(group, tuple):
            pool = self.by_rack[group]
        elif group in table.workers:
            pool = [group]
        else:
            pool = self.by_zone[group]
        slots = table.workers
        return [w for w in pool if slots[w] > 0 and w not in withheld]

    def _table(self, shape: _model.Shape) -> _SlotTable:
        table = self._tables.get(shape)
        if table is not None:
            return table
        table = _SlotTable(
            workers={w: slots_in(*self.free[w], shape) for w in self.usable},
            racks=defaultdict(int),
            zones=defaultdict(int),
        )
        for rack, members in self.by_rack.items():
            total = sum(table.workers[w] for w in members)
            table.racks[rack] = total
            table.zones[rack[0]] += total
        self._tables[shape] = table
        return table

    def _refresh(self, changed: Iterable[WorkerId]) -> None:
        for w in changed:
            if w not in self._position:
                continue
            x = self.workers[w]
            for shape, table in self._tables.items():
                after = slots_in(*self.free[w], shape)
                delta = after - table.workers[w]
                if delta:
                    table.workers[w] = after
                    table.racks[x.zone, x.rack] += delta
                    table.zones[x.zone] += delta
                if after and table.heap is not None:
                    heapq.heappush(table.heap, self._entry(w))

    def _close_probation(self) -> None:
        closed, self._probation = self._probation, frozenset()
        self.usable = [w for w in self.usable if w not in closed]
        for w in closed:
            x = self.workers[w]
            del self._position[w]
            self.by_rack[x.zone, x.rack].remove(w)
            self.by_zone[x.zone].remove(w)
            for table in self._tables.values():
                slots, table.workers[w] = table.workers[w], 0
                table.racks[x.zone, x.rack] -= slots
                table.zones[x.zone] -= slots

    def _take(
        self, assignments: Assignments, shape: _model.Shape, sign: int
    ) -> None:
        free = self.free
        for w, count in assignments:
            left = free.get(w)
            if left is None:
                continue
            count *= sign
            left[0] -= shape.cores * count
            left[1] -= shape.memory_gb * count
            left[2] -= shape.accelerators * count


def is_startable(worker: _model.Worker) -> bool:
    """Tells whether a worker's state allows new tasks."""
    # Identity, because hashing and comparing members of an Enum is slow.
    return worker.state is _AVAILABLE or worker.state is _PROBATION


def jobs_by_worker(
    running: Iterable[_model.RunningGang],
) -> dict[WorkerId, list[JobId]]:
    """Returns the jobs on each worker."""
    result: dict[WorkerId, list[JobId]] = defaultdict(list)
    for gang in running:
        for w, _ in gang.placement.assignments:
            result[w].append(gang.gang.job)
    return result


def groups(
    workers: Mapping[WorkerId, _model.Worker],
    adjacency: _model.Adjacency,
    pool: Collection[WorkerId],
) -> list[list[WorkerId]]:
    """Splits workers into the groups within which a gang must stay."""
    result: dict = defaultdict(list)
    for w in pool:
        key = _group_of(w, workers[w], adjacency)
        result[key].append(w)
    return list(result.values())


def _group_of(
    worker_id: WorkerId, worker: _model.Worker, adjacency: _model.Adjacency
) -> object:
    if adjacency is _model.Adjacency.WORKER:
        return worker_id
    if adjacency is _model.Adjacency.RACK:
        return (worker.zone, worker.rack)
    if adjacency is _model.Adjacency.ZONE:
        return worker.zone
    return None


def _overshoot(slots: int, need: int) -> float:
    return slots - need if slots >= need else math.inf
