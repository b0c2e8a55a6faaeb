"""Guarantees as cells: binding to zones, and to workers within a zone.

A guarantee is kept when all guaranteed cells of a zone can be laid out on its
workers at once so that work that cannot be evicted lies in cells of its own
account. Everything else in a cell is free or held by borrowers, so evicting
borrowers alone gives the cell back. A cell of k accelerators includes the
same share of its worker's cores and memory.
"""

import dataclasses
import functools
import heapq
import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping

from magnoliaglade import configuration as configuration_lib
from magnoliaglade.scheduling import _capacity, _model
from magnoliaglade.types import AccountId, WorkerId, ZoneId

_LEVEL = configuration_lib.CellLevel

# Weights of cells for spreading over zones when the sizes of workers and
# racks are not part of the configuration: 8 accelerators, 8 workers.
_NOMINAL_UNITS = {_LEVEL.WORKER: 8, _LEVEL.RACK: 64}

Units = dict[WorkerId, int]


def bind_guarantees(
    configuration: configuration_lib.Configuration,
) -> tuple[_model.GuaranteedCells, ...]:
    """Binds every guarantee to a zone in service.

    A guarantee stays whole in one zone, because a gang does. It goes to the
    zone that it names; if it names none or that zone is removed, to the zone
    with the smallest sum of guaranteed cells. Without a zone in service the
    result is empty.
    """
    load = dict.fromkeys(sorted(configuration.zones_in_service), 0)
    entries = [
        (a.account, g)
        for a in sorted(configuration.accounts, key=lambda a: a.account)
        for g in a.guarantees
        if g.count > 0
    ]
    if not load:
        return ()
    entries.sort(key=lambda e: (e[1].zone not in load, -_nominal(e[1])))
    bound = []
    for account, guarantee in entries:
        zone = guarantee.zone
        if zone not in load:
            zone = min(load, key=lambda z: (load[z], z))
        load[zone] += _nominal(guarantee)
        bound.append(
            _model.GuaranteedCells(
                account=account,
                zone=zone,
                level=guarantee.level,
                count=guarantee.count,
                accelerators=guarantee.accelerators,
            )
        )
    return tuple(bound)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Layout:
    """One arrangement of all guaranteed cells of a zone.

    Attributes:
        cells: guaranteed accelerators by account and worker.
        missing: accelerators' worth of cells that found no place, by account.
        uncovered: accelerators in use without eviction outside the account's
            own cells, by account.
    """

    cells: Mapping[AccountId, Units]
    missing: Counter
    uncovered: Counter

    def keeps(self, before: "Layout") -> bool:
        """Tells whether no guarantee has less room than in `before`."""
        return all(n <= before.missing[a] for a, n in self.missing.items())

    def covers(self, before: "Layout", account: AccountId) -> bool:
        """Tells whether `account` uses no more outside its cells."""
        return self.uncovered[account] <= before.uncovered[account]


def task_units(shape: _model.Shape, count: int, worker: _model.Worker) -> int:
    """Returns the worker's accelerators that `count` tasks account for.

    The largest of the shares of cores, memory and accelerators counts, as a
    worker without cores cannot use its accelerators.
    """
    total = worker.shape
    whole, units = total.accelerators, shape.accelerators * count
    if total.cores > 0:
        share = whole * shape.cores * count / total.cores
        units = max(units, math.ceil(share - 1e-6))
    if total.memory_gb > 0:
        share = whole * shape.memory_gb * count / total.memory_gb
        units = max(units, math.ceil(share - 1e-6))
    return min(whole, units)


def is_evictable(running: _model.RunningGang) -> bool:
    """Tells whether a gang may be evicted for another account's guarantee."""
    return running.placement.borrowed and not running.gang.at_most_once


