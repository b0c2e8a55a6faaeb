"""Checkpoints gangs within a bound before they are stopped."""

import asyncio
import contextlib

from magnoliaglade import clock as clock_lib
from magnoliaglade.execution import _gangs, _renewal, _stopping
from magnoliaglade.types import JobId

# A borrower that has not written its checkpoint by then is stopped without.
CHECKPOINT_BOUND_S = 10.0
# Urgent work starts within 3.2 s, which includes up to 0.55 s until the
# decision, the stop and the start.
URGENT_CHECKPOINT_BOUND_S = 2.0
_CHECKPOINT_POLL_S = 0.5
# How soon a bound that became shorter is noticed.
_BOUND_POLL_S = 0.1


class Evictor:
    """Waits for the checkpoints of gangs that are to be stopped."""

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        renewal: _renewal.Renewal,
        stopper: _stopping.Stopper,
    ) -> None:
        self.clock = clock
        self.renewal = renewal
        self.stopper = stopper
        self._until_s: dict[JobId, float] = {}

    def begin(self, job: JobId, bound_s: float) -> bool:
        """Notes an eviction and tells whether it is new.

        The bound of one in progress becomes shorter, but never longer.
        """
        until_s = self.clock.now() + bound_s
        known_s = self._until_s.get(job)
        self._until_s[job] = (
            until_s if known_s is None else min(known_s, until_s)
        )
        return known_s is None

    async def checkpoint(self, gang: _gangs.ActiveGang) -> bool:
        """Returns within the bound; tells whether the gang still runs."""
        try:
            if gang.launch.spec.gang.checkpointable:
                await self._wait(gang)
            return self.renewal.gangs.get(gang.job) is gang
        finally:
            del self._until_s[gang.job]

    async def _wait(self, gang: _gangs.ActiveGang) -> None:
        # The calls to a worker that does not answer must not prolong the
        # wait, so they run beside it.
        writing = asyncio.create_task(self._write(gang))
        try:
            while not writing.done():
                left_s = self._until_s[gang.job] - self.clock.now()
                if left_s <= 0:
                    return
                with contextlib.suppress(TimeoutError):
                    await self.clock.wait_for(
                        asyncio.shield(writing), min(left_s, _BOUND_POLL_S)
                    )
        finally:
            writing.cancel()
            await asyncio.gather(writing, return_exceptions=True)

    async def _write(self, gang: _gangs.ActiveGang) -> None:
        before = gang.checkpoint
        await self.stopper.checkpoint(gang)
        while True:
            await self.clock.sleep(_CHECKPOINT_POLL_S)
            await self.renewal.poll(gang)
            is_written = gang.checkpoint not in ("", before)
            if is_written or gang.job not in self.renewal.gangs:
                return
