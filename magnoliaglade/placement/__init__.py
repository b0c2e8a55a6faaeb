"""Placement as pure functions: ordering, bin packing, preemption and trust."""

from magnoliaglade.placement._exclusion import excluded_workers
from magnoliaglade.placement._lasting_speeds import (
    LastingSpeed,
    LastingSpeedEstimator,
    SpeedEvidence,
)
from magnoliaglade.placement._model import (
    Allocation,
    Candidate,
    Claim,
    Demand,
    Plan,
    Preemption,
    Snapshot,
    Start,
    UnitId,
)
from magnoliaglade.placement._order import (
    Timeliness,
    order_demands,
    timeliness_of,
)
from magnoliaglade.placement._packing import slowest_speed, speed_level
from magnoliaglade.placement._planner import Planner
from magnoliaglade.placement._preemption import core_seconds
from magnoliaglade.placement._run_times import (
    RunTimeEstimator,
    RunTimeObservation,
)
from magnoliaglade.placement._speeds import SpeedEstimator, SpeedObservation
from magnoliaglade.placement._trust import (
    Evidence,
    Observation,
    TrustEstimator,
)

__all__ = [
    "Allocation",
    "Candidate",
    "Claim",
    "Demand",
    "Evidence",
    "LastingSpeed",
    "LastingSpeedEstimator",
    "Observation",
    "Plan",
    "Planner",
    "Preemption",
    "RunTimeEstimator",
    "RunTimeObservation",
    "Snapshot",
    "SpeedEstimator",
    "SpeedEvidence",
    "SpeedObservation",
    "Start",
    "Timeliness",
    "TrustEstimator",
    "UnitId",
    "core_seconds",
    "excluded_workers",
    "order_demands",
    "slowest_speed",
    "speed_level",
    "timeliness_of",
]
