"""An instance against the platform's stand-in, over real sockets."""

import asyncio
import dataclasses

import msgpack
import orjson
import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import http, jobs, platform, store
from magnoliaglade.instance import (
    Address,
    InstanceSettings,
    TimeBounds,
    _coordinator_calls,
    _instance,
)
from magnoliaglade.jobs import keys
from magnoliaglade.platform import testing
from magnoliaglade.standins import platform as platform_standin
from magnoliaglade.types import InstanceId, ZoneId
from tests.soak.addresses import free_address

KEY = "a-key"
PREFIX = "/proofs/"
HOST = "queue.example"
JOB = "5c0e7a21d94b36f8"
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r-proofs",
            "host": HOST,
            "prefix": PREFIX,
            "service": "render",
            "priority": 1,
            "maxAttempts": 2,
            "stretch": 3.0,
            "sloMs": 1000,
        }
    ],
    "services": [{"name": "render"}],
    "limits": {"maxBodyBytes": 4096},
    "tenants": [{"name": "studio", "apiKeys": [KEY], "guaranteed": {"gpu": 8}}],
}
BODY = b'{"spec":"x","steps":[{"count":2,"cpu":1000,"gpu":1,"gang":true}]}'


class Caller:
    def __init__(self, address):
        self.client = http.HttpClient(url=f"http://{address}", timeout_s=5.0)

    async def call(
        self, method, path, *, body=None, key=KEY, deadline_ms=3_000
    ):
        # The Host header names the queue's host in place of the address.
        headers = {
            "authorization": f"Token {key}",
            "deadline-ms": str(deadline_ms),
        }
        return await self.client.call(
            method,
            path,
            body=body,
            headers=headers,
            content_type="application/json",
        )

    async def until(self, path, expected):
        async with asyncio.timeout(20.0):
            while True:
                reply = await self.call("GET", path)
                if reply.status == 200 and reply.json() == expected:
                    return
                await asyncio.sleep(0.05)


@pytest.fixture
async def deployment():
    clock = clock_lib.SystemClock()
    standin = platform_standin.PlatformStandIn(clock=clock)
    await standin.start()
    front = free_address()
    host, _ = front.host, front.port
    route = CONFIGURATION["routes"][0] | {"host": host}
    await standin.configure(CONFIGURATION | {"routes": [route]})
    settings = InstanceSettings(
        instance=InstanceId("e1"),
        zone=ZoneId("a"),
        api_address=front,
        readiness_address=free_address(),
        internal_address=free_address(),
        store_address=standin.store_address,
        bounds=TimeBounds(grace_s=1.0),
    )
    instance = _instance.Instance(settings=settings, clock=clock)
    await instance.start()
    caller = Caller(front)
    async with asyncio.timeout(20.0):
        while not instance.is_ready:
            await asyncio.sleep(0.02)
    yield standin, instance, caller
    await caller.client.stop()
    await instance.stop()
    await standin.stop()


class TestCalls:
    async def test_a_job_is_served_from_end_to_end(self, deployment):
        _, instance, caller = deployment
        reply = await caller.call("POST", PREFIX + JOB, body=BODY)
        assert reply.status == 200
        # A repeated submission remains one job.
        again = await caller.call("POST", PREFIX + JOB, body=BODY)
        assert again.status == 200
        await caller.until(PREFIX + JOB, {"state": "completed"})
        await caller.until(PREFIX, {"pending": 0})
        assert instance.dump()["coordinator"]["jobs"] == 1

    async def test_refusals_tell_why(self, deployment):
        _, _, caller = deployment
        unknown = await caller.call("GET", PREFIX + JOB)
        assert unknown.status == 410
        assert (await caller.call("GET", "/none/")).status == 404
        wrong_key = await caller.call("GET", PREFIX + JOB, key="other")
        assert wrong_key.status == 401
        broken = await caller.call("POST", PREFIX + JOB, body=b'{"steps":1}')
        assert broken.status == 400
        assert "steps" in broken.json()["error"]
        large = await caller.call("POST", PREFIX + JOB, body=b"x" * 5000)
        assert large.status == 413
        assert (await caller.call("GET", PREFIX + JOB)).status == 410

    async def test_a_cancelled_job_is_shown_as_cancelled(self, deployment):
        standin, _, caller = deployment
        standin.run_s = 60.0
        await caller.call("POST", PREFIX + JOB, body=BODY)
        await caller.until(PREFIX + JOB, {"state": "running"})
        assert (await caller.call("DELETE", PREFIX + JOB)).status == 200
        await caller.until(PREFIX + JOB, {"state": "cancelled"})
        absent = await caller.call("DELETE", PREFIX + "0" * 16)
        assert absent.status == 410

    async def test_a_job_cancelled_before_its_submission_never_runs(
        self, deployment
    ):
        standin, _, caller = deployment
        assert (await caller.call("DELETE", PREFIX + JOB)).status == 410
        reply = await caller.call("POST", PREFIX + JOB, body=BODY)
        assert reply.status == 410
        assert (await caller.call("GET", PREFIX + JOB)).status == 410
        other = "0" * 16
        await caller.call("POST", PREFIX + other, body=BODY)
        await caller.until(PREFIX + other, {"state": "completed"})
        tasks = [s.task for engine in standin.engines for s in engine.starts]
        assert all(task.startswith(other) for task in tasks)

    async def test_other_instances_can_ask_for_a_state(self, deployment):
        # Guards against instances that cannot find the coordinator or read its
        # answer during an outage of the store.
        _, instance, caller = deployment
        await caller.call("POST", PREFIX + JOB, body=BODY)
        await caller.until(PREFIX + JOB, {"state": "completed"})
        # The store's answer may reach a caller before it reaches the
        # coordinator, which shows an end once it knows that it is stored.
        current = instance._coordinator
        position = current.journal.position
        assert await current.wait_stored(position, timeout_s=5.0)
        client = _coordinator_calls.CoordinatorClient(
            address=lambda: instance.election.coordinator_address
        )
        summary = await client.find_summary(JOB)
        assert summary.state is jobs.JobState.COMPLETED
        assert summary.account == "studio"
        assert await client.find_summary("0" * 16) is None
        await client.stop()
        nobody = _coordinator_calls.CoordinatorClient(address=lambda: "")
        assert await nobody.find_summary(JOB) is None

    async def test_metrics_and_state_are_served(self, deployment):
        _, instance, _ = deployment
        url = f"http://{instance.settings.internal_address}"
        client = http.HttpClient(url=url)
        metrics = await client.call("GET", "/metrics")
        assert b"magnoliaglade_call_latency_seconds" in metrics.body
        for name in ("orders_in_flight", "orders_queued"):
            for kind in ("start", "stop"):
                line = f'magnoliaglade_{name}{{kind="{kind}"}}'
                assert line.encode() in metrics.body
        state = await client.call("GET", "/state")
        assert state.json()["instance"] == "e1"
        await client.stop()


