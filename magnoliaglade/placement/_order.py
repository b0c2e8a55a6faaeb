"""Orders the demands of a plan.

Handles the load pattern in which urgent bursts, large gangs and a reduced pool
coincide. Guaranteed work comes first, then work is ordered by priority. Within
a priority, work that can still meet its objective precedes work that cannot.
Where capacity is insufficient, see `_overload`.
"""

from magnoliaglade.placement import _overload
from magnoliaglade.placement._model import Demand, Snapshot, UnitId
from magnoliaglade.placement._overload import Rank
from magnoliaglade.placement._timeliness import Timeliness, timeliness_of

# Added to the priority of work whose result is worth nothing any more, which
# places it behind the work of all priorities.
_TOO_LATE_OFFSET = 1_000


def order_demands(
    snapshot: Snapshot,
) -> tuple[list[Demand], frozenset[UnitId]]:
    """Returns the demands in the order in which they are placed.

    Returns:
        The ordered demands, and the units that are deferred, see
        `Plan.deferred`.
    """
    ranks = _overload.rank_demands(snapshot)

    def key(
        demand: Demand,
    ) -> tuple[bool, bool, int, Rank, bool, float, int, float, float]:
        rank, is_over_share, value = ranks.of(demand)
        timeliness = timeliness_of(demand, now_s=snapshot.now_s)
        is_behind = (
            timeliness is Timeliness.TOO_LATE and rank is not Rank.OVERDUE
        )
        return (
            rank is Rank.UNSERVABLE,
            not demand.is_guaranteed,
            demand.priority + is_behind * _TOO_LATE_OFFSET,
            rank,
            is_over_share,
            value,
            timeliness,
            demand.latest_start_s,
            demand.arrived_at_s,
        )

    return sorted(snapshot.demands, key=key), ranks.deferred
