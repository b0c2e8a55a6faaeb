"""Stand-in of an executor, sound unless a fault is switched on."""

import asyncio
import dataclasses
import time
from collections.abc import Callable
from typing import Any

from support import httpd, store

# Interval of the executor's entry in the store, in seconds.
_HEARTBEAT_S = 1.5
# Time in seconds that a stop takes, and after which a failing task ends.
_STOP_S = 0.1
_FAILURE_S = 0.1
# Time in seconds from the start of a lasting task until it is at work.
_STARTUP_S = 0.2


@dataclasses.dataclass(kw_only=True)
class Work:
    """What a run does: how long, and how it ends; None lasts."""

    duration_s: float | None = None
    outcome: str = "done"


@dataclasses.dataclass(kw_only=True, eq=False)
class _Run:
    task: str
    run: int
    began_s: float
    work: Work
    is_stopping: bool = False

    def percent(self) -> int:
        """Returns the work done; for a lasting task, that of its startup."""
        elapsed_s = time.monotonic() - self.began_s
        total_s = self.work.duration_s
        if total_s is None or self.work.outcome != "done":
            total_s = _STARTUP_S
        return min(100, int(100 * elapsed_s / max(0.001, total_s)))


@dataclasses.dataclass(kw_only=True, slots=True)
class Event:
    """Start or end of a run, as the executor saw it."""

    at_s: float
    kind: str
    executor: str
    task: str
    run: int


