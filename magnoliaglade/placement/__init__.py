"""Pure decisions: order, packing, preemption and trust in workers."""

from magnoliaglade.placement._model import (
    Candidate,
    Claim,
    Demand,
    Plan,
    Preemption,
    Snapshot,
    Start,
    UnitId,
    Use,
)
from magnoliaglade.placement._order import Promise, order_demands, promise_of
from magnoliaglade.placement._planner import Planner
from magnoliaglade.placement._preemption import core_seconds
from magnoliaglade.placement._trust import (
    Evidence,
    Observation,
    TrustEstimator,
)

__all__ = [
    "Candidate",
    "Claim",
    "Demand",
    "Evidence",
    "Observation",
    "Plan",
    "Planner",
    "Preemption",
    "Promise",
    "Snapshot",
    "Start",
    "TrustEstimator",
    "UnitId",
    "Use",
    "core_seconds",
    "order_demands",
    "promise_of",
]
