"""Driver of the configuration and zone rows: five entry instances."""

import asyncio
import dataclasses
import itertools

from magnoliaglade import configuration as configuration_lib
from magnoliaglade import peers
from magnoliaglade import store as store_lib
from magnoliaglade.configuration.tests import test_distribution as fixtures
from magnoliaglade.faults import Fault, Promise
from tests.matrix import table

Step = configuration_lib.ConfigurationStep
ZoneStep = configuration_lib.ZoneStep
_BY_POINT = {s.value: s for s in (*Step, *ZoneStep)}
HEAL_S = 6.0
PAUSE_S = 9.0
IN_EFFECT_S = 9.0
ZONE = "zone-a"
ACTOR, OTHER = fixtures.OTHERS


class Run:
    """Operations through one instance while the others are observed."""

    def __init__(self, cells):
        self.cluster = fixtures.Cluster()
        self.clock = self.cluster.clock
        self.probe = table.Probe(cells, self.inject)
        self.found = table.Findings()
        self.points, self.dead, self.paused = set(), set(), {}
        self.crossings = []
        self.silent = self.heal_at_s = None
        self.command = ""
        self.removed_s = self.returned_s = float("inf")
        self.healed_s = 0.0
        self.seen = dict.fromkeys(fixtures.NAMES, 0)

    async def start(self):
        zones = tuple(
            configuration_lib.ZoneConfig(zone=z, region="r")
            for z in sorted(fixtures.ALL)
        )
        await self.cluster.operator.accept(
            configuration_lib.Configuration(revision=1, zones=zones)
        )
        for name, instance in self.cluster.instances.items():
            await instance.start()
            self.tap(name, instance)
        await self.advance(2)

    def tap(self, name, instance):
        store, network = instance.store, instance.control.network
        for part, method in ((store, "get"), (store, "put")):
            call = self.around(name, "store", getattr(part, method), method)
            setattr(part, method, call)
        for method in ("request", "broadcast"):
            call = self.around(name, "peer", getattr(network, method), method)
            setattr(network, method, call)
        apply = instance.agent._apply

        def applied(stored):
            if self.command == "change":
                self.points.add(Step.APPLY.value)
                crossing = self.probe.cross(Step.APPLY, name=name)
                self.crossings.append(asyncio.ensure_future(crossing))
            return apply(stored)

        instance.agent._apply = applied

    def around(self, name, kind, call, method):
        async def tapped(*args, **options):
            if self.command:
                for point in self.points_of(name, method, args):
                    self.points.add(point)
                    if point in _BY_POINT:
                        await self.probe.cross(_BY_POINT[point], name=name)
            await self.delay(name, kind, options)
            return await call(*args, **options)

        return tapped

    def points_of(self, name, method, args):
        if method == "broadcast":
            return [f"broadcast:{type(args[0]).__name__}"]
        if method == "request":
            kind = type(args[1]).__name__
            is_own = kind == "ZoneIntent" and name == ACTOR
            return [f"{self.command}:{kind}" if is_own else f"peer:{kind}"]
        key = "/".join(args[0].split("/")[:2])
        if self.command != "change":
            is_write = method == "put" and name == ACTOR
            return [f"{self.command}:{key}"] if is_write else []
        if name == ACTOR:
            return [f"{method}:{key}"]
        return [f"reader:{key}"] if key == "config/current" else []

    async def delay(self, name, kind, options):
        if name in self.dead:
            await asyncio.get_running_loop().create_future()
        wait_s = self.paused.get(name, 0) - self.clock.now()
        if wait_s > 0:
            await self.clock.sleep(wait_s)
        if self.silent == name:
            self.silent = None
            if kind == "peer":
                await self.clock.sleep(options.get("timeout_s", 0.5))
                raise peers.PeerUnknownError("silent")
            await self.clock.sleep(2.0)
            raise store_lib.StoreOutcomeUnknownError("no answer")

    async def advance(self, seconds):
        for _ in range(round(seconds * 10)):
            await self.clock.advance(0.1)
            self.observe()
            if self.heal_at_s and self.clock.now() >= self.heal_at_s:
                self.heal_at_s, self.healed_s = None, self.clock.now()
                self.cluster.hub.heal()
                for instance in self.cluster.instances.values():
                    instance.store.is_down = False
                    instance.store.delay_s = 0.0

    def observe(self):
        """Checks the gates and revisions of all instances now."""
        now_s = self.clock.now()
        is_out = self.removed_s + 3.0 < now_s < self.returned_s
        for name, instance in self.cluster.instances.items():
            if name in self.dead:
                continue
            zones = instance.gate.startable_zones()
            if self.removed_s < now_s:
                self.found.check(
                    Promise.ZONE_REMOVED_NO_START,
                    removed_starts(name, zones, is_out),
                )
            revision = instance.agent.revision
            self.found.check(
                Promise.CONFIGURATION_HOLDS,
                reverts(name, self.seen[name], revision),
            )
            self.seen[name] = revision

    async def do(self, call, limit_s=8.0):
        """Returns the result of an operator's call, or None for none."""
        task = asyncio.ensure_future(call)
        end_s = self.clock.now() + limit_s
        while not task.done() and self.clock.now() < end_s:
            await self.advance(0.1)
        if not task.done():
            task.cancel()
        results = await asyncio.gather(task, return_exceptions=True)
        is_error = isinstance(results[0], BaseException)
        return None if is_error else results[0]

    async def inject(self, step, fault, *, name):
        cluster = self.cluster
        self.heal_at_s = self.clock.now() + HEAL_S
        match fault:
            case Fault.STORE_DOWN:
                cluster.set_outage(True)
            case Fault.STORE_SLOW:
                for instance in cluster.instances.values():
                    instance.store.delay_s = 1.5
            case Fault.ANSWER_LOST:
                cluster[name].store.lost_answers = 1
                cluster.hub.lost_replies = 1
            case Fault.CONNECTION_SILENT:
                self.silent = name
            case Fault.WATCH_LOST:
                cluster.memory.watch = self.silent_watch
            case Fault.OPERATORS_RACE:
                await cluster.change(entry_instances=7)
            case Fault.ZONE_LEAVES:
                cluster.separate([name])
                cluster[name].store.is_down = True
            case _:
                self.inject_here(fault, name)

    def inject_here(self, fault, name):
        if fault is Fault.LEASE_LAPSES:
            self.paused[name] = self.clock.now() + PAUSE_S
        if fault is Fault.PROCESS_DIES:
            self.dead.add(name)
            self.cluster.hub.remove(name)

    async def settle(self):
        """Passes 9 s after the operation and the end of the last fault."""
        start_s = self.clock.now()
        while True:
            ends = [start_s, self.healed_s, *self.paused.values()]
            wait_s = max(ends) + IN_EFFECT_S - self.clock.now()
            if wait_s <= 0 and self.heal_at_s is None:
                return
            await self.advance(0.5)

    async def silent_watch(self, prefix, **_):
        await self.clock.sleep(1e6)

    async def finish(self):
        for instance in self.cluster.instances.values():
            await instance.stop()
        self.found.crossed = self.probe.crossed
        self.found.has_fired = self.probe.has_fired
        return self.found

    async def change(self):
        """Accepts one change, and repeats it through another instance."""
        await self.start()
        self.command = "change"
        accepted = None
        for name in (ACTOR, OTHER, *fixtures.READERS):
            if name in self.dead:
                continue
            call = self.cluster[name].configurations.change(
                lambda c: dataclasses.replace(c, entry_instances=6)
            )
            accepted = await self.do(call)
            if accepted:
                break
            await self.advance(HEAL_S)
        await self.settle()
        problems = await self.lost_changes(accepted)
        self.found.check(Promise.CONFIGURATION_HOLDS, problems)
        return await self.finish()

    async def lost_changes(self, accepted):
        if accepted is None:
            return ["no change was accepted"]
        revision = accepted.configuration.revision
        stored = await self.cluster.operator.get_revision(revision)
        if stored is None or stored.stamp != accepted.stamp:
            return [f"revision {revision} was replaced"]
        return [
            f"{n}: revision {i.agent.revision} < {revision}"
            for n, i in self.cluster.instances.items()
            if n not in self.dead and i.agent.revision < revision
        ]

    async def zone(self):
        """Removes a zone and returns it; a lost command is repeated."""
        await self.start()
        self.command = "remove"
        for name in itertools.cycle((ACTOR, OTHER)):
            call = self.cluster[name].control.remove(ZONE)
            report = await self.do(call)
            if report and report.is_in_effect:
                self.removed_s = self.clock.now()
                break
        await self.advance(HEAL_S + IN_EFFECT_S)
        self.command, self.returned_s = "return", self.clock.now()
        name = OTHER if ACTOR in self.dead else ACTOR
        report = await self.do(self.cluster[name].control.return_zone(ZONE))
        if report is None:
            await self.do(self.cluster[OTHER].control.return_zone(ZONE))
        await self.settle()
        for name, instance in self.cluster.instances.items():
            zones = instance.gate.startable_zones()
            if name not in self.dead and zones != fixtures.ALL:
                problem = f"{name}: the return is not in effect: {zones}"
                self.found.check(Promise.CONFIGURATION_HOLDS, [problem])
        return await self.finish()


def removed_starts(name, zones, is_out):
    if is_out and ZONE in zones:
        yield f"{name} may start in the removed zone"


def reverts(name, before, revision):
    if revision < before:
        yield f"{name}: revision {before} reverted to {revision}"


_NO_PART = "workers and upstreams take no part in the protocol"
_REASONS = {
    Fault.INSTANCE_DIES: _NO_PART,
    Fault.WORKER_FAILS_ALL: _NO_PART,
    Fault.LIST_LAGS: "the protocol does not read the instance list",
}
_PROMISES = frozenset(
    {Promise.ZONE_REMOVED_NO_START, Promise.CONFIGURATION_HOLDS}
)
CONFIGURATION = table.Protocol(
    name="configuration",
    steps=tuple(Step),
    promises=frozenset({Promise.CONFIGURATION_HOLDS}),
    not_applicable=_REASONS,
    run=lambda cells: Run(cells).change(),
)
ZONES = table.Protocol(
    name="zone",
    steps=tuple(ZoneStep),
    promises=_PROMISES,
    not_applicable=_REASONS,
    run=lambda cells: Run(cells).zone(),
)
