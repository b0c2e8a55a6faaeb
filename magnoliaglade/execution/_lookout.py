"""Times at which gangs are looked at between the renewal rounds."""

import heapq
import itertools

from magnoliaglade import clock as clock_lib
from magnoliaglade.execution import _gangs, _renewal
from magnoliaglade.types import JobId

# Workers are looked at this often at most, whatever the number of gangs.
LOOK_PERIOD_S = 0.5
# After its start, because declared run times may be far too long, and after
# its expected end, because the rounds would find the end only 5 s later. The
# series ends where the rounds are about as fast, so a gang that runs for
# hours costs nothing more.
_LOOKS_S = (0.5, 1.0, 2.0, 4.0)


class Lookout:
    """Looks at gangs early in their run and around their expected end."""

    def __init__(
        self, *, clock: clock_lib.Clock, renewal: _renewal.Renewal
    ) -> None:
        self.clock = clock
        self.renewal = renewal
        self._order = itertools.count()
        self._due: list[tuple[float, int, JobId, int]] = []

    def add(
        self, gang: _gangs.ActiveGang, *, expected_s: float, elapsed_s: float
    ) -> None:
        """Plans the looks at a gang.

        Args:
            gang: the gang, which is being renewed.
            expected_s: expected run time.
            elapsed_s: time for which it runs already.
        """
        offsets = (*_LOOKS_S, *(expected_s + x for x in (0.0, *_LOOKS_S)))
        now_s = self.clock.now()
        for offset_s in offsets:
            if offset_s > elapsed_s:
                at_s = now_s + offset_s - elapsed_s
                entry = (at_s, next(self._order), gang.job, gang.attempt)
                heapq.heappush(self._due, entry)

    async def look(self) -> None:
        """Looks at the gangs that are due, with one call per worker."""
        now_s = self.clock.now()
        gangs: dict[JobId, _gangs.ActiveGang] = {}
        while self._due and self._due[0][0] <= now_s:
            _, _, job, attempt = heapq.heappop(self._due)
            gang = self.renewal.gangs.get(job)
            if gang is not None and gang.attempt == attempt:
                gangs[job] = gang
        if gangs:
            await self.renewal.look(gangs.values())