class Executor:
    """One lifetime of an executor.

    Attributes:
        fails_all: whether every run that starts ends as failed at once.
        refuses_starts: whether starts are refused as by an unhealthy executor.
        work_of: returns what a run of a task does.
        events: starts and ends, shared by all executors.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        labels: list[str],
        service: str,
        keeper: store.Store,
        work_of: Callable[[str, int], Work],
        events: list[Event],
        longest_lease_ms: int = 6000,
    ) -> None:
        self.name = name
        self.zone = zone
        self.labels = labels
        self.service = service
        self.keeper = keeper
        self.work_of = work_of
        self.events = events
        self.longest_lease_ms = longest_lease_ms
        self.capacity = {"cpu": 64000, "memMb": 131072, "gpu": 8}
        self.fails_all = False
        self.refuses_starts = False
        self.is_draining = False
        self.server = httpd.Server(handler=self._handle)
        self.running: dict[tuple[str, int], _Run] = {}
        self._began_s = time.monotonic()
        self._born_ms = int(time.time() * 1000)
        self._fence = 0
        self._lease_until_ms = 0
        self._highest_ended: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._end_count = 0
        self._seq = 0
        self._leaves_at_s = float("inf")
        self._has_ended = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def clock_ms(self) -> int:
        """The executor's steady clock."""
        return 1000 + int((time.monotonic() - self._began_s) * 1000)

    async def start(self) -> None:
        """Serves and registers."""
        await self.server.start()
        self._spawn(self._register())
        self._spawn(self._end_lapsed())

    async def stop(self) -> None:
        """Stops serving."""
        for task in list(self._tasks):
            task.cancel()
        await self.server.stop()

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def leave(self, *, after_s: float) -> None:
        """Drains for some time and exits; what runs there terminates."""
        self._leaves_at_s = time.monotonic() + after_s
        self.is_draining = True
        self._write_entry()
        await asyncio.sleep(after_s)
        for run in list(self.running.values()):
            self._end(run, "terminated")
        await self.stop()
        self.keeper.remove(f"servers/{self.name}")

    async def _register(self) -> None:
        while True:
            self._write_entry()
            await asyncio.sleep(_HEARTBEAT_S)

    def _write_entry(self) -> None:
        self._seq += 1
        fields: dict[str, Any] = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clockMs": self.clock_ms,
            "born": self._born_ms,
            "seq": self._seq,
        }
        if self.is_draining:
            remaining_s = max(0.0, self._leaves_at_s - time.monotonic())
            fields["state"] = "draining"
            fields["drainRemainingMs"] = int(remaining_s * 1000)
        self.keeper.put(f"servers/{self.name}", fields)

    async def _end_lapsed(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.clock_ms > self._lease_until_ms:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")

    async def _handle(
        self,
        _: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: Any,
    ) -> tuple[int, dict[str, Any]]:
        del query
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock_ms}
        handler = {
            "/api/hold": self._hold,
            "/api/run-start": self._start_run,
            "/api/run-stop": self._stop_run,
        }.get(path)
        if handler is None:
            return 404, {}
        fence = int(body.get("fence") or 0)
        if fence < self._fence:
            return 409, {"clockMs": self.clock_ms, "reason": "fence"}
        self._fence = fence
        status, fields = await handler(body)
        return status, {
            "clockMs": self.clock_ms,
            "born": self._born_ms,
        } | fields

    def _renew(self, until_ms: int) -> None:
        latest_ms = self.clock_ms + self.longest_lease_ms
        until_ms = min(until_ms, latest_ms)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)

    async def _hold(self, body: Any) -> tuple[int, dict[str, Any]]:
        if body.get("untilMs") is not None:
            self._renew(int(body["untilMs"]))
        last_seen = int(body.get("lastSeen") or 0)
        self._ended = [e for e in self._ended if e[0] > last_seen]
        wait_s = min(2000, int(body.get("waitMs") or 0)) / 1000.0
        if not self._ended and wait_s:
            self._has_ended.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._has_ended.wait()
            except TimeoutError:
                pass
        running = [
            [r.task, r.run, "", r.percent(), 0] for r in self.running.values()
        ]
        return 200, {"running": running, "ended": self._ended[:500]}

    async def _start_run(self, body: Any) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], int(body["run"])
        if self.refuses_starts:
            return 503, {}
        if (task, number) in self.running:
            self._renew(int(body["untilMs"]))
            return 200, {}
        if int(body["untilMs"]) <= self.clock_ms:
            return 409, {"reason": "late"}
        self._renew(int(body["untilMs"]))
        if number <= self._highest_ended.get(task, 0):
            return 409, {"reason": "old"}
        work = self.work_of(task, number)
        if self.fails_all:
            work = Work(duration_s=_FAILURE_S, outcome="failed")
        run = _Run(task=task, run=number, began_s=time.monotonic(), work=work)
        self.running[task, number] = run
        self._record("start", run)
        if work.duration_s is not None:
            self._spawn(self._finish(run, work.duration_s))
        return 200, {}

    async def _stop_run(self, body: Any) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], int(body["run"])
        run = self.running.get((task, number))
        if run is None:
            self._note_ended(task, number)
        elif not run.is_stopping:
            run.is_stopping = True
            self._spawn(self._stop_later(run))
        return 200, {}

    async def _finish(self, run: _Run, duration_s: float) -> None:
        await asyncio.sleep(duration_s)
        if not run.is_stopping:
            self._end(run, run.work.outcome)

    async def _stop_later(self, run: _Run) -> None:
        await asyncio.sleep(_STOP_S)
        self._end(run, "stopped")

    def _end(self, run: _Run, outcome: str) -> None:
        if self.running.get((run.task, run.run)) is not run:
            return
        del self.running[run.task, run.run]
        self._note_ended(run.task, run.run)
        self._end_count += 1
        self._ended.append([self._end_count, run.task, run.run, outcome, ""])
        self._record(outcome, run)
        self._has_ended.set()

    def _note_ended(self, task: str, number: int) -> None:
        highest = max(number, self._highest_ended.get(task, 0))
        self._highest_ended[task] = highest

    def _record(self, kind: str, run: _Run) -> None:
        self.events.append(
            Event(
                at_s=time.monotonic(),
                kind=kind,
                executor=self.name,
                task=run.task,
                run=run.run,
            )
        )
