"""Accepts, cancels and looks up callers' jobs, based on the store alone.

Every instance has a gateway. A job is accepted once its record is stored, so
the result of a call never depends on whether a coordinator is running.
"""

import asyncio
import dataclasses
import enum
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, TypeVar

from magnoliaglade import base, jobs, observability, store
from magnoliaglade import clock as clock_lib
from magnoliaglade.gateway._admission import Admission
from magnoliaglade.jobs import keys
from magnoliaglade.routing import ConfigurationWatcher, Queue
from magnoliaglade.types import AccountId, JobId

_T = TypeVar("_T")

# Fraction of the time for which a revoked key may still be served. A
# configuration that has not been confirmed for longer than this fraction of
# that time is too old to serve calls with keys.
MAX_CONFIGURATION_AGE_FRACTION = 0.8
# Pause in seconds before a store call is retried within the caller's timeout.
RETRY_INTERVAL_S = 0.1
# Time in seconds for which a write that the store has refused is retried; after
# that, the caller is refused, so that it can try another instance.
REFUSED_RETRY_WINDOW_S = 0.3
# Bounds in seconds of the delay after which a refused caller should retry.
# Another instance can often reach the store, so the minimum is short; an outage
# is expected to last about as long again as it has lasted so far.
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 3
# Part of the caller's timeout, in seconds, that is reserved for querying the
# coordinator if the store does not reply.
COORDINATOR_QUERY_S = 0.4
# Interval in seconds between attempts to store which jobs were reported to
# callers as completed.
CONFIRMATION_INTERVAL_S = 0.5
# Value of a withdrawal of a job that was refused, not cancelled: the caller may
# submit it again.
REFUSAL_VALUE = b"refused"
# Announcements that wait for the coordinator at once. Each holds a connection
# until its timeout if the coordinator is silent.
MAX_ANNOUNCEMENTS = 64


