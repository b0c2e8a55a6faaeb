"""Driver of the shutdown rows: an instance and an upstream that leave."""

import asyncio

from magnoliaglade import daemon, requests, upstreams
from magnoliaglade import store as store_lib
from magnoliaglade.faults import Fault, Promise
from magnoliaglade.types import UpstreamId
from magnoliaglade.upstreams.tests import test_balancing as fixtures
from tests.matrix import claims, table

Step = daemon.ShutdownStep
# These faults end the process or the request, so the stop is not a planned
# one that could leave the request alone.
_DISTURBS = {Fault.PROCESS_DIES, Fault.LEASE_LAPSES, Fault.INSTANCE_DIES}


class Run(claims.Run):
    """`a` stops with a request in flight while an upstream leaves."""

    by_point = {s.value: s for s in Step}

    async def run(self):
        self.faults = {fault for _, fault in self.probe.pending}
        cluster = self.cluster
        await cluster.start()
        self.platform = fixtures.FakePlatform(self.clock)
        self.directory = upstreams.UpstreamDirectory(
            clock=self.clock,
            instance_list=self.platform,
            service="s",
            prober=self.platform.probe,
        )
        self.left_s = float("inf")
        await self.directory.start()
        self.key = cluster.key_owned_by("b")
        self.tap()
        cluster.upstream.delay_s = 2.0
        self.send("a", self.key)
        await self.advance(1)
        self.is_armed = True
        await self.leave()
        stop = asyncio.ensure_future(self.stop("a"))
        await self.advance(0.5)
        self.send("a", cluster.key_owned_by("c"))
        await self.advance(14)
        self.is_armed = False
        self.send("c", self.key)
        await self.advance(14)
        self.check()
        self.check_stop(stop)
        await self.directory.stop()
        self.found.crossed = self.probe.crossed
        self.found.has_fired = self.probe.has_fired
        return self.found

    def tap(self):
        super().tap()
        faults = self.cluster.nodes["a"].faults
        for method in ("delete", "revoke_lease"):
            setattr(
                faults,
                method,
                self.around_release(method, getattr(faults, method)),
            )

    def around_release(self, method, call):
        async def tapped(*args, **options):
            await self.cross(f"store:{method}", "a")
            if self.silent == "store":
                self.silent = None
                await self.clock.sleep(2.0)
                raise store_lib.StoreOutcomeUnknownError("no answer")
            return await call(*args, **options)

        return tapped

    async def leave(self):
        self.points.add(Step.LEAVE.value)
        self.platform.leaving = True
        self.left_s = self.clock.now()
        await self.probe.cross(Step.LEAVE, name="a")

    async def stop(self, name):
        await self.cross("gateway:stop", name)
        await self.cluster.nodes[name].stop()

    async def inject(self, step, fault, *, name):
        await super().inject(step, fault, name=name)
        if step is not Step.LEAVE:
            return
        if fault is Fault.INSTANCE_DIES:
            self.platform.refuses = True
        if fault is Fault.CONNECTION_SILENT:
            self.platform.silent = True
        if fault is Fault.LEASE_LAPSES:
            # The paused process learns nothing of the upstream.
            self.directory._task.cancel()

    async def advance(self, seconds):
        for _ in range(round(seconds * 2)):
            await super().advance(0.5)
            is_out = self.clock.now() > self.left_s + 3.0
            eligible = self.directory.eligible()
            self.found.check(
                Promise.LEAVING_GETS_NO_WORK, leaving(eligible, is_out)
            )

    def check_stop(self, stop):
        first = self.sent[0][2]
        outcome = first.result() if first.done() else None
        if self.faults & _DISTURBS:
            return
        problems = []
        if not isinstance(outcome, requests.Ran):
            problems.append(f"the request in flight was given {outcome}")
        if not stop.done():
            problems.append("the stop does not end")
        self.found.check(Promise.GRACEFUL_STOP, problems)


def leaving(eligible, is_out):
    """Returns upstreams that get work although they have left."""
    if is_out:
        for listed in eligible:
            yield f"{UpstreamId(listed.instance)} gets work after it left"


_REASONS = {
    (s, Fault.CONNECTION_SILENT): "no connection is used at this step"
    for s in (Step.DRAIN, Step.ANSWER)
}
PROTOCOL = table.Protocol(
    name="shutdown",
    steps=tuple(Step),
    promises=frozenset(
        {
            Promise.WHOLE_ANSWER_TO_ITS_CALLER,
            Promise.NOT_RUN_IS_TRUE,
            Promise.AT_MOST_ONCE,
            Promise.LEAVING_GETS_NO_WORK,
            Promise.GRACEFUL_STOP,
        }
    ),
    not_applicable={
        Fault.WATCH_LOST: "a stop holds no watch",
        **_REASONS,
    },
    run=lambda cells: Run(cells).run(),
    unchecked=dict.fromkeys(_DISTURBS, frozenset({Promise.GRACEFUL_STOP})),
)
