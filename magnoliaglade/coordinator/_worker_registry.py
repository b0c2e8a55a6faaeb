"""Keeps the coordinator's links to the workers on the platform's list."""

from collections.abc import Awaitable, Callable

from magnoliaglade import clock as clock_lib
from magnoliaglade import fleet, jobs, observability, placement, store
from magnoliaglade.coordinator._link import (
    LEASE_MARGIN_S,
    MAX_ORDER_DELAY_S,
    LinkOwner,
    WorkerLink,
)
from magnoliaglade.coordinator._permission import UNCONFIRMED_RENEWAL_S
from magnoliaglade.coordinator._table import JobTable
from magnoliaglade.fleet import ListedWorker
from magnoliaglade.jobs import AttemptState, JobProgress, TaskKey
from magnoliaglade.types import RackId, WorkerId, ZoneId

# Interval between reads of the list of workers in seconds. A draining worker
# must get no work two seconds after it announces the drain.
LIST_INTERVAL_S = 0.5


class WorkerRegistry:
    """Opens and closes links, and ends runs on unresponsive workers.

    Attributes:
        links: links by worker.
        table: the jobs.
        trust: trust estimate of the workers.
        speeds: estimate of the workers' speeds.
        clock: source of time.
        owner: coordinator that the links report to.
        connect: returns a client for a worker.
        list_workers: reads the list of workers.
        longest_lease_s: longest lease of a run, in seconds.
        on_lost: called with job, task and run when a run has certainly ended.
        on_draining: called when a worker starts to drain and takes no more
            work.
    """

    def __init__(
        self,
        *,
        links: dict[WorkerId, WorkerLink],
        table: JobTable,
        trust: placement.TrustEstimator,
        speeds: placement.SpeedEstimator,
        clock: clock_lib.Clock,
        owner: LinkOwner,
        connect: Callable[[ListedWorker], fleet.WorkerClient],
        list_workers: Callable[[], Awaitable[list[ListedWorker]]],
        longest_lease_s: float,
        on_lost: Callable[[JobProgress, TaskKey, int], None],
        on_draining: Callable[[], None],
    ) -> None:
        self.links = links
        self.table = table
        self.trust = trust
        self.speeds = speeds
        self.clock = clock
        self.owner = owner
        self.connect = connect
        self.list_workers = list_workers
        self.longest_lease_s = longest_lease_s
        self.on_lost = on_lost
        self.on_draining = on_draining
        self.started_at_s = clock.now()
        self.listed_at_s = float("-inf")

    @property
    def list_age_s(self) -> float:
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
            await self.clock.sleep(LIST_INTERVAL_S)

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
                self.on_draining()
            link.update(entry)
        for worker, link in list(self.links.items()):
            if worker not in present:
                link.is_listed = False
                is_needed = bool(
                    self.table.attempts_on(worker) or link.is_responsive
                )
                if not is_needed:
                    del self.links[worker]
                    self.trust.reset_worker(worker)
                    self.speeds.reset_worker(worker)
                    await link.stop()
        self._ask_unlisted_workers()
        self._end_unreachable_runs(now_s)

    def _ask_unlisted_workers(self) -> None:
        """Opens links to workers that have runs but were never listed here.

        Handles workers that vanish shortly before a takeover. The address in
        the record of the run tells whether the worker still answers there, or
        has been replaced by another, which proves that its runs have ended.
        """
        for worker in self.table.workers():
            if worker in self.links:
                continue
            for progress, _, attempt in self.table.attempts_on(worker):
                if attempt.address:
                    self._add_link(_make_unlisted(progress, attempt))
                    self.links[worker].is_listed = False
                    break

    def _add_link(self, entry: ListedWorker) -> None:
        lease = fleet.LeaseBound(longest_lease_s=self.longest_lease_s)
        # An earlier coordinator may have renewed the lease up to now, or may
        # renew it until it notices that it has been replaced.
        lease.assume_granted(self.started_at_s, self.longest_lease_s)
        link = WorkerLink(
            listed=entry,
            owner=self.owner,
            clock=self.clock,
            connect=self.connect,
            lease=lease,
        )
        self.links[entry.worker] = link
        link.start()

    def _end_unreachable_runs(self, now_s: float) -> None:
        """Ends runs on unresponsive workers if their lease has ended."""
        for worker in self.table.workers():
            link = self.links.get(worker)
            if link is not None and link.is_responsive:
                continue
            for progress, key, attempt in self.table.attempts_on(worker):
                if link is not None and link.is_replaced and not link.is_listed:
                    # The worker is not listed, and another one answers at its
                    # address.
                    attempt.loss_cause = jobs.LossCause.REPLACED
                elif self._has_lease_ended(link, attempt, now_s):
                    attempt.loss_cause = jobs.LossCause.LEASE_ENDED
                else:
                    continue
                self.on_lost(progress, key, attempt.run)

    def _has_lease_ended(
        self, link: WorkerLink | None, attempt: jobs.Attempt, now_s: float
    ) -> bool:
        """Returns whether the lease of a run has certainly ended."""
        lease_duration_s = self.longest_lease_s / (1.0 - fleet.CLOCK_DRIFT)
        inherited_until_s = (
            self.started_at_s + UNCONFIRMED_RENEWAL_S + lease_duration_s
        )
        is_inherited = attempt.settled_at_s == float("-inf")
        if is_inherited and now_s <= inherited_until_s:
            return False
        if link is None:
            return now_s > self.started_at_s + MAX_ORDER_DELAY_S
        if attempt.state is AttemptState.PLANNED:
            return False
        has_expired = link.lease.has_ended(now_s, margin_s=LEASE_MARGIN_S)
        if attempt.settled_at_s is None:
            # An unanswered order could still reach a later lifetime.
            latest_end_s = link.lease.ends_at_s + MAX_ORDER_DELAY_S
            return has_expired and now_s > latest_end_s - self.longest_lease_s
        return has_expired


def _make_unlisted(
    progress: JobProgress, attempt: jobs.Attempt
) -> ListedWorker:
    """Returns an entry for a worker that is known from a run's record only."""
    return ListedWorker(
        worker=attempt.worker,
        lifetime=attempt.lifetime,
        address=attempt.address,
        service=progress.job.service,
        zone=ZoneId(""),
        rack=RackId(""),
        labels=frozenset(),
        capacity=jobs.Resources(),
    )
