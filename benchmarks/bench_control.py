"""Cost of the control part, with entry instances as separate processes.

Measured on one machine over loopback, in wall time. `value` is the mean per
process; `baseline` is the limit of design 1.4 per node (1.6% of a core, 2 KB/s,
32 MB), for store calls of all processes the store's 2,000 reads/s. Rows
`*.slope.*` have no baseline. Bytes are those between entry instances, sent and
received, as the peer network counts them.
"""

import argparse
import asyncio
import json
import random
import signal
import statistics
import time
from typing import Any

from benchmarks import _processes
from magnoliaglade import execution
from magnoliaglade.types import InstanceId, ZoneId

_WINDOW_S = 5.0
# Lists are polled each second and gangs renewed every 5 s.
_SETTLE_S = 1.5
_CHANGES_PER_S = 2.0
_REQUESTS_PER_S = 20.0
_LIMITS = {"cpu": 0.016, "bytes": 2048.0, "memory": 32.0, "store_calls": 2000.0}
_LIBRARIES = "blacksheep, uvicorn, h11, msgpack, yaml, eliot, returns, click"
_DOMAIN = execution.domain_of(ZoneId(_processes.ZONES[0]))
_POLL_S = 0.02
_TAKEOVER_TIMEOUT_S = 20.0
# Listed at the end of a run only, without a server behind them.
_TARGET_WORKERS = 3800
_RENEWED_WORKERS = 72
_UNSERVED = "127.0.0.1:9"


