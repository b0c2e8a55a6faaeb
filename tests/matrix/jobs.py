"""Driver of the job rows: one owner, its successors and three workers."""

import asyncio
import contextlib
import dataclasses

import msgpack

from magnoliaglade import configuration, execution, scheduling
from magnoliaglade import store as store_lib
from magnoliaglade.daemon import _worker_states
from magnoliaglade.execution.tests import harness
from magnoliaglade.faults import Fault, Promise
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.types import AccountId
from tests.matrix import table

JobStep = execution.JobStep
LaunchStep = execution.LaunchStep
_BY_POINT = {s.value: s for s in JobStep}
HEAL_S = 8.0
ERRORS = (
    execution.ExecutionError,
    store_lib.StoreError,
    worker_lib.WorkerCallError,
)
# A member that is cut off stops itself after its lease of 20 s; call timeouts
# and the stop add up to 0.7 s.
CUT_OFF_S = 20.7
_CUTS_NOTHING = frozenset(
    {
        Fault.STORE_DOWN,
        Fault.STORE_SLOW,
        Fault.ANSWER_LOST,
        Fault.WORKER_FAILS_ALL,
        Fault.OPERATORS_RACE,
        Fault.ZONE_LEAVES,
    }
)
GUARANTEE = scheduling.GuaranteedCells(
    account=AccountId("a"),
    zone=harness.ZONE,
    level=configuration.CellLevel.ACCELERATOR,
    count=2,
    accelerators=4,
)


def decide(snapshot):
    return scheduling.decide(snapshot, policy="cells", seed=1)


def kinds_of(key, value):
    """Returns the kinds of the job records in a stored value."""
    if not key.startswith(f"logs/{harness.DOMAIN}/"):
        return set()
    found, left = set(), [msgpack.unpackb(value)]
    while left:
        item = left.pop()
        if isinstance(item, (list, tuple)):
            left += item
        elif isinstance(item, bytes):
            with contextlib.suppress(Exception):
                kind = msgpack.unpackb(item)[0]
                found.add(kind)
    return found


class Tap:
    """Reports each call to the run before it reaches its target."""

    def __init__(self, run, node, target, worker=None):
        self.run, self.node, self.target = run, node, target
        self.worker = worker

    def __getattr__(self, name):
        method = getattr(self.target, name)

        async def call(*args, **options):
            for step in self.steps_of(name, args):
                await self.run.probe.cross(step, node=self.node, tap=self)
            if self.run.silent is self:
                self.run.silent = None
                await self.run.clock.sleep(2.0)
                if self.worker is None:
                    raise store_lib.StoreOutcomeUnknownError("no answer")
                raise worker_lib.WorkerOutcomeUnknownError("no answer")
            paused_s = self.run.paused.get(self.node, 0) - self.run.clock.now()
            if paused_s > 0:
                await self.run.clock.sleep(paused_s)
            return await method(*args, **options)

        return call

    def steps_of(self, name, args):
        if self.worker is None:
            points = kinds_of(*args) if name == "put" else ()
            return [_BY_POINT[p] for p in self.points("record", points)]
        if name == "renew":
            seen = self.run.kept.setdefault(self.worker, set())
            is_renewal = bool(seen & set(args[0].keep))
            seen |= set(args[0].keep)
            return [JobStep.RENEW] if is_renewal else []
        return [_BY_POINT[p] for p in self.points("worker", [name])]

    def points(self, kind, names):
        points = {f"{kind}:{n}" for n in names}
        self.run.points |= points
        return [p for p in sorted(points) if p in _BY_POINT]


