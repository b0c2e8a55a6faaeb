"""Admission by account, with slots as the capacity, and retries by budget."""

import contextlib
import random
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

from magnoliaglade import clock as clock_lib
from magnoliaglade import configuration
from magnoliaglade.requests import _dispatch, _limits, _retries, base

MAX_ATTEMPTS = 4


class SlotAdmission:
    """See `requests.Admission`; one fair queue for each service.

    The capacity of a queue is the number of slots that this instance holds,
    but at least its fair share, which the coordinators grant on demand. What
    waits and runs is the demand for slots.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        dispatcher: _dispatch.UpstreamDispatcher,
        accounts: Callable[[], Sequence[configuration.AccountConfig]],
    ) -> None:
        self.clock = clock
        self.dispatcher = dispatcher
        self.accounts = accounts
        self._limiters: dict[str, _limits.AccountLimiter] = {}
        self._waiting: dict[str, int] = {}
        dispatcher.on_slots(self._update_all)

    def dump(self) -> dict[str, Any]:
        """Returns waiting and admitted requests by service and account."""
        return {s: x.queue.dump() for s, x in sorted(self._limiters.items())}

    def update_accounts(self) -> None:
        """Applies the configured accounts."""
        for limiter in self._limiters.values():
            limiter.set_accounts(self.accounts())

    @contextlib.asynccontextmanager
    async def admit(self, request: base.UpstreamRequest) -> AsyncIterator[None]:
        """See `requests.Admission.admit`."""
        limiter = self._limiter(request.service)
        self._count(request.service, 1)
        try:
            ticket = await limiter.admit(
                request.account,
                kind=request.kind,
                deadline_s=request.deadline_s,
            )
            try:
                yield
            finally:
                limiter.release(ticket)
        finally:
            self._count(request.service, -1)

    def _limiter(self, service: str) -> _limits.AccountLimiter:
        limiter = self._limiters.get(service)
        if limiter is None:
            queue = _limits.FairQueue(
                clock=self.clock, estimator=_limits.ServiceTimeEstimator()
            )
            limiter = _limits.AccountLimiter(clock=self.clock, queue=queue)
            limiter.set_accounts(self.accounts())
            self._limiters[service] = limiter
        return limiter

    def _count(self, service: str, change: int) -> None:
        self._waiting[service] = self._waiting.get(service, 0) + change
        self.dispatcher.set_wanted(service, self._waiting[service])
        self._update(service)

    def _update_all(self) -> None:
        for service in self._limiters:
            self._update(service)

    def _update(self, service: str) -> None:
        leased = self.dispatcher.leased(service)
        share = self.dispatcher.fair_share(service)
        self._limiter(service).set_capacity(max(leased, share, 1))


class BudgetedRetries:
    """See `requests.RetryPolicy`; full jitter within the retry budget."""

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        budget: _retries.RetryBudget,
        seed: int,
        max_attempts: int = MAX_ATTEMPTS,
    ) -> None:
        self.clock = clock
        self.budget = budget
        self.seed = seed
        self.max_attempts = max_attempts
        self._rng = random.Random(seed)

    def record_request(self) -> None:
        """See `requests.RetryPolicy.record_request`."""
        self.budget.note_request()

    def next_delay_s(self, attempt: int, *, deadline_s: float) -> float | None:
        """See `requests.RetryPolicy.next_delay_s`."""
        if attempt >= self.max_attempts:
            return None
        delay_s = _retries.backoff_s(attempt - 1, rng=self._rng)
        if self.clock.now() + delay_s >= deadline_s:
            return None
        return delay_s if self.budget.try_spend() else None
