"""A coordinator on a virtual clock with in-memory store and workers."""

import asyncio
import hashlib

from magnoliaglade import clock as clock_lib
from magnoliaglade import coordinator, placement, routing, store
from magnoliaglade.jobs import (
    Job,
    JobSpec,
    JobState,
    Resources,
    StepSpec,
    decode_state,
    encode_job,
    keys,
)
from magnoliaglade.standins import FaultyStore
from magnoliaglade.standins.worker_engine import WorkerEngine
from magnoliaglade.types import (
    AccountId,
    Epoch,
    JobId,
    QueueName,
    ServiceName,
    WorkerId,
    ZoneId,
)

SERVICE = ServiceName("render")
ACCOUNT = AccountId("studio")
LONGEST_LEASE_S = 6.0


def job_id(name):
    return JobId(hashlib.sha256(name.encode()).hexdigest()[:16])


def make_step(
    *, count=1, accelerators=1, estimate_s=4.0, cores_m=1_000, **fields
):
    return StepSpec(
        count=count,
        demand=Resources(
            cores_m=cores_m, memory_mb=1_000, accelerators=accelerators
        ),
        estimate_s=estimate_s,
        **fields,
    )


def make_job(name, *steps, priority=1, accepted_at_s=0.0, **fields):
    spec_fields = {
        k: fields.pop(k)
        for k in ("repetitions", "start_at_s", "interval_s")
        if k in fields
    }
    values = {
        "job": job_id(name),
        "account": ACCOUNT,
        "queue": QueueName("proofs"),
        "service": SERVICE,
        "priority": priority,
        "max_attempts": 3,
        "stretch": 3.0,
        "objective_s": 1.0,
        "accepted_at_s": accepted_at_s,
        "spec": JobSpec(
            payload=f"payload of {name}",
            steps=steps or (make_step(),),
            **spec_fields,
        ),
    }
    return Job(**(values | fields))


def make_configuration(*, guaranteed=0, accounts=(ACCOUNT,)):
    return routing.Configuration(
        version=1,
        queues=(),
        services=frozenset({SERVICE}),
        accounts={
            a: routing.Account(
                name=a,
                key_digests=frozenset(),
                guaranteed_accelerators=guaranteed,
            )
            for a in accounts
        },
        max_body_bytes=0,
        accounts_by_digest={},
    )


class Deployment:
    """Store, workers and successive coordinators on one virtual clock."""

    def __init__(self, *, workers=4, duration_s=4.0, per_rack=4):
        self.clock = clock_lib.ManualClock()
        self.store = store.InMemoryStore(clock=self.clock)
        self.durations = {}
        self.duration_s = duration_s
        self.engines = {
            WorkerId(f"w{i}"): WorkerEngine(
                clock=self.clock,
                worker=WorkerId(f"w{i}"),
                duration_s=lambda task: self.durations.get(
                    task, self.duration_s
                ),
                rack=f"r{i // per_rack}",
                longest_lease_s=LONGEST_LEASE_S,
                zone="ab"[i % 2],
            )
            for i in range(workers)
        }
        self.unlisted = set()
        self.removed_zones = set()
        self.unconfirmed_s = 0.0
        self.zones_age_s = 0.0
        self.configuration = make_configuration(guaranteed=16)
        self.terms = []

    async def elect(self, used_store=None, **fields):
        """Starts a coordinator in a new epoch.

        Args:
            used_store: the coordinator's store, if not the deployment's.
            **fields: other arguments of the coordinator.
        """
        entry = await self.store.get(keys.COORDINATOR_KEY)
        epoch = await self.store.put(
            keys.COORDINATOR_KEY,
            b"owner",
            expected=entry.revision if entry else 0,
        )
        values = {
            "store": used_store or self.store,
            "clock": self.clock,
            "epoch": Epoch(epoch),
            "connect": lambda listed: self.engines[listed.worker],
            "list_workers": self._list,
            "configuration": lambda: self.configuration,
            "removed_zones": lambda: frozenset(
                ZoneId(z) for z in self.removed_zones
            ),
            "unconfirmed_s": lambda: self.unconfirmed_s,
            "zones_age_s": lambda: self.zones_age_s,
            "timings": coordinator.Timings(
                longest_lease_s=LONGEST_LEASE_S,
                stop_s=0.2,
                status_s=120.0,
                restore_s=0.25,
                evacuate_s=5.0,
                drain_s=2.0,
            ),
            "planner": placement.Planner(),
        }
        current = coordinator.Coordinator(**(values | fields))
        task = asyncio.ensure_future(current.run())
        self.terms.append((current, task))
        await self.clock.advance(0.01)
        return current

    def faulty_store(self):
        return FaultyStore(store=self.store, clock=self.clock)

    async def kill(self, current):
        """Ends a coordinator without storing its pending changes."""
        for other, task in self.terms:
            if other is current:
                current.journal.wait_stored = _never_stored
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    async def stop(self):
        for _, task in self.terms:
            task.cancel()
        tasks = [t for _, t in self.terms]
        waiting = asyncio.gather(*tasks, return_exceptions=True)
        await self.clock.advance(1.0)
        await waiting

    async def submit(self, job):
        await self.store.put(keys.job_key(job.job), encode_job(job), expected=0)
        return job.job

    async def cancel(self, job):
        await self.store.put(keys.cancellation_key(job), b"", expected=0)

    async def state(self, job):
        entry = await self.store.get(keys.progress_key(job))
        return decode_state(entry.value) if entry else JobState.QUEUED

    def starts(self, job=None):
        found = [s for e in self.engines.values() for s in e.starts]
        return sorted(
            (s for s in found if job is None or s.task.startswith(str(job))),
            key=lambda s: s.at_s,
        )

    def workers_running(self, task):
        return [w for w, e in self.engines.items() if task in e.running]

    async def _list(self):
        return [
            e.listed()
            for w, e in self.engines.items()
            if w not in self.unlisted
        ]


async def _never_stored(position, *, timeout_s=None):
    del position, timeout_s
    return False
