"""Elects the coordinator: the instance that holds a key under a store lease.

The revision that created the key is the epoch: the store's revisions only
increase, so every later coordinator has a higher epoch.
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

# Time to live of the coordinator's lease, in seconds. A coordinator that dies
# is replaced after this time; leases of runs last four times as long. The store
# grants no lease shorter than one second.
LEASE_TTL_S = 1.0
# Interval between renewals of the lease, in seconds.
RENEW_INTERVAL_S = 0.25
# Delay before a renewal that got no answer is retried, in seconds.
RENEW_RETRY_DELAY_S = 0.1
# Timeout of a watch on the coordinator's key, in seconds.
WATCH_TIMEOUT_S = 3.0
# Upper bound of the random delay, in seconds, between the removal of the key
# and an instance's attempt to create it.
MAX_JITTER_S = 0.05
# Number of processor cores that the coordinator uses for a few hundred workers
# under load. An instance with fewer stands for election later.
COORDINATOR_CORES = 1.0
# Longest delay, in seconds, before an instance with fewer cores stands for
# election; several times the jitter.
MAX_ELECTION_DELAY_S = 0.3

# Backoff, in seconds, of an instance whose event loop lags, or that has just
# stepped down for this reason, before it stands for election.
ELECTION_BACKOFF_S = 5.0
# Interval between checks for event-loop lag, in seconds.
LAG_CHECK_INTERVAL_S = 0.5
# Time after its election, in seconds, for which a coordinator does not step
# down for event-loop lag: reading all jobs delays the event loop.
STARTUP_GRACE_S = 3.0

Term = Callable[[Epoch], Awaitable[None]]


def election_delay_s(cores: float) -> float:
    """Returns the delay, in seconds, before an instance stands for election.

    Instances with fewer cores than the coordinator uses wait for larger ones.

    Args:
        cores: processor cores that the instance may use.
    """
    return MAX_ELECTION_DELAY_S * max(0.0, 1.0 - cores / COORDINATOR_CORES)


class Election(base.Component):
    """Runs `term` while this instance is the coordinator.

    Attributes:
        instance: id of this instance.
        incarnation: distinguishes processes of the same instance.
        term: runs the coordinator for an epoch until it is cancelled, or
            returns when it has been replaced.
        random: source of the jitter.
        address: `host:port` at which other instances reach this one.
        ttl_s: time to live of the lease, in seconds.
        renew_s: interval between renewals, in seconds.
        election_delay_s: delay before this instance stands for election, in
            seconds.
        is_loop_lagging: returns whether the event loop of this instance has
            lagged for some time.
    """

    _parameter_constraints = {
        "ttl_s": [base.Interval(kind=float, low=0, low_open=True)],
        "renew_s": [base.Interval(kind=float, low=0, low_open=True)],
        "election_delay_s": [base.Interval(kind=float, low=0)],
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
        renew_s: float = RENEW_INTERVAL_S,
        election_delay_s: float = 0.0,
        is_loop_lagging: Callable[[], bool] = lambda: False,
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
        self.election_delay_s = election_delay_s
        self.is_loop_lagging = is_loop_lagging
        self.epoch: Epoch | None = None
        self.confirmed_at_s = float("-inf")
        self._backoff_until_s = float("-inf")
        self._lease: LeaseId | None = None
        self._task: asyncio.Task[None] | None = None
        self._watcher = store_lib.PrefixWatcher(
            store=store,
            clock=clock,
            prefix=keys.COORDINATOR_KEY,
            wait_s=WATCH_TIMEOUT_S,
        )

    @property
    def coordinator_address(self) -> str:
        """Last known address of the coordinator; "" if there is none."""
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
        """Withdraws from election; as the coordinator, ends the term."""
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
                await self._wait_for_free_key()
                epoch = await self._acquire()
            except store_lib.StoreError:
                await self.clock.sleep(self.renew_s)
                continue
            if epoch is not None:
                await self._run_term(epoch)

    async def _wait_for_free_key(self) -> None:
        """Waits until no instance holds the key and the delays are over."""
        if not self._watcher.is_loaded:
            await self._watcher.reload()
        while keys.COORDINATOR_KEY in self._watcher.entries:
            await self._watcher.update_once()
        jitter_s = self.random.uniform(0.0, MAX_JITTER_S)
        await self.clock.sleep(self.election_delay_s + jitter_s)
        backoff_s = self._backoff_until_s - self.clock.now()
        if self.is_loop_lagging():
            backoff_s = ELECTION_BACKOFF_S
        if backoff_s > 0:
            # If no other instance is elected meanwhile, a lagging coordinator
            # is better than none.
            await self.clock.sleep(backoff_s)

    async def _acquire(self) -> Epoch | None:
        """Creates the key; returns None if another instance holds it."""
        sent_at_s = self.clock.now()
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
            is_own = entry is not None and entry.value == value
            revision = entry.revision if entry and is_own else 0
        await self._watcher.reload()
        if not revision:
            await self._revoke_lease()
            return None
        self.confirmed_at_s = sent_at_s
        return Epoch(revision)

    async def _run_term(self, epoch: Epoch) -> None:
        self.epoch = epoch
        observability.log_event("coordinator", state="acquired", epoch=epoch)
        term = asyncio.ensure_future(self.term(epoch))
        renewal = asyncio.ensure_future(self._renew())
        lag_check = asyncio.ensure_future(self._wait_for_loop_lag())
        reason = "lost"
        try:
            await asyncio.wait(
                {term, renewal, lag_check}, return_when=asyncio.FIRST_COMPLETED
            )
            if lag_check.done():
                reason = "stepped down because its event loop lags"
                now_s = self.clock.now()
                self._backoff_until_s = now_s + ELECTION_BACKOFF_S
        except asyncio.CancelledError:
            reason = "released"
            raise
        finally:
            for task in (renewal, term, lag_check):
                task.cancel()
            results = await asyncio.gather(
                term, renewal, lag_check, return_exceptions=True
            )
            self.epoch = None
            observability.log_event(
                "coordinator",
                state=reason,
                epoch=epoch,
                causes=[repr(r) for r in results if r is not None],
            )
            await self._revoke_lease()

    async def _wait_for_loop_lag(self) -> None:
        """Returns once the event loop lags after the startup grace period."""
        await self.clock.sleep(STARTUP_GRACE_S)
        while not self.is_loop_lagging():
            await self.clock.sleep(LAG_CHECK_INTERVAL_S)

    async def _renew(self) -> None:
        """Renews the lease; returns when the store reports it as lost."""
        delay_s = self.renew_s
        while self._lease is not None:
            await self.clock.sleep(delay_s)
            delay_s = RENEW_RETRY_DELAY_S
            sent_at_s = self.clock.now()
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
            self.confirmed_at_s = sent_at_s
            delay_s = self.renew_s

    async def _revoke_lease(self) -> None:
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            await self.store.revoke_lease(lease)
        except store_lib.StoreError as error:
            # The lease expires by itself.
            observability.log_event(
                "coordinator", state="lease not revoked", reason=str(error)
            )
