"""Ranks demands of one priority when capacity is insufficient.

Handles bursts that exceed the room: ordered by latest start, every demand of
the burst starts a little too late, so that all of them miss their objectives.
Instead, the set that is worth most and can be on time goes first
(`_selection`), and the others follow. Accounts with far more than their share
wait behind the others, and work that was passed over for long goes first, a
little at a time.
"""

import collections
import dataclasses
import enum

from magnoliaglade.placement import _pool_capacity, _selection
from magnoliaglade.placement._model import Demand, Snapshot, UnitId
from magnoliaglade.placement._pool_capacity import (
    PoolCapacity,
    Taken,
    width_of,
)
from magnoliaglade.placement._selection import Item
from magnoliaglade.placement._timeliness import Timeliness, timeliness_of
from magnoliaglade.types import AccountId, ServiceName

# Time in seconds beyond its latest start for which a demand may be passed over
# while its result is still worth something; about the longest usual objective.
MAX_PASSED_OVER_S = 30.0
# The same, once its result is worth nothing. A shorter time would bring such
# work before work that can be on time, during the usual bursts.
MAX_USELESS_S = 60.0
# Part of a pool that work which was passed over for long may use at a time, so
# that an overload that lasts does not turn into one of overdue work alone.
MAX_OVERDUE_SHARE = 0.125
# Number of overdue demands that may go first whatever their size: the oldest,
# and one in turn, in case the oldest cannot be placed at all.
MIN_OVERDUE_DEMANDS = 2
# Time in seconds for which the same overdue demand is the one in turn; longer
# than most runs, so that a gang can wait for the ends that it needs.
OVERDUE_TURN_S = 15.0
# Multiple of its equal share of a pool from which on an account that uses or
# asks for more is held to its share; below it, uneven use is ordinary.
MAX_SHARE_RATIO = 2.0
# Factor on the value of demands of an account that is over its share. They
# still precede demands of less than half their value per accelerator-second.
OVER_SHARE_WEIGHT = 0.5
# Smallest work of a demand, as a share of the pool times seconds; keeps values
# per unit of work finite.
_MIN_AREA = 1e-9


class Rank(enum.IntEnum):
    """Rank within a priority; lower values are placed first.

    Attributes:
        OVERDUE: passed over for long, and first for that reason.
        CHOSEN: can be on time together with the others of this rank; every
            demand has this rank if capacity suffices.
        USEFUL: late, but worth something, together with those before.
        REST: has to wait for those before.
        UNSERVABLE: no workers of the service can hold it, whatever they run.
    """

    OVERDUE = 0
    CHOSEN = 1
    USEFUL = 2
    REST = 3
    UNSERVABLE = 4


@dataclasses.dataclass(kw_only=True, slots=True)
class Ranks:
    """Ranks of the demands of a snapshot.

    Attributes:
        by_unit: ranks other than CHOSEN.
        over_share: units of accounts that are over their share, and that are
            not CHOSEN.
        deferred: units that could be on time alone, but not together with
            those that are CHOSEN.
        density: value per unit of work of the CHOSEN demands of a priority of
            which others are deferred. They are placed by it: whether they fit
            on single workers is not known, so that some may still miss their
            latest starts, which should be those worth least.
    """

    by_unit: dict[UnitId, Rank] = dataclasses.field(default_factory=dict)
    over_share: frozenset[UnitId] = frozenset()
    deferred: frozenset[UnitId] = frozenset()
    density: dict[UnitId, float] = dataclasses.field(default_factory=dict)

    def of(self, demand: Demand) -> tuple[Rank, bool, float]:
        """Returns a sort key: rank, whether over the share, and value."""
        unit = demand.unit
        rank = self.by_unit.get(unit, Rank.CHOSEN)
        return rank, unit in self.over_share, -self.density.get(unit, 0.0)


def rank_demands(snapshot: Snapshot) -> Ranks:
    """Returns the ranks of all demands of a snapshot."""
    ranks = Ranks()
    by_service: dict[ServiceName, list[Demand]] = {}
    for demand in snapshot.demands:
        by_service.setdefault(demand.service, []).append(demand)
    for service, demands in by_service.items():
        _PoolRanking(
            snapshot=snapshot, service=service, demands=demands, ranks=ranks
        ).run()
    return ranks


