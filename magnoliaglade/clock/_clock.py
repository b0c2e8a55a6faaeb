"""Time sources behind one interface, so that tests need no real time."""

import abc
import asyncio
import heapq
import itertools
import time
from collections.abc import Awaitable
from typing import TypeVar

T = TypeVar("T")

# Not every system has a clock that counts suspended time.
_MONOTONIC_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# Event-loop iterations after each virtual wake-up, so that woken tasks run
# until they wait for the clock or for another task again.
_SETTLE_ITERATIONS = 20


class Clock(abc.ABC):
    """Source of time and delays. All values are in seconds."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns monotonic time, for durations and expiry."""

    @abc.abstractmethod
    def time(self) -> float:
        """Returns wall time since the Unix epoch, for records."""

    @abc.abstractmethod
    async def sleep(self, delay_s: float) -> None:
        """Returns after `delay_s` seconds."""

    async def wait_for(self, awaitable: Awaitable[T], timeout_s: float) -> T:
        """Awaits with a timeout measured on this clock.

        Raises:
            TimeoutError: `timeout_s` passed; the awaitable was cancelled.
        """
        task = asyncio.ensure_future(awaitable)
        timer = asyncio.ensure_future(self.sleep(timeout_s))
        try:
            await asyncio.wait(
                {task, timer}, return_when=asyncio.FIRST_COMPLETED
            )
            if task.done():
                return task.result()
            raise TimeoutError(f"no result within {timeout_s} s")
        finally:
            for pending in (task, timer):
                pending.cancel()


class SystemClock(Clock):
    """The operating system's clocks."""

    def now(self) -> float:
        """Returns the monotonic clock, which counts suspended time too.

        A lease continues to expire while its holder's machine is suspended.
        """
        return time.clock_gettime(_MONOTONIC_CLOCK)

    def time(self) -> float:
        """Returns the wall clock."""
        return time.time()

    async def sleep(self, delay_s: float) -> None:
        """Sleeps on the event loop."""
        await asyncio.sleep(delay_s)


class ManualClock(Clock):
    """A clock that advances only when `advance` is called."""

    def __init__(self, *, start_s: float = 1_000_000.0) -> None:
        self.start_s = start_s
        self._now = start_s
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []

    def now(self) -> float:
        """Returns the virtual time."""
        return self._now

    def time(self) -> float:
        """Returns the virtual time."""
        return self._now

    async def sleep(self, delay_s: float) -> None:
        """Waits until the virtual time has advanced by `delay_s`."""
        if delay_s <= 0:
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        entry = (self._now + delay_s, next(self._order), future)
        heapq.heappush(self._sleepers, entry)
        await future

    async def advance(self, delay_s: float) -> None:
        """Advances the time and wakes sleepers in order of their deadlines."""
        end = self._now + delay_s
        await self._settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            deadline, _, future = heapq.heappop(self._sleepers)
            self._now = max(self._now, deadline)
            if not future.done():
                future.set_result(None)
                await self._settle()
        self._now = end
        await self._settle()

    async def _settle(self) -> None:
        for _ in range(_SETTLE_ITERATIONS):
            await asyncio.sleep(0)
