"""The registrar of submissions: the owner of one domain serialises them."""

import asyncio
import dataclasses
from collections.abc import Callable

from magnoliaglade import peers
from magnoliaglade.execution import (
    _domain_choice,
    _errors,
    _owner,
    _records,
    _routing_calls,
    _routing_replies,
)
from magnoliaglade.execution import _routing_messages as messages
from magnoliaglade.types import Epoch, InstanceId, ZoneId

# Bounds the memory for submissions in doubt that are never repeated.
_IN_DOUBT_KEPT = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Registration:
    message: messages.JobSubmit
    accepted: _records.Accepted
    epoch: Epoch

    @property
    def submission(self) -> str:
        return self.accepted.spec.submission


class Registrar:
    """Routes the submissions whose registrar domain is owned here.

    It looks for an earlier acceptance in all domains and only then chooses
    one. A domain that may have accepted a submission without an answer stays
    its domain, since its owner recognises the repetition and others do not.
    """

    def __init__(
        self,
        *,
        network: peers.PeerNetwork,
        calls: _routing_calls.OwnerCalls,
        choice: _domain_choice.DomainChoice,
        owner: Callable[[str], _owner.DomainOwner | None],
        zones: Callable[[], frozenset[ZoneId]],
    ) -> None:
        self.network = network
        self.calls = calls
        self.choice = choice
        self.owner = owner
        self.zones = zones
        self._in_progress: dict[str, asyncio.Task[messages.JobReply]] = {}
        # Domain of each submission whose acceptance has no known outcome.
        self._in_doubt: dict[str, str] = {}

    def start(self) -> None:
        """Handles the messages."""
        self.network.handle(messages.JobSubmit, self._on_submit)

    async def stop(self) -> None:
        """Waits for submissions in progress; each of them is bounded."""
        tasks = list(self._in_progress.values())
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _on_submit(
        self, sender: InstanceId, message: messages.JobSubmit
    ) -> messages.JobReply:
        owner = self.owner(message.registrar)
        if owner is None:
            return _routing_replies.make_refusal(
                _errors.NotOwnerError(f"{message.registrar}: is not owned here")
            )
        registration = _Registration(
            message=message,
            accepted=_records.decode_record(message.record),
            epoch=owner.owned.epoch,
        )
        key = registration.submission
        task = self._in_progress.get(key)
        if task is None:
            task = asyncio.create_task(self._route(registration))
            self._in_progress[key] = task
            task.add_done_callback(lambda _: self._in_progress.pop(key, None))
        return await asyncio.shield(task)

    async def _route(self, registration: _Registration) -> messages.JobReply:
        key = registration.submission
        try:
            reply = None
            if registration.message.is_repeated:
                reply = await self._find(registration)
            if reply is None:
                reply = await self._accept(registration)
        except (_errors.NotRunError, _errors.NotOwnerError) as error:
            # No domain has the submission and this call had no effect, unless
            # an earlier message is still on its way.
            if key in self._in_doubt:
                unknown = _errors.OutcomeUnknownError(str(error))
                return _routing_replies.make_refusal(unknown)
            refused = _errors.NotRunError(str(error))
            return _routing_replies.make_refusal(refused)
        except _errors.ExecutionError as error:
            return _routing_replies.make_refusal(error)
        self._in_doubt.pop(key, None)
        return reply

    async def _accept(self, registration: _Registration) -> messages.JobReply:
        key = registration.submission
        domain = self._in_doubt.get(key) or self._choose(registration)
        message = messages.JobAccept(
            domain=domain,
            record=registration.message.record,
            registrar=registration.message.registrar,
            epoch=registration.epoch,
        )
        try:
            return await self.calls.call(domain, message)
        except _errors.OutcomeUnknownError:
            # A submission without an id of its own is never repeated.
            if registration.message.is_repeated:
                self._in_doubt[key] = domain
                if len(self._in_doubt) > _IN_DOUBT_KEPT:
                    del self._in_doubt[next(iter(self._in_doubt))]
            raise

    def _choose(self, registration: _Registration) -> str:
        spec = registration.accepted.spec
        if not self.choice.is_feasible(spec.gang):
            raise _errors.NotRunError(
                _domain_choice.describe_infeasible(spec.gang)
            )
        allowed = [ZoneId(z) for z in registration.message.zones]
        domain = self.choice.choose(spec, allowed=allowed)
        if domain is None:
            raise _errors.NotRunError(
                "no zone in service can hold the job at the moment"
            )
        return domain

    async def _find(
        self, registration: _Registration
    ) -> messages.JobReply | None:
        """Looks for an accepted submission in every domain.

        Raises:
            OutcomeUnknownError: a domain that may have it does not answer.
        """
        domains = sorted(_routing_replies.domain_of(z) for z in self.zones())
        replies = await asyncio.gather(
            *(self._find_in(d, registration) for d in domains),
            return_exceptions=True,
        )
        found = [
            r for r in replies if isinstance(r, messages.JobReply) and r.entries
        ]
        # A domain that the job has left still knows where it went.
        found.sort(key=_has_left)
        if found:
            return found[0]
        for domain, reply in zip(domains, replies, strict=True):
            if isinstance(reply, _errors.ExecutionError):
                raise _errors.OutcomeUnknownError(
                    f"{domain}: may have this submission: {reply}"
                )
            if isinstance(reply, BaseException):
                raise reply
        return None

    async def _find_in(
        self, domain: str, registration: _Registration
    ) -> messages.JobReply:
        message = messages.JobCommand(
            domain=domain,
            action=messages.JobAction.FIND_SUBMISSION.value,
            subject=registration.submission,
            registrar=registration.message.registrar,
            epoch=registration.epoch,
        )
        return await self.calls.call(domain, message)


def _has_left(reply: messages.JobReply) -> bool:
    entry = _routing_replies.entries_of(reply)[0]
    return entry.phase is _records.JobPhase.MOVED
