"""Renews grants for the owned domains while the store is unreachable."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from magnoliaglade import base
from magnoliaglade import clock as clock_lib
from magnoliaglade.membership import _grants, _view
from magnoliaglade.types import Epoch, InstanceId

# Leaves time for two more attempts before a grant expires.
COLLECT_INTERVAL_S = 1.0


class OutageGrantManager(base.Component):
    """Collects grants from a majority while the store is unreachable."""

    _parameter_constraints = {
        "collect_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        collector: _grants.GrantCollector,
        owned: Callable[[], dict[str, Epoch]],
        view: Callable[[], _view.View],
        store_reachable: Callable[[], bool],
        collect_s: float = COLLECT_INTERVAL_S,
    ) -> None:
        self.clock = clock
        self.collector = collector
        self.owned = owned
        self.view = view
        self.store_reachable = store_reachable
        self.collect_s = collect_s
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to collect grants in the background."""
        self.validate_params()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops collecting; grants that were given expire by themselves."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Returns the remaining seconds of the grants by domain."""
        return {d: self.collector.remaining_s(d) for d in sorted(self.owned())}

    def may_act(self, domain: str) -> bool:
        """Returns whether grants of a majority are in effect for a domain."""
        return self.collector.remaining_s(domain) > 0

    async def may_take_over(self, domain: str) -> bool:
        """Returns whether a majority permits a takeover of the domain."""
        view = self.view()
        if not view.members:
            return False
        return await self.collector.collect(
            domain=domain,
            epoch=0,
            purpose=_grants.GrantPurpose.TAKE_OVER,
            view=view,
        )

    async def request_takeover_consent(
        self, domain: str, epoch: Epoch, members: Iterable[InstanceId]
    ) -> bool:
        """Asks the previous owner's view to refuse it further grants.

        Args:
            domain: the domain.
            epoch: epoch of this instance's ownership.
            members: instances in the view of the previous owner.

        Returns:
            Whether a majority agreed; the members that agreed give no further
            grants to owners of earlier epochs.
        """
        return await self.collector.collect_from(
            members,
            domain=domain,
            epoch=epoch,
            purpose=_grants.GrantPurpose.TAKE_OVER,
        )

    async def _run(self) -> None:
        while True:
            if not self.store_reachable():
                await asyncio.gather(
                    *(self._collect(d, e) for d, e in self.owned().items())
                )
            await self.clock.sleep(self.collect_s)

    async def _collect(self, domain: str, epoch: Epoch) -> None:
        await self.collector.collect(
            domain=domain,
            epoch=epoch,
            purpose=_grants.GrantPurpose.ACT,
            view=self.view(),
        )
