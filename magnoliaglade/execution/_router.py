"""Routes jobs between the entry instances and the owners of the domains.

Each submission has one registrar: the owner of the domain that comes first in
the rendezvous order of the submission id over all configured zones. The
registrar serialises repeated submissions, looks for an earlier acceptance in
all domains and only then chooses the zone by load.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Mapping

from magnoliaglade import base, membership, peers, scheduling
from magnoliaglade.execution import (
    _errors,
    _loads,
    _owner,
    _records,
)
from magnoliaglade.execution import _routing_messages as messages
from magnoliaglade.types import InstanceId, JobId, WorkerId, ZoneId

CALL_TIMEOUT_S = 2.0
# A moved job is followed through at most this many domains.
_MAX_HOPS = 16

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
        self._in_progress: dict[str, asyncio.Task[messages.JobReply]] = {}

    async def start(self) -> None:
        """Handles the messages about jobs."""
        self.validate_params()
        self.network.handle(messages.JobSubmit, self._on_submit)
        self.network.handle(messages.JobAccept, self._on_accept)
        self.network.handle(messages.JobCommand, self._on_command)
        self.network.handle(messages.JobList, self._on_list)

    async def stop(self) -> None:
        """Waits for submissions in progress; each of them is bounded."""
        tasks = list(self._in_progress.values())
        await asyncio.gather(*tasks, return_exceptions=True)

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
            NotRunError: the job was not accepted.
            OutcomeUnknownError: it may have been; submit it again.
        """
        order = membership.rendezvous_order(
            f"submission.{spec.submission}",
            [InstanceId(z) for z in self.zones()],
        )
        if not order:
            raise _errors.NotRunError("no zone is configured")
        registrar = domain_of(ZoneId(order[0]))
        record = _records.encode_record(_records.Accepted(spec=spec))
        message = messages.JobSubmit(
            registrar=registrar,
            record=record,
            zones=tuple(sorted(zones)),
            is_repeated=is_repeated,
        )
        return _found(await self._call(registrar, message))

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
            See `status`.
        """
        return await self._follow(domain, job, messages.JobAction.CANCEL)

    async def list_jobs(self, account: str) -> list[FoundJob]:
        """Returns the jobs of an account in all domains that answer."""
        domains = sorted(domain_of(z) for z in self.zones())
        replies = await asyncio.gather(
            *(
                self._call(d, messages.JobList(domain=d, account=account))
                for d in domains
            ),
            return_exceptions=True,
        )
        return [
            FoundJob(domain=domain, entry=entry)
            for domain, reply in zip(domains, replies, strict=True)
            if isinstance(reply, messages.JobReply)
            for entry in _entries(reply)
            if entry.phase is not _records.JobPhase.MOVED
        ]

    def choose_domain(
        self,
        spec: _records.JobSpec,
        *,
        allowed: Iterable[ZoneId] = (),
        exclude: str = "",
    ) -> str | None:
        """Returns the domain for a job by feasibility and load, or None."""
        workers = self.workers()
        feasible = scheduling.feasible_zones(spec.gang, workers.values())
        candidates = feasible & self.startable_zones()
        limit = frozenset(allowed)
        if limit:
            candidates &= limit
        domains = {domain_of(z) for z in candidates} - {exclude}
        if not domains:
            return None
        totals = _accelerators_by_domain(workers.values())
        need = spec.gang.tasks * spec.gang.shape.accelerators

        def cost(domain: str) -> tuple[float, int, str]:
            load = self.loads.load(domain)
            total = totals.get(domain, 0)
            share = (load.used + load.queued + need) / max(total, 1)
            return share, load.tasks, domain

        return min(domains, key=cost)

    async def forward(self, domain: str, accepted: _records.Accepted) -> None:
        """Hands a job to another domain.

        Raises:
            ForwardError: the other owner has not acknowledged the job.
        """
        record = _records.encode_record(accepted)
        message = messages.JobAccept(domain=domain, record=record)
        try:
            reply = await self._call(domain, message)
        except (_errors.NotRunError, _errors.OutcomeUnknownError) as error:
            raise _errors.ForwardError(str(error)) from error
        if reply.state != _State.OK.value:
            raise _errors.ForwardError(f"{domain}: {reply.reason}")

    async def _follow(
        self, domain: str, job: JobId, action: messages.JobAction
    ) -> FoundJob:
        for _ in range(_MAX_HOPS):
            message = messages.JobCommand(
                domain=domain, action=action.value, subject=job
            )
            found = _found(await self._call(domain, message))
            if found.entry.phase is not _records.JobPhase.MOVED:
                return found
            domain = found.entry.domain
        raise _errors.UnknownJobError(f"{job}: moved too often")

    async def _call(
        self, domain: str, message: peers.Message
    ) -> messages.JobReply:
        """Sends a message to a domain's owner.

        Raises:
            NotRunError: it was not delivered.
            OutcomeUnknownError: no reply came.
        """
        record = self.directory.owner_of(domain)
        if record is None:
            raise _errors.NotRunError(f"{domain}: has no owner at the moment")
        try:
            return await self.network.request(
                record.instance, message, timeout_s=CALL_TIMEOUT_S
            )
        except (peers.PeerUnreachableError, peers.PeerRefusedError) as error:
            raise _errors.NotRunError(f"{domain}: {error}") from error
        except peers.PeerError as error:
            raise _errors.OutcomeUnknownError(f"{domain}: {error}") from error

    async def _on_submit(
        self, sender: InstanceId, message: messages.JobSubmit
    ) -> messages.JobReply:
        if self.owner(message.registrar) is None:
            return _not_owner(message.registrar)
        accepted = _records.decode_record(message.record)
        key = accepted.spec.submission
        task = self._in_progress.get(key)
        if task is None:
            task = asyncio.create_task(self._route(accepted, message))
            self._in_progress[key] = task
            task.add_done_callback(lambda _: self._in_progress.pop(key, None))
        return await asyncio.shield(task)

    async def _route(
        self, accepted: _records.Accepted, message: messages.JobSubmit
    ) -> messages.JobReply:
        spec = accepted.spec
        try:
            if message.is_repeated:
                known = await self._find_submission(spec.submission)
                if known is not None:
                    return known
            return await self._accept_somewhere(
                accepted, [ZoneId(z) for z in message.zones]
            )
        except _errors.NotRunError as error:
            return _refusal(_State.NOT_RUN, error)
        except _errors.OutcomeUnknownError as error:
            return _refusal(_State.UNKNOWN, error)

    async def _accept_somewhere(
        self, accepted: _records.Accepted, zones: list[ZoneId]
    ) -> messages.JobReply:
        gang = accepted.spec.gang
        workers = self.workers().values()
        if not scheduling.feasible_zones(gang, workers):
            raise _errors.NotRunError(_describe_infeasible(gang))
        domain = self.choose_domain(accepted.spec, allowed=zones)
        if domain is None:
            raise _errors.NotRunError(
                "no zone in service can hold the job at the moment"
            )
        record = _records.encode_record(accepted)
        return await self._call(
            domain, messages.JobAccept(domain=domain, record=record)
        )

    async def _find_submission(
        self, submission: str
    ) -> messages.JobReply | None:
        """Looks for an accepted submission in every domain.

        Raises:
            OutcomeUnknownError: a domain that may have it does not answer.
        """
        action = messages.JobAction.FIND_SUBMISSION.value
        domains = sorted(domain_of(z) for z in self.zones())
        replies = await asyncio.gather(
            *(
                self._call(
                    d,
                    messages.JobCommand(
                        domain=d, action=action, subject=submission
                    ),
                )
                for d in domains
            ),
            return_exceptions=True,
        )
        found = [r for r in replies if _has_entries(r)]
        if found:
            return found[0]
        for domain, reply in zip(domains, replies, strict=True):
            if not _is_answer(reply):
                raise _errors.OutcomeUnknownError(
                    f"{domain}: does not answer and may have this submission"
                )
        return None

    async def _on_accept(
        self, sender: InstanceId, message: messages.JobAccept
    ) -> messages.JobReply:
        owner = self.owner(message.domain)
        if owner is None:
            return _not_owner(message.domain)
        accepted = _records.decode_record(message.record)
        try:
            await owner.accept(accepted)
            entry = owner.status(accepted.spec.gang.job)
        except _errors.NotRunError as error:
            return _refusal(_State.NOT_RUN, error)
        except _errors.ExecutionError as error:
            return _refusal(_State.UNKNOWN, error)
        return _reply(message.domain, [entry])

    async def _on_command(
        self, sender: InstanceId, message: messages.JobCommand
    ) -> messages.JobReply:
        owner = self.owner(message.domain)
        if owner is None:
            return _not_owner(message.domain)
        action = messages.JobAction(message.action)
        try:
            if action is messages.JobAction.FIND_SUBMISSION:
                known = owner.jobs.find_submission(message.subject)
                entries = [] if known is None else [known]
            elif action is messages.JobAction.CANCEL:
                entries = [await owner.cancel(JobId(message.subject))]
            else:
                entries = [owner.status(JobId(message.subject))]
        except _errors.UnknownJobError as error:
            return _refusal(_State.NO_SUCH_JOB, error)
        except _errors.NotRunError as error:
            return _refusal(_State.NOT_RUN, error)
        except _errors.ExecutionError as error:
            return _refusal(_State.UNKNOWN, error)
        return _reply(message.domain, entries)

    async def _on_list(
        self, sender: InstanceId, message: messages.JobList
    ) -> messages.JobReply:
        owner = self.owner(message.domain)
        if owner is None:
            return _not_owner(message.domain)
        entries = [
            e
            for phase in _records.JobPhase
            for e in owner.jobs.in_phase(phase)
            if e.spec.gang.account == message.account
        ]
        return _reply(message.domain, entries)


def _reply(
    domain: str, entries: Iterable[_records.JobEntry]
) -> messages.JobReply:
    encoded = tuple(
        _records.encode_record(_records.Snapshot(entry=e)) for e in entries
    )
    return messages.JobReply(
        state=_State.OK.value, domain=domain, entries=encoded
    )


def _refusal(state: _State, error: Exception) -> messages.JobReply:
    return messages.JobReply(state=state.value, reason=str(error))


def _not_owner(domain: str) -> messages.JobReply:
    return messages.JobReply(
        state=_State.NOT_OWNER.value, reason=f"{domain}: is not owned here"
    )


def _entries(reply: messages.JobReply) -> list[_records.JobEntry]:
    return [_records.decode_record(e).entry for e in reply.entries]


def _found(reply: messages.JobReply) -> FoundJob:
    state = _State(reply.state)
    if state is _State.OK:
        return FoundJob(domain=reply.domain, entry=_entries(reply)[0])
    if state is _State.NO_SUCH_JOB:
        raise _errors.UnknownJobError(reply.reason)
    if state is _State.UNKNOWN:
        raise _errors.OutcomeUnknownError(reply.reason)
    raise _errors.NotRunError(reply.reason)


def _is_answer(reply: object) -> bool:
    return (
        isinstance(reply, messages.JobReply) and reply.state == _State.OK.value
    )


def _has_entries(reply: object) -> bool:
    return isinstance(reply, messages.JobReply) and bool(reply.entries)


def _accelerators_by_domain(
    workers: Iterable[scheduling.Worker],
) -> dict[str, int]:
    totals: dict[str, int] = {}
    for worker in workers:
        domain = domain_of(worker.zone)
        totals[domain] = totals.get(domain, 0) + worker.shape.accelerators
    return totals


def _describe_infeasible(gang: scheduling.Gang) -> str:
    shape = gang.shape
    return (
        f"the job can never run: no zone holds {gang.tasks} tasks of "
        f"{shape.cores:g} cores, {shape.memory_gb:g} GB and "
        f"{shape.accelerators} accelerators with adjacency "
        f"{gang.adjacency.value}"
    )
