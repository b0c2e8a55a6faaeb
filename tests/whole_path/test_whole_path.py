"""The whole path over real sockets: faults of the platform and operators."""

import asyncio
import contextlib

from magnoliaglade import clock as clock_lib
from magnoliaglade import configuration, execution
from magnoliaglade.standins import deployment
from magnoliaglade.types import AccountId, Revision, ZoneId

ZONES = ("borg-a", "borg-b")
KEY = "clubs:clubs-secret"
TIMEOUT_S = 20


def make_configuration():
    return configuration.Configuration(
        revision=Revision(1),
        zones=tuple(
            configuration.ZoneConfig(zone=ZoneId(z), region="vesturland")
            for z in ZONES
        ),
        accounts=tuple(
            configuration.AccountConfig(
                account=AccountId(name),
                key_digest=configuration.key_digest(f"{name}-secret"),
                request_share=0.5,
            )
            for name in ("clubs", "guides")
        ),
        services=(
            configuration.ServiceConfig(
                service="trailplan",
                kinds=(
                    configuration.RequestKind(name="quote", idempotent=True),
                    configuration.RequestKind(
                        name="replay", idempotent=False, deadline_s=5
                    ),
                ),
            ),
        ),
    )


async def until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def running(**options):
    cluster = deployment.Deployment(
        clock=clock_lib.SystemClock(),
        zones=ZONES,
        service="trailplan",
        **{"entries": 3, **options},
    )
    await cluster.start()
    try:
        answer = await cluster.apply(make_configuration())
        assert answer.get("revision") == 1, answer
        await until(lambda: all(owners(p) for p in cluster.processes))
        await until(lambda: is_answered(cluster))
        yield cluster
    finally:
        await cluster.stop()


def owners(process):
    domains = [execution.domain_of(ZoneId(z)) for z in ZONES]
    found = [process.directory.owner_of(d) for d in domains]
    return process.is_ready and all(found)


def task_runs(cluster):
    """Returns every run that a worker has begun."""
    return [r for w in cluster.workers.values() for r in w.core.runs]


async def is_answered(cluster):
    replies = [
        await request(cluster, "quote", entry=e)
        for e in range(len(cluster.processes))
    ]
    return all(r.status == 200 for r in replies)


async def request(cluster, kind, *, entry=0, body=b"x", key=None, headers=None):
    headers = {"x-deadline-ms": "10000", **(headers or {})}
    if key:
        headers["idempotency-key"] = key
    return await cluster.call(
        "POST",
        f"/v1/services/trailplan/{kind}",
        key=KEY,
        entry=entry,
        body=body,
        headers=headers,
    )


async def submit(cluster, *, entry=0, **fields):
    reply = await cluster.call(
        "POST",
        "/v1/jobs",
        key=KEY,
        entry=entry,
        fields={"command": ["sleep", "0.1"], **fields},
    )
    assert reply.status == 202, reply.body
    return reply.json()


async def status(cluster, job, *, entry=0):
    reply = await cluster.call(
        "GET", f"/v1/jobs/{job['job']}", key=KEY, entry=entry
    )
    return reply.json()


async def set_zone(cluster, zone, state, *, entry=0):
    reply = await cluster.call(
        "POST",
        f"/v1/operator/zones/{zone}",
        entry=entry,
        fields={"state": state},
    )
    assert reply.status == 200, reply.body
    return reply.json()


class TestStoreOutage:
    async def test_what_goes_on_and_what_is_refused(self):
        """Guards against a night's outage that stops or doubles work."""
        async with running() as cluster:
            long = await submit(cluster, command=["run"], zones=["borg-b"])

            async def runs():
                return (await status(cluster, long))["state"] == "active"

            await until(runs)
            cluster.store.faults.is_down = True
            await until(
                lambda: not any(p.store.is_reachable for p in cluster.processes)
            )
            for entry in range(3):
                reply = await request(cluster, "quote", entry=entry)
                assert reply.status == 200, reply.body
            refused = await request(cluster, "replay", key="wear-1")
            assert refused.status == 503
            assert refused.json()["outcome"] == "not run"
            answer = await set_zone(cluster, "borg-b", "removed")
            assert not answer["stored"]
            assert answer["in_effect"]
            assert all(
                "borg-b" not in p.gate.startable_zones()
                for p in cluster.processes
            )
            assert all(not e.runs["wear-1"] for e in cluster.executors.values())
            cluster.store.faults.is_down = False
            await until(
                lambda: all(p.agent.revision == 2 for p in cluster.processes)
            )
            reply = await request(cluster, "replay", key="wear-1")
            assert reply.status == 200, reply.body
            runs_of_key = [e.runs["wear-1"] for e in cluster.executors.values()]
            assert sum(runs_of_key) == 1


