"""Tells whether a submission to an overloaded queue can still be useful."""

import asyncio
import math

from magnoliaglade import clock as clock_lib
from magnoliaglade import jobs, observability, placement, store, supervision
from magnoliaglade.jobs import keys
from magnoliaglade.routing import ConfigurationWatcher
from magnoliaglade.types import QueueName

# Time in seconds for which published figures are cached, both counts of waiting
# jobs and loads of overloaded queues.
COUNTS_CACHE_TTL_S = 0.5
# Age in seconds from which on published loads are ignored.
MAX_LOAD_AGE_S = 2.0
# Timeout in seconds of a read of the figures.
READ_TIMEOUT_S = 1.0
# Largest time in whole seconds after which a refused caller should come back.
# Callers make four attempts, so they are back three times within half a minute.
MAX_RETRY_AFTER_S = 10


class Admission:
    """Keeps the published figures and decides on submissions.

    The age of a record is bounded without comparing clocks of instances: the
    coordinator renews the record while a queue is overloaded, so a revision
    that has changed between two reads is no older than the first of them.

    Attributes:
        store: the platform's key-value service; it also reports outages.
        clock: source of time.
        configuration_watcher: source of the configuration in force.
    """

    def __init__(
        self,
        *,
        store: store.MonitoredStore,
        clock: clock_lib.Clock,
        configuration_watcher: ConfigurationWatcher,
    ) -> None:
        self.store = store
        self.clock = clock
        self.configuration_watcher = configuration_watcher
        self.read_at_s = float("-inf")
        self.counts: dict[QueueName, int] = {}
        self._loads: dict[QueueName, placement.QueueLoad] = {}
        self._revision: int | None = None
        self._written_after_s = float("-inf")
        self._refresh_task: asyncio.Task[None] | None = None

    @property
    def has_recent_counts(self) -> bool:
        """Whether the counts were read within `COUNTS_CACHE_TTL_S`."""
        return self.clock.now() - self.read_at_s <= COUNTS_CACHE_TTL_S

    def record(self, entry: store.Entry | None, *, read_at_s: float) -> None:
        """Keeps the figures of a read that began at `read_at_s`."""
        if read_at_s < self.read_at_s:
            return
        revision = entry.revision if entry else 0
        if revision != self._revision:
            self._written_after_s = self.read_at_s
            self._revision = revision
        self.read_at_s = read_at_s
        self.counts, self._loads = {}, {}
        if entry is not None:
            self.counts, self._loads = placement.decode_counts(entry.value)

    def retry_after_s(self, job: jobs.Job) -> int | None:
        """Returns when to refer the caller of a job to, or None to accept it.

        Never waits for the store: the figures are read in the background for
        the submissions that follow.

        Returns:
            Whole seconds after which the job would be on time.
        """
        self._refresh()
        age_s = self.clock.now() - self._written_after_s
        load = self._loads.get(job.queue)
        if load is None or age_s > MAX_LOAD_AGE_S or self._is_exempt(job):
            return None
        refusal_s = load.refusal_s(job)
        if refusal_s is None:
            return None
        # What was ahead has become less since the figures were written, by an
        # unknown time of up to their age.
        after_s = math.ceil(refusal_s - age_s)
        return min(MAX_RETRY_AFTER_S, max(1, after_s))

    async def close(self) -> None:
        """Cancels a read that is under way."""
        if self._refresh_task is not None:
            self._refresh_task.cancel()
            await asyncio.gather(self._refresh_task, return_exceptions=True)

    def _is_exempt(self, job: jobs.Job) -> bool:
        """Returns whether a job may be useful whatever is ahead of it.

        It is due later, lasts, or may be within the guarantee of its account;
        or a step needs no accelerators, which may be all that is scarce.
        """
        if job.spec.is_timed or any(
            s.is_long_running or not s.demand.accelerators
            for s in job.spec.steps
        ):
            return True
        configuration = self.configuration_watcher.configuration
        if configuration is None:
            return True
        account = configuration.accounts.get(job.account)
        has_guarantee = account and account.guaranteed_accelerators > 0
        return job.priority == 0 and bool(has_guarantee)

    def _refresh(self) -> None:
        is_reading = self._refresh_task and not self._refresh_task.done()
        if is_reading or self.has_recent_counts or self.store.outage_s > 0.0:
            return
        self._refresh_task = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        read_at_s = self.clock.now()
        try:
            entry = await self.clock.wait_for(
                self.store.get(keys.COUNTS_KEY), READ_TIMEOUT_S
            )
            self.record(entry, read_at_s=read_at_s)
        except (TimeoutError, store.StoreError) as error:
            observability.log_event(
                "queue loads", outcome="not read", reason=str(error)
            )
        except Exception as error:
            observability.log_event(
                "queue loads",
                outcome="not usable",
                **supervision.describe_error(error),
            )
