"""Each check reports a part that is broken on purpose."""

import pytest

from magnoliaglade import configuration, requests, standins, upstreams
from magnoliaglade.execution.tests import harness
from magnoliaglade.faults import Fault, Promise
from magnoliaglade.requests import _claim_messages as messages
from magnoliaglade.requests import _claim_partition, _gateway, _outcome
from tests.matrix import claims, jobs, settings, shutdown

Step = requests.RequestStep


class StubbornWorker(standins.InMemoryWorker):
    """Ignores leases and stops."""

    def _advance(self):
        pass

    async def stop(self, request):
        pass


async def grant(self, holder, request):
    return messages.ClaimReply(state=messages.ReplyState.GRANTED.value)


def refuse(flight, reason, cause=requests.NotRunCause.UNAVAILABLE):
    return _outcome.NotRun(
        request_id=flight.request.request_id, reason=reason, cause=cause
    )


def ungated(self):
    return self.agent.configuration.zones_in_service


class TestCheckers:
    """Guards against a check that cannot fail."""

    async def test_policy_without_reclaim(self, monkeypatch):
        monkeypatch.setattr(jobs, "decide", harness.greedy)
        found = await jobs.Run([]).run()
        assert found.broken() == {Promise.GUARANTEE_RECLAIMABLE}

    async def test_worker_that_ignores_stops(self, monkeypatch):
        monkeypatch.setattr(standins, "InMemoryWorker", StubbornWorker)
        run = jobs.Run([])
        kept = run.cluster.workers
        for worker in list(kept)[:2]:
            kept[worker] = type(kept[worker]).__mro__[1](
                clock=run.clock, worker=worker
            )
        assert Promise.GANG_WHOLE in (await run.run()).broken()

    async def test_attempts_of_an_at_most_once_job(self, monkeypatch):
        spec = harness.make_spec
        monkeypatch.setattr(
            harness,
            "make_spec",
            lambda job, **options: spec(
                job, **{**options, "at_most_once": False}
            ),
        )
        run = jobs.Run([])
        start = run.submit

        async def submit(job, **options):
            await start(job, **options)
            if job == "o":
                await run.advance(2)
                for worker in run.cluster.workers.values():
                    worker.crash()
                    worker.restart()

        run.submit = submit
        assert Promise.AT_MOST_ONCE in (await run.run()).broken()

    async def test_owner_that_ignores_the_gate(self):
        run = jobs.Run([])

        async def leave_zone():
            run.removed.append([run.clock.now() - 4.0, float("inf")])

        run.leave_zone = leave_zone
        assert (await run.run()).broken() >= {Promise.ZONE_REMOVED_NO_START}

    async def test_owner_that_denies_a_job(self):
        run = jobs.Run([])
        submit = run.submit

        async def deny(job, **options):
            await submit(job, **options)
            run.refused.add(job)

        run.submit = deny
        assert (await run.run()).broken() == {Promise.NOT_RUN_IS_TRUE}

    async def test_gate_without_intents_and_age(self, monkeypatch):
        monkeypatch.setattr(configuration.ZoneGate, "startable_zones", ungated)
        cell = (configuration.ZoneStep.SPREAD_REMOVAL, Fault.STORE_DOWN)
        found = await settings.Run([cell]).zone()
        assert found.broken() == {Promise.ZONE_REMOVED_NO_START}

    @pytest.mark.parametrize("is_broken", [False, True])
    async def test_unchecked_answers(self, monkeypatch, is_broken):
        changes = {"body": b"other", "request_id": "other"}
        if is_broken:
            monkeypatch.setattr(
                requests.AnswerMatcher, "check", lambda *_: None
            )

        def change(cluster):
            cluster.upstream.changes = changes

        found = await claims.Run([], change=change).run()
        expected = {Promise.WHOLE_ANSWER_TO_ITS_CALLER} if is_broken else set()
        assert found.broken() == expected

    async def test_gateway_that_always_refuses(self, monkeypatch):
        monkeypatch.setattr(_gateway, "_interrupted", refuse)
        cell = (Step.ANSWER, Fault.INSTANCE_DIES)
        found = await claims.Run([cell]).run()
        assert Promise.NOT_RUN_IS_TRUE in found.broken()

    async def test_claims_granted_twice(self, monkeypatch):
        monkeypatch.setattr(_claim_partition.ClaimPartition, "claim", grant)
        found = await claims.Run([]).run()
        assert found.broken() == {Promise.AT_MOST_ONCE}

    async def test_directory_that_believes_the_list(self, monkeypatch):
        monkeypatch.setattr(
            upstreams.UpstreamDirectory, "is_eligible", lambda *_: True
        )
        found = await shutdown.Run([]).run()
        assert found.broken() == {Promise.LEAVING_GETS_NO_WORK}

    async def test_stop_that_interrupts(self, monkeypatch):
        stop = requests.Gateway.stop
        monkeypatch.setattr(
            requests.Gateway, "stop", lambda self: stop(self, force=True)
        )
        found = await shutdown.Run([]).run()
        assert Promise.GRACEFUL_STOP in found.broken()

    async def test_agent_that_reverts(self):
        run, stored = settings.Run([]), []
        advance = run.advance

        async def revert(seconds):
            await advance(seconds)
            agent = run.cluster[settings.OTHER].agent
            if agent.revision == 1:
                stored.append(agent._stored)
            elif agent.revision == 2 and stored:
                agent._stored = stored[0]
                stored.clear()

        run.advance = revert
        found = await run.change()
        assert found.broken() == {Promise.CONFIGURATION_HOLDS}

    async def test_agent_that_does_not_apply(self, monkeypatch):
        apply = configuration.ConfigurationAgent._apply
        monkeypatch.setattr(
            configuration.ConfigurationAgent,
            "_apply",
            lambda self, stored: (
                stored.configuration.revision == 1 and apply(self, stored)
            ),
        )
        found = await settings.Run([]).change()
        assert found.broken() == {Promise.CONFIGURATION_HOLDS}
