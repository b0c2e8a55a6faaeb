"""Cost of one plan of the coordinator on a full pool.

The load is the worst one that the planner answers: every accelerator is in
use, bursts of urgent gangs and of batch gangs wait, and urgent work stops
other work. The last figure is the slope of the cost against the size on
logarithmic axes: 1 is linear.
"""

import gc
import json
import math
import random
import sys
import time

from magnoliaglade import placement
from magnoliaglade.jobs import Resources, StepKey
from magnoliaglade.placement import (
    Allocation,
    Candidate,
    Demand,
    Snapshot,
    UnitId,
)
from magnoliaglade.types import (
    AccountId,
    JobId,
    RackId,
    ServiceName,
    WorkerId,
    ZoneId,
)

# Workers of today's two deployments, of the grown ones, and of the target.
SIZES = (24, 175, 350, 3_800)
_ACCELERATORS = 8
_RACK = 12
_REPEATS = 5
_NOW_S = 1_000.0
# Waiting jobs for each worker during a burst.
_QUEUED_PER_WORKER = 0.5
# Largest queue; the target has 6,700 jobs a day.
_QUEUED_MOST = 500
_CAPACITY = Resources(
    cores_m=128_000, memory_mb=524_288, accelerators=_ACCELERATORS
)
_SERVICE = ServiceName("trailplan")


def make_snapshot(workers: int, seed: int) -> Snapshot:
    """Returns a full pool with a burst of urgent and of batch work."""
    rng = random.Random(seed)
    candidates = [_make_candidate(n) for n in range(workers)]
    uses: list[Allocation] = []
    for number, candidate in enumerate(candidates):
        uses.extend(_fill(rng, candidate, number))
    queued = min(_QUEUED_MOST, int(workers * _QUEUED_PER_WORKER))
    demands = [_make_demand(rng, n) for n in range(queued)]
    return Snapshot(
        now_s=_NOW_S,
        candidates=tuple(candidates),
        allocations=tuple(uses),
        demands=tuple(demands),
    )


def _make_candidate(number: int) -> Candidate:
    rack = RackId(f"r{number // _RACK}")
    return Candidate(
        worker=WorkerId(f"w{number:04}"),
        service=_SERVICE,
        zone=ZoneId(f"z{number // _RACK % 5}"),
        rack=rack,
        labels=frozenset((rack, "a")),
        capacity=_CAPACITY,
        is_schedulable=True,
    )


def _fill(
    rng: random.Random, candidate: Candidate, number: int
) -> list[Allocation]:
    uses: list[Allocation] = []
    free = _ACCELERATORS
    while free:
        size = min(free, rng.choice((1, 1, 1, 2, 4)))
        free -= size
        is_gang = size > 1
        uses.append(
            Allocation(
                unit=UnitId(
                    JobId(f"run{number // 3}-{size}"),
                    StepKey(0, 0),
                ),
                index=len(uses) + number * _ACCELERATORS,
                worker=candidate.worker,
                demand=Resources(
                    cores_m=11_000 * size,
                    memory_mb=46_000 * size,
                    accelerators=size,
                ),
                priority=1 if is_gang else 2,
                account=AccountId(f"a{number % 10}"),
                is_protected=False,
                is_stopping=False,
                is_gang=is_gang,
                loss_s=rng.uniform(0.0, 9.0),
                ends_at_s=_NOW_S + rng.uniform(0.1, 9.0),
            )
        )
    return uses


def _make_demand(rng: random.Random, number: int) -> Demand:
    priority = rng.choice((0, 0, 0, 1, 2))
    size = 1 if priority == 2 else rng.choice((1, 2, 4, 8, 8))
    count = max(1, int(rng.expovariate(1 / (30.0 if priority == 2 else 6.0))))
    cores_m = (15_000, 52_000, 11_000)[priority]
    memory_mb = (79_000, 210_000, 46_000)[priority]
    return Demand(
        unit=UnitId(JobId(f"job{number}"), StepKey(0, 0)),
        service=_SERVICE,
        indexes=tuple(range(min(256, count))),
        resources=Resources(
            cores_m=cores_m, memory_mb=memory_mb, accelerators=size
        ),
        is_gang=priority < 2,
        same_rack=priority < 2 and rng.random() < 0.6,
        data_rack="",
        label="",
        max_per_worker=0,
        excluded_workers=frozenset(),
        priority=priority,
        account=AccountId(f"a{number % 10}"),
        is_guaranteed=priority == 0 and rng.random() < 0.5,
        arrived_at_s=_NOW_S - 1.0,
        estimate_s=(2.5, 6.8, 9.5)[priority],
        latest_start_s=_NOW_S + rng.uniform(-1.0, 5.0),
        latest_useful_start_s=_NOW_S + 10.0,
    )


def measure(workers: int, seed: int) -> tuple[float, int]:
    """Returns milliseconds of the fastest plan, and its preemptions."""
    snapshot = make_snapshot(workers, seed)
    planner = placement.Planner()
    best_s = math.inf
    gc.disable()
    try:
        for _ in range(_REPEATS):
            began_s = time.perf_counter()
            plan = planner.plan(snapshot)
            best_s = min(best_s, time.perf_counter() - began_s)
            if best_s > 1.0:
                break
    finally:
        gc.enable()
    return best_s * 1000.0, len(plan.preemptions)


def main(seeds: list[int]) -> None:
    """Prints one JSON object for each size and seed."""
    for seed in seeds:
        costs: dict[int, float] = {}
        for workers in SIZES:
            costs[workers], stopped = measure(workers, seed)
            _print(f"plan.{workers}", "ms", costs[workers], seed)
            _print(f"plan.{workers}.preemptions", "runs", stopped, seed)
        small, large = SIZES[1], SIZES[-1]
        slope = math.log(costs[large] / costs[small]) / math.log(large / small)
        _print("plan.slope", "exponent", slope, seed)


def _print(metric: str, unit: str, value: float, seed: int) -> None:
    row = {
        "metric": f"placement.{metric}",
        "unit": unit,
        "value": round(value, 3),
        "baseline": None,
        "ratio": None,
        "seed": seed,
    }
    print(json.dumps(row))


if __name__ == "__main__":
    main([int(a) for a in sys.argv[1:]] or [1])
