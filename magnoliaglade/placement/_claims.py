"""Claims: capacity freed by preemption is held for its demand until it starts.

Handles bursts of urgent gangs on a full pool. Stops take effect one by one;
without claims, each plan gave the capacity that had become free to the first
demand in order, so that gangs preempted hundreds of tasks in turn and none of
the gangs started.
"""

import collections
from collections.abc import Iterable, Mapping

from magnoliaglade.placement._capacity_tracker import CapacityTracker
from magnoliaglade.placement._model import Claim, Demand, UnitId
from magnoliaglade.types import WorkerId

# Time to live of a claim in seconds. Once it has passed, the stops are assumed
# to have had no effect, and other demands may use the capacity.
CLAIM_TTL_S = 3.0


def valid_claims(
    claims: Iterable[Claim], *, now_s: float
) -> Mapping[UnitId, Claim]:
    """Returns the claims that have not expired, by unit.

    The capacity of a gang that waits for ends of other runs is not claimed: it
    is weighed again in each plan.
    """
    return {
        c.unit: c
        for c in claims
        if not c.is_wait and now_s - c.ordered_at_s <= CLAIM_TTL_S
    }


def order_by_claim(
    demands: Iterable[Demand], claims: Mapping[UnitId, Claim]
) -> list[Demand]:
    """Sorts demands: guaranteed ones first, and within each those with claims.

    The sort is stable.
    """
    return sorted(
        demands, key=lambda d: (not d.is_guaranteed, d.unit not in claims)
    )


class ClaimedCapacity:
    """The part of a claim that its demand can still use.

    Attributes:
        assignments: pairs of task index and worker for tasks that still wait,
            on workers that are still eligible.
        covers_all_tasks: every waiting task of the demand has an assignment.
    """

    def __init__(
        self, *, claim: Claim, demand: Demand, tracker: CapacityTracker
    ) -> None:
        self.demand = demand
        self.tracker = tracker
        groups = tracker.candidates_by_rack(demand).values()
        usable = {c.worker for group in groups for c in group}
        waiting = set(demand.indexes)
        self.assignments = [
            (i, w) for i, w in claim.placement if i in waiting and w in usable
        ]
        self.covers_all_tasks = len(self.assignments) == len(demand.indexes)

    def fits(self, *, include_releasing: bool) -> bool:
        """Returns whether all assignments fit at once.

        Args:
            include_releasing: whether capacity of runs that are stopping counts
                as free.
        """
        counts = collections.Counter(w for _, w in self.assignments)
        return all(
            self.tracker.slots(
                self.demand, w, include_releasing=include_releasing
            )
            >= count
            for w, count in counts.items()
        )

    def startable_assignments(self) -> list[tuple[int, WorkerId]]:
        """Returns the assignments that fit now."""
        remaining_slots = {
            w: self.tracker.slots(self.demand, w)
            for w in {w for _, w in self.assignments}
        }
        found: list[tuple[int, WorkerId]] = []
        for index, worker in self.assignments:
            if remaining_slots[worker] > 0:
                remaining_slots[worker] -= 1
                found.append((index, worker))
        return found
