"""Records of an attempt that ended without a result."""

from magnoliaglade.execution import _gangs, _records


def make_records(
    entry: _records.JobEntry,
    gang: _gangs.ActiveGang,
    cause: _records.FailureCause,
    *,
    at_s: float,
    retries_max: int,
    detail: str,
) -> list[_records.Record]:
    """Returns the failure, and before it the last common checkpoint."""
    records: list[_records.Record] = []
    if gang.checkpoint not in ("", entry.checkpoint):
        records.append(
            _records.Checkpointed(
                job=gang.job,
                attempt=gang.attempt,
                checkpoint=gang.checkpoint,
            )
        )
    records.append(
        _records.Failed(
            job=gang.job,
            attempt=gang.attempt,
            cause=cause,
            at_s=at_s,
            final=_is_final(entry, cause, retries_max),
            detail=detail,
        )
    )
    return records


def _is_final(
    entry: _records.JobEntry, cause: _records.FailureCause, retries_max: int
) -> bool:
    if cause is _records.FailureCause.NOT_STARTED:
        return False
    if entry.spec.gang.at_most_once:
        return True
    return cause.uses_retry and entry.failures >= retries_max
