"""Calls to the workers of a domain under the owner's authority."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol, TypeVar

from magnoliaglade import clock as clock_lib
from magnoliaglade import store as store_lib
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.types import Epoch, WorkerId

T = TypeVar("T")
Client = Callable[[WorkerId], worker_lib.WorkerClient]
Send = Callable[[worker_lib.WorkerClient, Epoch], Awaitable[T]]

# Three calls in a row, one of them repeated, fit into the 3 s that a held task
# waits for its confirmation.
WORKER_CALL_TIMEOUT_S = 0.7
# Worker calls are idempotent, so an answer that is lost is asked for again.
_TRIES = 2
# Calls in flight per domain; bounds sockets and memory during waves.
_MAX_CALLS = 64


class Authority(Protocol):
    """Whether the caller may act now."""

    def check(self) -> Epoch:
        """Returns the epoch of the call.

        Raises:
            LeaseLapsedError: the caller may not act.
        """


class OwnerAuthority:
    """Whether the owner may act now: its lease, or grants during an outage.

    The holder checks after every await that precedes a side effect.
    """

    def __init__(
        self,
        *,
        owned: store_lib.DomainOwnership,
        is_permitted: Callable[[], bool],
    ) -> None:
        self.owned = owned
        self.is_permitted = is_permitted

    @property
    def epoch(self) -> Epoch:
        """The owner's epoch."""
        return self.owned.epoch

    def check(self) -> Epoch:
        """Returns the epoch if the owner may act.

        Raises:
            LeaseLapsedError: the lease is not valid and no majority of peers
                has granted permission.
        """
        if not self.owned.is_valid and self.is_permitted():
            return self.owned.epoch
        return self.owned.check()


class WorkerCalls:
    """Sends calls with a timeout, bounded in number.

    `client` returns the client of a worker and raises
    `WorkerUnreachableError` for one that is not listed.
    """

    def __init__(
        self, *, clock: clock_lib.Clock, client: Client, authority: Authority
    ) -> None:
        self.clock = clock
        self.client = client
        self.authority = authority
        self._slots = asyncio.Semaphore(_MAX_CALLS)

    async def call(
        self,
        worker: WorkerId,
        send: Send[T],
        *,
        check: Callable[[], object] = lambda: None,
    ) -> T:
        """Sends one call; `check` raises if it must not be sent any more.

        Raises:
            LeaseLapsedError: the owner may not act.
            WorkerCallError: as the worker's client.
        """
        async with self._slots:
            for _ in range(_TRIES):
                check()
                epoch = self.authority.check()
                client = self.client(worker)
                try:
                    return await self.clock.wait_for(
                        send(client, epoch), WORKER_CALL_TIMEOUT_S
                    )
                except (
                    TimeoutError,
                    worker_lib.WorkerOutcomeUnknownError,
                ) as error:
                    last = str(error)
        raise worker_lib.WorkerOutcomeUnknownError(f"{worker}: {last}")

    async def call_all(
        self,
        workers: Iterable[WorkerId],
        send: Callable[[WorkerId], Send[T]],
        *,
        check: Callable[[], object] = lambda: None,
    ) -> dict[WorkerId, T | BaseException]:
        """Sends a call to each worker and returns when all have ended."""
        workers = list(workers)
        results = await asyncio.gather(
            *(self.call(w, send(w), check=check) for w in workers),
            return_exceptions=True,
        )
        return dict(zip(workers, results, strict=True))


def first_error(results: Iterable[object]) -> BaseException | None:
    """Returns the first exception among results, or None."""
    return next((r for r in results if isinstance(r, BaseException)), None)
