"""Cost of one scheduling decision by size of the cluster and of its load.

Both policies decide on the same snapshot in the same run. The last figure is
the slope of the cost against the size on logarithmic axes: 1 is linear.
"""

import dataclasses
import gc
import json
import math
import random
import time

from magnoliaglade import configuration as configuration_lib
from magnoliaglade import scheduling
from magnoliaglade.types import AccountId, JobId, RackId, WorkerId, ZoneId

# Workers and tasks: today's size, a tenth more than a zone's, and the target.
SIZES = ((24, 1_000), (240, 10_000), (3_800, 88_000))
_REPEATS = 9
_GANG = 256
_QUEUE = 64
# Lengths for the cost against the number of queued gangs.
QUEUES = (1, 64, 512)


def make_workers(count: int) -> dict:
    """Returns workers; one in six has two accelerators, others one.

    At 24 and 240 workers each has 8 accelerators, as today.
    """
    zones = 13 if count > 1000 else 3
    workers = {}
    for n in range(count):
        zone, rack = ZoneId(f"z{n % zones}"), RackId(f"r{n // zones // 8}")
        accelerators = 8 if count <= 1000 else 1 + (n % 19 < 3)
        workers[WorkerId(f"w{n:04}")] = scheduling.Worker(
            worker=WorkerId(f"w{n:04}"),
            zone=zone,
            rack=rack,
            shape=scheduling.Shape(
                cores=64, memory_gb=256, accelerators=accelerators
            ),
        )
    return workers


