"""Executors, arrivals and virtual time for `bench_requests`."""

import asyncio
import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from magnoliaglade import clock as clock_lib
from magnoliaglade import requests
from magnoliaglade.types import AccountId, UpstreamId, ZoneId

EXECUTORS = 24
SLOTS = 8
ZONES = 3
DURATION_S = 120.0
FAULTS_AT_S = 10.0
GONE_AT_S = 20.0
DEADLINE_S = 30.0
# Of the requests drawn for seeds 1 to 5, 0.01% run longer even on a healthy
# executor. At 5 s it is 1.3%, and the figures would measure the timeout.
PROGRESS_TIMEOUT_S = 10.0
SLOW_FACTOR = 5.0
FAIL_AFTER_S = 0.01
LOAD = 0.9
# Small proofs and larger renderings, with a mean of 1 s in all.
KINDS = {"proof": (0.8, 0.5), "render": (0.2, 3.0)}
_SPREAD = 0.4
_SLOW, _FAILING, SILENT, LEAVING = range(4)
_FAULTY = 4
ACCOUNTS = {"a": 0.25, "b": 0.15, "c": 0.1, "d": 0.1}


class EventClock(clock_lib.Clock):
    """Virtual time that the event loop below moves."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Returns the virtual time."""
        return self.now_s

    def time(self) -> float:
        """Returns the virtual time."""
        return self.now_s

    async def sleep(self, delay_s: float) -> None:
        """Never returns: time stands still during a coroutine."""
        await asyncio.get_running_loop().create_future()

    def call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedules a call."""
        event = (self.now_s + delay_s, next(self._order), call)
        heapq.heappush(self._events, event)

    def run(self) -> None:
        """Runs every event in order."""
        while self._events:
            self.now_s, _, call = heapq.heappop(self._events)
            call()


@dataclasses.dataclass(kw_only=True, eq=False)
class Request:
    """One request and its results so far."""

    number: int
    account: AccountId
    kind: str
    service_s: float
    arrived_s: float
    attempts: int = 0
    completed_s: float | None = None
    ticket: requests.Ticket | None = None

    @property
    def deadline_s(self) -> float:
        """End of the caller's patience."""
        return self.arrived_s + DEADLINE_S


@dataclasses.dataclass(kw_only=True, eq=False)
class Attempt:
    """One dispatch; `report` gets "ok", "failed", "silent" or "refused"."""

    request: Request
    upstream: UpstreamId
    report: Callable[["Attempt", str], None]
    started_s: float
    is_done: bool = False


class Executor:
    """Runs up to `SLOTS` attempts and queues the others without a bound."""

    def __init__(self, clock: EventClock, number: int) -> None:
        self.clock = clock
        self.number = number
        self.upstream = UpstreamId(f"u{number:02}")
        self.zone = ZoneId(f"zone-{number % ZONES}")
        self.running: set[Attempt] = set()
        self.queue: collections.deque[Attempt] = collections.deque()

    def has_fault(self, number: int) -> bool:
        """Tells whether this executor shows a fault now."""
        return self.number == number and self.clock.now() >= FAULTS_AT_S

    @property
    def is_gone(self) -> bool:
        """Whether connections are refused."""
        return self.number == LEAVING and self.clock.now() >= GONE_AT_S

    def submit(self, attempt: Attempt) -> None:
        """Accepts an attempt."""
        if self.is_gone:
            self.clock.call_later(0.001, lambda: self._end(attempt, "refused"))
            return
        if self.has_fault(_FAILING):
            self.clock.call_later(
                FAIL_AFTER_S, lambda: self._end(attempt, "failed")
            )
            return
        remaining_s = attempt.request.deadline_s - self.clock.now()
        self.clock.call_later(
            min(PROGRESS_TIMEOUT_S, remaining_s),
            lambda: self._end(attempt, "silent"),
        )
        if not self.has_fault(SILENT):
            self.queue.append(attempt)
            self._start_next()

    def _start_next(self) -> None:
        while self.queue and len(self.running) < SLOTS:
            attempt = self.queue.popleft()
            if attempt.is_done:
                continue
            self.running.add(attempt)
            factor = SLOW_FACTOR if self.has_fault(_SLOW) else 1.0
            self.clock.call_later(
                attempt.request.service_s * factor, _finisher(self, attempt)
            )

    def finish(self, attempt: Attempt) -> None:
        """Answers an attempt, unless the executor fell silent or is gone."""
        if not self.has_fault(SILENT) and not self.is_gone:
            self._end(attempt, "ok")

    def _end(self, attempt: Attempt, outcome: str) -> None:
        if attempt.is_done:
            return
        attempt.is_done = True
        self.running.discard(attempt)
        attempt.report(attempt, outcome)
        self._start_next()


def _finisher(executor: Executor, attempt: Attempt) -> Callable[[], None]:
    return lambda: executor.finish(attempt)


def make_requests(seed: int) -> list[Request]:
    """Draws the arrivals of one run; the same for both paths."""
    rng = random.Random(seed)
    mean_s = sum(part * mean for part, mean in KINDS.values())
    rate = LOAD * (EXECUTORS - _FAULTY) * SLOTS / mean_s
    made: list[Request] = []
    now_s = rng.expovariate(rate)
    while now_s < DURATION_S:
        kind = rng.choices(list(KINDS), [p for p, _ in KINDS.values()])[0]
        log_mean = -(_SPREAD**2) / 2
        made.append(
            Request(
                number=len(made),
                account=AccountId(rng.choice(list(ACCOUNTS))),
                kind=kind,
                service_s=KINDS[kind][1]
                * rng.lognormvariate(log_mean, _SPREAD),
                arrived_s=now_s,
            )
        )
        now_s += rng.expovariate(rate)
    return made
