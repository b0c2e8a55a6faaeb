"""Tests of admission by account share and deadline, and of retries."""

import asyncio
import random

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import configuration, requests
from magnoliaglade.types import AccountId

BIG, SMALL = AccountId("big"), AccountId("small")


def make_limiter(*, capacity=8, max_queued=256, share=0.25):
    clock = clock_lib.ManualClock()
    queue = requests.FairQueue(
        clock=clock,
        estimator=requests.ServiceTimeEstimator(),
        max_queued=max_queued,
    )
    limiter = requests.AccountLimiter(clock=clock, queue=queue)
    limiter.set_accounts(
        [
            configuration.AccountConfig(account=BIG, key_digest=""),
            configuration.AccountConfig(
                account=SMALL, key_digest="", request_share=share
            ),
        ]
    )
    limiter.set_capacity(capacity)
    return clock, limiter


class Load:
    """Runs requests of fixed length and counts how each ends."""

    def __init__(self, clock, limiter):
        self.clock = clock
        self.limiter = limiter
        self.tasks = []
        self.waits_s = {BIG: [], SMALL: []}

    def add(self, account, count, *, service_s=1.0, deadline_s=1000.0):
        added = [
            asyncio.ensure_future(self._run(account, service_s, deadline_s))
            for _ in range(count)
        ]
        self.tasks += added
        return added

    async def _run(self, account, service_s, deadline_s):
        start_s = self.clock.now()
        ticket = await self.limiter.admit(
            account, kind="k", deadline_s=start_s + deadline_s
        )
        self.waits_s[account].append(self.clock.now() - start_s)
        try:
            await self.clock.sleep(service_s)
        finally:
            self.limiter.release(ticket)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        assert self.limiter.queue.in_use == 0


class TestAccountLimiter:
    async def test_guarantee_is_kept_under_a_burst(self):
        """Guards against one account's burst delaying another's guarantee."""
        clock, limiter = make_limiter()
        load = Load(clock, limiter)
        load.add(BIG, 200)
        await clock.advance(0.5)
        assert limiter.queue.in_use == 8
        for _ in range(5):
            load.add(SMALL, 2)
            await clock.advance(1)
        assert len(load.waits_s[SMALL]) == 10
        assert max(load.waits_s[SMALL]) <= 1.0
        await load.stop()

    async def test_fewer_slots_than_accounts_starves_nobody(self):
        """Guards against a share below one slot that never gets a turn."""
        clock, limiter = make_limiter(capacity=1)
        load = Load(clock, limiter)
        load.add(BIG, 100)
        load.add(SMALL, 100)
        await clock.advance(40.5)
        served = {a: len(w) for a, w in load.waits_s.items()}
        # Shares are 0.75 / 2 and 0.25 + 0.75 / 2.
        assert served[BIG] + served[SMALL] == 41
        assert 13 <= served[BIG] <= 18
        await load.stop()

    async def test_deadline_that_cannot_be_met_is_refused_early(self):
        clock, limiter = make_limiter()
        load = Load(clock, limiter)
        await asyncio.gather(*load.add(BIG, 8), clock.advance(1))
        load.add(BIG, 40)
        await clock.advance(0)
        (late,) = load.add(BIG, 1, deadline_s=0.5)
        (in_time,) = load.add(BIG, 1, deadline_s=4)
        await clock.advance(0)
        assert isinstance(late.exception(), requests.RefusedError)
        assert late.exception().cause is requests.NotRunCause.DEADLINE
        await clock.advance(4)
        await in_time
        await load.stop()

    async def test_high_estimate_is_corrected(self):
        """Guards against refusing everything after a slow period."""
        clock, limiter = make_limiter()
        limiter.queue.estimator.partial_fit([("k", 100.0)])
        load = Load(clock, limiter)
        for _ in range(60):
            await asyncio.gather(
                *load.add(BIG, 1, deadline_s=5), clock.advance(1)
            )
        assert limiter.queue.estimator.predict(["k"])[0] < 2
        await load.stop()

    async def test_full_queue_keeps_the_earlier_deadlines(self):
        clock, limiter = make_limiter(capacity=0, max_queued=2)
        load = Load(clock, limiter)
        tasks = [load.add(BIG, 1, deadline_s=s)[0] for s in (50, 60, 70, 40)]
        await clock.advance(0)
        assert [t.done() for t in tasks] == [False, True, True, False]
        await clock.advance(45)
        assert [t.done() for t in tasks] == [False, True, True, True]
        causes = []
        for task in tasks[1:]:
            with pytest.raises(requests.RefusedError) as refusal:
                await task
            causes.append(refusal.value.cause)
        full, late = (
            requests.NotRunCause.OVERLOADED,
            requests.NotRunCause.DEADLINE,
        )
        assert causes == [full, full, late]
        await load.stop()

    async def test_removed_account_is_refused(self):
        clock, limiter = make_limiter(capacity=0)
        load = Load(clock, limiter)
        (waiting,) = load.add(SMALL, 1)
        await clock.advance(0)
        limiter.set_accounts(
            [configuration.AccountConfig(account=BIG, key_digest="")]
        )
        with pytest.raises(requests.RefusedError):
            await waiting
        await load.stop()


class TestRetryBudget:
    async def test_retries_stay_within_a_tenth(self):
        """Guards against retries multiplying the load of an outage."""
        clock = clock_lib.ManualClock()
        budget = requests.RetryBudget(clock=clock)
        assert [budget.try_spend() for _ in range(2)] == [True, False]
        for _ in range(100):
            budget.note_request()
        assert sum(budget.try_spend() for _ in range(50)) == 9
        await clock.advance(10)
        assert sum(budget.try_spend() for _ in range(50)) == 1

    def test_backoff_is_jittered_and_capped(self):
        rng = random.Random(1)
        delays_s = [requests.backoff_s(99, rng=rng) for _ in range(100)]
        assert max(delays_s) <= 2.0
        assert min(delays_s) < 0.5 < max(delays_s)