class CallOutcome(enum.Enum):
    """Outcome of a call.

    ACCEPTED: the call took effect or was answered. REFUSED: nothing was stored
    and nothing will run. UNKNOWN: the store has not replied; the call may have
    taken effect. ABSENT: the account has no job of this id. CONFLICTING:
    another job has the same id. WITHDRAWN: the account has cancelled the job
    before it was stored; it never runs. OVERLOADED: nothing was stored, as the
    result would come too late to be worth anything.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    ABSENT = "absent"
    CONFLICTING = "conflicting"
    WITHDRAWN = "withdrawn"
    OVERLOADED = "overloaded"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SubmissionResult:
    """Result of a submission.

    Attributes:
        outcome: what became of it.
        retry_after_s: whole seconds after which the caller should retry, if
            the outcome is REFUSED or OVERLOADED.
    """

    outcome: CallOutcome
    retry_after_s: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StateResult:
    """State of a job, if the outcome is ACCEPTED."""

    outcome: CallOutcome
    state: jobs.JobState | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CountResult:
    """Number of waiting jobs, if the outcome is ACCEPTED."""

    outcome: CallOutcome
    waiting: int = 0


QueryCoordinator = Callable[[JobId], Awaitable[jobs.JobSummary | None]]
Announce = Callable[[store.Entry], Awaitable[None]]


async def _no_coordinator(_: JobId) -> jobs.JobSummary | None:
    return None


async def _announce_to_nobody(_: store.Entry) -> None:
    return


class Gateway(base.Parameterized):
    """Submits, cancels and looks up jobs.

    Attributes:
        store: the platform's key-value service; it also reports outages.
        clock: source of time.
        configuration_watcher: source of the configuration in force.
        revoke_s: time in seconds for which a revoked key may still be served.
        query_coordinator: returns the coordinator's summary of a job, or None
            if there is none; used while the store does not reply.
        announce: tells the coordinator about an entry that was just stored.
        observe_refused: called with the reason of each submission that is
            refused.
        admission: decides on submissions to overloaded queues.
    """

    _parameter_constraints = {
        "revoke_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        store: store.MonitoredStore,
        clock: clock_lib.Clock,
        configuration_watcher: ConfigurationWatcher,
        revoke_s: float,
        query_coordinator: QueryCoordinator = _no_coordinator,
        announce: Announce = _announce_to_nobody,
        observe_refused: Callable[[str], None] = lambda _: None,
    ) -> None:
        self.store = store
        self.clock = clock
        self.configuration_watcher = configuration_watcher
        self.revoke_s = revoke_s
        self.query_coordinator = query_coordinator
        self.announce = announce
        self.observe_refused = observe_refused
        self.admission = Admission(
            store=store,
            clock=clock,
            configuration_watcher=configuration_watcher,
        )
        self._background: set[asyncio.Task[None]] = set()
        self._unconfirmed_completions: dict[JobId, None] = {}

    @property
    def has_fresh_configuration(self) -> bool:
        """Whether the configuration is recent enough for calls with keys."""
        return (
            self.configuration_watcher.age_s
            <= self.revoke_s * MAX_CONFIGURATION_AGE_FRACTION
        )

    @property
    def retry_after_s(self) -> int:
        """Whole seconds after which a refused caller should retry."""
        outage_s = int(self.store.outage_s)
        return min(MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S + outage_s)

    async def submit(
        self,
        *,
        job: JobId,
        queue: Queue,
        account: AccountId,
        spec: jobs.JobSpec,
        timeout_s: float,
    ) -> SubmissionResult:
        """Stores a job; a repeated call for the same id changes nothing.

        A job that its account has cancelled before is not stored, nor one that
        would be worth nothing when it ends (OVERLOADED).

        Args:
            job: id chosen by the caller.
            queue: queue that the call belongs to.
            account: client account of the caller.
            spec: what was submitted.
            timeout_s: time in seconds within which the call returns.
        """
        record = jobs.Job(
            job=job,
            account=account,
            queue=queue.name,
            service=queue.service,
            priority=queue.priority,
            max_attempts=queue.max_attempts,
            stretch=queue.stretch,
            objective_s=queue.objective_s,
            accepted_at_s=self.clock.time(),
            spec=spec,
        )
        deadline_s = self.clock.now() + timeout_s
        retry_after_s = self.admission.retry_after_s(record)
        if retry_after_s is None:
            outcome = await self._write_unless_stored(
                record, keys.job_key(job), jobs.encode_job(record), deadline_s
            )
            outcome = outcome or CallOutcome.ACCEPTED
        else:
            outcome = await self._refuse(record, deadline_s)
        if outcome in (CallOutcome.REFUSED, CallOutcome.OVERLOADED):
            self.observe_refused(outcome.value)
        observability.log_event(
            "submission",
            job=job,
            outcome=outcome.value,
            queue=queue.name,
            account=account,
            tasks=sum(s.count for s in spec.steps),
            configuration_age_s=round(self.configuration_watcher.age_s, 3),
            **({"retry_after_s": retry_after_s} if retry_after_s else {}),
        )
        return SubmissionResult(
            outcome=outcome,
            retry_after_s=retry_after_s or self.retry_after_s,
        )

    async def cancel(
        self, *, job: JobId, account: AccountId | None, timeout_s: float
    ) -> CallOutcome:
        """Stores the cancellation of a job.

        ABSENT if there is no such job; then it is stored that none may follow,
        as the write of an unanswered submission may still be delayed.
        """
        deadline_s = self.clock.now() + timeout_s
        outcome = CallOutcome.CONFLICTING
        # A conflict means that the job was created after the read.
        while outcome is CallOutcome.CONFLICTING:
            entry, has_replied = await self._read_entry(
                keys.job_key(job), deadline_s
            )
            if not has_replied:
                return CallOutcome.REFUSED
            if entry is None:
                outcome = await self._withdraw(job, account, deadline_s)
            elif not _is_visible_to(entry, account):
                return CallOutcome.ABSENT
            else:
                outcome = await self._store_cancellation(job, deadline_s)
        observability.log_event("cancellation", job=job, outcome=outcome.value)
        return outcome

    async def state(
        self, *, job: JobId, account: AccountId | None, timeout_s: float
    ) -> StateResult:
        """Returns the state of a job.

        The state comes from the coordinator if the store does not reply.
        """
        deadline_s = self.clock.now() + max(
            timeout_s - COORDINATOR_QUERY_S, timeout_s / 2
        )
        entry, has_replied = await self._read_entry(
            keys.progress_key(job), deadline_s
        )
        if not has_replied:
            return await self._query_state(job, account)
        if entry is not None:
            state = jobs.decode_state(entry.value)
            return StateResult(outcome=CallOutcome.ACCEPTED, state=state)
        entry, has_replied = await self._read_entry(
            keys.job_key(job), deadline_s
        )
        if not has_replied:
            return await self._query_state(job, account)
        if entry is None or not _is_visible_to(entry, account):
            return StateResult(outcome=CallOutcome.ABSENT)
        return StateResult(
            outcome=CallOutcome.ACCEPTED, state=jobs.JobState.QUEUED
        )

    async def count_waiting(
        self, queue: Queue, *, timeout_s: float
    ) -> CountResult:
        """Returns how many jobs of a queue have started no task."""
        now_s = self.clock.now()
        if not self.admission.has_recent_counts:
            entry, has_replied = await self._read_entry(
                keys.COUNTS_KEY, now_s + timeout_s
            )
            if not has_replied:
                return CountResult(outcome=CallOutcome.REFUSED)
            self.admission.record(entry, read_at_s=now_s)
        return CountResult(
            outcome=CallOutcome.ACCEPTED,
            waiting=self.admission.counts.get(queue.name, 0),
        )

    async def close(self) -> None:
        """Cancels a read that is under way in the background."""
        await self.admission.close()

    async def confirm_completions(self) -> None:
        """Stores which jobs were reported as completed; runs until cancelled.

        Coordinators of earlier versions report ends before they are stored. A
        coordinator that takes over then does not start these jobs again, even
        if their worker failed together with the former coordinator.
        """
        while True:
            await self.clock.sleep(CONFIRMATION_INTERVAL_S)
            for job in list(self._unconfirmed_completions):
                try:
                    await self._store_completion(job)
                except store.StoreError as error:
                    observability.log_event(
                        "completion",
                        outcome="not stored",
                        job=job,
                        reason=str(error),
                    )
                    break
                del self._unconfirmed_completions[job]

    def dump(self) -> dict[str, Any]:
        """Returns the state of the gateway.

        `is_fresh` is whether calls with keys are served, and
        `unconfirmed_completions` the number of completions that were reported
        to callers and are not yet confirmed in the store.
        """
        return {
            "is_fresh": self.has_fresh_configuration,
            "unconfirmed_completions": len(self._unconfirmed_completions),
        }

    async def _query_state(
        self, job: JobId, account: AccountId | None
    ) -> StateResult:
        """Returns the state that the coordinator has in memory."""
        summary = await self.query_coordinator(job)
        if summary is None or account not in (None, summary.account):
            return StateResult(outcome=CallOutcome.REFUSED)
        if summary.state is jobs.JobState.COMPLETED:
            self._unconfirmed_completions[job] = None
        observability.log_event(
            "state",
            outcome="from the coordinator",
            job=job,
            state=summary.state.value,
            outage_s=round(self.store.outage_s, 3),
        )
        return StateResult(outcome=CallOutcome.ACCEPTED, state=summary.state)

    async def _store_completion(self, job: JobId) -> None:
        entry = await self.store.get(keys.progress_key(job))
        if entry is not None and jobs.decode_state(entry.value).is_final:
            return
        try:
            await self.store.put(keys.completion_key(job), b"", expected=0)
        except store.ConflictError:
            # Another instance has stored it already.
            return

    async def _store_cancellation(
        self, job: JobId, deadline_s: float
    ) -> CallOutcome:
        key = keys.cancellation_key(job)
        outcome = await self._write_key(key, b"", deadline_s, expected={key: 0})
        if outcome is CallOutcome.CONFLICTING:
            return CallOutcome.ACCEPTED
        return outcome

    async def _withdraw(
        self, job: JobId, account: AccountId | None, deadline_s: float
    ) -> CallOutcome:
        """Prevents that a job is created; CONFLICTING if it exists."""
        outcome = await self._write_key(
            keys.withdrawal_key(job, account or AccountId("")),
            b"withdrawn",
            deadline_s,
            expected={keys.job_key(job): 0},
        )
        if outcome is CallOutcome.ACCEPTED:
            return CallOutcome.ABSENT
        return outcome

    async def _refuse(self, record: jobs.Job, deadline_s: float) -> CallOutcome:
        """Refuses a job, unless it is stored already.

        An earlier call for the job may be unanswered, on any instance, and its
        write may be done later. It fails once the refusal is stored, as it
        requires that there is none.
        """
        outcome = await self._write_unless_stored(
            record,
            keys.withdrawal_key(record.job, record.account),
            REFUSAL_VALUE,
            deadline_s,
        )
        return outcome or CallOutcome.OVERLOADED

    async def _write_unless_stored(
        self, record: jobs.Job, key: str, value: bytes, deadline_s: float
    ) -> CallOutcome | None:
        """Writes a key unless a job is stored or cancelled.

        Neither a creation nor a refusal may be overtaken by an earlier one of
        the same job: each names the revision of the refusal before it.

        Returns:
            None if the key was written, otherwise the outcome of the call.
        """
        withdrawal_key = keys.withdrawal_key(record.job, record.account)
        expected = {keys.job_key(record.job): 0, withdrawal_key: 0}
        while True:
            outcome = await self._write_key(
                key, value, deadline_s, expected=expected
            )
            if outcome is CallOutcome.ACCEPTED:
                return None
            if outcome is not CallOutcome.CONFLICTING:
                return outcome
            stored, refusal = await self._compare_with_stored(
                record, deadline_s
            )
            if refusal is None:
                return stored
            if refusal.revision == expected[withdrawal_key]:
                # The conflict is with a change that has been undone since.
                return CallOutcome.UNKNOWN
            expected[withdrawal_key] = refusal.revision

    async def _write_key(
        self,
        key: str,
        value: bytes,
        deadline_s: float,
        *,
        expected: Mapping[str, int],
    ) -> CallOutcome:
        """Writes a key, with retries.

        Args:
            key: the key.
            value: its value.
            deadline_s: time on the clock by which the call returns.
            expected: revision that each of these keys must have, 0 for one
                that must not exist; otherwise the outcome is CONFLICTING.
        """
        put = store.Put(key=key, value=value)
        retry_until_s = self.clock.now() + REFUSED_RETRY_WINDOW_S
        may_be_stored = False
        while True:
            if not may_be_stored and self.store.outage_s > 0.0:
                return CallOutcome.REFUSED
            try:
                revision = await self._call_store(
                    self.store.transact(expected=expected, puts=[put]),
                    deadline_s,
                )
            except store.TransactionConflictError:
                # The conflict may be with an earlier attempt of this call.
                return CallOutcome.CONFLICTING
            except store.StoreUnavailableError as error:
                reason = str(error)
            except store.StoreError as error:
                reason = str(error)
                may_be_stored = True
            else:
                self._announce_entry(key, value, revision)
                return CallOutcome.ACCEPTED
            end_s = deadline_s
            if not may_be_stored:
                end_s = min(deadline_s, retry_until_s)
            if self.clock.now() + RETRY_INTERVAL_S >= end_s:
                return self._log_failed_write(key, reason, may_be_stored)
            await self.clock.sleep(RETRY_INTERVAL_S)

    def _announce_entry(self, key: str, value: bytes, revision: int) -> None:
        """Announces a stored entry without delaying the answer.

        The coordinator learns of entries of the intake only. Its watch finds
        those that are not announced.
        """
        if not key.startswith(keys.INTAKE_PREFIX):
            return
        if len(self._background) >= MAX_ANNOUNCEMENTS:
            return
        entry = store.Entry(key=key, value=value, revision=revision)
        task = asyncio.ensure_future(self.announce(entry))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _call_store(self, call: Awaitable[_T], deadline_s: float) -> _T:
        """Returns the store's reply if it arrives by the deadline.

        Raises:
            StoreOutcomeUnknownError: the deadline has passed.
        """
        remaining_s = max(0.0, deadline_s - self.clock.now())
        try:
            return await self.clock.wait_for(call, remaining_s)
        except TimeoutError as error:
            raise store.StoreOutcomeUnknownError(
                "no reply from the store within the caller's timeout"
            ) from error

    def _log_failed_write(
        self, key: str, reason: str, may_be_stored: bool
    ) -> CallOutcome:
        outcome = CallOutcome.UNKNOWN if may_be_stored else CallOutcome.REFUSED
        observability.log_event(
            "write",
            outcome=outcome.value,
            key=key,
            reason=reason,
            outage_s=round(self.store.outage_s, 3),
        )
        return outcome

    async def _compare_with_stored(
        self, record: jobs.Job, deadline_s: float
    ) -> tuple[CallOutcome, store.Entry | None]:
        """Returns the outcome for a submission that met a conflict.

        ACCEPTED if the stored job has the same account and specification,
        CONFLICTING if it differs, WITHDRAWN if there is none since its account
        has cancelled it, and UNKNOWN if the store does not tell. If there is
        none since it was refused, the refusal is returned as well.
        """
        withdrawal_key = keys.withdrawal_key(record.job, record.account)
        try:
            entry = await self._call_store(
                self.store.get(keys.job_key(record.job)), deadline_s
            )
            if entry is None:
                withdrawal = await self._call_store(
                    self.store.get(withdrawal_key), deadline_s
                )
                if withdrawal is None:
                    return CallOutcome.UNKNOWN, None
                is_refusal = withdrawal.value == REFUSAL_VALUE
                return (
                    CallOutcome.WITHDRAWN,
                    withdrawal if is_refusal else None,
                )
        except store.StoreError:
            return CallOutcome.UNKNOWN, None
        stored = jobs.decode_job(entry.value)
        is_same = (stored.account, stored.spec) == (record.account, record.spec)
        outcome = CallOutcome.ACCEPTED if is_same else CallOutcome.CONFLICTING
        return outcome, None

    async def _read_entry(
        self, key: str, deadline_s: float
    ) -> tuple[store.Entry | None, bool]:
        """Returns the entry, and whether the store has replied."""
        while True:
            try:
                call = self.store.get(key)
                return await self._call_store(call, deadline_s), True
            except store.StoreError as error:
                is_timed_out = self.clock.now() + RETRY_INTERVAL_S >= deadline_s
                if is_timed_out or self.store.outage_s > 0.0:
                    observability.log_event(
                        "read", outcome="no answer", key=key, reason=str(error)
                    )
                    return None, False
                await self.clock.sleep(RETRY_INTERVAL_S)


def _is_visible_to(entry: store.Entry, account: AccountId | None) -> bool:
    return account is None or jobs.decode_job(entry.value).account == account
