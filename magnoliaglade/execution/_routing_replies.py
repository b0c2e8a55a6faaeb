"""Replies of the owners of domains about jobs, and what they mean."""

import dataclasses
from collections.abc import Iterable

from magnoliaglade.execution import _errors, _records
from magnoliaglade.execution import _routing_messages as messages
from magnoliaglade.types import ZoneId

_State = messages.JobState


@dataclasses.dataclass(frozen=True, kw_only=True)
class FoundJob:
    """A job and the domain that is responsible for it."""

    domain: str
    entry: _records.JobEntry


def domain_of(zone: ZoneId) -> str:
    """Returns the scheduling domain of a zone."""
    return f"jobs.{zone}"


def zone_of(domain: str) -> ZoneId:
    """Returns the zone of a scheduling domain."""
    return ZoneId(domain.removeprefix("jobs."))


def make_reply(
    domain: str, entries: Iterable[_records.JobEntry]
) -> messages.JobReply:
    """Returns the reply that carries jobs of a domain."""
    encoded = tuple(
        _records.encode_record(_records.Snapshot(entry=e)) for e in entries
    )
    return messages.JobReply(
        state=_State.OK.value, domain=domain, entries=encoded
    )


def make_refusal(error: Exception) -> messages.JobReply:
    """Returns the reply that stands for an error of the execution layer."""
    state = _State.UNKNOWN
    for kind, found in _STATES.items():
        if isinstance(error, kind):
            state = found
    return messages.JobReply(state=state.value, reason=str(error))


def check(reply: messages.JobReply) -> messages.JobReply:
    """Returns a reply that carries jobs.

    Raises:
        ExecutionError: the error for which the reply stands.
    """
    state = _State(reply.state)
    if state is _State.OK:
        return reply
    raise _ERRORS[state](reply.reason)


def entries_of(reply: messages.JobReply) -> list[_records.JobEntry]:
    """Returns the jobs of a reply."""
    return [_records.decode_record(e).entry for e in reply.entries]


def found_in(reply: messages.JobReply) -> list[FoundJob]:
    """Returns the jobs of a reply with its domain."""
    return [FoundJob(domain=reply.domain, entry=e) for e in entries_of(reply)]


_STATES: dict[type[Exception], messages.JobState] = {
    _errors.NotRunError: _State.NOT_RUN,
    _errors.NotOwnerError: _State.NOT_OWNER,
    _errors.UnknownJobError: _State.NO_SUCH_JOB,
}
_ERRORS = {state: error for error, state in _STATES.items()}
_ERRORS[_State.UNKNOWN] = _errors.OutcomeUnknownError
