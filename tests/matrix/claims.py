"""Driver of the request rows: three instances and one upstream."""

import asyncio
import contextlib
import dataclasses

from magnoliaglade import peers, requests
from magnoliaglade import store as store_lib
from magnoliaglade.faults import Fault, Promise
from magnoliaglade.requests.tests import claim_cluster
from tests.matrix import table

Step = requests.RequestStep
_BY_POINT = {s.value: s for s in Step}
HEAL_S = 6.0
PAUSE_S = 9.0
# Steps at which the owner of the key's partition acts; `a` acts otherwise.
_BY_OWNER = (Step.PERSIST_CLAIM, Step.PERSIST_OUTCOME)
UNKNOWN = requests.OutcomeUnknownError("upstream failed")
NOT_SENT = requests.NotSentError("connection refused")


def answer_to(body):
    return b"printed " + body


class Run:
    """One key through `a`, claimed at `b`; then repeated through `c`.

    A second request runs at the same time and is answered first.
    """

    by_point = _BY_POINT

    def __init__(self, cells, *, change=None):
        self.cluster = claim_cluster.Cluster()
        self.change = change
        self.clock = self.cluster.clock
        self.probe = table.Probe(cells, self.inject)
        self.found = table.Findings()
        self.points, self.sent, self.paused = set(), [], {}
        self.silent = self.heal_at_s = self.lost = None
        self.is_armed = False

    async def run(self):
        await self.cluster.start()
        if self.change:
            self.change(self.cluster)
        self.key = self.cluster.key_owned_by("b")
        self.tap()
        self.is_armed = True
        # The run itself must not wait, as the calls of a dead instance do.
        self.points.add(Step.ACCEPT.value)
        await self.probe.cross(Step.ACCEPT, name="a")
        self.send("a", self.key)
        self.is_armed = False
        self.send("a", self.cluster.key_owned_by("a"))
        self.is_armed = True
        await self.advance(14)
        self.is_armed = False
        await self.advance(10)
        self.send("c", self.key)
        await self.advance(14)
        self.found.crossed = self.probe.crossed
        self.found.has_fired = self.probe.has_fired
        self.check()
        return self.found

    def tap(self):
        cluster = self.cluster
        self.cluster.upstream.dispatch = self.around_dispatch(
            cluster.upstream.dispatch
        )
        for name, node in cluster.nodes.items():
            node.network.request = self.around_request(
                name, node.network.request
            )
            node.faults.put = self.around_put(name, node.faults.put)
            node.admission.admit = self.around_admit(name, node.admission.admit)

    def around_dispatch(self, dispatch):
        async def call(request):
            is_first = request.body == self.key.encode()
            if is_first:
                await self.cross("upstream:dispatch", "a")
            else:
                await self.clock.sleep(0.05)
            silent, self.silent = self.silent, None
            if silent == "upstream" and is_first:
                await self.clock.sleep(100)
            response = await dispatch(request)
            if is_first:
                await self.clock.sleep(0.3)
                await self.cross("upstream:answer", "a")
            if self.lost == "upstream":
                self.lost = None
                raise UNKNOWN
            if response.body == b"printed":
                body = answer_to(request.body)
                return dataclasses.replace(response, body=body)
            return response

        return call

    def around_request(self, name, request):
        async def call(peer, value, *, timeout_s):
            if peer == "b" and name == "a":
                await self.cross(f"peer:{type(value).__name__}", name)
            if self.silent == "peer":
                self.silent = None
                await self.clock.sleep(timeout_s)
                raise peers.PeerUnknownError(f"{peer}: silent")
            return await request(peer, value, timeout_s=timeout_s)

        return call

    def around_put(self, name, put):
        async def call(key, value, **options):
            if name == "b" and key.startswith("logs/claims."):
                is_end = Step.PERSIST_CLAIM in self.probe.crossed
                kind = "outcome" if is_end else "claim"
                await self.cross(f"store:{kind}", name)
            if self.silent == "store":
                self.silent = None
                await self.clock.sleep(2.0)
                raise store_lib.StoreOutcomeUnknownError("no answer")
            return await put(key, value, **options)

        return call

    def around_admit(self, name, admit):
        @contextlib.asynccontextmanager
        async def call(request):
            if request.body == self.key.encode():
                await self.cross("admission:admit", name)
            async with admit(request):
                yield

        return call

    async def cross(self, point, name):
        if self.is_armed:
            self.points.add(point)
            if point in self.by_point:
                await self.probe.cross(self.by_point[point], name=name)
        if name in self.cluster.crashes.dead:
            await asyncio.get_running_loop().create_future()
        wait_s = self.paused.get(name, 0) - self.clock.now()
        if wait_s > 0:
            await self.clock.sleep(wait_s)

    def send(self, name, key):
        if name in self.cluster.crashes.dead:
            return
        self.sent.append((name, key, self.cluster.send(name, key)))

    async def advance(self, seconds):
        for _ in range(int(seconds / 0.1)):
            await self.clock.advance(0.1)
            self.check_refusals()
            if self.heal_at_s and self.clock.now() >= self.heal_at_s:
                self.heal_at_s = None
                self.heal()

    def heal(self):
        self.cluster.hub.heal()
        self.cluster.upstream.failures = []
        self.set_store(is_down=False, delay_s=0.0)

    def set_store(self, *, is_down, delay_s):
        for node in self.cluster.nodes.values():
            node.faults.is_down, node.faults.delay_s = is_down, delay_s

    async def inject(self, step, fault, *, name):
        self.heal_at_s = self.clock.now() + HEAL_S
        self.inject_here(step, fault, name)
        self.inject_outside(step, fault, name)

    def inject_here(self, step, fault, name):
        match fault:
            case Fault.PROCESS_DIES:
                self.cluster.crashes.crash(name)
            case Fault.LEASE_LAPSES:
                # A planned stop has ended the renewals before it revokes.
                renewals = self.cluster.nodes[name].lease._task
                if renewals is not None:
                    renewals.cancel()
                self.paused[name] = self.clock.now() + PAUSE_S
            case Fault.CONNECTION_SILENT:
                self.silent = step.value.split(":")[0]
            case Fault.OPERATORS_RACE:
                self.cluster.configuration = dataclasses.replace(
                    claim_cluster.CONFIGURATION, revision=2
                )
                self.send("c", self.key)

    def inject_outside(self, step, fault, name):
        cluster, nodes = self.cluster, self.cluster.nodes
        match fault:
            case Fault.INSTANCE_DIES:
                has_run = step is Step.DISPATCH
                cluster.upstream.failures = [UNKNOWN if has_run else NOT_SENT]
                if step is Step.ANSWER:
                    self.lost = "upstream"
            case Fault.STORE_DOWN:
                self.set_store(is_down=True, delay_s=0.0)
            case Fault.STORE_SLOW:
                self.set_store(is_down=False, delay_s=1.0)
            case Fault.ANSWER_LOST:
                for writer in {name, "b"}:
                    nodes[writer].faults.lost_answers = 1
                cluster.hub.lost_replies = 1
                self.lost = "upstream" if step is Step.DISPATCH else None
            case Fault.LIST_LAGS:
                cluster.upstream.failures = [NOT_SENT]
            case Fault.WORKER_FAILS_ALL:
                cluster.upstream.failures = [UNKNOWN] * 100
            case Fault.ZONE_LEAVES:
                cluster.hub.cut("a", "b")
                cluster.upstream.failures = [NOT_SENT] * 100

    def check_refusals(self):
        """Checks each new refusal at once, before a later attempt runs."""
        runs = self.cluster.upstream.runs
        for _, key, task in self.sent:
            outcome = task.result() if task.done() else None
            if not isinstance(outcome, requests.NotRun):
                continue
            self.found.check(
                Promise.NOT_RUN_IS_TRUE, false_refusals(outcome, runs)
            )
            later = [t for _, k, t in self.sent if k == key][-1]
            if outcome.covers_key and task is later and runs[key.encode()]:
                problem = "covers_key is false"
                self.found.check(Promise.NOT_RUN_IS_TRUE, [problem])

    def check(self):
        runs = self.cluster.upstream.runs
        self.found.check(Promise.NOT_RUN_IS_TRUE, [])
        counts = [(k, runs[k.encode()]) for _, k, _ in self.sent]
        self.found.check(
            Promise.AT_MOST_ONCE, [f"{k} ran {n}" for k, n in counts if n > 1]
        )
        self.found.check(
            Promise.WHOLE_ANSWER_TO_ITS_CALLER,
            wrong_answers(
                [s for s in self.sent if s[0] not in self.unanswered]
            ),
        )
        self.found.check(Promise.AT_MOST_ONCE, self.lost_outcomes(runs))

    @property
    def unanswered(self):
        return self.cluster.crashes.dead

    def lost_outcomes(self, runs):
        """The last attempt tells of a run of the key."""
        outcome = self.sent[-1][2]
        is_refused = outcome.done() and isinstance(
            outcome.result(), requests.NotRun
        )
        if (
            is_refused
            and outcome.result().covers_key
            and runs[self.key.encode()]
        ):
            yield "a key that ran may be used again"


def false_refusals(outcome, runs):
    if runs[outcome.request_id]:
        yield f"{outcome.request_id} ran"


def wrong_answers(sent):
    """Returns callers without an answer or with another one's."""
    for name, key, task in sent:
        if not task.done():
            yield f"{key} through {name}: no answer"
            continue
        outcome = task.result()
        if not isinstance(outcome, requests.Ran) or outcome.response is None:
            continue
        if outcome.response.body != answer_to(key.encode()):
            yield f"{key} through {name}: {outcome.response.body!r}"


def _silence_reasons():
    reason = "no connection is used at this step"
    return {
        (s, Fault.CONNECTION_SILENT): reason
        for s in (Step.ACCEPT, Step.ADMIT, Step.ANSWER)
    }


PROTOCOL = table.Protocol(
    name="request",
    steps=tuple(Step),
    promises=frozenset(
        {
            Promise.WHOLE_ANSWER_TO_ITS_CALLER,
            Promise.NOT_RUN_IS_TRUE,
            Promise.AT_MOST_ONCE,
        }
    ),
    not_applicable={
        Fault.WATCH_LOST: "claims and requests hold no watch",
        **_silence_reasons(),
    },
    run=lambda cells: Run(cells).run(),
)
