"""Capacity of the workers of one service as a whole, now and later.

Workers are added up, so whether tasks fit on single workers is not seen:
scarcity is found a little later than it occurs, never where there is none.
"""

import collections
import functools
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from magnoliaglade.jobs import Resources
from magnoliaglade.placement._model import Demand, Snapshot
from magnoliaglade.types import AccountId, ServiceName

# Length in seconds of the periods by which ends of runs are grouped; a tenth of
# the shortest usual run, and few enough to follow them for each priority.
PERIOD_S = 0.25
# Number of the period of ends that are not counted on.
NEVER = -1
# Time in seconds after which ends are not counted on; beyond the longest usual
# objective.
_HORIZON_S = 120.0


# Resources of several tasks or workers, which may be fractions or negative:
# thousandths of cores, megabytes of memory, and accelerators. A plain tuple, as
# selections create thousands of them for each plan.
Width = tuple[float, float, float]


class Taken(NamedTuple):
    """Resources that are in use until a time in seconds."""

    until_s: float
    width: Width


class Room(NamedTuple):
    """Capacity that is free, or becomes free.

    Attributes:
        free: free capacity; negative for a kind that is promised twice.
        releases: resources that become free, by time.
    """

    free: Width
    releases: list[Taken]


_NOTHING = (0, 0, 0)


def width_of(resources: Resources, count: int = 1) -> Width:
    """Returns the resources of `count` tasks."""
    return (
        resources.cores_m * count,
        resources.memory_mb * count,
        resources.accelerators * count,
    )


def add(a: Width, b: Width) -> Width:
    """Returns the sum for each kind of resource."""
    return (a[0] + b[0], a[1] + b[1], a[2] + b[2])


def subtract(a: Width, b: Width) -> Width:
    """Returns the difference for each kind of resource."""
    return (a[0] - b[0], a[1] - b[1], a[2] - b[2])


def scale(a: Width, factor: float) -> Width:
    """Returns the product for each kind of resource."""
    return (a[0] * factor, a[1] * factor, a[2] * factor)


def is_within(a: Width, b: Width) -> bool:
    """Returns whether `a` needs no more than `b` of each kind."""
    return a[0] <= b[0] and a[1] <= b[1] and a[2] <= b[2]


def total_of(widths: Iterable[Width]) -> Width:
    """Returns the sum of several widths."""
    cores_m = memory_mb = accelerators = 0.0
    for width in widths:
        cores_m += width[0]
        memory_mb += width[1]
        accelerators += width[2]
    return (cores_m, memory_mb, accelerators)


class _Group(NamedTuple):
    """What runs that are treated alike have in common.

    Attributes:
        priority: priority of the jobs.
        is_protected: the runs are never preempted.
        account: client account of the jobs.
        period: period in which they end; see `PERIOD_S`.
    """

    priority: int
    is_protected: bool
    account: AccountId
    period: int