class TestPlannedStop:
    async def test_submission_in_flight_is_answered_as_unknown(
        self, deployment
    ):
        # Guards against an answer that does not say that the job may be stored:
        # the store does not reply while the instance stops.
        standin, instance, caller = deployment
        instance.settings = dataclasses.replace(
            instance.settings, bounds=TimeBounds()
        )
        transact = standin.store.transact

        async def reply_late(**options):
            if any(JOB in put.key for put in options["puts"]):
                await asyncio.sleep(3.0)
            return await transact(**options)

        standin.store.transact = reply_late
        stopping = asyncio.ensure_future(instance.stop())
        await asyncio.sleep(_instance.DRAIN_DELAY_S - 0.4)
        # The time limit ends long after the listeners have closed.
        reply = await caller.call(
            "POST", PREFIX + JOB, body=BODY, deadline_ms=5_000
        )
        await stopping
        assert reply.status == 504


class TestOddEntries:
    async def test_odd_entries_do_not_hide_the_workers(self, deployment):
        # Guards against entries of another writer after which a coordinator no
        # longer follows the list, so that nothing starts.
        standin, _, caller = deployment
        key, value = testing.encode_worker(standin.engines[0].listed())
        fields = orjson.loads(value)
        nested = b"[" * 1_000 + b"]" * 1_000
        for number, odd in enumerate(
            (
                nested,
                orjson.dumps(fields)[:-1] + b',"address":' + nested + b"}",
                orjson.dumps(fields)[:-1] + b',"born":1e300}',
                orjson.dumps(fields | {"address": "127.0.0.1:99999"}),
                orjson.dumps(fields | {"address": "[:80"}),
            )
        ):
            # The odd entries are the first of the list.
            await standin.store.put(f"{key[:-1]}!{number}", odd)
        await asyncio.sleep(2.0)
        # Work goes on also if the list changes.
        for engine in standin.engines[:-1]:
            key, _ = testing.encode_worker(engine.listed())
            await standin.store.delete(key)
        reply = await caller.call("POST", PREFIX + JOB, body=BODY)
        assert reply.status == 200
        await caller.until(PREFIX + JOB, {"state": "completed"})


class TestAnnouncements:
    async def test_announced_entry_reaches_the_coordinator(self, deployment):
        _, instance, caller = deployment
        await caller.call("POST", PREFIX + JOB, body=BODY)
        await caller.until(PREFIX + JOB, {"state": "completed"})
        accepted = []
        instance._coordinator.accept_entry = accepted.append
        client = _coordinator_calls.CoordinatorClient(
            address=lambda: instance.election.coordinator_address
        )
        entry = store.Entry(key=keys.job_key(JOB), value=b"x", revision=7)
        await client.announce(entry)
        assert accepted == [entry]
        await client.stop()

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"\xc1",
            msgpack.packb([keys.COUNTS_KEY, b"x", 7]),
            msgpack.packb([keys.job_key(JOB), "text", 7]),
            msgpack.packb([keys.job_key(JOB), b"x", -1]),
        ],
    )
    async def test_malformed_announcement_is_refused(self, deployment, body):
        _, instance, _ = deployment
        url = f"http://{instance.settings.internal_address}"
        client = http.HttpClient(url=url)
        reply = await client.call("POST", "/intake", body=body)
        assert reply.status == 400
        await client.stop()


class TestSettings:
    def test_what_is_written_is_read(self, tmp_path):
        settings = InstanceSettings(
            instance=InstanceId("e1"),
            zone=ZoneId("a"),
            api_address=Address(host="127.0.0.1", port=1),
            readiness_address=Address(host="127.0.0.1", port=2),
            internal_address=Address(host="127.0.0.1", port=3),
            store_address="127.0.0.1:4",
            bounds=TimeBounds(longest_lease_s=5.0),
        )
        path = tmp_path / "boot.json"
        path.write_bytes(testing.encode_settings(settings))
        assert platform.load_settings(path) == settings
