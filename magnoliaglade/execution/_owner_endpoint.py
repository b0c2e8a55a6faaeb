"""Answers other instances on behalf of the owners that run here."""

import asyncio
from collections.abc import Callable

from magnoliaglade import peers
from magnoliaglade.execution import (
    _errors,
    _owner,
    _records,
    _routing_replies,
)
from magnoliaglade.execution import _routing_messages as messages
from magnoliaglade.types import InstanceId, JobId


class OwnerEndpoint:
    """Handles the messages to the owners of domains.

    A registrar that fails may leave a message on its way that hands a job
    over. Its successor, which has a higher epoch, first asks every domain for
    the submission; from then on messages of lower epochs are refused, so the
    search and the acceptance that follows it cannot miss a late one.
    """

    def __init__(
        self,
        *,
        network: peers.PeerNetwork,
        owner: Callable[[str], _owner.DomainOwner | None],
    ) -> None:
        self.network = network
        self.owner = owner
        # Highest epoch that was heard of each registrar, by domain.
        self._registrars: dict[str, int] = {}
        self._accepting: dict[
            asyncio.Task[messages.JobReply], _records.Accepted
        ] = {}

    def start(self) -> None:
        """Handles the messages."""
        self.network.handle(messages.JobAccept, self._on_accept)
        self.network.handle(messages.JobCommand, self._on_command)
        self.network.handle(messages.JobList, self._on_list)

    async def stop(self) -> None:
        """Waits for acceptances in progress; each of them is bounded."""
        await asyncio.gather(*self._accepting, return_exceptions=True)

    async def _on_accept(
        self, sender: InstanceId, message: messages.JobAccept
    ) -> messages.JobReply:
        accepted = _records.decode_record(message.record)
        if not self._is_current(message.registrar, message.epoch):
            error = _errors.OutcomeUnknownError(
                f"{message.registrar}: a newer owner may accept the submission"
            )
            return _routing_replies.make_refusal(error)
        # It goes on when the sender has stopped waiting, and a search for the
        # submission must see it until it has ended.
        task = asyncio.create_task(self._accept(message.domain, accepted))
        self._accepting[task] = accepted
        task.add_done_callback(lambda _: self._accepting.pop(task, None))
        return await asyncio.shield(task)

    async def _accept(
        self, domain: str, accepted: _records.Accepted
    ) -> messages.JobReply:
        try:
            owner = self._require(domain)
            await owner.accept(accepted)
            entry = owner.status(accepted.spec.gang.job)
        except _errors.UnknownJobError as error:
            # The submission has another job here, which the caller finds when
            # it submits again.
            unknown = _errors.OutcomeUnknownError(str(error))
            return _routing_replies.make_refusal(unknown)
        except _errors.ExecutionError as error:
            return _routing_replies.make_refusal(error)
        return _routing_replies.make_reply(domain, [entry])

    async def _on_command(
        self, sender: InstanceId, message: messages.JobCommand
    ) -> messages.JobReply:
        action = messages.JobAction(message.action)
        try:
            owner = self._require(message.domain)
            if action is messages.JobAction.FIND_SUBMISSION:
                entries = self._find(owner, message)
            elif action is messages.JobAction.CANCEL:
                entries = [await owner.cancel(JobId(message.subject))]
            else:
                entries = [owner.status(JobId(message.subject))]
        except _errors.ExecutionError as error:
            return _routing_replies.make_refusal(error)
        return _routing_replies.make_reply(message.domain, entries)

    async def _on_list(
        self, sender: InstanceId, message: messages.JobList
    ) -> messages.JobReply:
        try:
            owner = self._require(message.domain)
            jobs = owner.jobs
        except _errors.ExecutionError as error:
            return _routing_replies.make_refusal(error)
        entries = [
            owner.status(e.job)
            for phase in _records.JobPhase
            for e in jobs.in_phase(phase)
            if e.spec.gang.account == message.account
        ]
        return _routing_replies.make_reply(message.domain, entries)

    def _find(
        self, owner: _owner.DomainOwner, message: messages.JobCommand
    ) -> list[_records.JobEntry]:
        """Returns the job of a submission, or nothing if there is none.

        Raises:
            OutcomeUnknownError: it may be accepted here all the same.
        """
        submission = message.subject
        is_current = self._is_current(message.registrar, message.epoch)
        known = owner.jobs.find_submission(submission)
        if known is not None:
            return [owner.status(known.job)]
        is_accepting = any(
            a.spec.submission == submission for a in self._accepting.values()
        )
        if is_accepting or owner.may_hold(submission) or not is_current:
            raise _errors.OutcomeUnknownError(
                f"{message.domain}: may have accepted this submission"
            )
        return []

    def _is_current(self, registrar: str, epoch: int) -> bool:
        if not registrar:
            return True
        newest = max(epoch, self._registrars.get(registrar, 0))
        self._registrars[registrar] = newest
        return epoch == newest

    def _require(self, domain: str) -> _owner.DomainOwner:
        owner = self.owner(domain)
        if owner is None:
            raise _errors.NotOwnerError(f"{domain}: is not owned here")
        return owner
