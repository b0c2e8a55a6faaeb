"""Shared parts of the execution tests: workers, stores and a kill switch."""

import contextlib

from magnoliaglade import clock as clock_lib
from magnoliaglade import execution, scheduling, standins
from magnoliaglade import store as store_lib
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.types import AccountId, InstanceId, JobId, WorkerId, ZoneId

ZONE = ZoneId("z")
DOMAIN = "jobs.z"


def make_spec(job, *, tasks=2, command=("run",), **options):
    gang = scheduling.Gang(
        job=JobId(job),
        account=AccountId("a"),
        tasks=tasks,
        shape=scheduling.Shape(cores=1, memory_gb=1, accelerators=4),
        **options,
    )
    return execution.JobSpec(
        gang=gang, command=command, submission=f"submission-{job}"
    )


def greedy(snapshot):
    """Places each pending gang first-fit by accelerators."""
    free = {
        w: x.shape.accelerators
        for w, x in sorted(snapshot.workers.items())
        if x.state is scheduling.WorkerState.AVAILABLE
        and x.zone in snapshot.startable_zones
    }
    for running in snapshot.running.values():
        for worker, count in running.placement.assignments:
            if worker in free:
                free[worker] -= count * running.gang.shape.accelerators
    starts = []
    for gang in snapshot.pending:
        need, assignments = gang.tasks, []
        for worker in free:
            count = min(need, free[worker] // gang.shape.accelerators)
            if count > 0:
                assignments.append((worker, count))
                need -= count
        if need:
            continue
        for worker, count in assignments:
            free[worker] -= count * gang.shape.accelerators
        starts.append(
            scheduling.Placement(job=gang.job, assignments=tuple(assignments))
        )
    return scheduling.Plan(starts=tuple(starts))


class Fuse:
    """Kills an owner before or after its n-th effect outside the process."""

    def __init__(self):
        self.count = 0
        self.limit = None
        self.is_blown = False

    def burn(self):
        self.count += 1
        if self.limit is not None and self.count > self.limit:
            self.is_blown = True


class FusedClient:
    """Burns the fuse before and after each call of a store or worker."""

    def __init__(self, *, target, fuse, error, names):
        self.target = target
        self.fuse = fuse
        self.error = error
        self.names = names

    def __getattr__(self, name):
        method = getattr(self.target, name)

        async def call(*args, **options):
            if name in self.names:
                self.fuse.burn()
            if self.fuse.is_blown:
                raise self.error("killed")
            result = await method(*args, **options)
            if name in self.names:
                self.fuse.burn()
            if self.fuse.is_blown:
                raise self.error("killed")
            return result

        return call


WORKER_CALLS = ("reserve", "commit", "release", "renew", "checkpoint", "stop")


class Cluster:
    """One zone with workers of 8 accelerators and the platform's store."""

    def __init__(self, *, workers=2):
        self.clock = clock_lib.ManualClock()
        self.memory = store_lib.InMemoryStore(clock=self.clock)
        self.workers = {
            WorkerId(f"w{n}"): standins.InMemoryWorker(
                clock=self.clock, worker=WorkerId(f"w{n}")
            )
            for n in range(workers)
        }
        self.nodes = []

    def listed(self):
        shape = scheduling.Shape(cores=64, memory_gb=128, accelerators=8)
        return {
            w: scheduling.Worker(worker=w, zone=ZONE, rack="r", shape=shape)
            for w in self.workers
        }

    def runs(self, job=None):
        return [
            r
            for w in self.workers.values()
            for r in w.runs
            if job is None or r.job == job
        ]

    def running(self, job):
        return [r for r in self.runs(job) if r.ended_s is None]

    def attempts(self, job):
        """Returns run intervals of tasks by attempt."""
        found = {}
        for run in self.runs(job):
            found.setdefault(run.attempt, []).append(run)
        return found

    def partial_s(self, job, tasks=2):
        """Returns the longest time for which part of an attempt ran alone."""
        longest = 0.0
        for runs in self.attempts(job).values():
            now = self.clock.now()
            start = min(r.started_s for r in runs)
            ends = [r.ended_s or now for r in runs]
            if len(runs) < tasks:
                longest = max(longest, max(ends) - start)
            else:
                longest = max(longest, max(ends) - min(ends))
        return longest

    def overlaps(self, job, tasks=2):
        """Tells whether more tasks ran at a time than the gang has.

        Attempts are told apart by number of tasks and not by their number,
        which a successor may use again for an attempt that it never saw.
        """
        events = []
        for run in self.runs(job):
            events += [(run.started_s, 1), (run.ended_s or float("inf"), -1)]
        running = peak = 0
        for _, change in sorted(events):
            running += change
            peak = max(peak, running)
        return peak > tasks


class Node:
    """An entry instance with its own links to store and workers."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = InstanceId(name)
        self.fuse = Fuse()
        self.store = standins.FaultyStore(
            store=FusedClient(
                target=cluster.memory,
                fuse=self.fuse,
                error=store_lib.StoreOutcomeUnknownError,
                names=("put",),
            ),
            clock=cluster.clock,
        )
        self.links = {
            w: standins.WorkerLink(
                worker=FusedClient(
                    target=x,
                    fuse=self.fuse,
                    error=worker_lib.WorkerOutcomeUnknownError,
                    names=WORKER_CALLS,
                )
            )
            for w, x in cluster.workers.items()
        }
        self.lease = store_lib.InstanceLease(
            store=self.store, clock=cluster.clock
        )
        self.ownership = store_lib.OwnershipManager(
            store=self.store, instance=self.name, lease=self.lease
        )
        self.has_grants = False
        self.startable = frozenset({ZONE})
        self.outcomes = []
        self.owner = None
        cluster.nodes.append(self)

    async def acquire(self):
        if not self.lease.is_valid:
            await self.lease.start()
        owned = None
        while owned is None:
            owned = await self.ownership.acquire(DOMAIN)
            if owned is None:
                await self.cluster.clock.advance(0.5)
        return owned

    async def own(self, **hooks):
        """Acquires the domain and starts an owner."""
        owned = await self.acquire()
        self.owner = execution.DomainOwner(
            zone=ZONE,
            instance=self.name,
            store=self.store,
            clock=self.cluster.clock,
            ownership=self.ownership,
            owned=owned,
            hooks=execution.OwnerHooks(
                **{
                    "decide": greedy,
                    "workers": self.cluster.listed,
                    "client": self.links.__getitem__,
                    "startable_zones": lambda: self.startable,
                    "may_act_in_outage": lambda: self.has_grants,
                    "on_outcome": lambda *x: self.outcomes.append(x),
                    **hooks,
                }
            ),
        )
        await self.owner.start()
        return self.owner

    def phase(self, job):
        return self.owner.status(job).phase

    def kill(self):
        """Cuts the process off from everything, as its end does."""
        self.fuse.is_blown = True

    async def close(self):
        self.kill()
        if self.owner is not None:
            await self.owner.abandon()
        if self.lease._task is not None:
            self.lease._task.cancel()
            with contextlib.suppress(BaseException):
                await self.lease._task
