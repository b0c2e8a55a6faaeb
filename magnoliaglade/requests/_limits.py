"""Admission of requests by account share and deadline."""

import asyncio
import bisect
import dataclasses
from collections.abc import Iterable, Sequence
from typing import Any

from magnoliaglade import base, configuration
from magnoliaglade import clock as clock_lib
from magnoliaglade.requests import _causes, _errors
from magnoliaglade.types import AccountId

MAX_QUEUED = 256
_SERVICE_TIME_WEIGHT = 0.1


class ServiceTimeEstimator(base.BaseEstimator):
    """Moving average of service times by request kind, in seconds."""

    _parameter_constraints = {
        "weight": [base.Interval(kind=float, low=0, high=1, low_open=True)]
    }

    def __init__(self, *, weight: float = _SERVICE_TIME_WEIGHT) -> None:
        self.weight = weight
        self.means_: dict[str, float] = {}

    def partial_fit(
        self, observations: Iterable[tuple[str, float]]
    ) -> "ServiceTimeEstimator":
        """Learns from pairs of kind and service time."""
        self.validate_params()
        for kind, seconds in observations:
            mean_s = self.means_.get(kind, seconds)
            self.means_[kind] = mean_s + self.weight * (seconds - mean_s)
        return self

    def predict(self, queries: Iterable[str]) -> list[float]:
        """Returns the estimate per kind; 0 for a kind not yet observed."""
        return [self.means_.get(kind, 0.0) for kind in queries]


@dataclasses.dataclass(kw_only=True, eq=False)
class Ticket:
    """A request that waits or is admitted.

    Attributes:
        account: that pays for the request.
        kind: request kind for the service time estimate.
        deadline_s: on the local monotonic clock.
        admitted_s: time of admission, or None while it waits.
    """

    account: AccountId
    kind: str
    deadline_s: float
    admitted_s: float | None = None
    charged_s: float = 0.0
    done: Any = None


@dataclasses.dataclass(kw_only=True)
class _Account:
    """Queue and use of one account.

    Attributes:
        share: part of the capacity when every account has demand.
        guarantee: guaranteed part of the capacity.
        tag: virtual time up to which the account has been served.
    """

    share: float
    guarantee: float
    tag: float = 0.0
    in_use: int = 0
    queue: list[Ticket] = dataclasses.field(default_factory=list)


class FairQueue(base.Parameterized):
    """Decides which waiting request is admitted next.

    An account below its guaranteed slots goes first. Otherwise the account
    with the smallest virtual time goes (start-time fair queueing), which
    serves every account in proportion to its share over time, also when there
    are fewer slots than accounts. Within an account the earliest deadline goes
    first. Capacity that an account does not use goes to the others.
    """

    _parameter_constraints = {"max_queued": [base.Interval(kind=int, low=1)]}

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        estimator: ServiceTimeEstimator,
        max_queued: int = MAX_QUEUED,
    ) -> None:
        self.clock = clock
        self.estimator = estimator
        self.max_queued = max_queued
        self._capacity = 0
        self._accounts: dict[AccountId, _Account] = {}
        self._in_use = 0
        self._virtual = 0.0

    @property
    def in_use(self) -> int:
        """Number of admitted requests that have not finished."""
        return self._in_use

    def set_capacity(self, capacity: int) -> None:
        """Sets how many requests may be admitted at a time."""
        self._capacity = capacity

    def set_accounts(
        self, accounts: Sequence[configuration.AccountConfig]
    ) -> list[Ticket]:
        """Sets shares; returns waiting tickets of removed accounts."""
        self.validate_params()
        weights = sum(a.weight for a in accounts) or 1.0
        rest = max(0.0, 1.0 - sum(a.request_share for a in accounts))
        old, self._accounts = self._accounts, {}
        for config in accounts:
            known = old.pop(config.account, None)
            account = known or _Account(share=0.0, guarantee=0.0)
            share = config.request_share + rest * config.weight / weights
            account.share = max(share, 1e-6)
            account.guarantee = config.request_share
            self._accounts[config.account] = account
        return [t for account in old.values() for t in account.queue]

    def offer(self, ticket: Ticket) -> Ticket | None:
        """Queues a ticket; returns one with a later deadline if it was full.

        Raises:
            RefusedError: the account is unknown, its queue is full,
                or the deadline cannot be met.
        """
        account = self._accounts.get(ticket.account)
        if account is None:
            raise _errors.RefusedError(
                "unknown account", cause=_causes.NotRunCause.UNAVAILABLE
            )
        if not self._can_meet(account, ticket):
            raise _errors.RefusedError(
                "deadline cannot be met", cause=_causes.NotRunCause.DEADLINE
            )
        bisect.insort(account.queue, ticket, key=lambda t: t.deadline_s)
        if len(account.queue) <= self.max_queued:
            return None
        evicted = account.queue.pop()
        if evicted is ticket:
            raise _errors.RefusedError(
                "queue is full", cause=_causes.NotRunCause.OVERLOADED
            )
        return evicted

    def take(self) -> tuple[list[Ticket], list[Ticket]]:
        """Admits while there is capacity.

        Returns:
            The tickets admitted, and those removed because their deadline can
            no longer be met.
        """
        admitted: list[Ticket] = []
        removed: list[Ticket] = []
        while self._in_use < self._capacity:
            account = self._next_account()
            if account is None:
                break
            ticket = account.queue.pop(0)
            if self._is_too_late(account, ticket):
                removed.append(ticket)
                continue
            self._admit(account, ticket)
            admitted.append(ticket)
        return admitted, removed

    def withdraw(self, ticket: Ticket) -> None:
        """Removes a waiting ticket, if it still waits."""
        account = self._accounts.get(ticket.account)
        if account is not None and ticket in account.queue:
            account.queue.remove(ticket)

    def finish(self, ticket: Ticket, *, succeeded: bool = True) -> None:
        """Ends an admitted request and learns from a successful one."""
        if ticket.admitted_s is None:
            return
        self._in_use -= 1
        service_s = self.clock.now() - ticket.admitted_s
        if succeeded:
            self.estimator.partial_fit([(ticket.kind, service_s)])
        account = self._accounts.get(ticket.account)
        if account is not None:
            account.in_use -= 1
            account.tag += (service_s - ticket.charged_s) / account.share

    def dump(self) -> dict[str, Any]:
        """Returns waiting and admitted requests per account."""
        return {
            name: {"queued": len(a.queue), "in_use": a.in_use}
            for name, a in sorted(self._accounts.items())
        }

    def _admit(self, account: _Account, ticket: Ticket) -> None:
        ticket.admitted_s = self.clock.now()
        # A small charge keeps the order fair before anything is learned.
        ticket.charged_s = max(self._service_s(ticket), 1e-3)
        start = max(self._virtual, account.tag)
        account.tag = start + ticket.charged_s / account.share
        account.in_use += 1
        self._in_use += 1

    def _next_account(self) -> _Account | None:
        waiting = [a for a in self._accounts.values() if a.queue]
        if not waiting:
            return None
        self._virtual = max(self._virtual, min(a.tag for a in waiting))
        return min(waiting, key=self._order)

    def _order(self, account: _Account) -> tuple[bool, float, float]:
        guaranteed = int(account.guarantee * self._capacity + 1e-9)
        start = max(self._virtual, account.tag)
        deadline_s = account.queue[0].deadline_s
        return account.in_use >= guaranteed, start, deadline_s

    def _service_s(self, ticket: Ticket) -> float:
        return self.estimator.predict([ticket.kind])[0]

    def _is_too_late(self, account: _Account, ticket: Ticket) -> bool:
        remaining_s = ticket.deadline_s - self.clock.now()
        if remaining_s <= 0:
            return True
        # With nothing in flight the request is tried, so that an estimate
        # that is too high is corrected by its completion.
        return account.in_use > 0 and remaining_s < self._service_s(ticket)

    def _can_meet(self, account: _Account, ticket: Ticket) -> bool:
        remaining_s = ticket.deadline_s - self.clock.now()
        if remaining_s <= 0:
            return False
        if account.in_use == 0 and not account.queue:
            return True
        ahead = bisect.bisect(
            account.queue, ticket.deadline_s, key=lambda t: t.deadline_s
        )
        work_s = sum(self._service_s(t) for t in account.queue[:ahead])
        service_s = self._service_s(ticket)
        return self._wait_s(account, work_s) + service_s <= remaining_s

    def _wait_s(self, account: _Account, work_s: float) -> float:
        """Estimates the wait behind `work_s` of the account's own work."""
        if self._in_use < self._capacity and work_s == 0:
            return 0.0
        busy = [
            a.share
            for a in self._accounts.values()
            if a.queue or a.in_use or a is account
        ]
        slots = self._capacity * account.share / sum(busy)
        return work_s / max(slots, 1e-6)


