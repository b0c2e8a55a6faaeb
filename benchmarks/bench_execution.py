"""Costs of the owner of a domain: recovery, cancellation, renewal.

Ratios compare with a baseline in the same run: recovery and cancellation with
the smallest size per item, so a ratio near 1 means linear cost; renewal calls
and bytes with one call per gang member instead of one per worker.
"""

import asyncio
import dataclasses
import enum
import json
import random
import time
from typing import Any

import msgpack

from magnoliaglade import clock as clock_lib
from magnoliaglade import execution, scheduling, standins
from magnoliaglade import store as store_lib
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.types import AccountId, InstanceId, JobId, WorkerId, ZoneId

RECOVERY_JOBS = (100, 1000, 4000)
WAVE_JOBS = (10, 100, 1000)
RENEWAL_GANGS = (1, 4, 8)
_ZONE = ZoneId("z")
_WORKER_ACCELERATORS = 8
# Virtual time per wait; small against the reservations' time to live, so that
# the passes of the event loop suffice for all calls of a step.
_STEP_S = 0.01


class _Meter:
    """Worker client that counts calls and the bytes of their encoding."""

    def __init__(self, *, worker: worker_lib.WorkerClient) -> None:
        self.worker = worker
        self.calls = 0
        self.bytes = 0

    def __getattr__(self, name: str) -> Any:
        async def call(*args: Any, **options: Any) -> Any:
            result = await getattr(self.worker, name)(*args, **options)
            self.calls += 1
            self.bytes += _size([*args, options]) + _size(result)
            return result

        return call


class _Domain:
    """A domain with workers, and owners that succeed each other."""

    def __init__(self, *, workers: int) -> None:
        self.clock = clock_lib.ManualClock()
        self.store = store_lib.InMemoryStore(clock=self.clock)
        self.meters = {
            WorkerId(f"w{n}"): _Meter(
                worker=standins.InMemoryWorker(
                    clock=self.clock, worker=WorkerId(f"w{n}")
                )
            )
            for n in range(workers)
        }
        shape = scheduling.Shape(
            cores=64, memory_gb=128, accelerators=_WORKER_ACCELERATORS
        )
        self.listed = {
            w: scheduling.Worker(worker=w, zone=_ZONE, rack="r", shape=shape)
            for w in self.meters
        }
        self.lease = store_lib.InstanceLease(store=self.store, clock=self.clock)
        self.owner: execution.DomainOwner

    async def own(self, *, instance: str) -> None:
        if not self.lease.is_valid:
            await self.lease.start()
        ownership = store_lib.OwnershipManager(
            store=self.store, instance=InstanceId(instance), lease=self.lease
        )
        owned = await ownership.acquire("jobs.z")
        assert owned is not None
        self.owner = execution.DomainOwner(
            zone=_ZONE,
            instance=InstanceId(instance),
            store=self.store,
            clock=self.clock,
            ownership=ownership,
            owned=owned,
            hooks=execution.OwnerHooks(
                decide=_spread,
                workers=lambda: self.listed,
                client=self.meters.__getitem__,
                startable_zones=lambda: frozenset({_ZONE}),
            ),
        )
        await self.owner.start()

    async def submit(self, count: int, rng: random.Random) -> None:
        specs = [_make_spec(n, rng) for n in range(count)]
        await asyncio.gather(*(self.owner.submit(s) for s in specs))
        active = self.owner.jobs.in_phase(execution.JobPhase.ACTIVE)
        while len(active) < count or not self.owner.dump()["is_idle"]:
            await self.clock.advance(_STEP_S)

    @property
    def calls(self) -> int:
        return sum(m.calls for m in self.meters.values())

    @property
    def bytes(self) -> int:
        return sum(m.bytes for m in self.meters.values())

    async def close(self) -> None:
        await self.owner.stop()
        await self.lease.stop()


def run(seed: int) -> list[dict[str, Any]]:
    """Returns all measurements."""
    return asyncio.run(_run(seed))


async def _run(seed: int) -> list[dict[str, Any]]:
    rows = []
    base_s = None
    for jobs in RECOVERY_JOBS:
        records, spent_s = await _measure_recovery(jobs, seed)
        base_s = base_s or spent_s / records
        rows.append(
            _row(
                f"recovery_records_{records}",
                "records/s",
                records / spent_s,
                1 / base_s,
                seed,
            )
        )
    rows += await _measure_waves(seed)
    for gangs in RENEWAL_GANGS:
        rows += await _measure_renewal(gangs, seed)
    return rows