def make_snapshot(
    workers_count: int, tasks: int, rng: random.Random
) -> scheduling.ClusterSnapshot:
    """Returns a snapshot with small-core tasks on two thirds of the workers.

    Each job has some 20 tasks, four on a worker where that fits.
    """
    workers = make_workers(workers_count)
    names = sorted(workers)
    rng.shuffle(names)
    busy = names[: max(1, len(names) * 2 // 3)]
    per_worker = math.ceil(tasks / len(busy))
    shape = scheduling.Shape(
        cores=48 / per_worker, memory_gb=192 / per_worker, accelerators=0
    )
    running, left, at = {}, tasks, 0
    room = dict.fromkeys(busy, per_worker)
    while left > 0 and at < len(busy):
        job, members, size = JobId(f"r{len(running)}"), [], min(20, left)
        while size and at < len(busy):
            count = min(4, size, room[busy[at]])
            members.append((busy[at], count))
            room[busy[at]] -= count
            size, left = size - count, left - count
            at += room[busy[at]] == 0
        running[job] = _running(job, members, shape, rng)
    return scheduling.ClusterSnapshot(
        now_s=1e6,
        workers=workers,
        running=running,
        pending=(),
        guarantees=_guarantees(workers),
        startable_zones=frozenset(w.zone for w in workers.values()),
    )


def _running(job, members, shape, rng) -> scheduling.RunningGang:
    totals: dict = {}
    for w, count in members:
        totals[w] = totals.get(w, 0) + count
    gang = scheduling.Gang(
        job=job,
        account=AccountId(f"a{rng.randrange(64)}"),
        tasks=sum(totals.values()),
        shape=shape,
    )
    placement = scheduling.Placement(
        job=job,
        assignments=tuple(sorted(totals.items())),
        borrowed=rng.random() < 0.5,
    )
    return scheduling.RunningGang(
        gang=gang, placement=placement, started_at_s=rng.uniform(0, 1e6)
    )


def _guarantees(workers: dict) -> tuple:
    zones = sorted({w.zone for w in workers.values()})
    return tuple(
        scheduling.GuaranteedCells(
            account=AccountId(f"a{n}"),
            zone=zones[n % len(zones)],
            level=configuration_lib.CellLevel.ACCELERATOR,
            count=1 + len(workers) // 200,
        )
        for n in range(64)
    )


def make_gang(tasks: int, **kwargs) -> scheduling.Gang:
    """Returns the waiting gang: one accelerator a task, in one zone."""
    return scheduling.Gang(
        job=JobId("gang"),
        account=AccountId("a0"),
        tasks=tasks,
        shape=scheduling.Shape(cores=8, memory_gb=16, accelerators=1),
        adjacency=scheduling.Adjacency.ZONE,
        submitted_at_s=0.0,
        **kwargs,
    )


def with_borrowers(
    snapshot: scheduling.ClusterSnapshot,
) -> scheduling.ClusterSnapshot:
    """Returns the snapshot with all accelerators held by borrowers."""
    running = dict(snapshot.running)
    for n, (w, worker) in enumerate(sorted(snapshot.workers.items())):
        gang = scheduling.Gang(
            job=JobId(f"b{n}"),
            account=AccountId(f"a{n % 64}"),
            tasks=worker.shape.accelerators,
            shape=scheduling.Shape(cores=1, memory_gb=1, accelerators=1),
        )
        placement = scheduling.Placement(
            job=gang.job, assignments=((w, gang.tasks),), borrowed=True
        )
        running[gang.job] = scheduling.RunningGang(
            gang=gang, placement=placement, started_at_s=float(n)
        )
    return dataclasses.replace(snapshot, running=running)


def make_queue(length: int) -> tuple[scheduling.Gang, ...]:
    """Returns waiting gangs of 1 to 8 tasks of 64 accounts."""
    return tuple(
        dataclasses.replace(
            make_gang(1 + n % 8),
            job=JobId(f"q{n}"),
            account=AccountId(f"a{n % 64}"),
            submitted_at_s=1e6 - n,
        )
        for n in range(length)
    )


def make_cases(snapshot: scheduling.ClusterSnapshot, size: int) -> dict:
    """Returns snapshots by case: start, wait and evict one gang; a queue."""
    full = with_borrowers(snapshot)
    urgent = scheduling.Priority.URGENT
    gang = make_gang(size)
    cases = {
        "start": (snapshot, (gang,)),
        "wait": (full, (gang,)),
        "evict": (full, (dataclasses.replace(gang, priority=urgent),)),
        "queue": (snapshot, make_queue(_QUEUE)),
    }
    return {
        name: dataclasses.replace(s, pending=pending)
        for name, (s, pending) in cases.items()
    }


def median_ms(snapshot: scheduling.ClusterSnapshot, policy: str) -> float:
    """Returns the median time of a decision in milliseconds."""
    times = []
    for n in range(_REPEATS):
        gc.collect()
        begin = time.perf_counter()
        scheduling.decide(snapshot, policy=policy, seed=n)
        times.append(1e3 * (time.perf_counter() - begin))
    return sorted(times)[len(times) // 2]


def run(seed: int) -> list[dict]:
    """Returns the figures for one seed.

    The gang has 256 tasks at the target size and fewer on small clusters,
    where it must fit into one zone.
    """
    rows, costs = [], {}
    for workers, tasks in SIZES:
        snapshot = make_snapshot(workers, tasks, random.Random(seed))
        size = min(_GANG, workers)
        for case, prepared in make_cases(snapshot, size).items():
            pair = [median_ms(prepared, p) for p in ("cells", "first-fit")]
            costs[case, workers] = pair
            name = f"{case}_{workers}_workers"
            rows.append(figure(name, "ms", *pair, seed))
    for (small, _), (large, _) in zip(SIZES, SIZES[1:], strict=False):
        for case in ("start", "wait", "evict", "queue"):
            slopes = [
                math.log(b / a) / math.log(large / small)
                for a, b in zip(
                    costs[case, small], costs[case, large], strict=True
                )
            ]
            name = f"{case}_slope_{small}_to_{large}"
            rows.append(figure(name, "exponent", *slopes, seed))
    # `snapshot` is the one of the target size here.
    return rows + queue_rows(snapshot, seed)


def queue_rows(snapshot: scheduling.ClusterSnapshot, seed: int) -> list[dict]:
    """Returns the cost by length of the queue, and its slopes.

    Gangs that find room and, with all accelerators taken, gangs that wait.
    """
    rows = []
    cases = {"queue": snapshot, "full_queue": with_borrowers(snapshot)}
    for case, cluster in cases.items():
        costs = []
        for length in QUEUES:
            prepared = dataclasses.replace(cluster, pending=make_queue(length))
            costs.append(
                [median_ms(prepared, p) for p in ("cells", "first-fit")]
            )
            name = f"{case}_of_{length}"
            rows.append(figure(name, "ms", *costs[-1], seed))
        steps = zip(QUEUES, QUEUES[1:], costs, costs[1:], strict=False)
        for short, long, before, after in steps:
            slopes = [
                math.log(b / a) / math.log(long / short)
                for a, b in zip(before, after, strict=True)
            ]
            name = f"{case}_slope_{short}_to_{long}"
            rows.append(figure(name, "exponent", *slopes, seed))
    return rows


def figure(name, unit, value, baseline, seed) -> dict:
    """Returns one row of the result."""
    return {
        "metric": f"jobs.decision_cost.{name}",
        "unit": unit,
        "value": value,
        "baseline": baseline,
        "ratio": value / baseline if baseline else None,
        "seed": seed,
    }


if __name__ == "__main__":
    for chosen in range(3):
        for row in run(chosen):
            print(json.dumps(row))
