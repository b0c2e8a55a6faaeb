"""Publishes counts of waiting jobs and removes records of ended jobs."""

from collections.abc import Callable, Mapping

from magnoliaglade import clock as clock_lib
from magnoliaglade import observability, placement, store, supervision
from magnoliaglade.coordinator._journal import (
    MAX_TRANSACTION_ENTRIES,
    Journal,
)
from magnoliaglade.coordinator._permission import Permission
from magnoliaglade.coordinator._table import JobTable
from magnoliaglade.jobs import keys
from magnoliaglade.types import JobId, QueueName

# Interval between publications of the counts of waiting jobs, in seconds.
COUNTS_INTERVAL_S = 0.8
# Time, in seconds, for which the records of an ended job are kept beyond the
# time for which its state has to remain available.
RETENTION_MARGIN_S = 30.0
# Interval between searches for ended jobs to remove, in seconds.
CLEAN_UP_INTERVAL_S = 5.0
# Interval between searches for old withdrawals, in seconds; each reads all of
# them.
WITHDRAWAL_INTERVAL_S = 60.0


class Housekeeping:
    """Periodically publishes counts and removes records of ended jobs.

    Attributes:
        store: the platform's key-value service.
        clock: source of time.
        table: the jobs.
        journal: stores counts and removals.
        permission: decides whether records may be removed.
        status_s: shortest time for which the state of an ended job remains
            available, in seconds.
        estimate_loads: returns the loads of the queues that are overloaded.
        ended_at_s: time on the clock at which the end of each job was recorded.
    """

    def __init__(
        self,
        *,
        store: store.TransactionalStore,
        clock: clock_lib.Clock,
        table: JobTable,
        journal: Journal,
        permission: Permission,
        status_s: float,
        estimate_loads: Callable[
            [], Mapping[QueueName, placement.QueueLoad]
        ] = dict,
    ) -> None:
        self.store = store
        self.clock = clock
        self.table = table
        self.journal = journal
        self.permission = permission
        self.status_s = status_s
        self.estimate_loads = estimate_loads
        self.ended_at_s: dict[JobId, float] = {}
        self._published: bytes | None = None
        self._overloaded: frozenset[QueueName] = frozenset()
        self._withdrawals_seen_at_s: dict[tuple[str, int], float] = {}

    @property
    def _retention_s(self) -> float:
        return self.status_s + RETENTION_MARGIN_S

    def record_job_end(self, job: JobId) -> None:
        """Records the time of a job's end, unless it is recorded already."""
        self.ended_at_s.setdefault(job, self.clock.now())

    async def publish_counts(self) -> None:
        """Publishes how many jobs of each queue have started no task.

        While a queue is overloaded, its load is added, and the record is
        renewed even if it is the same: readers ignore loads that are old.
        """
        while True:
            counts: dict[QueueName, int] = {}
            for progress in self.table.active_jobs():
                is_waiting = not progress.has_started
                if is_waiting and not progress.state.is_final:
                    queue = progress.job.queue
                    counts[queue] = counts.get(queue, 0) + 1
            loads = self._estimate_loads()
            self._log_overload(frozenset(loads))
            packed = placement.encode_counts(counts, loads)
            if loads or packed != self._published:
                self._published = packed
                self.journal.write(keys.COUNTS_KEY, lambda p=packed: p)
            await self.clock.sleep(COUNTS_INTERVAL_S)

    def _estimate_loads(self) -> Mapping[QueueName, placement.QueueLoad]:
        """Returns the loads; none after an unexpected error.

        The counts are published in any case.
        """
        try:
            return self.estimate_loads()
        except Exception as error:
            observability.log_event(
                "overload",
                state="not estimated",
                **supervision.describe_error(error),
            )
            return {}

    def _log_overload(self, queues: frozenset[QueueName]) -> None:
        """Logs which queues are overloaded, when this changes."""
        if queues != self._overloaded:
            self._overloaded = queues
            observability.log_event("overload", queues=sorted(queues))

    async def clean_up(self) -> None:
        """Removes records of jobs that ended long ago."""
        while True:
            await self.clock.sleep(CLEAN_UP_INTERVAL_S)
            if not self.permission.may_send_orders():
                continue
            now_s = self.clock.now()
            for job, ended_at_s in list(self.ended_at_s.items()):
                if (
                    now_s - ended_at_s > self._retention_s
                    and job not in self.table.active
                ):
                    await self._remove(job)

    async def clean_up_withdrawals(self) -> None:
        """Removes withdrawals once no late write of their job can arrive."""
        while True:
            await self.clock.sleep(WITHDRAWAL_INTERVAL_S)
            if not self.permission.may_send_orders():
                continue
            try:
                await self._remove_old_withdrawals()
            except store.StoreError as error:
                observability.log_event(
                    "withdrawals", state="not removed", reason=str(error)
                )

    async def _remove_old_withdrawals(self) -> None:
        """Removes withdrawals that were first seen long enough ago.

        The age counts from the first search that has found them, as the clocks
        of the instances that store them may differ.
        """
        entries, _ = await self.store.list_prefix(keys.WITHDRAWAL_PREFIX)
        now_s = self.clock.now()
        seen_at_s = self._withdrawals_seen_at_s
        self._withdrawals_seen_at_s = {
            (e.key, e.revision): seen_at_s.get((e.key, e.revision), now_s)
            for e in entries
        }
        old = [
            version
            for version, at_s in self._withdrawals_seen_at_s.items()
            if now_s - at_s > self._retention_s
        ]
        # Each removal is an entry of its own besides its condition.
        size = MAX_TRANSACTION_ENTRIES // 2
        for first in range(0, len(old), size):
            revisions = dict(old[first : first + size])
            await self.store.transact(
                expected=revisions, deletes=list(revisions)
            )

    async def _remove(self, job: JobId) -> None:
        try:
            await self.store.delete(keys.job_key(job))
            await self.store.delete(keys.cancellation_key(job))
            await self.store.delete(keys.completion_key(job))
        except store.StoreError as error:
            observability.log_event(
                "job", state="not removed", job=job, reason=str(error)
            )
            return
        self.journal.write(keys.progress_key(job), lambda: None)
        self.table.remove(job)
        del self.ended_at_s[job]