class AccountLimiter:
    """Lets requests wait for their account's share of the held slots."""

    def __init__(self, *, clock: clock_lib.Clock, queue: FairQueue) -> None:
        self.clock = clock
        self.queue = queue

    def set_accounts(
        self, accounts: Sequence[configuration.AccountConfig]
    ) -> None:
        """Sets the accounts; waiting requests of removed ones are refused."""
        for ticket in self.queue.set_accounts(accounts):
            _refuse(
                ticket, "account was removed", _causes.NotRunCause.UNAVAILABLE
            )
        self._admit()

    def set_capacity(self, capacity: int) -> None:
        """Sets the number of slots that this instance holds."""
        self.queue.set_capacity(capacity)
        self._admit()

    async def admit(
        self, account: AccountId, *, kind: str, deadline_s: float
    ) -> Ticket:
        """Waits for admission; the ticket has to be released.

        Raises:
            RefusedError: the request cannot be run in time; it has
                not run.
        """
        ticket = Ticket(account=account, kind=kind, deadline_s=deadline_s)
        ticket.done = asyncio.get_running_loop().create_future()
        evicted = self.queue.offer(ticket)
        if evicted is not None:
            _refuse(evicted, "queue is full", _causes.NotRunCause.OVERLOADED)
        self._admit()
        try:
            await self.clock.wait_for(
                asyncio.shield(ticket.done), deadline_s - self.clock.now()
            )
        except TimeoutError as error:
            self._abandon(ticket)
            raise _errors.RefusedError(
                "deadline passed", cause=_causes.NotRunCause.DEADLINE
            ) from error
        except BaseException:
            self._abandon(ticket)
            raise
        return ticket

    def release(self, ticket: Ticket, *, succeeded: bool = True) -> None:
        """Ends an admitted request."""
        self.queue.finish(ticket, succeeded=succeeded)
        ticket.admitted_s = None
        self._admit()

    def _abandon(self, ticket: Ticket) -> None:
        """Gives up a ticket, also one admitted at the same moment."""
        self.queue.withdraw(ticket)
        self.release(ticket, succeeded=False)

    def _admit(self) -> None:
        admitted, removed = self.queue.take()
        for ticket in admitted:
            if not ticket.done.done():
                ticket.done.set_result(None)
        for ticket in removed:
            _refuse(
                ticket, "deadline cannot be met", _causes.NotRunCause.DEADLINE
            )


def _refuse(ticket: Ticket, reason: str, cause: _causes.NotRunCause) -> None:
    if not ticket.done.done():
        ticket.done.set_exception(_errors.RefusedError(reason, cause=cause))
