"""Placement as pure functions: ordering, bin packing, preemption and trust."""

from magnoliaglade.placement._admission import (
    MAX_LATENESS_FACTOR,
    WORK_RATIOS,
    QueueLoad,
    WaitEstimator,
)
from magnoliaglade.placement._exclusion import excluded_workers
from magnoliaglade.placement._lasting_speeds import (
    LastingSpeed,
    LastingSpeedEstimator,
    SpeedEvidence,
)
from magnoliaglade.placement._load_records import decode_counts, encode_counts
from magnoliaglade.placement._model import (
    Allocation,
    Candidate,
    Claim,
    Demand,
    GangChoice,
    PlacementOption,
    Plan,
    Preemption,
    Snapshot,
    Start,
    UnitId,
)
from magnoliaglade.placement._order import order_demands
from magnoliaglade.placement._packing import slowest_speed, speed_level
from magnoliaglade.placement._planner import Planner
from magnoliaglade.placement._preemption import core_seconds
from magnoliaglade.placement._run_times import (
    RunTimeEstimator,
    RunTimeObservation,
)
from magnoliaglade.placement._speeds import SpeedEstimator, SpeedObservation
from magnoliaglade.placement._timeliness import Timeliness, timeliness_of
from magnoliaglade.placement._trust import (
    Evidence,
    Observation,
    TrustEstimator,
)
from magnoliaglade.placement._work import (
    WorkEstimator,
    WorkObservation,
    job_core_s,
    job_value,
    step_core_s,
)

__all__ = [
    "MAX_LATENESS_FACTOR",
    "WORK_RATIOS",
    "Allocation",
    "Candidate",
    "Claim",
    "Demand",
    "Evidence",
    "GangChoice",
    "LastingSpeed",
    "LastingSpeedEstimator",
    "Observation",
    "PlacementOption",
    "Plan",
    "Planner",
    "Preemption",
    "QueueLoad",
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
    "WaitEstimator",
    "WorkEstimator",
    "WorkObservation",
    "core_seconds",
    "decode_counts",
    "encode_counts",
    "excluded_workers",
    "job_core_s",
    "job_value",
    "order_demands",
    "slowest_speed",
    "speed_level",
    "step_core_s",
    "timeliness_of",
]
