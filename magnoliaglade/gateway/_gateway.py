"""Takes jobs from callers and answers for them, from the store alone.

Every instance has a gateway. A job is accepted once its record is stored, so
an answer never depends on whether a coordinator is at work.
"""

import dataclasses
import enum
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgpack

from magnoliaglade import base, jobs, observability, store
from magnoliaglade import clock as clock_lib
from magnoliaglade.jobs import keys
from magnoliaglade.routing import ConfigurationWatcher, Queue
from magnoliaglade.types import AccountId, JobId

_T = TypeVar("_T")

# A configuration that has not been confirmed for this share of the time that
# a revoked key may live is too old to serve calls with keys.
FRESH_SHARE = 0.8
# Pause before a store call is repeated within a caller's time limit.
RETRY_S = 0.1
# A submission that the store has refused is tried again for this long in
# seconds; then the caller is better off at another instance.
REFUSED_TRIES_S = 0.3
# Bounds in seconds of when a refused caller should return. Another instance
# often reaches the store, so the first is short; an outage that has lasted
# goes on for about as long again.
FIRST_RETURN_S = 1
LAST_RETURN_S = 3
# Part of a caller's time limit that is kept for asking the coordinator, in
# seconds, if the store does not answer.
ASK_S = 0.4
# Pause between tries to store which jobs were shown as completed.
CONFIRM_S = 0.5
# Published counts of waiting jobs are kept this long.
COUNTS_KEPT_S = 0.5