class _PoolRanking:
    """Ranks the demands of one service."""

    def __init__(
        self,
        *,
        snapshot: Snapshot,
        service: ServiceName,
        demands: list[Demand],
        ranks: Ranks,
    ) -> None:
        self._now_s = snapshot.now_s
        self._ranks = ranks
        self._pool = PoolCapacity(snapshot=snapshot, service=service)
        self._demands = demands

    def run(self) -> None:
        """Adds the ranks of all demands that are not CHOSEN."""
        servable = []
        for demand in self._demands:
            if self._pool.can_ever_hold(demand):
                servable.append(demand)
            else:
                self._ranks.by_unit[demand.unit] = Rank.UNSERVABLE
        is_scarce = not self._pool.has_room_for(servable)
        if not is_scarce and not any(self._is_overdue(d) for d in servable):
            return
        taken: list[Taken] = []
        by_priority: dict[int, list[Item]] = {}
        for demand in servable:
            item = self._make_item(demand)
            if demand.is_guaranteed:
                taken.append(self._until_end(item))
            else:
                by_priority.setdefault(demand.priority, []).append(item)
        for priority in sorted(by_priority):
            items = by_priority[priority]
            over = self._units_over_share(priority, items)
            overdue = self._promote_overdue(priority, items, over)
            if not is_scarce:
                continue
            taken.extend(self._until_end(i) for i in overdue)
            first = {i.demand.unit for i in overdue}
            rest = [i for i in items if i.demand.unit not in first]
            taken.extend(self._divide(priority, rest, over, taken))

    def _make_item(self, demand: Demand) -> Item:
        width = width_of(demand.resources, len(demand.indexes))
        share = self._pool.share(width)
        run_s = demand.estimate_s
        area = max(_MIN_AREA, share * run_s)
        if share > 1.0:
            # Its tasks run one after the other.
            width = _pool_capacity.scale(width, 1.0 / share)
            run_s *= share
        return Item(
            demand=demand,
            width=width,
            share=share,
            run_s=run_s,
            value=demand.value,
            density=demand.value / area,
        )

    def _until_end(self, item: Item) -> Taken:
        return Taken(width=item.width, until_s=self._now_s + item.run_s)

    def _divide(
        self,
        priority: int,
        items: list[Item],
        over: frozenset[UnitId],
        taken: list[Taken],
    ) -> list[Taken]:
        """Ranks the demands of one priority; returns what they will use."""
        by_timeliness: dict[Timeliness, list[Item]] = {
            t: [] for t in Timeliness
        }
        for item in items:
            if item.demand.unit in over:
                item.value *= OVER_SHARE_WEIGHT
                item.density *= OVER_SHARE_WEIGHT
            timeliness = timeliness_of(item.demand, now_s=self._now_s)
            by_timeliness[timeliness].append(item)
        room = self._pool.room(priority, taken)
        on_time = _selection.select(
            room,
            by_timeliness[Timeliness.ON_TIME],
            now_s=self._now_s,
            latest_start_s=lambda d: d.latest_start_s,
        )
        late = [*on_time.rejected, *by_timeliness[Timeliness.LATE]]
        room = self._pool.room(priority, [*taken, *on_time.taken])
        useful = _selection.select(
            room,
            late,
            now_s=self._now_s,
            latest_start_s=lambda d: d.latest_useful_start_s,
        )
        if on_time.rejected:
            deferred = {i.demand.unit for i in on_time.rejected}
            self._ranks.density.update(
                {
                    i.demand.unit: i.density
                    for i in by_timeliness[Timeliness.ON_TIME]
                    if i.demand.unit not in deferred
                }
            )
        self._ranks.deferred |= {i.demand.unit for i in on_time.rejected}
        rank_by_unit = self._ranks.by_unit
        rank_by_unit.update({i.demand.unit: Rank.USEFUL for i in late})
        rest = [*useful.rejected, *by_timeliness[Timeliness.TOO_LATE]]
        rank_by_unit.update({i.demand.unit: Rank.REST for i in rest})
        self._ranks.over_share |= over & rank_by_unit.keys()
        late_taken = [self._until_end(i) for i in useful.rejected]
        return [*on_time.taken, *useful.taken, *late_taken]

    def _is_overdue(self, demand: Demand) -> bool:
        timeliness = timeliness_of(demand, now_s=self._now_s)
        limit_s = MAX_PASSED_OVER_S
        if timeliness is Timeliness.TOO_LATE:
            limit_s = MAX_USELESS_S
        return self._now_s - demand.latest_start_s > limit_s

    def _promote_overdue(
        self, priority: int, items: list[Item], over: frozenset[UnitId]
    ) -> list[Item]:
        """Ranks demands first that were passed over for long.

        Returns:
            The demands.
        """
        overdue = [i for i in items if self._is_overdue(i.demand)]
        share = self._pool.overdue_share(priority, MAX_PASSED_OVER_S)
        if not overdue or share >= MAX_OVERDUE_SHARE:
            return []
        overdue.sort(
            key=lambda i: (i.demand.unit in over, i.demand.latest_start_s)
        )
        turn = int(self._now_s // OVERDUE_TURN_S) % len(overdue)
        oldest = overdue.pop(0)
        in_turn = overdue.pop(turn - 1) if turn else None
        queue = [oldest, *([in_turn] if in_turn else []), *overdue]
        promoted = []
        for item in queue:
            is_full = share >= MAX_OVERDUE_SHARE
            if is_full and len(promoted) >= MIN_OVERDUE_DEMANDS:
                break
            promoted.append(item)
            share += item.share
            self._ranks.by_unit[item.demand.unit] = Rank.OVERDUE
        return promoted

    def _units_over_share(
        self, priority: int, items: list[Item]
    ) -> frozenset[UnitId]:
        """Returns the units with which accounts exceed their share.

        An account that uses and asks for far more than its equal share keeps
        this share; its demands count in order of their latest starts, on top of
        what it runs at the priority.
        """
        used: dict[AccountId, float] = collections.defaultdict(float)
        used.update(self._pool.shares_in_use(priority))
        wanted = used.copy()
        for item in items:
            wanted[item.demand.account] += item.share
        share = 1.0 / max(1, len(wanted))
        large = {a for a, w in wanted.items() if w > MAX_SHARE_RATIO * share}
        over = set()
        for item in sorted(items, key=lambda i: i.demand.latest_start_s):
            account = item.demand.account
            if account in large and used[account] >= share:
                over.add(item.demand.unit)
            used[account] += item.share
        return frozenset(over)
