"""Decides which instance is the coordinator: a key under a store lease.

The revision that created the key is the epoch: the store's revisions only
rise, so every later coordinator has a higher one.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from magnoliaglade import base, observability, supervision
from magnoliaglade import clock as clock_lib
from magnoliaglade import store as store_lib
from magnoliaglade.jobs import keys
from magnoliaglade.types import Epoch, InstanceId, LeaseId

# Life of the coordinator's lease without renewal, in seconds. A coordinator
# that dies is replaced after this; leases of runs last four times as long. The
# store grants leases from one second on.
LEASE_TTL_S = 1.5
RENEW_S = 0.35
# Pause before a renewal without an answer is repeated, in seconds.
RETRY_S = 0.1
# Longest wait of a watch on the coordinator's key.
WATCH_S = 3.0
# Instances that see the key vanish try at random times within this.
SPREAD_S = 0.05
# Processor cores that the coordinator uses for a few hundred workers under
# load. An instance with fewer stands back by up to the time below, in seconds,
# which is several times the spread.
CORES_WANTED = 1.0
HANDICAP_S = 0.3

# An instance whose loop is late, or that has just left the place for this
# reason, leaves a vacancy to others for this long, in seconds.
STAND_BACK_S = 5.0
# Interval of looking whether the loop is late, in seconds, and the time after
# its election for which a coordinator keeps its place in any case: reading all
# jobs delays the loop.
LATE_CHECK_S = 0.5
SETTLING_S = 3.0

Term = Callable[[Epoch], Awaitable[None]]


def handicap_s(cores: float) -> float:
    """Returns how long an instance leaves the place to larger ones.

    Args:
        cores: processor cores that the instance may use.
    """
    return HANDICAP_S * max(0.0, 1.0 - cores / CORES_WANTED)


class Election(base.Component):
    """Runs `term` while this instance is the coordinator.

    Attributes:
        instance: id of this instance.
        incarnation: distinguishes processes of the same instance.
        term: runs the coordinator for an epoch until it is cancelled, or
            returns when it has lost its place.
        random: source of the spread.
        address: `host:port` at which other instances reach this one.
        ttl_s: life of the lease without renewal.
        renew_s: interval of renewals.
        handicap_s: seconds for which the place is left to other instances.
        is_late: tells whether this instance's loop has been late for a while.
    """

    _parameter_constraints = {
        "ttl_s": [base.Interval(kind=float, low=0, low_open=True)],
        "renew_s": [base.Interval(kind=float, low=0, low_open=True)],
        "handicap_s": [base.Interval(kind=float, low=0)],
    }

    def __init__(
        self,
        *,
        store: store_lib.TransactionalStore,
        clock: clock_lib.Clock,
        instance: InstanceId,
        incarnation: str,
        term: Term,
        random: random.Random,
        address: str = "",
        ttl_s: float = LEASE_TTL_S,
        renew_s: float = RENEW_S,
        handicap_s: float = 0.0,
        is_late: Callable[[], bool] = lambda: False,
    ) -> None:
        self.store = store
        self.clock = clock
        self.instance = instance
        self.incarnation = incarnation
        self.term = term
        self.random = random
        self.address = address
        self.ttl_s = ttl_s
        self.renew_s = renew_s
        self.handicap_s = handicap_s
        self.is_late = is_late
        self.epoch: Epoch | None = None
        self.confirmed_at_s = float("-inf")
        self._stands_back_until_s = float("-inf")
        self._lease: LeaseId | None = None
        self._task: asyncio.Task[None] | None = None
        self._watcher = store_lib.PrefixWatcher(
            store=store,
            clock=clock,
            prefix=keys.COORDINATOR_KEY,
            wait_s=WATCH_S,
        )

    @property
    def coordinator_address(self) -> str:
        """Address of the coordinator as last seen; "" if there is none."""
        entry = self._watcher.entries.get(keys.COORDINATOR_KEY)
        if entry is None:
            return ""
        return entry.value.decode(errors="replace").rpartition("/")[2]

    @property
    def unconfirmed_s(self) -> float:
        """Seconds since the store last confirmed this coordinator."""
        return self.clock.now() - self.confirmed_at_s

    async def start(self) -> None:
        """Stands for election in the background."""
        self.validate_params()
        self._task = asyncio.create_task(
            supervision.keep_running(
                self._run, part="election", clock=self.clock
            )
        )

    async def stop(self) -> None:
        """Gives the coordinator's place up."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Returns epoch and age of the last confirmation."""
        return {
            "epoch": self.epoch,
            "unconfirmed_s": round(min(self.unconfirmed_s, 1e6), 3),
        }

    async def _run(self) -> None:
        while True:
            try:
                await self._await_vacancy()
                epoch = await self._acquire()
            except store_lib.StoreError:
                await self.clock.sleep(self.renew_s)
                continue
            if epoch is not None:
                await self._serve(epoch)

    async def _await_vacancy(self) -> None:
        """Returns when nobody holds the key."""
        if not self._watcher.is_loaded:
            await self._watcher.reload()
        while keys.COORDINATOR_KEY in self._watcher.entries:
            await self._watcher.update_once()
        spread_s = self.random.uniform(0.0, SPREAD_S)
        await self.clock.sleep(self.handicap_s + spread_s)
        back_s = self._stands_back_until_s - self.clock.now()
        if self.is_late():
            back_s = STAND_BACK_S
        if back_s > 0:
            # If nobody else takes the place meanwhile, a late coordinator is
            # better than none.
            await self.clock.sleep(back_s)

    async def _acquire(self) -> Epoch | None:
        """Creates the key; returns None if another instance was first."""
        sent_s = self.clock.now()
        self._lease = await self.store.grant_lease(self.ttl_s)
        owner = f"{self.instance}/{self.incarnation}/{self._lease}"
        value = f"{owner}/{self.address}".encode()
        try:
            revision = await self.store.put(
                keys.COORDINATOR_KEY, value, expected=0, lease=self._lease
            )
        except store_lib.ConflictError:
            revision = 0
        except store_lib.StoreOutcomeUnknownError:
            entry = await self.store.get(keys.COORDINATOR_KEY)
            is_mine = entry is not None and entry.value == value
            revision = entry.revision if entry and is_mine else 0
        await self._watcher.reload()
        if not revision:
            await self._end_lease()
            return None
        self.confirmed_at_s = sent_s
        return Epoch(revision)

    async def _serve(self, epoch: Epoch) -> None:
        self.epoch = epoch
        observability.log_event("coordinator", state="acquired", epoch=epoch)
        term = asyncio.ensure_future(self.term(epoch))
        renewal = asyncio.ensure_future(self._renew())
        lateness = asyncio.ensure_future(self._await_lateness())
        reason = "lost"
        try:
            await asyncio.wait(
                {term, renewal, lateness}, return_when=asyncio.FIRST_COMPLETED
            )
            if lateness.done():
                reason = "left, since the loop is late"
                now_s = self.clock.now()
                self._stands_back_until_s = now_s + STAND_BACK_S
        except asyncio.CancelledError:
            reason = "released"
            raise
        finally:
            for task in (renewal, term, lateness):
                task.cancel()
            results = await asyncio.gather(
                term, renewal, lateness, return_exceptions=True
            )
            self.epoch = None
            observability.log_event(
                "coordinator",
                state=reason,
                epoch=epoch,
                causes=[repr(r) for r in results if r is not None],
            )
            await self._end_lease()

    async def _await_lateness(self) -> None:
        """Returns when the loop is late after the first seconds."""
        await self.clock.sleep(SETTLING_S)
        while not self.is_late():
            await self.clock.sleep(LATE_CHECK_S)

    async def _renew(self) -> None:
        """Renews the lease; returns when the store has ended it."""
        pause_s = self.renew_s
        while self._lease is not None:
            await self.clock.sleep(pause_s)
            pause_s = RETRY_S
            sent_s = self.clock.now()
            try:
                await self.store.renew_lease(self._lease)
            except store_lib.LeaseLostError:
                return
            except store_lib.StoreError as error:
                observability.log_event(
                    "coordinator",
                    state="renewal unanswered",
                    unconfirmed_s=round(self.unconfirmed_s, 3),
                    reason=str(error),
                )
                continue
            self.confirmed_at_s = sent_s
            pause_s = self.renew_s

    async def _end_lease(self) -> None:
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            await self.store.revoke_lease(lease)
        except store_lib.StoreError as error:
            # It ends by itself.
            observability.log_event(
                "coordinator", state="lease not ended", reason=str(error)
            )