class TestOperators:
    async def test_lost_race_shows_the_others_change(self):
        """Guards against a change that overwrites another operator's."""
        async with running(entries=2) as cluster:
            await set_zone(cluster, "borg-a", "removed")
            answer = await cluster.apply(
                configuration.decode(
                    configuration.Configuration,
                    {
                        **configuration.encode(make_configuration()),
                        "revision": 2,
                    },
                    source="test",
                )
            )
            assert answer["outcome"] == "not run"
            assert "borg-a" in answer["reason"]
            assert "removed" in answer["reason"]

    async def test_operator_calls_need_the_key(self):
        """Guards against operator calls by callers, and keys in a dump."""
        async with running(entries=1) as cluster:
            for key in ("-", "wrong", KEY):
                reply = await cluster.call("GET", "/v1/operator/state", key=key)
                assert reply.status == 401
            dump = await cluster.call("GET", "/v1/operator/state?all=1")
            assert dump.status == 200
            assert b"operators" not in dump.body
            assert b"clubs-secret" not in dump.body


class TestCallers:
    async def test_jobs_of_another_account_are_not_shown(self):
        """Guards against one client account reading another's job."""
        async with running(entries=1) as cluster:
            job = await submit(cluster)
            reply = await cluster.call(
                "GET", f"/v1/jobs/{job['job']}", key="guides:guides-secret"
            )
            assert reply.status == 404
            reply = await cluster.call(
                "GET", "/v1/jobs", key="guides:guides-secret"
            )
            assert reply.json() == {"jobs": []}

    async def test_job_that_can_never_run_is_refused(self):
        async with running(entries=1) as cluster:
            reply = await cluster.call(
                "POST",
                "/v1/jobs",
                key=KEY,
                fields={"command": ["x"], "accelerators": 9},
            )
            assert reply.status == 503
            assert reply.json()["outcome"] == "not run"
            assert "can never run" in reply.json()["reason"]


class TestLeavingExecutor:
    async def test_gets_no_new_work_although_listed_as_live(self):
        """Guards against the lag of the instance list."""
        async with running(entries=2) as cluster:
            leaving = cluster.executors["executor-borg-a-0"]
            leaving.is_leaving = True
            await until(
                lambda: all(
                    row["state"] == "not-eligible"
                    for p in cluster.processes
                    for row in p.dispatcher.describe()
                    if row["upstream"] == "executor-borg-a-0"
                )
            )
            before = sum(leaving.runs.values())
            for entry in (0, 1) * 5:
                assert (
                    await request(cluster, "quote", entry=entry)
                ).status == 200
            assert sum(leaving.runs.values()) == before


class TestOwnerStops:
    async def test_running_job_survives_a_planned_stop(self):
        """Guards against a shutdown that stops or doubles a job."""
        async with running() as cluster:
            job = await submit(cluster, command=["sleep", "6"], tasks=2)
            domain = job["job"].partition("/")[0]
            # A job is active from the moment at which its attempt is stored,
            # before its workers have been told.
            await until(lambda: len(task_runs(cluster)) == 2)
            owner = cluster.processes[0].directory.owner_of(domain).instance
            index = next(
                i
                for i, p in enumerate(cluster.processes)
                if p.instance == owner
            )
            stopped = cluster.processes.pop(index)
            await stopped.stop()

            async def finished():
                row = await status(cluster, job)
                return row if row.get("state") == "finished" else None

            row = await until(finished)
            assert row["attempt"] == 1
            assert len(task_runs(cluster)) == 2
