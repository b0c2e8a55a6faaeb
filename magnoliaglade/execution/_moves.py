"""Moves jobs of a removed zone to other domains."""

import asyncio
from collections.abc import Awaitable, Callable

from magnoliaglade import clock as clock_lib
from magnoliaglade import configuration
from magnoliaglade import store as store_lib
from magnoliaglade.execution import (
    _attempts,
    _errors,
    _journal,
    _records,
)
from magnoliaglade.types import JobId

Forward = Callable[[str, _records.Accepted], Awaitable[None]]
ChooseDomain = Callable[[_records.JobSpec], str | None]

# Pause before a job is forwarded again to a domain that did not acknowledge.
_FORWARD_RETRY_S = 1.0
# Forwards in flight, so that a zone that leaves does not flood its neighbours.
_MAX_FORWARDS = 32


class Moves:
    """Empties the domain while its zone is removed.

    Attributes:
        zone_policy: what to do with running tasks; None while in service.
        choose_domain: the domain that a job moves to, or None if no zone is
            in service.
        forward: returns when the other domain has the job in its log; raises
            `ForwardError` otherwise.
        may_move: whether no earlier owner may still start a pending job.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        journal: _journal.Journal,
        attempts: _attempts.Attempts,
        zone_policy: Callable[[], configuration.ZonePolicy | None],
        choose_domain: ChooseDomain,
        forward: Forward,
        may_move: Callable[[JobId], bool],
        on_lost: Callable[[Exception], None],
    ) -> None:
        self.clock = clock
        self.journal = journal
        self.attempts = attempts
        self.zone_policy = zone_policy
        self.choose_domain = choose_domain
        self.forward = forward
        self.may_move = may_move
        self.on_lost = on_lost
        self._tasks: dict[JobId, asyncio.Task[None]] = {}
        self._slots = asyncio.Semaphore(_MAX_FORWARDS)

    def step(self) -> None:
        """Evicts and moves what the zone's policy says; returns at once."""
        for entry in list(self.journal.table.in_phase(_MOVING)):
            self._move(entry)
        policy = self.zone_policy()
        if policy is None:
            return
        for entry in list(self.journal.table.in_phase(_PENDING)):
            is_held = self.attempts.holds(entry.job)
            if not is_held and self.may_move(entry.job):
                self._move(entry)
        if policy is configuration.ZonePolicy.CHECKPOINT:
            for gang in list(self.attempts.renewal.gangs.values()):
                spec = gang.launch.spec.gang
                # Work that cannot be continued elsewhere finishes here.
                if spec.checkpointable and not spec.at_most_once:
                    self.attempts.evict(gang.job)

    async def abandon(self) -> None:
        """Ends all forwards; a successor continues them."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _move(self, entry: _records.JobEntry) -> None:
        if entry.job in self._tasks:
            return
        task = asyncio.create_task(self._run(entry))
        self._tasks[entry.job] = task
        task.add_done_callback(lambda _: self._tasks.pop(entry.job, None))

    async def _run(self, entry: _records.JobEntry) -> None:
        async with self._slots:
            try:
                await self._move_once(entry)
            except store_lib.LogFencedError as error:
                self.on_lost(error)
            except (store_lib.StoreError, _errors.ForwardError):
                await self.clock.sleep(_FORWARD_RETRY_S)

    async def _move_once(self, entry: _records.JobEntry) -> None:
        if entry.phase is _PENDING:
            domain = self.choose_domain(entry.spec)
            if domain is None:
                await self.clock.sleep(_FORWARD_RETRY_S)
                return
            await self.journal.write(
                _records.Moving(job=entry.job, domain=domain)
            )
        # A cancellation may have come between the steps.
        if entry.phase is not _MOVING:
            return
        await self.forward(entry.domain, _transfer(entry))
        await self.journal.write_eventually(
            _records.Moved(job=entry.job, at_s=self.clock.time())
        )


_MOVING = _records.JobPhase.MOVING
_PENDING = _records.JobPhase.PENDING


def _transfer(entry: _records.JobEntry) -> _records.Accepted:
    return _records.Accepted(
        spec=entry.spec,
        attempt=entry.attempt,
        failures=entry.failures,
        checkpoint=entry.checkpoint,
        hops=entry.accepted.hops + 1,
    )
