"""The coordinator's links to the workers on the platform's list."""

from collections.abc import Awaitable, Callable

from magnoliaglade import clock as clock_lib
from magnoliaglade import fleet, jobs, observability, placement, store
from magnoliaglade.coordinator._link import (
    LATE_ORDER_S,
    LEASE_MARGIN_S,
    LinkOwner,
    WorkerLink,
)
from magnoliaglade.coordinator._permission import UNCONFIRMED_S
from magnoliaglade.coordinator._table import JobTable
from magnoliaglade.fleet import ListedWorker
from magnoliaglade.jobs import AttemptState, JobProgress, TaskKey
from magnoliaglade.types import WorkerId

# Interval of reading the list of workers in seconds; a worker that drains must
# get no work two seconds after it says so.
LIST_S = 0.5


class Roster:
    """Opens and closes links, and gives up workers that stay silent.

    Attributes:
        links: links by worker.
        table: the jobs.
        trust: suspicion of workers.
        clock: source of time.
        owner: what the links report to.
        connect: returns a client for a worker.
        list_workers: reads the list of workers.
        longest_lease_s: longest lease of a run, in seconds.
        on_lost: called with job, task and run when a run has surely ended.
        on_change: called when a worker can take no more work.
    """

    def __init__(
        self,
        *,
        links: dict[WorkerId, WorkerLink],
        table: JobTable,
        trust: placement.TrustEstimator,
        clock: clock_lib.Clock,
        owner: LinkOwner,
        connect: Callable[[ListedWorker], fleet.WorkerClient],
        list_workers: Callable[[], Awaitable[list[ListedWorker]]],
        longest_lease_s: float,
        on_lost: Callable[[JobProgress, TaskKey, int], None],
        on_change: Callable[[], None],
    ) -> None:
        self.links = links
        self.table = table
        self.trust = trust
        self.clock = clock
        self.owner = owner
        self.connect = connect
        self.list_workers = list_workers
        self.longest_lease_s = longest_lease_s
        self.on_lost = on_lost
        self.on_change = on_change
        self.began_at_s = clock.now()
        self.listed_at_s = float("-inf")

    @property
    def age_s(self) -> float:
        """Age of the list in seconds, from the request that returned it."""
        return self.clock.now() - self.listed_at_s

    async def run(self) -> None:
        """Reads the list at a fixed interval until cancelled."""
        while True:
            sent_at_s = self.clock.now()
            try:
                listed = await self.list_workers()
            except store.StoreError as error:
                observability.log_event(
                    "worker list", outcome="no answer", reason=str(error)
                )
            else:
                self.listed_at_s = sent_at_s
                await self._update_links(listed)
            await self.clock.sleep(LIST_S)

    async def _update_links(self, listed: list[ListedWorker]) -> None:
        now_s = self.clock.now()
        present = {x.worker for x in listed}
        for entry in listed:
            link = self.links.get(entry.worker)
            if link is None:
                self._add_link(entry)
                continue
            if entry.is_draining and not link.listed.is_draining:
                observability.log_event(
                    "worker",
                    state="draining",
                    worker=entry.worker,
                    leaves_in_s=entry.leaves_in_s,
                )
                self.on_change()
            link.update(entry)
        for worker, link in list(self.links.items()):
            if worker not in present:
                link.is_listed = False
                is_needed = bool(
                    self.table.attempts_on(worker) or link.is_answering
                )
                if not is_needed:
                    del self.links[worker]
                    self.trust.reset_worker(worker)
                    await link.stop()
        self._give_up_unreachable(now_s)

    def _add_link(self, entry: ListedWorker) -> None:
        lease = fleet.LeaseBound(longest_s=self.longest_lease_s)
        # An earlier coordinator may have renewed up to now, or until it
        # notices that it has been replaced.
        lease.assume_granted(self.began_at_s, self.longest_lease_s)
        link = WorkerLink(
            listed=entry,
            owner=self.owner,
            clock=self.clock,
            connect=self.connect,
            lease=lease,
        )
        self.links[entry.worker] = link
        link.start()

    def _give_up_unreachable(self, now_s: float) -> None:
        """Ends runs whose lease has surely ended on a silent worker."""
        for worker in self.table.workers():
            link = self.links.get(worker)
            if link is not None and link.is_answering:
                continue
            for progress, key, attempt in self.table.attempts_on(worker):
                if self._is_surely_over(link, attempt, now_s):
                    self.on_lost(progress, key, attempt.run)

    def _is_surely_over(
        self, link: WorkerLink | None, attempt: jobs.Attempt, now_s: float
    ) -> bool:
        if link is not None and link.is_replaced and not link.is_listed:
            # It has left the list, and another worker is where it was.
            return True
        longest_s = self.longest_lease_s / (1.0 - fleet.CLOCK_DRIFT)
        inherited_s = self.began_at_s + UNCONFIRMED_S + longest_s
        was_inherited = attempt.settled_at_s == float("-inf")
        if was_inherited and now_s <= inherited_s:
            return False
        if link is None:
            return now_s > self.began_at_s + LATE_ORDER_S
        if attempt.state is AttemptState.PLANNED:
            return False
        is_over = link.lease.has_ended(now_s, margin_s=LEASE_MARGIN_S)
        if attempt.settled_at_s is None:
            # An order that got no answer could reach a later lifetime.
            late_s = link.lease.ends_at_s + LATE_ORDER_S
            return is_over and now_s > late_s - self.longest_lease_s
        return is_over
