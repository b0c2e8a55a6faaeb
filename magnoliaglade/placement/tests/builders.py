"""Builds snapshots, and reads plans, for tests of load patterns."""

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

SERVICE = ServiceName("render")
NOW_S = 1_000.0
CAPACITY = Resources(cores_m=64_000, memory_mb=128_000, accelerators=8)


def resources(accelerators, *, cores_m=1_000, memory_mb=1_000):
    return Resources(
        cores_m=cores_m, memory_mb=memory_mb, accelerators=accelerators
    )


def unit(name):
    return UnitId(JobId(name), StepKey(0, 0))


def candidate(
    name,
    *,
    rack="r0",
    suspicion=0.0,
    is_schedulable=True,
    labels=(),
    is_quarantined=False,
    speed=1.0,
    lasting_speed=1.0,
):
    return Candidate(
        worker=WorkerId(name),
        service=SERVICE,
        zone=ZoneId("a"),
        rack=RackId(rack),
        labels=frozenset({rack, *labels}),
        capacity=CAPACITY,
        is_schedulable=is_schedulable,
        suspicion=suspicion,
        is_quarantined=is_quarantined,
        speed=speed,
        lasting_speed=lasting_speed,
    )


def racks(count, *, size=4, speeds=()):
    """Returns racks of workers.

    Args:
        count: number of racks.
        size: workers of a rack.
        speeds: lasting speeds of each rack's workers.
    """
    return tuple(
        candidate(
            f"w{r}{i}",
            rack=f"r{r}",
            speed=speeds[r][i] if speeds else 1.0,
            lasting_speed=speeds[r][i] if speeds else 1.0,
        )
        for r in range(count)
        for i in range(size)
    )


def demand(name, count, accelerators, **fields):
    values = {
        "unit": unit(name),
        "service": SERVICE,
        "indexes": tuple(range(count)),
        "resources": resources(accelerators),
        "is_gang": True,
        "same_rack": False,
        "data_rack": "",
        "label": "",
        "max_per_worker": 0,
        "excluded_workers": frozenset(),
        "priority": 1,
        "account": AccountId("studio"),
        "is_guaranteed": False,
        "arrived_at_s": NOW_S,
        "estimate_s": 8.0,
        "latest_start_s": NOW_S + 20.0,
        "latest_useful_start_s": NOW_S + 60.0,
    }
    return Demand(**(values | fields))


def allocation(name, worker, accelerators, **fields):
    values = {
        "unit": unit(name),
        "index": 0,
        "worker": WorkerId(worker),
        "demand": resources(accelerators),
        "priority": 2,
        "account": AccountId("studio"),
        "is_protected": False,
        "is_stopping": False,
        "is_gang": False,
        "loss_s": 4.0,
        "ends_at_s": NOW_S + 5.0,
    }
    return Allocation(**(values | fields))


def snapshot(candidates, *, allocations=(), demands=()):
    return Snapshot(
        now_s=NOW_S,
        candidates=tuple(candidates),
        allocations=tuple(allocations),
        demands=tuple(demands),
    )


def workers_of(plan, name):
    return [
        w for s in plan.starts if s.unit == unit(name) for _, w in s.placement
    ]


def victims_of(plan):
    return {str(p.victim.job) for p in plan.preemptions}
