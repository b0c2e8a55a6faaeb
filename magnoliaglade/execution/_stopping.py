"""Stops the members of a gang and tells when none of them can run."""

import asyncio
from collections.abc import Awaitable

from magnoliaglade import clock as clock_lib
from magnoliaglade.execution import _calls, _gangs, _launch
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.types import Epoch, WorkerId

# Pause between two attempts to stop a member on a worker that is not reached.
_RETRY_S = 1.0


class Stopper:
    """Stops gangs of one domain."""

    def __init__(
        self,
        *,
        domain: str,
        clock: clock_lib.Clock,
        calls: _calls.WorkerCalls,
    ) -> None:
        self.domain = domain
        self.clock = clock
        self.calls = calls

    async def stop(self, gang: _gangs.ActiveGang) -> None:
        """Returns when no member runs: stopped, or its lease has ended.

        Raises:
            LeaseLapsedError: the owner may not act.
            StaleEpochError: another owner has fenced a worker.
        """
        results = await asyncio.gather(
            *(self._stop_member(gang, m) for m in gang.members.values()),
            return_exceptions=True,
        )
        error = _calls.first_error(results)
        if error is not None:
            raise error

    async def checkpoint(self, gang: _gangs.ActiveGang) -> None:
        """Asks every member for a checkpoint; failures are ignored."""

        def send(_: WorkerId) -> _calls.Send:
            return lambda client, epoch: client.checkpoint(
                self._command(gang.launch, epoch)
            )

        await self.calls.call_all(gang.members, send)

    async def release(self, launch: _launch.Launch) -> None:
        """Drops what ended of an attempt; failures are ignored."""

        def send(_: WorkerId) -> _calls.Send:
            return lambda client, epoch: client.release(
                self._command(launch, epoch)
            )

        await self.calls.call_all(launch.counts, send)

    async def _stop_member(
        self, gang: _gangs.ActiveGang, member: _gangs.Member
    ) -> None:
        def send(
            client: worker_lib.WorkerClient, epoch: Epoch
        ) -> Awaitable[None]:
            return client.stop(self._command(gang.launch, epoch))

        while True:
            try:
                await self.calls.call(member.worker, send)
                return
            except worker_lib.StaleEpochError:
                raise
            except worker_lib.WorkerCallError:
                if self.clock.now() >= member.ended_after_s:
                    return
            await self.clock.sleep(_RETRY_S)

    def _command(
        self, launch: _launch.Launch, epoch: Epoch
    ) -> worker_lib.TaskCommand:
        return worker_lib.TaskCommand(
            domain=self.domain,
            epoch=epoch,
            job=launch.job,
            attempt=launch.attempt,
        )
