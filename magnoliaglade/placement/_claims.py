"""Room that was cleared for a demand stays its own until the demand starts.

Answers bursts of urgent gangs on a full pool: stops take effect one by one, and
without claims each plan gave what had become free to whatever came first, so
that gangs stopped hundreds of tasks in turn and none of them started.
"""

import collections
from collections.abc import Iterable, Mapping

from magnoliaglade.placement._model import Claim, Demand, UnitId
from magnoliaglade.placement._room import Room
from magnoliaglade.types import WorkerId

# A claim ends after this time in seconds: its stops have had no effect, and the
# room may serve others.
CLAIM_S = 3.0


def valid_claims(
    claims: Iterable[Claim], *, now_s: float
) -> Mapping[UnitId, Claim]:
    """Returns the claims that have not ended, by unit."""
    return {c.unit: c for c in claims if now_s - c.since_s <= CLAIM_S}


def order_by_claim(
    demands: Iterable[Demand], claims: Mapping[UnitId, Claim]
) -> list[Demand]:
    """Puts demands with a claim first among those with equal guarantee."""
    return sorted(
        demands, key=lambda d: (not d.is_guaranteed, d.unit not in claims)
    )


class ClaimedRoom:
    """What a claim holds of the room of a plan.

    Attributes:
        rows: pairs of index and worker that still wait and may be used.
        is_whole: every waiting task of the demand has its row.
    """

    def __init__(self, *, claim: Claim, demand: Demand, room: Room) -> None:
        self.demand = demand
        self.room = room
        racks = room.racks(demand).values()
        usable = {c.worker for group in racks for c in group}
        waiting = set(demand.indexes)
        self.rows = [
            (i, w) for i, w in claim.placement if i in waiting and w in usable
        ]
        self.is_whole = len(self.rows) == len(demand.indexes)

    def fits(self, *, with_coming: bool) -> bool:
        """Tells whether all rows have room, now or after stops."""
        counts = collections.Counter(w for _, w in self.rows)
        return all(
            self.room.slots(self.demand, w, with_coming=with_coming) >= count
            for w, count in counts.items()
        )

    def free_rows(self) -> list[tuple[int, WorkerId]]:
        """Returns the rows that have room now."""
        left = {
            w: self.room.slots(self.demand, w)
            for w in {w for _, w in self.rows}
        }
        found: list[tuple[int, WorkerId]] = []
        for index, worker in self.rows:
            if left[worker] > 0:
                left[worker] -= 1
                found.append((index, worker))
        return found