class GuaranteeLedger:
    """Layouts of all zones, kept up to date while a plan is made."""

    def __init__(
        self,
        *,
        workers: Mapping[WorkerId, _model.Worker],
        running: Iterable[_model.RunningGang],
        guarantees: Iterable[_model.GuaranteedCells],
    ) -> None:
        self.workers = workers
        self._guarantees: dict[ZoneId, list] = defaultdict(list)
        for cells in guarantees:
            self._guarantees[cells.zone].append(cells)
        self._zone_workers: dict[ZoneId, list[_model.Worker]] = defaultdict(
            list
        )
        for worker in workers.values():
            if worker.shape.accelerators and _holds_cells(worker):
                self._zone_workers[worker.zone].append(worker)
        self._fixed: dict[ZoneId, dict[AccountId, Counter]] = defaultdict(
            lambda: defaultdict(Counter)
        )
        # Accelerators that stop when the borrowers on a worker are evicted.
        self._cost: Counter = Counter()
        for gang in running:
            if is_evictable(gang):
                self._add_cost(gang.gang, gang.placement.assignments)
            else:
                self._add(gang.gang, gang.placement.assignments)
        self._layouts: dict[ZoneId, Layout] = {}

    @functools.cached_property
    def _racks(self) -> dict[tuple, int]:
        return Counter((w.zone, w.rack) for w in self.workers.values())

    def layout(self, zone: ZoneId) -> Layout:
        """Returns the zone's current layout."""
        if zone not in self._layouts:
            self._layouts[zone] = self._arrange(zone)
        return self._layouts[zone]

    def room(self, account: AccountId, zone: ZoneId) -> Units:
        """Returns the unused part of the account's cells by worker."""
        cells = self.layout(zone).cells.get(account, {})
        used = self._fixed[zone][account]
        return {w: n - used[w] for w, n in cells.items() if n > used[w]}

    def guaranteed(self, account: AccountId) -> int:
        """Returns the accelerators in all cells of the account."""
        zones = self.zones_of(account)
        return sum(
            sum(self.layout(z).cells.get(account, {}).values()) for z in zones
        )

    def zones_of(self, account: AccountId) -> list[ZoneId]:
        """Returns the zones in which the account has guaranteed cells."""
        return [
            zone
            for zone, cells in self._guarantees.items()
            if any(c.account == account for c in cells)
        ]

    def try_start(
        self, gang: _model.Gang, assignments: _capacity.Assignments
    ) -> bool | None:
        """Records a start and classifies it.

        Returns:
            False if it is within the account's guarantee (or can never be
            evicted and leaves every guarantee its room); True if it is
            borrowed; None if it must not start, because it could not be
            evicted and would take a guarantee's room.
        """
        if not all(_holds_cells(self.workers[w]) for w, _ in assignments):
            # The worker may hold cells again before the gang ends.
            if gang.at_most_once:
                return None
            self._add_cost(gang, assignments)
            return True
        zones = {self.workers[w].zone for w, _ in assignments}
        if not gang.at_most_once and not self._has_cells(gang.account, zones):
            self._add_cost(gang, assignments)
            return True
        before = {z: self.layout(z) for z in zones}
        self._add(gang, assignments)
        after = {z: self._arrange(z) for z in zones}
        kept = all(after[z].keeps(before[z]) for z in zones)
        covered = all(after[z].covers(before[z], gang.account) for z in zones)
        if kept and (covered or gang.at_most_once):
            self._layouts.update(after)
            return False
        self._add(gang, assignments, sign=-1)
        if gang.at_most_once:
            return None
        self._add_cost(gang, assignments)
        return True

    def _add_cost(
        self, gang: _model.Gang, assignments: _capacity.Assignments
    ) -> None:
        size = gang.tasks * gang.shape.accelerators
        if not size:
            return
        cost = self._cost
        for w, _ in assignments:
            cost[w] = cost.get(w, 0) + size

    def _has_cells(self, account: AccountId, zones: set[ZoneId]) -> bool:
        return all(
            any(c.account == account for c in self._guarantees.get(z, ()))
            for z in zones
        )

    def _add(
        self,
        gang: _model.Gang,
        assignments: _capacity.Assignments,
        sign: int = 1,
    ) -> None:
        for w, count in assignments:
            worker = self.workers.get(w)
            if worker is None or not _holds_cells(worker):
                continue
            units = task_units(gang.shape, count, worker)
            used = self._fixed[worker.zone][gang.account]
            used[w] = used.get(w, 0) + sign * units

    def _arrange(self, zone: ZoneId) -> Layout:
        return _Arrangement(
            workers=self._zone_workers[zone],
            racks=lambda: self._racks,
            fixed=self._fixed[zone],
            cost=self._cost,
        ).run(self._guarantees[zone])


