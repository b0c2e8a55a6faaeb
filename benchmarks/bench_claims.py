"""Cost and effect of claims on non-idempotent requests, in virtual time.

Store calls take 3 ms and peer messages no time. `ratio` is value over baseline.
"""

import argparse
import asyncio
import json
import random
import statistics
from typing import Any

from magnoliaglade import requests
from magnoliaglade.requests.tests import claim_cluster, test_crash_points
from magnoliaglade.types import IdempotencyKey

_INSTANCES = "abcdef"
_STORE_DELAY_S = 0.003
_RUN_S = 0.5
# Requests per second, and seconds of load: enough requests at each rate for a
# stable mean without a long run.
_LOADS = ((1, 100.0), (100, 10.0), (1000, 3.0))
_LATENCY_RATE = 100
_LATENCY_LOAD_S = 10.0
# Every outcome is stored this long after the last request.
_DRAIN_S = 5.0
# One write per claim and one per outcome.
_UNBATCHED_WRITES = 2.0
# In a takeover the owner dies while the request runs and its caller retries
# without waiting, so naive retry runs the request twice without any crash.
_CRASHES: dict[str, tuple[dict[str, Any], ...]] = {
    "requests.double_runs": ({"owner": "a"}, {"owner": "b"}, {"owner": "c"}),
    "requests.double_runs@takeover": ({"owner": "c", "is_takeover": True},),
}


class _Load:
    """Poisson arrivals of non-idempotent requests at all instances."""

    def __init__(
        self, *, seed: int, rate: float, load_s: float, **options: Any
    ) -> None:
        self.random = random.Random(seed)
        self.rate = rate
        self.load_s = load_s
        self.cluster = claim_cluster.Cluster(names=_INSTANCES, **options)
        self.latencies_s: list[float] = []

    async def run(self, *, kind: str = "reprint") -> float:
        """Returns the store writes per request."""
        cluster = self.cluster
        await cluster.start()
        cluster.upstream.delay_s = _RUN_S
        for node in cluster.nodes.values():
            node.faults.delay_s = _STORE_DELAY_S
        before = cluster.memory.call_counts["put"]
        tasks = []
        end_s = cluster.clock.now() + self.load_s
        while cluster.clock.now() < end_s:
            call = self._request(f"key-{len(tasks)}", kind)
            tasks.append(asyncio.create_task(call))
            await cluster.clock.advance(self.random.expovariate(self.rate))
        await cluster.clock.advance(_RUN_S + _DRAIN_S)
        await asyncio.gather(*tasks)
        writes = cluster.memory.call_counts["put"] - before
        for node in cluster.nodes.values():
            node.faults.delay_s = 0.0
            await node.stop()
        return writes / len(tasks)

    async def _request(self, key: str, kind: str) -> None:
        clock = self.cluster.clock
        begun_s = clock.now()
        name = self.random.choice(_INSTANCES)
        outcome = await self.cluster.send(name, IdempotencyKey(key), kind=kind)
        if not isinstance(outcome, requests.Ran):
            raise RuntimeError(f"request did not run: {outcome}")
        self.latencies_s.append(clock.now() - begun_s)


class _Caller(test_crash_points.Scenario):
    """A caller that retries until it has an answer; counts extra runs."""

    async def run(self) -> int:
        """Returns the number of steps; ends what the instances left."""
        steps = await super().run()
        # A cancelled request starts the report that releases its claim, so
        # one pass does not end every task.
        while left := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in left:
                task.cancel()
            await asyncio.wait(left)
        return steps

    async def attempt(self, name: str, key: str) -> None:
        """Sends the request unless an earlier attempt was answered."""
        ran = requests.Ran
        if not any(isinstance(o, ran) for o in self.outcomes):
            await super().attempt(name, key)

    def check(self, body: bytes) -> None:
        """Counts runs beyond the first."""
        self.extra_runs = max(0, self.runs[body] - 1)


class _NaiveCaller(_Caller):
    """Sends the same request without a claim."""

    kind = "proof"


def _extra_runs_per_point(
    caller: type[_Caller], options: tuple[dict[str, Any], ...]
) -> float:
    """Returns the runs beyond the first per crash point."""
    extra = points = 0
    for option in options:
        steps = asyncio.run(caller(**option).run())
        for crash_at in range(1, steps + 1):
            scenario = caller(**option, crash_at=crash_at)
            asyncio.run(scenario.run())
            extra += scenario.extra_runs
            points += 1
    return extra / points


async def _mean_latency_s(seed: int, *, kind: str, **options: Any) -> float:
    load = _Load(
        seed=seed, rate=_LATENCY_RATE, load_s=_LATENCY_LOAD_S, **options
    )
    await load.run(kind=kind)
    return statistics.fmean(load.latencies_s)


def _result(
    metric: str, unit: str, value: float, baseline: float, seed: int
) -> dict[str, Any]:
    return {
        "metric": metric,
        "unit": unit,
        "value": round(value, 6),
        "baseline": round(baseline, 6),
        "ratio": round(value / baseline, 4) if baseline else None,
        "seed": seed,
    }


def _measure_writes(seed: int) -> list[dict[str, Any]]:
    results = []
    for rate, load_s in _LOADS:
        load = _Load(seed=seed, rate=rate, load_s=load_s)
        writes = asyncio.run(load.run())
        metric = f"requests.store_writes@{rate}/s"
        results.append(
            _result(metric, "writes/request", writes, _UNBATCHED_WRITES, seed)
        )
    return results


def _measure_double_runs(seed: int) -> list[dict[str, Any]]:
    results = []
    for metric, options in _CRASHES.items():
        value = _extra_runs_per_point(_Caller, options)
        naive = _extra_runs_per_point(_NaiveCaller, options)
        results.append(
            _result(metric, "extra runs/crash point", value, naive, seed)
        )
    return results


async def _measure_latency(seed: int) -> list[dict[str, Any]]:
    plain_s = await _mean_latency_s(seed, kind="proof")
    batched_s = await _mean_latency_s(seed, kind="reprint")
    unbatched_s = await _mean_latency_s(seed, kind="reprint", flush_s=0.0)
    return [
        _result(
            f"requests.claim_latency@{_LATENCY_RATE}/s",
            "s added to the mean, baseline without a flush interval",
            batched_s - plain_s,
            unbatched_s - plain_s,
            seed,
        )
    ]


def run(seed: int) -> list[dict[str, Any]]:
    """Returns the measurements, each with its baseline and their ratio."""
    results = _measure_writes(seed)
    results += _measure_double_runs(seed)
    results += asyncio.run(_measure_latency(seed))
    return results


def main() -> None:
    """Prints one JSON object a line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    for result in run(parser.parse_args().seed):
        print(json.dumps(result))


if __name__ == "__main__":
    main()