class Run:
    """Submission, reclaim, end, cancellation, move and takeover of jobs."""

    def __init__(self, cells):
        self.cluster = harness.Cluster(workers=3)
        self.clock = self.cluster.clock
        self.probe = table.Probe(cells, self.inject)
        self.points, self.kept, self.paused = set(), {}, {}
        self.silent = self.heal_at_s = None
        # Only these faults cut a member off or end the owner.
        cuts = {fault for _, fault in cells} - _CUTS_NOTHING
        self.bound_s = CUT_OFF_S if cuts else execution.GANG_CONFIRM_S
        self.names = iter("nopqrstuvw")
        self.startable, self.removed = frozenset({harness.ZONE}), []
        self.policy = None
        self.refused, self.accepted, self.moved = set(), set(), []
        self.nodes, self.node = [], None
        self.disturbed = set()

    async def run(self):
        await self.take_over()
        await self.submit("b", account="b", tasks=6, checkpointable=True)
        await self.advance(8)
        await self.submit("g", account="a", command=("sleep", "6"))
        await self.advance(20)
        await self.retry("g", account="a", command=("sleep", "6"))
        await self.advance(16)
        # The borrower has no other end, so only a reclaim makes room.
        self.reclaimed = bool(self.cluster.runs("g"))
        with contextlib.suppress(*ERRORS):
            await self.wait(self.node.owner.cancel("b"))
        await self.advance(4)
        await self.submit(
            "o", account="c", at_most_once=True, command=("sleep", "6")
        )
        await self.advance(12)
        await self.leave_zone()
        await self.submit("p", account="b")
        await self.advance(8)
        await self.return_zone()
        old = self.node
        await self.stop(old)
        await self.take_over()
        await self.submit("last", account="c")
        await self.advance(30)
        findings = self.check()
        for node in self.nodes:
            await node.close()
        return findings

    async def take_over(self):
        """Starts the next owner; one that a fault stops is replaced."""
        for _ in range(6):
            node = harness.Node(self.cluster, next(self.names))
            self.nodes.append(node)
            node.faults = node.store
            node.store = Tap(self, node, node.faults)
            node.links = {
                w: Tap(self, node, x, worker=w) for w, x in node.links.items()
            }
            with contextlib.suppress(*ERRORS):
                await self.wait(self.own(node), 40)
            if node.owner is not None and node.owner._term is not None:
                self.node = node
                return
            await node.close()
        raise AssertionError("no owner took the domain over")

    async def own(self, node):
        async def on_step(step, _):
            await self.probe.cross(step, node=node, tap=None)

        async def forward(domain, accepted):
            self.moved.append(accepted.spec.gang.job)

        while not node.lease.is_valid:
            await node.lease.start()
            await self.clock.sleep(0.5)
        while (owned := await node.ownership.acquire(harness.DOMAIN)) is None:
            await self.clock.sleep(0.5)
        node.acquire = lambda: _done(owned)
        # As in the entry process: what is learned lasts as long as it does.
        health = _worker_states.WorkerHealth(
            clock=self.clock, quarantine=scheduling.Quarantine()
        )
        await node.own(
            workers=lambda: health.with_states(self.cluster.listed()),
            on_outcome=health.note,
            decide=decide,
            refine=lambda s: health.refine(self.refine(s)),
            startable_zones=lambda: self.startable,
            zone_policy=lambda: self.policy,
            choose_domain=lambda _: "jobs.y",
            forward=forward,
            on_step=on_step,
        )

    def refine(self, snapshot):
        return dataclasses.replace(snapshot, guarantees=(GUARANTEE,))

    async def stop(self, node):
        await self.probe.cross(JobStep.STOP_OWNER, node=node, tap=None)
        with contextlib.suppress(*ERRORS):
            await self.wait(node.owner.stop(), 30)
        await node.close()

    def spec(self, job, account, **options):
        spec = harness.make_spec(job, **options)
        gang = dataclasses.replace(spec.gang, account=AccountId(account))
        return dataclasses.replace(spec, gang=gang)

    async def submit(self, job, **options):
        await self.probe.cross(JobStep.ACCEPT, node=self.node, tap=None)
        try:
            await self.wait(self.node.owner.submit(self.spec(job, **options)))
            self.accepted.add(job)
            self.refused.discard(job)
        except execution.NotRunError:
            self.refused.add(job)
        except ERRORS:
            pass

    async def retry(self, job, **options):
        if job not in self.accepted:
            await self.submit(job, **options)
            await self.advance(20)

    async def wait(self, call, limit_s=6.0):
        task = asyncio.ensure_future(call)
        end_s = self.clock.now() + limit_s
        while not task.done() and self.clock.now() < end_s:
            await self.tick()
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            raise execution.OutcomeUnknownError("no answer")
        return task.result()

    async def advance(self, seconds):
        for _ in range(int(seconds / 0.5)):
            await self.tick()
            node = self.node
            if node.fuse.is_blown:
                await node.close()
            if node.fuse.is_blown or node in self.paused:
                if node in self.paused and node.owner.is_lost:
                    continue
                if node not in self.disturbed:
                    self.disturbed.add(node)
                    await self.take_over()

    async def tick(self):
        await self.clock.advance(0.5)
        self.cluster.memory.expire_leases()
        if self.heal_at_s is not None and self.clock.now() >= self.heal_at_s:
            self.heal_at_s = None
            await self.heal()

    async def heal(self):
        for node in self.nodes:
            node.faults.is_down, node.faults.delay_s = False, 0.0
        for worker in self.cluster.workers.values():
            worker.fails_starts = worker.is_unreachable = False
            worker.restart()
        await self.return_zone()

    async def leave_zone(self):
        if not self.startable:
            return
        self.startable = frozenset()
        self.policy = configuration.ZonePolicy.FINISH
        self.removed.append([self.clock.now(), float("inf")])

    async def return_zone(self):
        if not self.startable:
            self.removed[-1][1] = self.clock.now()
        self.startable, self.policy = frozenset({harness.ZONE}), None

    async def inject(self, step, fault, *, node, tap):
        self.heal_at_s = self.clock.now() + HEAL_S
        worker = (tap.worker if tap else None) or "w1"
        self.inject_at_worker(fault, self.cluster.workers[worker])
        match fault:
            case Fault.PROCESS_DIES:
                node.kill()
            case Fault.STORE_DOWN:
                node.faults.is_down = True
            case Fault.STORE_SLOW:
                node.faults.delay_s = 1.5
            case Fault.ANSWER_LOST:
                node.faults.lost_answers = 1
                node.links[worker].target.lost_answers = 1
            case Fault.LEASE_LAPSES:
                node.lease._task.cancel()
                self.paused[node] = self.clock.now() + 14.0
            case Fault.CONNECTION_SILENT:
                self.silent = tap or node.links[worker]
            case Fault.OPERATORS_RACE:
                self.race = [
                    asyncio.ensure_future(self.cancel_late(node, "b"))
                    for _ in range(2)
                ]
            case Fault.ZONE_LEAVES:
                await self.leave_zone()

    def inject_at_worker(self, fault, worker):
        match fault:
            case Fault.INSTANCE_DIES:
                worker.crash()
            case Fault.LIST_LAGS:
                # The list shows it as live while no call reaches it.
                worker.is_unreachable = True
            case Fault.WORKER_FAILS_ALL:
                worker.fails_starts = True

    async def cancel_late(self, node, job):
        await self.clock.sleep(0.1)
        with contextlib.suppress(*ERRORS):
            await node.owner.cancel(job)

    def check(self):
        found = table.Findings(crossed=self.probe.crossed)
        found.has_fired = self.probe.has_fired
        cluster = self.cluster
        jobs = {r.job for r in cluster.runs()}
        sizes = {"b": 6}
        found.check(
            Promise.GANG_WHOLE, whole(cluster, jobs, sizes, self.bound_s)
        )
        found.check(
            Promise.ZONE_REMOVED_NO_START,
            starts_in(cluster.runs(), self.removed),
        )
        attempts = len(cluster.attempts("o"))
        found.check(
            Promise.AT_MOST_ONCE,
            [f"o: {attempts} attempts"] if attempts > 1 else [],
        )
        found.check(
            Promise.NOT_RUN_IS_TRUE,
            [f"{j} ran" for j in self.refused & jobs],
        )
        entry = self.node.owner.jobs.get("g")
        phase = entry.phase if entry else None
        # A job that has left with its zone is up to the next domain.
        is_kept = phase is execution.JobPhase.MOVED or (
            self.reclaimed and phase is execution.JobPhase.FINISHED
        )
        found.check(
            Promise.GUARANTEE_RECLAIMABLE,
            [] if is_kept else [f"g: {self.reclaimed=}, {phase}"],
        )
        return found