class Verdict(enum.Enum):
    """Outcome of a call.

    REFUSED: nothing was stored and nothing will run. UNKNOWN: the store has
    not answered; the call may have had its effect.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    ABSENT = "absent"
    CONFLICTING = "conflicting"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StateAnswer:
    """State of a job, if the verdict is ACCEPTED."""

    verdict: Verdict
    state: jobs.JobState | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CountAnswer:
    """Number of waiting jobs, if the verdict is ACCEPTED."""

    verdict: Verdict
    waiting: int = 0


AskCoordinator = Callable[[JobId], Awaitable[jobs.JobSummary | None]]


async def _ask_nobody(_: JobId) -> jobs.JobSummary | None:
    return None


class Gateway(base.Parameterized):
    """Submits, cancels and looks up jobs.

    Attributes:
        store: the platform's key-value service, which tells of outages.
        clock: source of time.
        follower: the configuration in force.
        revoke_s: seconds that a revoked key may still be served.
        ask_coordinator: returns what the coordinator knows of a job; used
            while the store does not answer.
    """

    _parameter_constraints = {
        "revoke_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        store: store.MonitoredStore,
        clock: clock_lib.Clock,
        follower: ConfigurationWatcher,
        revoke_s: float,
        ask_coordinator: AskCoordinator = _ask_nobody,
    ) -> None:
        self.store = store
        self.clock = clock
        self.follower = follower
        self.revoke_s = revoke_s
        self.ask_coordinator = ask_coordinator
        self._unconfirmed: dict[JobId, None] = {}
        self._counts: tuple[float, dict[str, int]] = (float("-inf"), {})

    @property
    def is_fresh(self) -> bool:
        """Whether the configuration is recent enough to serve keys."""
        return self.follower.age_s <= self.revoke_s * FRESH_SHARE

    @property
    def retry_after_s(self) -> int:
        """Whole seconds after which a refused caller should return."""
        outage_s = int(self.store.outage_s)
        return min(LAST_RETURN_S, FIRST_RETURN_S + outage_s)

    async def submit(
        self,
        *,
        job: JobId,
        queue: Queue,
        account: AccountId,
        spec: jobs.JobSpec,
        limit_s: float,
    ) -> Verdict:
        """Stores a job; a repeated call for the same id changes nothing.

        Args:
            job: id chosen by the caller.
            queue: queue that the call belongs to.
            account: client account of the caller.
            spec: what was submitted.
            limit_s: time that the caller waits.
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
        deadline_s = self.clock.now() + limit_s
        verdict = await self._create(
            keys.job_key(job), jobs.encode_job(record), deadline_s
        )
        if verdict is Verdict.CONFLICTING:
            verdict = await self._compare(record, deadline_s)
        observability.log_event(
            "submission",
            job=job,
            outcome=verdict.value,
            queue=queue.name,
            account=account,
            tasks=sum(s.count for s in spec.steps),
            configuration_age_s=round(self.follower.age_s, 3),
        )
        return verdict

    async def cancel(
        self, *, job: JobId, account: AccountId | None, limit_s: float
    ) -> Verdict:
        """Stores that a job is cancelled; ABSENT if there is no such job."""
        deadline_s = self.clock.now() + limit_s
        entry, is_known = await self._read(keys.job_key(job), deadline_s)
        if not is_known:
            return Verdict.REFUSED
        if entry is None or not _belongs(entry, account):
            return Verdict.ABSENT
        verdict = await self._create(
            keys.cancellation_key(job), b"", deadline_s
        )
        if verdict is Verdict.CONFLICTING:
            verdict = Verdict.ACCEPTED
        observability.log_event("cancellation", job=job, outcome=verdict.value)
        return verdict

    async def state(
        self, *, job: JobId, account: AccountId | None, limit_s: float
    ) -> StateAnswer:
        """Returns the state of a job."""
        deadline_s = self.clock.now() + max(limit_s - ASK_S, limit_s / 2)
        entry, is_known = await self._read(keys.progress_key(job), deadline_s)
        if not is_known:
            return await self._ask_state(job, account)
        if entry is not None:
            state = jobs.decode_state(entry.value)
            return StateAnswer(verdict=Verdict.ACCEPTED, state=state)
        entry, is_known = await self._read(keys.job_key(job), deadline_s)
        if not is_known:
            return await self._ask_state(job, account)
        if entry is None or not _belongs(entry, account):
            return StateAnswer(verdict=Verdict.ABSENT)
        return StateAnswer(verdict=Verdict.ACCEPTED, state=jobs.JobState.QUEUED)

    async def waiting(self, queue: Queue, *, limit_s: float) -> CountAnswer:
        """Returns how many jobs of a queue have started no task."""
        now_s = self.clock.now()
        read_at_s, counts = self._counts
        if now_s - read_at_s > COUNTS_KEPT_S:
            entry, is_known = await self._read(keys.COUNTS_KEY, now_s + limit_s)
            if not is_known:
                return CountAnswer(verdict=Verdict.REFUSED)
            counts = msgpack.unpackb(entry.value) if entry else {}
            self._counts = (now_s, counts)
        return CountAnswer(
            verdict=Verdict.ACCEPTED, waiting=counts.get(queue.name, 0)
        )

    async def confirm_completions(self) -> None:
        """Stores which jobs were shown as completed, until cancelled.

        A coordinator that takes over then never starts them again, even if
        their worker is gone together with the former coordinator.
        """
        while True:
            await self.clock.sleep(CONFIRM_S)
            for job in list(self._unconfirmed):
                try:
                    await self._confirm(job)
                except store.StoreError as error:
                    observability.log_event(
                        "completion",
                        outcome="not stored",
                        job=job,
                        reason=str(error),
                    )
                    break
                del self._unconfirmed[job]

    def dump(self) -> dict[str, Any]:
        """Returns whether calls are served, and what is to be stored."""
        return {
            "is_fresh": self.is_fresh,
            "unconfirmed_completions": len(self._unconfirmed),
        }

    async def _ask_state(
        self, job: JobId, account: AccountId | None
    ) -> StateAnswer:
        """Answers from the coordinator's memory."""
        summary = await self.ask_coordinator(job)
        if summary is None or account not in (None, summary.account):
            return StateAnswer(verdict=Verdict.REFUSED)
        if summary.state is jobs.JobState.COMPLETED:
            self._unconfirmed[job] = None
        observability.log_event(
            "state",
            outcome="from the coordinator",
            job=job,
            state=summary.state.value,
            outage_s=round(self.store.outage_s, 3),
        )
        return StateAnswer(verdict=Verdict.ACCEPTED, state=summary.state)

    async def _confirm(self, job: JobId) -> None:
        entry = await self.store.get(keys.progress_key(job))
        if entry is not None and jobs.decode_state(entry.value).is_final:
            return
        try:
            await self.store.put(keys.completion_key(job), b"", expected=0)
        except store.ConflictError:
            # Another instance was first.
            return

    async def _create(
        self, key: str, value: bytes, deadline_s: float
    ) -> Verdict:
        """Creates a key; CONFLICTING if it exists."""
        refused_by_s = self.clock.now() + REFUSED_TRIES_S
        is_maybe_stored = False
        while True:
            if not is_maybe_stored and self.store.outage_s > 0.0:
                return Verdict.REFUSED
            try:
                await self._answer_to(
                    self.store.put(key, value, expected=0), deadline_s
                )
            except store.ConflictError:
                # The conflict may be with an earlier try of this call.
                return Verdict.CONFLICTING
            except store.StoreUnavailableError as error:
                reason = str(error)
            except store.StoreError as error:
                reason = str(error)
                is_maybe_stored = True
            else:
                return Verdict.ACCEPTED
            last_s = deadline_s
            if not is_maybe_stored:
                last_s = min(deadline_s, refused_by_s)
            if self.clock.now() + RETRY_S >= last_s:
                return self._give_up(key, reason, is_maybe_stored)
            await self.clock.sleep(RETRY_S)

    async def _answer_to(self, call: Awaitable[_T], deadline_s: float) -> _T:
        """Returns the store's answer, if it comes by the deadline."""
        remaining_s = max(0.0, deadline_s - self.clock.now())
        try:
            return await self.clock.wait_for(call, remaining_s)
        except TimeoutError as error:
            raise store.StoreOutcomeUnknownError(
                "no answer within the caller's time limit"
            ) from error

    def _give_up(self, key: str, reason: str, is_maybe_stored: bool) -> Verdict:
        verdict = Verdict.UNKNOWN if is_maybe_stored else Verdict.REFUSED
        observability.log_event(
            "write",
            outcome=verdict.value,
            key=key,
            reason=reason,
            outage_s=round(self.store.outage_s, 3),
        )
        return verdict

    async def _compare(self, record: jobs.Job, deadline_s: float) -> Verdict:
        """Tells whether the stored job is the one that is submitted."""
        try:
            entry = await self._answer_to(
                self.store.get(keys.job_key(record.job)), deadline_s
            )
        except store.StoreError:
            return Verdict.UNKNOWN
        if entry is None:
            return Verdict.UNKNOWN
        stored = jobs.decode_job(entry.value)
        is_same = (stored.account, stored.spec) == (record.account, record.spec)
        return Verdict.ACCEPTED if is_same else Verdict.CONFLICTING

    async def _read(
        self, key: str, deadline_s: float
    ) -> tuple[store.Entry | None, bool]:
        """Returns the entry, and whether the store has answered."""
        while True:
            try:
                call = self.store.get(key)
                return await self._answer_to(call, deadline_s), True
            except store.StoreError as error:
                is_over = self.clock.now() + RETRY_S >= deadline_s
                if is_over or self.store.outage_s > 0.0:
                    observability.log_event(
                        "read", outcome="no answer", key=key, reason=str(error)
                    )
                    return None, False
                await self.clock.sleep(RETRY_S)


def _belongs(entry: store.Entry, account: AccountId | None) -> bool:
    return account is None or jobs.decode_job(entry.value).account == account
