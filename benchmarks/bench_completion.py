"""Delay from the end of the last task to the recorded finish, and its price.

Run with `python -m benchmarks.bench_completion`. Workers and time are virtual,
so the figures do not depend on the machine.
"""

import asyncio
import collections
import json
import random
import statistics
from typing import Any

from magnoliaglade import execution
from magnoliaglade.execution.tests import harness
from magnoliaglade.types import JobId

_WORKERS = 8
_JOBS = 60


class _CountedClient:
    """Counts the calls to a worker by name."""

    def __init__(self, *, target: Any, counts: Any) -> None:
        self.target = target
        self.counts = counts

    def __getattr__(self, name: str) -> Any:
        async def call(*args: Any, **options: Any) -> Any:
            self.counts[name] += 1
            return await getattr(self.target, name)(*args, **options)

        return call


async def _measure(
    low_s: float, high_s: float, declared: float | None, jobs: int
) -> dict[str, float]:
    """Runs gangs of two tasks; `declared` is a factor of the run time."""
    draw = random.Random(1)
    cluster = harness.Cluster(workers=_WORKERS)
    node = harness.Node(cluster, "a")
    counts: collections.Counter[str] = collections.Counter()
    await node.own(
        client=lambda w: _CountedClient(target=node.links[w], counts=counts)
    )
    for n in range(jobs):
        run_s = draw.uniform(low_s, high_s)
        options = {}
        if declared is not None:
            options["declared_run_s"] = run_s * declared
        spec = harness.make_spec(
            f"j{n}", command=("sleep", str(run_s)), **options
        )
        await node.owner.submit(spec)
        await cluster.clock.advance(draw.uniform(0, 2 * high_s / _WORKERS))
    await cluster.clock.advance(20 + 3 * high_s)
    delays = []
    for n in range(jobs):
        entry = node.owner.status(JobId(f"j{n}"))
        if entry.phase is execution.JobPhase.FINISHED:
            ends = [r.ended_s for r in cluster.runs(f"j{n}")]
            delays.append(entry.ended_at_s - max(ends))
    await node.close()
    return {
        "finished": len(delays),
        "delay_mean_s": round(statistics.mean(delays), 2),
        "delay_max_s": round(max(delays), 2),
        "calls_per_task": round(sum(counts.values()) / (2 * jobs), 1),
    }


async def _steady() -> dict[str, float]:
    """Counts calls per worker and second while long gangs run."""
    cluster = harness.Cluster(workers=_WORKERS)
    node = harness.Node(cluster, "a")
    counts: collections.Counter[str] = collections.Counter()
    await node.own(
        client=lambda w: _CountedClient(target=node.links[w], counts=counts)
    )
    for n in range(_WORKERS):
        spec = harness.make_spec(f"j{n}", command=("sleep", "7200"))
        await node.owner.submit(spec)
    await cluster.clock.advance(60)
    counts.clear()
    await cluster.clock.advance(600)
    calls = counts.total() / _WORKERS / 600
    await node.close()
    return {"calls_per_worker_and_s": round(calls, 3)}


async def main() -> None:
    """Prints one line per case."""
    cases = {
        "short, not declared": await _measure(0.2, 4, None, _JOBS),
        "short, declared": await _measure(0.2, 4, 1.0, _JOBS),
        "minutes, declared": await _measure(60, 120, 1.0, 16),
        "minutes, declared half": await _measure(60, 120, 0.5, 16),
        "steady": await _steady(),
    }
    for name, row in cases.items():
        print(json.dumps({"case": name, **row}))


if __name__ == "__main__":
    asyncio.run(main())