class _Control:
    """Measures cases one after the other and keeps the rows."""

    def __init__(self, *, seed: int) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.rows: list[dict[str, Any]] = []
        self.values: dict[str, dict[str, float]] = {}
        self.floor_mb = 0.0

    async def run(self) -> None:
        """Runs all cases."""
        await self._measure_floor()
        async with _processes.Bed(entries=3) as platform:
            await self._run_small(platform)
        for entries in (6, 9):
            async with _processes.Bed(entries=entries) as platform:
                await self._measure(platform, f"rest.{entries}_entries")
                await self._measure_changes(platform, entries)
        self._add_slopes()

    async def _measure_floor(self) -> None:
        names = {
            "python": "asyncio",
            "libraries": f"asyncio, {_LIBRARIES}",
            "code": "magnoliaglade.daemon",
        }
        for case, imports in names.items():
            found = await _processes.idle_memory_mb(imports)
            self._add(f"control.memory.idle_{case}", "MB", found, None)
            if case == "libraries":
                self.floor_mb = found

    async def _run_small(self, platform: _processes.Platform) -> None:
        await self._measure(platform, "rest.3_entries")
        await self._measure_changes(platform, 3)
        for kind in ("proof", "reprint"):
            await self._measure_requests(platform, kind)
        await platform.add_executors(range(3, 27))
        await self._measure(platform, "rest.27_executors")
        for number in range(3, 27):
            platform.list.remove(InstanceId(f"executor-{number:02}"))
        for first, last in ((0, 24), (24, 96)):
            await platform.add_workers(range(first, last))
            await self._measure(platform, f"rest.{last}_workers")
        # One task that fills a worker, so that each is renewed by itself.
        whole = {"tasks": 1, "accelerators": 8}
        await self._submit(platform, jobs=_RENEWED_WORKERS, fields=whole)
        await self._measure(platform, f"renewed.{_RENEWED_WORKERS}_workers")
        for tasks, jobs in ((96, 24), (384, 72)):
            await self._submit(platform, jobs=jobs, fields={"tasks": 4})
            await self._measure(platform, f"running.{tasks}_tasks")
        for number in range(96, _TARGET_WORKERS):
            platform.list_worker(number, _UNSERVED)
        await self._measure(platform, f"listed.{_TARGET_WORKERS}_workers")
        for number in range(96, _TARGET_WORKERS):
            platform.list.remove(InstanceId(f"worker-{number:04}"))
        await asyncio.sleep(_SETTLE_S)
        for case in ("graceful_stop", "kill"):
            await self._measure_takeover(platform, case)

    async def _measure(
        self, platform: _processes.Platform, case: str, load: Any = None
    ) -> dict[str, float]:
        """Measures one window, during which `load` runs."""
        await asyncio.sleep(_SETTLE_S)
        names = list(platform.entries)
        before = {n: await platform.read(n, is_end=False) for n in names}
        started_s = time.monotonic()
        done = 0
        if load is not None:
            done = await load(started_s + _WINDOW_S)
        left_s = started_s + _WINDOW_S - time.monotonic()
        await asyncio.sleep(max(0.0, left_s))
        elapsed_s = time.monotonic() - started_s
        after = {n: await platform.read(n, is_end=True) for n in names}

        def rates(field: str) -> list[float]:
            return [
                (getattr(after[n], field) - getattr(before[n], field))
                / elapsed_s
                for n in names
            ]

        total_bytes = [
            s + r for s, r in zip(rates("sent"), rates("received"), strict=True)
        ]
        memory = [
            _processes.resident_mb(platform.entries[n].pid) for n in names
        ]
        calls, writes = rates("calls"), rates("writes")
        cpu, mean = rates("cpu_s"), statistics.fmean
        self._add(f"control.cpu.{case}", "core", mean(cpu), "cpu")
        self._add(f"control.cpu.{case}.max", "core", max(cpu), "cpu")
        unit = "bytes/s sent and received"
        self._add(f"control.bytes.{case}", unit, mean(total_bytes), "bytes")
        self._add(f"control.memory.{case}", "MB", mean(memory), None)
        above_mb = mean(memory) - self.floor_mb
        self._add(f"control.memory.{case}.control", "MB", above_mb, "memory")
        unit = "calls/s of all processes"
        name = f"control.store_calls.{case}"
        self._add(name, unit, sum(calls), "store_calls")
        self._add(f"{name}.writes", "writes/s of all", sum(writes), None)
        found = {
            "cpu": mean(cpu),
            "cpu_sum": sum(cpu),
            "bytes": mean(total_bytes),
            "bytes_sum": sum(total_bytes),
            "memory": mean(memory),
            "store_calls": sum(calls),
            "done": done / elapsed_s,
            "processes": len(names),
        }
        self.values[case] = found
        return found

    async def _measure_changes(
        self, platform: _processes.Platform, entries: int
    ) -> None:
        async def load(until_s: float) -> int:
            count = 0
            while time.monotonic() < until_s - 1 / _CHANGES_PER_S:
                await platform.change_configuration()
                count += 1
                await asyncio.sleep(1 / _CHANGES_PER_S)
            return count

        await self._measure(platform, f"changes.{entries}_entries", load)

    async def _measure_requests(
        self, platform: _processes.Platform, kind: str
    ) -> None:
        async def send(number: int) -> None:
            name = self.random.choice(list(platform.entries))
            reply = await platform.call(
                name,
                "POST",
                f"/v1/services/{_processes.SERVICE}/{kind}",
                key=_processes.CALLER_KEY,
                fields={"number": number},
                headers={"idempotency-key": f"{kind}-{number}"},
            )
            if reply.status != 200:
                raise RuntimeError(f"{kind}: {reply.status} {reply.body!r}")

        async def load(until_s: float) -> int:
            tasks = []
            while time.monotonic() < until_s - 0.5:
                tasks.append(asyncio.create_task(send(len(tasks))))
                wait_s = self.random.expovariate(_REQUESTS_PER_S)
                await asyncio.sleep(wait_s)
            await asyncio.gather(*tasks)
            return len(tasks)

        await self._measure(platform, f"requests.{kind}", load)

    async def _submit(
        self,
        platform: _processes.Platform,
        *,
        jobs: int,
        fields: dict[str, Any],
    ) -> None:
        """Starts gangs with tasks of one core and waits until all run."""
        fields = {"command": ["sleep", "600"], "run_s": 600.0, **fields}
        names = list(platform.entries)
        key = _processes.CALLER_KEY
        for number in range(jobs):
            name = names[number % len(names)]
            reply = await platform.call(
                name, "POST", "/v1/jobs", key=key, fields=fields
            )
            if reply.status != 202:
                raise RuntimeError(f"job: {reply.status} {reply.body!r}")
        async with asyncio.timeout(30.0):
            while True:
                reply = await platform.call(
                    names[0], "GET", "/v1/jobs", key=key
                )
                states = {j["state"] for j in reply.json()["jobs"]}
                if states == {"active"}:
                    return
                await asyncio.sleep(0.2)

    async def _measure_takeover(
        self, platform: _processes.Platform, case: str
    ) -> None:
        """Measures the time without a running owner of one zone."""
        owner = await platform.owner(_DOMAIN)
        if owner is None:
            raise RuntimeError(f"{_DOMAIN} has no owner")
        is_kill = case == "kill"
        number = signal.SIGKILL if is_kill else signal.SIGTERM
        process = platform.signal(owner, number)
        begun_s = time.monotonic()
        async with asyncio.timeout(_TAKEOVER_TIMEOUT_S):
            if not is_kill:
                begun_s = await self._wait_for_release(platform, owner)
            while await platform.owner(_DOMAIN) is None:  # noqa: ASYNC110
                await asyncio.sleep(_POLL_S)
        elapsed_s = time.monotonic() - begun_s
        # Design 7: domains of a failed instance are taken over within 5 s.
        self._put(f"membership.takeover.{case}", "s", elapsed_s, 5.0)
        await platform.wait_ended(process)

    async def _wait_for_release(
        self, platform: _processes.Platform, owner: InstanceId
    ) -> float:
        """Returns when the owner's key has gone or has another holder."""
        key = f"owners/{_DOMAIN}"
        first = await platform.store.memory.get(key)
        while True:
            entry = await platform.store.memory.get(key)
            if entry is None or first is None:
                return time.monotonic()
            if entry.lease != first.lease:
                return time.monotonic()
            await asyncio.sleep(_POLL_S / 4)

    def _add_slopes(self) -> None:
        """Adds what one more instance, worker, task or change costs."""
        entries = [3, 6, 9]
        rest = [self.values[f"rest.{n}_entries"] for n in entries]
        for name in ("cpu", "bytes", "memory"):
            points = [(n, v[name]) for n, v in zip(entries, rest, strict=True)]
            self._add_slope(name, "instance", points)
        calls = [
            (n, v["store_calls"]) for n, v in zip(entries, rest, strict=True)
        ]
        self._add_slope("store_calls", "instance", calls)
        workers = [
            (0, self.values["rest.3_entries"]),
            (24, self.values["rest.24_workers"]),
            (96, self.values["rest.96_workers"]),
        ]
        tasks = [
            (0, self.values["renewed.72_workers"]),
            (96, self.values["running.96_tasks"]),
            (384, self.values["running.384_tasks"]),
        ]
        executors = [
            (3, self.values["rest.3_entries"]),
            (27, self.values["rest.27_executors"]),
        ]
        listed = [
            (96, self.values["running.384_tasks"]),
            (_TARGET_WORKERS, self.values["listed.3800_workers"]),
        ]
        renewed = [
            (0, self.values["rest.96_workers"]),
            (_RENEWED_WORKERS, self.values["renewed.72_workers"]),
        ]
        for per, points in (
            ("executor", executors),
            ("renewed_worker", renewed),
            ("worker", workers),
            ("listed_worker", listed),
            ("task", tasks),
        ):
            for name in ("cpu_sum", "bytes_sum", "memory", "store_calls"):
                self._add_slope(name, per, [(x, v[name]) for x, v in points])
        cases = [f"changes.{n}_entries" for n in entries]
        for case in (*cases, "requests.proof", "requests.reprint"):
            self._add_per_event(case, dict(zip(entries, rest, strict=True)))

    def _add_per_event(
        self, case: str, rest: dict[int, dict[str, float]]
    ) -> None:
        found = self.values[case]
        base = rest[int(found["processes"])]
        for name in ("cpu_sum", "bytes_sum", "store_calls"):
            value = (found[name] - base[name]) / found["done"]
            subject, unit = _split(name)
            metric = f"control.{subject}.slope.{case}"
            self._put(metric, f"{unit} per event, all processes", value, None)

    def _add_slope(
        self, name: str, per: str, points: list[tuple[float, float]]
    ) -> None:
        slope, _ = statistics.linear_regression(*zip(*points, strict=True))
        subject, unit = _split(name)
        metric = f"control.{subject}.slope.{per}"
        scope = "all processes" if name.endswith("_sum") else "mean"
        rate = unit if subject == "memory" else f"{unit}/s"
        self._put(metric, f"{rate} per {per}, {scope}", slope, None)

    def _add(
        self, metric: str, unit: str, value: float, limit: str | None
    ) -> None:
        self._put(metric, unit, value, _LIMITS[limit] if limit else None)

    def _put(
        self, metric: str, unit: str, value: float, baseline: float | None
    ) -> None:
        self.rows.append(
            {
                "metric": metric,
                "unit": unit,
                "value": round(value, 7),
                "baseline": baseline,
                "ratio": round(value / baseline, 4) if baseline else None,
                "seed": self.seed,
            }
        )


def _split(name: str) -> tuple[str, str]:
    units = {"cpu": "CPU-s", "bytes": "bytes", "memory": "MB"}
    subject = name.removesuffix("_sum")
    return subject, units.get(subject, "calls")


def run(seed: int) -> list[dict[str, Any]]:
    """Returns the measurements of one run of two and a half minutes."""
    control = _Control(seed=seed)
    asyncio.run(control.run())
    return control.rows


def main() -> None:
    """Prints one JSON object a line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    for row in run(parser.parse_args().seed):
        print(json.dumps(row))


if __name__ == "__main__":
    main()