class PoolCapacity:
    """Capacity of the workers of one service.

    Attributes:
        snapshot: the snapshot.
        service: the service.
        total: capacity of the workers that may be given tasks.
    """

    def __init__(self, *, snapshot: Snapshot, service: ServiceName) -> None:
        self.snapshot = snapshot
        self.service = service
        self._workers = [c for c in snapshot.candidates if c.service == service]
        usable = {c.worker for c in self._workers if c.is_schedulable}
        self.total = _sum_resources(
            c.capacity for c in self._workers if c.is_schedulable
        )
        # A kind that the pool lacks is only needed by what it cannot hold.
        self._per_total = tuple(1.0 / t if t else 0.0 for t in self.total)
        self._running = [
            a
            for a in snapshot.allocations
            if a.worker in usable and not a.is_stopping
        ]
        self._holdable: dict[tuple[Resources, str, int], int] = {}
        self._capacities_by_label: dict[str, Mapping[Resources, int]] = {}

    def share(self, width: Width) -> float:
        """Returns the largest share of the pool's capacity of any kind."""
        return max(
            width[0] * self._per_total[0],
            width[1] * self._per_total[1],
            width[2] * self._per_total[2],
        )

    def can_ever_hold(self, demand: Demand) -> bool:
        """Returns whether the workers could hold a demand if they were idle.

        A gang has to fit as a whole, and other work at least a task.
        """
        key = (demand.resources, demand.label, demand.max_per_worker)
        if key not in self._holdable:
            self._holdable[key] = self._count_holdable(demand)
        needed = len(demand.indexes) if demand.is_gang else 1
        return self._holdable[key] >= needed

    def has_room_for(self, demands: Iterable[Demand]) -> bool:
        """Returns whether room for all demands is free or being released."""
        cores_m = memory_mb = accelerators = 0
        for demand in demands:
            count = len(demand.indexes)
            cores_m += demand.resources.cores_m * count
            memory_mb += demand.resources.memory_mb * count
            accelerators += demand.resources.accelerators * count
        used = _sum_resources(a.demand for a in self._running)
        needed = (cores_m, memory_mb, accelerators)
        return is_within(needed, subtract(self.total, used))

    def room(self, priority: int, taken: Iterable[Taken]) -> Room:
        """Returns the capacity that demands of a priority can use.

        Args:
            priority: priority of the demands. Those of priority 0 can preempt
                work of the others.
            taken: what precedes the demands.
        """
        before = list(taken)
        free, releases = (
            self._room_with_preemption
            if priority == 0
            else self._room_without_preemption
        )
        free = subtract(free, total_of(t.width for t in before))
        return Room(free, sorted([*releases, *before]))

    def shares_in_use(self, priority: int) -> Mapping[AccountId, float]:
        """Returns the share of the pool that each account uses."""
        widths: dict[AccountId, Width] = {}
        for group, width in self._groups.items():
            if group.priority == priority:
                before = widths.get(group.account, _NOTHING)
                widths[group.account] = add(before, width)
        return {a: self.share(w) for a, w in widths.items()}

    def overdue_share(self, priority: int, overdue_s: float) -> float:
        """Returns the share in use by runs that end too late.

        Args:
            priority: priority of the runs.
            overdue_s: time in seconds by which they miss their latest end.
        """
        return self.share(
            _sum_resources(
                a.demand
                for a in self._running
                if a.priority == priority
                and a.ends_at_s - a.latest_end_s > overdue_s
            )
        )

    @functools.cached_property
    def _groups(self) -> dict[_Group, Width]:
        now_s = self.snapshot.now_s
        sums: dict[tuple[int, bool, AccountId, int], list[int]] = {}
        for allocation in self._running:
            period = NEVER
            if allocation.ends_at_s < _HORIZON_S + now_s:
                # Rounded up: capacity is not assumed before it is free.
                period = int((allocation.ends_at_s - now_s) / PERIOD_S) + 1
            key = (
                allocation.priority,
                allocation.is_protected,
                allocation.account,
                period,
            )
            demand = allocation.demand
            found = sums.get(key)
            if found is None:
                found = sums[key] = [0, 0, 0]
            found[0] += demand.cores_m
            found[1] += demand.memory_mb
            found[2] += demand.accelerators
        return {_Group(*k): tuple(v) for k, v in sums.items()}

    @functools.cached_property
    def _room_with_preemption(self) -> Room:
        return self._make_room(
            lambda group: group.priority == 0 or group.is_protected
        )

    @functools.cached_property
    def _room_without_preemption(self) -> Room:
        return self._make_room(lambda _: True)

    def _make_room(self, is_kept: Callable[[_Group], bool]) -> Room:
        by_period: dict[int, Width] = {}
        for group, width in self._groups.items():
            if is_kept(group):
                before = by_period.get(group.period, _NOTHING)
                by_period[group.period] = add(before, width)
        used = total_of(by_period.values())
        now_s = self.snapshot.now_s
        releases = [
            Taken(now_s + period * PERIOD_S, width)
            for period, width in by_period.items()
            if period != NEVER
        ]
        return Room(subtract(self.total, used), releases)

    def _count_holdable(self, demand: Demand) -> int:
        total = 0
        for capacity, count in self._capacities(demand.label).items():
            slots = capacity.fit_count(demand.resources)
            if demand.max_per_worker:
                slots = min(slots, demand.max_per_worker)
            total += count * slots
        return total

    def _capacities(self, label: str) -> Mapping[Resources, int]:
        """Returns how many workers with a label have which capacity."""
        if label not in self._capacities_by_label:
            self._capacities_by_label[label] = collections.Counter(
                c.capacity
                for c in self._workers
                if not label or label in c.labels
            )
        return self._capacities_by_label[label]


def _sum_resources(resources: Iterable[Resources]) -> Width:
    cores_m = memory_mb = accelerators = 0
    for item in resources:
        cores_m += item.cores_m
        memory_mb += item.memory_mb
        accelerators += item.accelerators
    return (cores_m, memory_mb, accelerators)