async def _measure_recovery(jobs: int, seed: int) -> tuple[int, float]:
    """Returns records and gangs of a takeover, and its time in seconds."""
    domain = _Domain(workers=jobs // _WORKER_ACCELERATORS + 1)
    await domain.own(instance="a")
    await domain.submit(jobs, random.Random(seed))
    active = len(domain.owner.jobs.in_phase(execution.JobPhase.ACTIVE))
    await domain.owner.stop()
    start_s = time.perf_counter()
    await domain.own(instance="b")
    spent_s = time.perf_counter() - start_s
    adopted = domain.owner.jobs.in_phase(execution.JobPhase.ACTIVE)
    assert len(adopted) == active == jobs
    await domain.close()
    # An accepted and a decided record per job, and a gang to adopt.
    return 2 * jobs, spent_s


async def _measure_waves(seed: int) -> list[dict[str, Any]]:
    rows = []
    base_s = base_calls = None
    for jobs in WAVE_JOBS:
        domain = _Domain(workers=jobs // _WORKER_ACCELERATORS + 1)
        await domain.own(instance="a")
        await domain.submit(jobs, random.Random(seed))
        before, puts = domain.calls, domain.store.call_counts["put"]
        names = [JobId(f"j{n}") for n in range(jobs)]
        start_s = time.perf_counter()
        await asyncio.gather(*(domain.owner.cancel(j) for j in names))
        puts = domain.store.call_counts["put"] - puts
        while not domain.owner.dump()["is_idle"]:
            await domain.clock.advance(0.0)
        job_s = (time.perf_counter() - start_s) / jobs
        calls = (domain.calls - before) / jobs
        base_s, base_calls = base_s or job_s, base_calls or calls
        name = f"cancel_wave_{jobs}"
        rows += [
            _row(f"{name}_time", "us/job", job_s * 1e6, base_s * 1e6, seed),
            _row(f"{name}_calls", "calls/job", calls, base_calls, seed),
            _row(f"{name}_writes", "writes", puts, jobs, seed),
        ]
        await domain.close()
    return rows


async def _measure_renewal(gangs: int, seed: int) -> list[dict[str, Any]]:
    workers = 10
    domain = _Domain(workers=workers)
    await domain.own(instance="a")
    await domain.submit(gangs * workers, random.Random(seed))
    calls, size = domain.calls, domain.bytes
    # The rounds of 50 s, at one round every 5 s.
    await domain.clock.advance(50.0)
    calls = (domain.calls - calls) / 10 / workers
    size = (domain.bytes - size) / 10 / workers
    one = _size(_one_renewal())
    await domain.close()
    name = f"renewal_{gangs}_gangs"
    return [
        _row(f"{name}_calls", "calls/worker/round", calls, gangs, seed),
        _row(f"{name}_bytes", "bytes/worker/round", size, gangs * one, seed),
    ]


def _one_renewal() -> list[Any]:
    """Returns request and report of a renewal with one gang."""
    job = JobId("j0")
    request = worker_lib.RenewRequest(domain="jobs.z", epoch=1, keep=(job,))
    task = worker_lib.TaskReport(
        task="w0-t2",
        job=job,
        attempt=1,
        phase=worker_lib.TaskPhase.RUNNING,
        gang_size=1,
        memory_gb=1.0,
        run_s=5.0,
    )
    report = worker_lib.WorkerReport(
        worker=WorkerId("w0"), epoch=1, tasks=(task,)
    )
    return [request, {}, report]


def _make_spec(number: int, rng: random.Random) -> execution.JobSpec:
    gang = scheduling.Gang(
        job=JobId(f"j{number}"),
        account=AccountId(f"a{rng.randrange(4)}"),
        tasks=1,
        shape=scheduling.Shape(cores=1, memory_gb=1, accelerators=1),
        priority=rng.choice(list(scheduling.Priority)),
    )
    return execution.JobSpec(
        gang=gang, command=("run",), submission=f"s{number}"
    )


def _spread(snapshot: scheduling.ClusterSnapshot) -> scheduling.Plan:
    """Spreads pending tasks evenly over the workers."""
    taken: dict[WorkerId, int] = {}
    for gang in snapshot.running.values():
        for worker, count in gang.placement.assignments:
            taken[worker] = taken.get(worker, 0) + count
    free = (
        w
        for number in range(_WORKER_ACCELERATORS)
        for w in snapshot.workers
        if taken.get(w, 0) <= number
    )
    return scheduling.Plan(
        starts=tuple(
            scheduling.Placement(job=g.job, assignments=((w, 1),))
            for g, w in zip(snapshot.pending, free, strict=False)
        )
    )


def _size(value: Any) -> int:
    return len(msgpack.packb(value, default=_plain))


def _plain(value: Any) -> Any:
    if isinstance(value, enum.Enum):
        return value.value
    return {f.name: getattr(value, f.name) for f in dataclasses.fields(value)}


def _row(
    metric: str, unit: str, value: float, baseline: float, seed: int
) -> dict[str, Any]:
    return {
        "metric": metric,
        "unit": unit,
        "value": round(value, 3),
        "baseline": round(baseline, 3),
        "ratio": round(value / baseline, 3),
        "seed": seed,
    }


def main() -> None:
    """Prints one JSON object a line."""
    for row in run(seed=1):
        print(json.dumps(row))


if __name__ == "__main__":
    main()