class _Arrangement:
    """Lays out the cells of one zone, largest first.

    Sizes of accelerator cells divide each other, so placing them in order of
    falling size finds room whenever free accelerators allow it. Cells that
    cover work in place go before cells that are unused, and these go where
    taking them back stops the least work.
    """

    def __init__(
        self,
        *,
        workers: list[_model.Worker],
        racks: Callable[[], Mapping[tuple, int]],
        fixed: Mapping[AccountId, Counter],
        cost: Mapping[WorkerId, int],
    ) -> None:
        self.workers = workers
        self.racks = racks
        self.cost = cost
        self._total = {w.worker: w.shape.accelerators for w in workers}
        # Uncovered use that stays in place, by account and in sum.
        self._use = {
            a: Counter({w: n for w, n in use.items() if n > 0})
            for a, use in fixed.items()
        }
        self._used = Counter()
        for use in self._use.values():
            self._used.update(use)
        self._left = dict(self._total)
        self._cells: dict[AccountId, Units] = defaultdict(dict)
        self._missing: Counter = Counter()

    @functools.cached_property
    def _by_rack(self) -> dict[tuple, list[WorkerId]]:
        by_rack: dict[tuple, list[WorkerId]] = defaultdict(list)
        for w in self.workers:
            by_rack[w.zone, w.rack].append(w.worker)
        return by_rack

    def run(self, guarantees: Iterable[_model.GuaranteedCells]) -> Layout:
        largest = max(self._total.values(), default=0)
        for size, members in self._kinds(guarantees, largest):
            self._place_kind(size, members, largest)
        return Layout(
            cells=self._cells,
            missing=self._missing,
            uncovered=Counter(
                {a: sum(u.values()) for a, u in self._use.items()}
            ),
        )

    def _kinds(self, guarantees: Iterable, largest: int) -> list:
        kinds: dict = defaultdict(lambda: defaultdict(int))
        for g in guarantees:
            size = g.accelerators
            if g.level is _LEVEL.WORKER:
                size = largest
            rank = (g.level is _LEVEL.RACK, g.level is _LEVEL.WORKER, size)
            kinds[rank][g.account] += g.count
        return sorted(kinds.items(), reverse=True)

    def _place_kind(
        self, kind: tuple, counts: dict[AccountId, int], largest: int
    ) -> None:
        rack, _, size = kind
        left = dict(sorted(counts.items()))
        for covering in (True, False):
            for account in left:
                options = (
                    self._rack_options(account, covering)
                    if rack
                    else self._worker_options(account, size, covering)
                )
                for members in options:
                    if not left[account]:
                        break
                    for w in members:
                        self._bind(account, w, self._total[w] if rack else size)
                    left[account] -= 1
        for account, count in left.items():
            if not count:
                continue
            units = size
            if rack:
                units = largest * max(
                    map(len, self._by_rack.values()), default=1
                )
            self._missing[account] += count * max(units, 1)

    def _rack_options(self, account: AccountId, covering: bool) -> list:
        use = self._use.get(account, Counter())
        options, cost = [], self.cost.__getitem__
        sizes = self.racks()
        for key, members in sorted(self._by_rack.items()):
            whole = len(members) == sizes[key] and all(
                self._left[w] == self._total[w] and self._used[w] == use[w]
                for w in members
            )
            own = sum(use[w] for w in members)
            if whole and (own > 0) == covering:
                options.append((-own, sum(map(cost, members)), key, members))
        return [members for *_, members in sorted(options)]

    def _worker_options(
        self, account: AccountId, size: int, covering: bool
    ) -> Iterable[list[WorkerId]]:
        use = self._use.get(account, {})
        pool = [w for w in use if w in self._left] if covering else self._left
        # `get` because the lookup of a missing key in a Counter is slow.
        used, cost = self._used.get, self.cost.get
        ranked = []
        for w in pool:
            own = use.get(w, 0)
            room = self._left[w] - used(w, 0) + own
            if room >= size and (own > 0) == covering:
                ranked.append((-own, cost(w, 0), room, w))
        # A heap, because only the first few are taken as a rule.
        heapq.heapify(ranked)
        while ranked:
            own, _, room, w = heapq.heappop(ranked)
            fits = room // size
            needed = math.ceil(-own / size) if covering else fits
            for _ in range(min(fits, needed)):
                yield [w]

    def _bind(self, account: AccountId, worker: WorkerId, size: int) -> None:
        self._left[worker] -= size
        cells = self._cells[account]
        cells[worker] = cells.get(worker, 0) + size
        use = self._use.get(account)
        if use is None or not use[worker]:
            return
        covered = min(size, use[worker])
        use[worker] -= covered
        self._used[worker] -= covered


def _holds_cells(worker: _model.Worker) -> bool:
    # A worker on probation takes one gang among all, so no guarantee can
    # rely on it.
    return worker.state is _model.WorkerState.AVAILABLE


def _nominal(guarantee: configuration_lib.Guarantee) -> int:
    units = _NOMINAL_UNITS.get(guarantee.level, guarantee.accelerators)
    return units * guarantee.count
