"""State of a domain's jobs: what replaying the records yields.

Applying a record twice, or one that is older than the state, changes nothing,
so records may be written again after a lost answer.
"""

import functools
from collections.abc import Collection, Iterable

from magnoliaglade.execution import _records
from magnoliaglade.types import JobId

# Ended jobs answer repeated submissions and status queries this long and up
# to this number; the log must not grow with the number of jobs ever run.
TERMINAL_KEPT_S = 3600.0
TERMINAL_KEPT = 10_000


class JobTable:
    """Jobs by id and by phase."""

    def __init__(self) -> None:
        self._jobs: dict[JobId, _records.JobEntry] = {}
        self._submissions: dict[str, JobId] = {}
        self._by_phase: dict[
            _records.JobPhase, dict[JobId, _records.JobEntry]
        ] = {phase: {} for phase in _records.JobPhase}

    def __len__(self) -> int:
        return len(self._jobs)

    def get(self, job: JobId) -> _records.JobEntry | None:
        """Returns a job's state, or None."""
        return self._jobs.get(job)

    def find_submission(self, submission: str) -> _records.JobEntry | None:
        """Returns the job of a submission id, or None."""
        job = self._submissions.get(submission)
        return None if job is None else self._jobs.get(job)

    def elapsed_s(self, job: JobId, now_s: float) -> float:
        """Returns the time since a job's attempt was decided; 0 if unknown."""
        entry = self._jobs.get(job)
        return 0.0 if entry is None else max(0.0, now_s - entry.started_at_s)

    def in_phase(
        self, phase: _records.JobPhase
    ) -> Collection[_records.JobEntry]:
        """Returns the jobs of a phase in the order in which they entered it."""
        return self._by_phase[phase].values()

    def replay(self, data: Iterable[bytes]) -> None:
        """Applies encoded records in order.

        Raises:
            RecordError: a record cannot be decoded.
        """
        for item in data:
            self.apply(_records.decode_record(item))

    def snapshot(self) -> list[_records.Record]:
        """Returns the records that reproduce the state."""
        return [_records.Snapshot(entry=e) for e in self._jobs.values()]

    def prune(self, now_s: float) -> int:
        """Forgets old ended jobs; `now_s` is wall time. Returns how many."""
        ended = [
            e
            for phase in _records.JobPhase
            if phase.is_terminal
            for e in self._by_phase[phase].values()
        ]
        ended.sort(key=lambda e: e.ended_at_s)
        surplus = len(ended) - TERMINAL_KEPT
        dropped = [
            e
            for index, e in enumerate(ended)
            if index < surplus or e.ended_at_s + TERMINAL_KEPT_S <= now_s
        ]
        for entry in dropped:
            self._drop(entry)
        return len(dropped)

    @functools.singledispatchmethod
    def apply(self, record: object) -> None:
        """Applies one record."""
        raise TypeError(type(record).__name__)

    @apply.register
    def _(self, record: _records.Accepted) -> None:
        job = record.spec.gang.job
        # A submission that is repeated while the first is being written may
        # carry another job id; the first in the log is the job.
        if self._submissions.get(record.spec.submission, job) != job:
            return
        known = self._jobs.get(job)
        if known is not None:
            # A job may come back to a domain that it has left; an older
            # forward that is repeated after a lost reply must not revive it.
            is_return = known.phase is _records.JobPhase.MOVED
            if not is_return or record.hops <= known.accepted.hops:
                return
            self._drop(known)
        self._add(
            _records.JobEntry(
                accepted=record,
                attempt=record.attempt,
                failures=record.failures,
                checkpoint=record.checkpoint,
            )
        )

    @apply.register
    def _(self, record: _records.Decided) -> None:
        entry = self._live(record.job)
        if entry is None or record.attempt <= entry.attempt:
            return
        entry.attempt = record.attempt
        entry.placement = record.placement
        entry.started_at_s = record.at_s
        self._set_phase(entry, _records.JobPhase.ACTIVE)

    @apply.register
    def _(self, record: _records.Finished) -> None:
        entry = self._live(record.job)
        if entry is None or record.attempt != entry.attempt:
            return
        self._end(entry, _records.JobPhase.FINISHED, record.at_s, record.detail)

    @apply.register
    def _(self, record: _records.Failed) -> None:
        entry = self._live(record.job)
        if entry is None or record.attempt < entry.attempt:
            return
        is_repeated = (
            record.attempt == entry.attempt
            and entry.phase is not _records.JobPhase.ACTIVE
        )
        if is_repeated and not record.final:
            return
        entry.attempt = record.attempt
        entry.failures += record.cause.uses_retry
        entry.cause = record.cause
        entry.detail = record.detail
        if record.final:
            phase = _records.JobPhase.FAILED
            self._end(entry, phase, record.at_s, record.detail)
            return
        entry.placement = None
        self._set_phase(entry, _records.JobPhase.PENDING)

    @apply.register
    def _(self, record: _records.Cancelled) -> None:
        entry = self._live(record.job)
        if entry is not None:
            self._end(entry, _records.JobPhase.CANCELLED, record.at_s, "")

    @apply.register
    def _(self, record: _records.Checkpointed) -> None:
        entry = self._live(record.job)
        if entry is not None and record.attempt == entry.attempt:
            entry.checkpoint = record.checkpoint

    @apply.register
    def _(self, record: _records.Moving) -> None:
        entry = self._live(record.job)
        if entry is None or entry.phase is _records.JobPhase.ACTIVE:
            return
        entry.domain = record.domain
        self._set_phase(entry, _records.JobPhase.MOVING)

    @apply.register
    def _(self, record: _records.Moved) -> None:
        entry = self._live(record.job)
        if entry is not None and entry.phase is _records.JobPhase.MOVING:
            self._end(entry, _records.JobPhase.MOVED, record.at_s, "")

    @apply.register
    def _(self, record: _records.Snapshot) -> None:
        known = self._jobs.get(record.entry.job)
        if known is not None:
            self._drop(known)
        self._add(record.entry)

    def _live(self, job: JobId) -> _records.JobEntry | None:
        entry = self._jobs.get(job)
        if entry is None or entry.phase.is_terminal:
            return None
        return entry

    def _add(self, entry: _records.JobEntry) -> None:
        self._jobs[entry.job] = entry
        self._submissions[entry.spec.submission] = entry.job
        self._by_phase[entry.phase][entry.job] = entry

    def _drop(self, entry: _records.JobEntry) -> None:
        del self._jobs[entry.job]
        del self._by_phase[entry.phase][entry.job]
        self._submissions.pop(entry.spec.submission, None)

    def _set_phase(
        self, entry: _records.JobEntry, phase: _records.JobPhase
    ) -> None:
        del self._by_phase[entry.phase][entry.job]
        entry.phase = phase
        self._by_phase[phase][entry.job] = entry

    def _end(
        self,
        entry: _records.JobEntry,
        phase: _records.JobPhase,
        at_s: float,
        detail: str,
    ) -> None:
        entry.placement = None
        entry.ended_at_s = at_s
        entry.detail = detail
        self._set_phase(entry, phase)
