"""A domain's renewal round against workers in memory, with counted bytes."""

import asyncio
import time
from collections.abc import Iterable
from typing import Any

import msgpack

from magnoliaglade import clock as clock_lib
from magnoliaglade import execution, scheduling, standins
from magnoliaglade.execution import _calls, _gangs, _launch, _renewal
from magnoliaglade.instances import codec
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.types import AccountId, Epoch, JobId, WorkerId

_DOMAIN = "jobs.z"
# Members of a gang; a worker holds the members of GANGS_PER_WORKER gangs.
_MEMBERS = 4
GANGS_PER_WORKER = 2
_LEASE_S = 600.0


class _Owned:
    """An ownership that is always valid."""

    epoch = Epoch(1)
    is_valid = True

    def check(self) -> Epoch:
        """Returns the epoch."""
        return self.epoch


class _Link:
    """Encodes calls as the HTTP client does; counts the worker apart."""

    def __init__(self, *, worker: standins.InMemoryWorker) -> None:
        self.worker = worker
        self.calls = 0
        self.bytes = 0
        self.worker_s = 0.0

    async def renew(
        self, request: worker_lib.RenewRequest
    ) -> worker_lib.WorkerReport:
        """See `WorkerClient.renew`."""
        sent = msgpack.packb(codec.encode(request))
        begun_s = time.process_time()
        report = await self.worker.renew(request)
        data = msgpack.packb(codec.encode(report))
        self.worker_s += time.process_time() - begun_s
        self.calls += 1
        self.bytes += len(sent) + len(data)
        return codec.decode_report(msgpack.unpackb(data))


class Domain:
    """Running gangs on workers in memory and the renewal of their owner."""

    def __init__(self, *, workers: int, tasks_per_worker: int) -> None:
        self.count = tasks_per_worker // GANGS_PER_WORKER
        self.clock = clock_lib.SystemClock()
        self.workers = [WorkerId(f"worker-{n:04}") for n in range(workers)]
        self.links = {
            w: _Link(
                worker=standins.InMemoryWorker(
                    worker=w, clock=self.clock, cores=1e6, memory_gb=1e6
                )
            )
            for w in self.workers
        }
        self.renewal = _renewal.Renewal(
            domain=_DOMAIN,
            clock=self.clock,
            calls=_calls.WorkerCalls(
                clock=self.clock,
                client=self.links.__getitem__,
                authority=_calls.OwnerAuthority(
                    owned=_Owned(), is_permitted=lambda: True
                ),
            ),
            is_expected=lambda job, attempt: True,
            on_finding=self._refuse_finding,
            on_orphan=self._refuse_orphan,
        )

    async def start(self) -> None:
        """Places the gangs, each on `_MEMBERS` neighbouring workers."""
        for first in range(0, len(self.workers), _MEMBERS):
            members = self.workers[first : first + _MEMBERS]
            for number in range(GANGS_PER_WORKER):
                await self._start_gang(f"job-{first}-{number}", members)

    async def measure(self, *, rounds: int) -> dict[str, float]:
        """Returns calls, bytes and the owner's CPU seconds of a round."""
        for link in self.links.values():
            link.calls, link.bytes, link.worker_s = 0, 0, 0.0
        begun_s = time.process_time()
        for _ in range(rounds):
            await self.renewal.round()
        used_s = time.process_time() - begun_s
        links = self.links.values()
        return {
            "calls": sum(x.calls for x in links) / rounds,
            "bytes": sum(x.bytes for x in links) / rounds,
            "cpu": (used_s - sum(x.worker_s for x in links)) / rounds,
        }

    async def _start_gang(self, name: str, members: list[WorkerId]) -> None:
        job = JobId(name)
        size = self.count * len(members)
        reports = {}
        for worker in members:
            core = self.links[worker].worker
            held = await core.reserve(self._reserve_request(job))
            await core.commit(
                worker_lib.CommitRequest(
                    domain=_DOMAIN,
                    epoch=Epoch(1),
                    reservation=held.reservation,
                    gang_size=size,
                    confirm_s=_LEASE_S,
                )
            )
            reports[worker] = await core.renew(
                worker_lib.RenewRequest(
                    domain=_DOMAIN,
                    epoch=Epoch(1),
                    activate=(job,),
                    keep=(job,),
                    lease_s=_LEASE_S,
                )
            )
        launch = make_launch(job, [(w, self.count) for w in members])
        now_s = self.clock.now()
        gang = _gangs.make_gang(launch, now_s=now_s, reports=reports)
        self.renewal.add(gang)

    def _reserve_request(self, job: JobId) -> worker_lib.ReserveRequest:
        return worker_lib.ReserveRequest(
            domain=_DOMAIN,
            epoch=Epoch(1),
            job=job,
            attempt=1,
            count=self.count,
            spec=worker_lib.TaskSpec(
                command=("run",), cores=1.0, memory_gb=1.0, accelerators=0
            ),
            ttl_s=_LEASE_S,
        )

    def _refuse_finding(self, *found: Any) -> None:
        raise RuntimeError(f"unexpected finding {found}")

    async def _refuse_orphan(self, *found: Any) -> None:
        raise RuntimeError(f"unexpected orphan {found}")


def make_launch(
    job: JobId, assignments: Iterable[tuple[WorkerId, int]]
) -> _launch.Launch:
    """Returns the launch of a gang at a placement."""
    pairs = tuple(assignments)
    return _launch.Launch(
        spec=execution.JobSpec(
            gang=scheduling.Gang(
                job=job,
                account=AccountId("a0"),
                tasks=sum(n for _, n in pairs),
                shape=scheduling.Shape(cores=1, memory_gb=1, accelerators=0),
            ),
            command=("run",),
            submission=f"submission-{job}",
        ),
        attempt=1,
        checkpoint="",
        placement=scheduling.Placement(job=job, assignments=pairs),
    )


def measure(
    *, workers: int, tasks_per_worker: int, rounds: int
) -> dict[str, float]:
    """Returns calls, bytes and CPU seconds of one round of a domain."""

    async def run() -> dict[str, float]:
        domain = Domain(workers=workers, tasks_per_worker=tasks_per_worker)
        await domain.start()
        return await domain.measure(rounds=rounds)

    return asyncio.run(run())
