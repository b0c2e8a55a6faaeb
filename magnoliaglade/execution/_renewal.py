"""Renewal of task leases and detection of gangs that ended or lost a member."""

from collections.abc import Awaitable, Callable, Iterable

from magnoliaglade import clock as clock_lib
from magnoliaglade.execution import _calls, _gangs, _launch
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.types import Epoch, JobId, WorkerId

# Two lost renewals are tolerated by a lease of 20 s with 5 s to spare.
TASK_RENEW_S = 5.0

_HOLDS_ROOM = (worker_lib.TaskPhase.HELD, worker_lib.TaskPhase.RUNNING)

OnFinding = Callable[[_gangs.ActiveGang, _gangs.Finding], None]
OnOrphan = Callable[[WorkerId, JobId, int, bool], Awaitable[None]]


class Renewal:
    """Renews the leases of one domain's gangs, one call per worker and round.

    Attributes:
        is_expected: whether tasks of a job's attempt may be on a worker.
        on_finding: called for each gang that no longer just runs; the gang
            is not renewed any more.
        on_orphan: awaited for tasks that are not expected; the last argument
            tells whether any of them holds room.
    """

    def __init__(
        self,
        *,
        domain: str,
        clock: clock_lib.Clock,
        calls: _calls.WorkerCalls,
        is_expected: Callable[[JobId, int], bool],
        on_finding: OnFinding,
        on_orphan: OnOrphan,
    ) -> None:
        self.domain = domain
        self.clock = clock
        self.calls = calls
        self.is_expected = is_expected
        self.on_finding = on_finding
        self.on_orphan = on_orphan
        self._gangs: dict[JobId, _gangs.ActiveGang] = {}
        self._unreached: set[WorkerId] = set()
        self._visits: set[WorkerId] = set()

    @property
    def gangs(self) -> dict[JobId, _gangs.ActiveGang]:
        """The renewed gangs by job."""
        return self._gangs

    @property
    def unreached(self) -> frozenset[WorkerId]:
        """Workers that did not answer their last renewal."""
        return frozenset(self._unreached)

    def add(self, gang: _gangs.ActiveGang) -> None:
        """Starts renewing a gang."""
        self._gangs[gang.job] = gang

    def remove(self, job: JobId) -> _gangs.ActiveGang | None:
        """Stops renewing a job and returns its gang, if there is one."""
        return self._gangs.pop(job, None)

    def watch(self, worker: WorkerId) -> None:
        """Asks a worker in each round until it answers."""
        self._unreached.add(worker)

    def visit(self, workers: Iterable[WorkerId]) -> None:
        """Asks workers in the next round, to clear what ended there."""
        self._visits.update(workers)

    async def round(self) -> None:
        """Renews every gang once and acts on what the workers report.

        Raises:
            LeaseLapsedError: the owner may not act.
            StaleEpochError: another owner has fenced a worker.
        """
        kept = _gangs.jobs_by_worker(self._gangs.values())
        workers = kept.keys() | self._unreached | self._visits
        self._visits.clear()

        def send(worker: WorkerId) -> _calls.Send:
            return lambda client, epoch: client.renew(
                self._request(worker, epoch, kept.get(worker, ()))
            )

        results = await self.calls.call_all(sorted(workers), send)
        orphans: list[tuple[WorkerId, JobId, int, bool]] = []
        for worker, result in results.items():
            report = self._note(worker, result)
            for gang in kept.get(worker, ()):
                gang.observe(worker, report)
            if report is not None:
                orphans += self._find_orphans(worker, report)
        self._judge()
        for orphan in orphans:
            await self.on_orphan(*orphan)

    async def poll(self, gang: _gangs.ActiveGang) -> None:
        """Renews one gang between rounds; a missing answer is no miss."""
        await self._poll((gang,))

    async def look(self, gangs: Iterable[_gangs.ActiveGang]) -> None:
        """Renews gangs between rounds and acts on what has ended."""
        await self._poll(gangs)
        self._judge()

    async def _poll(self, gangs: Iterable[_gangs.ActiveGang]) -> None:
        polled = _gangs.jobs_by_worker(gangs)

        def send(worker: WorkerId) -> _calls.Send:
            return lambda client, epoch: client.renew(
                self._request(worker, epoch, polled[worker])
            )

        results = await self.calls.call_all(sorted(polled), send)
        for worker, result in results.items():
            if not isinstance(result, worker_lib.WorkerReport):
                continue
            for gang in polled[worker]:
                gang.observe(worker, result)

    def _request(
        self,
        worker: WorkerId,
        epoch: Epoch,
        gangs: Iterable[_gangs.ActiveGang],
    ) -> worker_lib.RenewRequest:
        return worker_lib.RenewRequest(
            domain=self.domain,
            epoch=epoch,
            keep=tuple(self._extend(worker, gangs)),
            lease_s=_launch.TASK_LEASE_TTL_S,
        )

    def _extend(
        self, worker: WorkerId, gangs: Iterable[_gangs.ActiveGang]
    ) -> Iterable[JobId]:
        for gang in gangs:
            # A gang that was removed while the round waited is not extended.
            if self._gangs.get(gang.job) is gang:
                gang.members[worker].last_sent_s = self.clock.now()
                yield gang.job

    def _note(
        self, worker: WorkerId, result: object
    ) -> worker_lib.WorkerReport | None:
        if isinstance(result, worker_lib.WorkerReport):
            self._unreached.discard(worker)
            return result
        is_stale = isinstance(result, worker_lib.StaleEpochError)
        if isinstance(result, worker_lib.WorkerCallError) and not is_stale:
            self._unreached.add(worker)
            return None
        assert isinstance(result, BaseException)
        raise result

    def _judge(self) -> None:
        for gang in list(self._gangs.values()):
            finding = gang.judge()
            if finding.verdict is _gangs.Verdict.RUNNING:
                continue
            self.remove(gang.job)
            self.on_finding(gang, finding)

    def _find_orphans(
        self, worker: WorkerId, report: worker_lib.WorkerReport
    ) -> list[tuple[WorkerId, JobId, int, bool]]:
        found: dict[tuple[JobId, int], bool] = {}
        for task in report.tasks:
            if self.is_expected(task.job, task.attempt):
                continue
            key = (task.job, task.attempt)
            found[key] = found.get(key, False) or task.phase in _HOLDS_ROOM
        return [(worker, j, n, alive) for (j, n), alive in found.items()]