async def _done(value):
    return value


def whole(cluster, jobs, sizes, bound_s):
    """Returns the gangs of which a part ran alone, or two attempts at once."""
    for job in sorted(jobs):
        alone_s = cluster.partial_s(job, tasks=sizes.get(job, 2))
        if alone_s > bound_s:
            yield f"{job}: part ran alone for {alone_s} s"
        if cluster.overlaps(job, tasks=sizes.get(job, 2)):
            yield f"{job}: two attempts at once"


def starts_in(runs, intervals):
    """Returns the runs that started more than 3 s after a removal."""
    for run in runs:
        for removed_s, returned_s in intervals:
            if removed_s + 3.0 < run.started_s < returned_s:
                yield f"{run.job} started in a removed zone"


PROTOCOL = table.Protocol(
    name="job",
    steps=(*LaunchStep, *JobStep),
    promises=frozenset(
        {
            Promise.GANG_WHOLE,
            Promise.ZONE_REMOVED_NO_START,
            Promise.AT_MOST_ONCE,
            Promise.NOT_RUN_IS_TRUE,
            Promise.GUARANTEE_RECLAIMABLE,
        }
    ),
    not_applicable={Fault.WATCH_LOST: "the owner of jobs holds no watch"},
    run=lambda cells: Run(cells).run(),
)
