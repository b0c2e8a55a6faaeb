"""Routes jobs between the entry instances and the owners of the domains.

Each submission has one registrar: the owner of the domain that comes first in
the rendezvous order of the submission id over all configured zones. The
registrar serialises repeated submissions, looks for an earlier acceptance in
all domains and only then chooses the zone by load.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from magnoliaglade import base, membership, peers, scheduling
from magnoliaglade.execution import (
    _domain_choice,
    _errors,
    _loads,
    _owner,
    _owner_endpoint,
    _records,
    _registrar,
    _routing_calls,
    _routing_replies,
)
from magnoliaglade.execution import _routing_messages as messages
from magnoliaglade.types import InstanceId, JobId, WorkerId, ZoneId

# A moved job is followed through at most this many domains.
_MAX_HOPS = 16

FoundJob = _routing_replies.FoundJob


class JobRouter(base.Component):
    """Submits, finds and cancels jobs wherever their domain is owned.

    Attributes:
        owner: returns the owner of a domain if it runs here.
        zones: all configured zones, removed ones included.
        startable_zones: zones in which work may start now.
        workers: all listed workers.
    """

    def __init__(
        self,
        *,
        network: peers.PeerNetwork,
        directory: membership.OwnerDirectory,
        loads: _loads.LoadBoard,
        owner: Callable[[str], _owner.DomainOwner | None],
        zones: Callable[[], frozenset[ZoneId]],
        startable_zones: Callable[[], frozenset[ZoneId]],
        workers: Callable[[], Mapping[WorkerId, scheduling.Worker]],
    ) -> None:
        self.network = network
        self.directory = directory
        self.loads = loads
        self.owner = owner
        self.zones = zones
        self.startable_zones = startable_zones
        self.workers = workers
        self._calls = _routing_calls.OwnerCalls(
            network=network, directory=directory
        )
        self._choice = _domain_choice.DomainChoice(
            loads=loads, startable_zones=startable_zones, workers=workers
        )
        self._endpoint = _owner_endpoint.OwnerEndpoint(
            network=network, owner=owner
        )
        self._registrar = _registrar.Registrar(
            network=network,
            calls=self._calls,
            choice=self._choice,
            owner=owner,
            zones=zones,
        )

    async def start(self) -> None:
        """Handles the messages about jobs."""
        self.validate_params()
        self._registrar.start()
        self._endpoint.start()

    async def stop(self) -> None:
        """Waits for submissions in progress; each of them is bounded."""
        await self._registrar.stop()
        await self._endpoint.stop()

    async def submit(
        self,
        spec: _records.JobSpec,
        *,
        zones: Iterable[ZoneId] = (),
        is_repeated: bool = True,
    ) -> FoundJob:
        """Accepts a job; a repeated submission returns the same job.

        Args:
            spec: the job.
            zones: zones that the submitter allows; all if empty.
            is_repeated: False only if the submission id is new for certain.

        Raises:
            NotRunError: no submission with this id was accepted.
            OutcomeUnknownError: one may have been; submit it again.
        """
        registrar = self._registrar_of(spec.submission, is_repeated)
        message = messages.JobSubmit(
            registrar=registrar,
            record=_records.encode_record(_records.Accepted(spec=spec)),
            zones=tuple(sorted(zones)),
            is_repeated=is_repeated,
        )
        try:
            reply = await self._calls.call(registrar, message)
        except _errors.NotOwnerError as error:
            # This call had no effect, but an earlier one may have had.
            if is_repeated:
                raise _errors.OutcomeUnknownError(str(error)) from error
            raise _errors.NotRunError(str(error)) from error
        return await self._follow_moved(_routing_replies.found_in(reply)[0])

    async def status(self, domain: str, job: JobId) -> FoundJob:
        """Returns a job, following it if it has moved.

        Raises:
            UnknownJobError: there is no such job.
            NotRunError, OutcomeUnknownError: the owner was not reached.
        """
        return await self._follow(domain, job, messages.JobAction.STATUS)

    async def cancel(self, domain: str, job: JobId) -> FoundJob:
        """Cancels a job, following it if it has moved.

        Raises:
            UnknownJobError: there is no such job.
            NotRunError: this call did not cancel it.
            OutcomeUnknownError: it may be cancelled; cancel again.
        """
        return await self._follow(domain, job, messages.JobAction.CANCEL)

    async def list_jobs(self, account: str) -> list[FoundJob]:
        """Returns the jobs of an account in all domains that answer."""
        domains = sorted(_routing_replies.domain_of(z) for z in self.zones())
        replies = await asyncio.gather(
            *(
                self._calls.call(d, messages.JobList(domain=d, account=account))
                for d in domains
            ),
            return_exceptions=True,
        )
        return [
            found
            for reply in replies
            if isinstance(reply, messages.JobReply)
            for found in _routing_replies.found_in(reply)
            if found.entry.phase is not _records.JobPhase.MOVED
        ]

    def choose_domain(
        self,
        spec: _records.JobSpec,
        *,
        allowed: Iterable[ZoneId] = (),
        exclude: str = "",
    ) -> str | None:
        """Returns the domain for a job by feasibility and load, or None."""
        return self._choice.choose(spec, allowed=allowed, exclude=exclude)

    async def forward(self, domain: str, accepted: _records.Accepted) -> None:
        """Hands a job to another domain.

        Raises:
            ForwardError: the other owner has not acknowledged the job.
        """
        record = _records.encode_record(accepted)
        message = messages.JobAccept(domain=domain, record=record)
        try:
            await self._calls.call(domain, message)
        except _errors.ExecutionError as error:
            raise _errors.ForwardError(f"{domain}: {error}") from error

    def _registrar_of(self, submission: str, is_repeated: bool) -> str:
        order = membership.rendezvous_order(
            f"submission.{submission}", [InstanceId(z) for z in self.zones()]
        )
        if not order:
            error = _errors.NotRunError
            if is_repeated:
                error = _errors.OutcomeUnknownError
            raise error("no zone is configured")
        return _routing_replies.domain_of(ZoneId(order[0]))

    async def _follow_moved(self, found: FoundJob) -> FoundJob:
        """Returns a job where it is now, or where it was if that fails."""
        if found.entry.phase is not _records.JobPhase.MOVED:
            return found
        try:
            return await self.status(found.entry.domain, found.entry.job)
        except _errors.ExecutionError:
            return found

    async def _follow(
        self, domain: str, job: JobId, action: messages.JobAction
    ) -> FoundJob:
        for _ in range(_MAX_HOPS):
            message = messages.JobCommand(
                domain=domain, action=action.value, subject=job
            )
            try:
                reply = await self._calls.call(domain, message)
            except _errors.NotOwnerError as error:
                raise _errors.NotRunError(str(error)) from error
            found = _routing_replies.found_in(reply)[0]
            if found.entry.phase is not _records.JobPhase.MOVED:
                return found
            domain = found.entry.domain
        raise _errors.UnknownJobError(f"{job}: moved too often")
