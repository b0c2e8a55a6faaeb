"""Selects the demands worth most that can start in time in limited capacity.

A weighted form of the algorithm of Moore and Hodgson for the number of late
jobs. Demands are taken in order of their latest starts. One that does not find
room by then displaces demands taken before it, or is rejected. Displacing what
is worth less in total never makes the set worse, but keeps one large demand
against several small ones; displacing what is worth less per unit of work does
the opposite. Both are tried, and the better set is returned. The pool is
treated as one worker, and a demand starts as a whole.

The cost is that of sorting, plus that of following the ends of runs twice.
"""

import dataclasses
import heapq
import itertools
from collections.abc import Callable, Iterable

from magnoliaglade.placement import _pool_capacity
from magnoliaglade.placement._model import Demand
from magnoliaglade.placement._pool_capacity import Room, Taken, Width

# Largest number of demands that one displaces, which keeps the cost linear. The
# values of jobs differ by up to 4 / 0.3, so that more would be worth more.
MAX_DISPLACED = 16

_NEVER_S = float("inf")


@dataclasses.dataclass(kw_only=True, slots=True)
class Item:
    """A demand, as input to a selection.

    Attributes:
        demand: the demand.
        width: resources of its tasks together.
        share: their share of the pool.
        run_s: time in seconds for which they are in use.
        value: value if it starts in time.
        density: value per unit of work, which is a share of the pool times
            seconds.
    """

    demand: Demand
    width: Width
    share: float
    run_s: float
    value: float
    density: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Selection:
    """Result of a selection.

    Attributes:
        taken: what the selected demands use, until their ends.
        rejected: the other demands.
    """

    taken: list[Taken]
    rejected: list[Item]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Started:
    """A demand that has started in the simulation.

    Attributes:
        item: the demand.
        ends_at_s: its end.
        is_active: it has neither ended nor been displaced.
    """

    item: Item
    ends_at_s: float
    is_active: bool = True


class _Simulation:
    """Follows the capacity of a pool while demands start in turn."""

    def __init__(self, *, room: Room, now_s: float) -> None:
        self._free = room.free
        self._releases = room.releases
        self._position = 0
        self._now_s = now_s
        self._order = itertools.count()
        self._ends: list[tuple[float, int, _Started]] = []
        self._by_density: list[tuple[float, int, _Started]] = []
        self.started: list[_Started] = []

    def start_by(self, item: Item, latest_start_s: float) -> bool:
        """Starts a demand when it fits; returns whether this is in time."""
        cores_m, memory_mb, accelerators = item.width
        while (
            self._free[2] < accelerators
            or self._free[0] < cores_m
            or self._free[1] < memory_mb
        ):
            if not self._advance(latest_start_s):
                return False
        self._start(item)
        return True

    def displace(self, item: Item, *, by_total: bool) -> list[Item]:
        """Starts a demand in place of others that are worth less.

        Args:
            item: the demand.
            by_total: whether the others have to be worth less in total;
                otherwise each has to be worth less per unit of work.

        Returns:
            The displaced demands, or the demand itself if there are none.
        """
        chosen: list[_Started] = []
        free = self._free
        value = 0.0
        limit = _NEVER_S if by_total else item.density
        is_better = True
        while not _pool_capacity.is_within(item.width, free):
            started = self._pop_least(limit)
            if started is not None:
                chosen.append(started)
                free = _pool_capacity.add(free, started.item.width)
                value += started.item.value
            is_worth_more = by_total and value >= item.value
            is_long = len(chosen) > MAX_DISPLACED
            if started is None or is_worth_more or is_long:
                is_better = False
                break
        for started in chosen:
            if is_better:
                started.is_active = False
            else:
                self._push_density(started)
        if not is_better:
            return [item]
        self._free = free
        self._start(item)
        return [s.item for s in chosen]

    def _start(self, item: Item) -> None:
        self._free = _pool_capacity.subtract(self._free, item.width)
        started = _Started(item=item, ends_at_s=self._now_s + item.run_s)
        self.started.append(started)
        entry = (started.ends_at_s, next(self._order), started)
        heapq.heappush(self._ends, entry)
        self._push_density(started)

    def _push_density(self, started: _Started) -> None:
        entry = (started.item.density, next(self._order), started)
        heapq.heappush(self._by_density, entry)

    def _pop_least(self, density: float) -> _Started | None:
        """Returns an active demand of a lower density than given, or None."""
        while self._by_density and self._by_density[0][0] < density:
            started = heapq.heappop(self._by_density)[2]
            if started.is_active and started.ends_at_s > self._now_s:
                return started
        return None

    def _advance(self, until_s: float) -> bool:
        """Moves on to the next end; returns whether there is one in time."""
        ends = self._ends
        while ends and not ends[0][2].is_active:
            heapq.heappop(ends)
        at_s = ends[0][0] if ends else _NEVER_S
        is_release = False
        if self._position < len(self._releases):
            release_s = self._releases[self._position][0]
            if release_s <= at_s:
                at_s = release_s
                is_release = True
        if at_s > until_s:
            return False
        if is_release:
            width = self._releases[self._position][1]
            self._position += 1
        else:
            width = heapq.heappop(ends)[2].item.width
        free = self._free
        self._free = (
            free[0] + width[0],
            free[1] + width[1],
            free[2] + width[2],
        )
        if at_s > self._now_s:
            self._now_s = at_s
        return True


def select(
    room: Room,
    items: Iterable[Item],
    *,
    now_s: float,
    latest_start_s: Callable[[Demand], float],
) -> Selection:
    """Selects the demands worth most that can start in time.

    Args:
        room: capacity that they can use.
        items: the demands.
        now_s: the present.
        latest_start_s: returns the latest start of a demand, in seconds.
    """
    ordered = sorted(items, key=lambda i: latest_start_s(i.demand))
    best = _run(room, ordered, now_s, latest_start_s, by_total=True)
    if not best.rejected:
        return best
    other = _run(room, ordered, now_s, latest_start_s, by_total=False)
    return max(best, other, key=lambda s: -sum(i.value for i in s.rejected))


def _run(
    room: Room,
    ordered: list[Item],
    now_s: float,
    latest_start_s: Callable[[Demand], float],
    *,
    by_total: bool,
) -> Selection:
    simulation = _Simulation(room=room, now_s=now_s)
    rejected: list[Item] = []
    for item in ordered:
        if not simulation.start_by(item, latest_start_s(item.demand)):
            rejected.extend(simulation.displace(item, by_total=by_total))
    taken = [
        Taken(s.ends_at_s, s.item.width)
        for s in simulation.started
        if s.is_active
    ]
    return Selection(taken=taken, rejected=rejected)
