"""Tests of the gateway's outcomes, limits, answers and shutdown."""

import asyncio

import pytest

from magnoliaglade import requests
from magnoliaglade.requests import _auth
from magnoliaglade.requests.tests import claim_cluster

UNKNOWN = requests.OutcomeUnknownError("connection broke off")
Cause = requests.NotRunCause
NOT_SENT = requests.NotSentError("no upstream")


@pytest.fixture
async def cluster():
    cluster = claim_cluster.Cluster()
    await cluster.start()
    return cluster


class TestOutcomes:
    async def test_key_with_another_body_is_a_conflict(self, cluster):
        """Guards against a caller that repeats a key that never matches."""
        await cluster.wait(cluster.send("a", "k"))
        outcome = await cluster.wait(cluster.send("b", "k", body=b"other"))
        assert outcome.cause is Cause.KEY_CONFLICT

    async def test_retry_through_another_instance(self, cluster):
        """Guards against a second run while the first attempt runs."""
        cluster.upstream.delay_s = 3.0
        first = cluster.send("a", "k")
        await cluster.clock.advance(1)
        second = cluster.send("b", "k")
        outcome = await cluster.wait(second)
        assert outcome.response.body == b"printed"
        assert first.result().response.body == b"printed"
        assert cluster.upstream.runs[b"k"] == 1

    @pytest.mark.parametrize(("is_down", "lost"), [(True, 0), (False, 2)])
    async def test_outcome_outlasts_its_fault(self, cluster, is_down, lost):
        """Guards against an outcome lost by an outage or lost peer replies."""
        cluster.upstream.delay_s = 1.0
        first = cluster.send("a", "k")
        await cluster.clock.advance(0.5)
        for node in cluster.nodes.values():
            node.faults.is_down = is_down
        cluster.hub.lost_replies = lost
        await cluster.clock.advance(8)
        assert isinstance(first.result(), requests.Ran)
        assert cluster.hub.lost_replies == 0
        for node in cluster.nodes.values():
            node.faults.is_down = False
        await cluster.clock.advance(8)
        second = await cluster.wait(cluster.send("b", "k"))
        assert second.response.body == b"printed"
        assert cluster.upstream.runs[b"k"] == 1

    async def test_unknown_is_not_repeated(self, cluster):
        """Guards against a retry after bytes were written."""
        cluster.upstream.failures = [UNKNOWN]
        for name in "ab":
            outcome = await cluster.wait(cluster.send(name, "k"))
            assert isinstance(outcome, requests.Unknown)
        assert cluster.upstream.runs[b"k"] == 1

    @pytest.mark.parametrize("failure", [UNKNOWN, NOT_SENT])
    async def test_idempotent_request_is_retried(self, cluster, failure):
        cluster.upstream.failures = [failure]
        task = cluster.send("a", "k", kind="proof", key=None, body=b"k")
        assert isinstance(await cluster.wait(task), requests.Ran)

    async def test_not_sent_is_not_run_and_may_be_repeated(self, cluster):
        """Guards against a key that stays claimed without a run."""
        cluster.upstream.failures = [NOT_SENT] * 3
        first = await cluster.wait(cluster.send("a", "k"))
        assert isinstance(first, requests.NotRun)
        assert first.covers_key
        assert first.cause is Cause.UNAVAILABLE
        second = await cluster.wait(cluster.send("b", "k"))
        assert isinstance(second, requests.Ran)

    async def test_not_sent_after_unknown_is_unknown(self, cluster):
        """Guards against `not run` from the last of several dispatches."""
        cluster.upstream.failures = [UNKNOWN, NOT_SENT, NOT_SENT]
        task = cluster.send("a", "k", kind="proof")
        assert isinstance(await cluster.wait(task), requests.Unknown)

    async def test_silent_upstream_is_unknown_at_the_deadline(self, cluster):
        cluster.upstream.delay_s = 100.0
        outcome = await cluster.wait(cluster.send("a", "k", timeout_s=2))
        assert isinstance(outcome, requests.Unknown)

    @pytest.mark.parametrize(
        ("fields", "reason", "cause"),
        [
            (
                {"authorization": "Bearer acme:wrong"},
                "credentials",
                Cause.UNAUTHENTICATED,
            ),
            (
                {"authorization": "Bearer nobody:secret"},
                "credentials",
                Cause.UNAUTHENTICATED,
            ),
            (
                {"authorization": "acme:secret"},
                "credentials",
                Cause.UNAUTHENTICATED,
            ),
            ({"kind": "other"}, "unknown service", Cause.INVALID),
            ({"body": b"x" * 1_048_577}, "body exceeds", Cause.TOO_LARGE),
            ({"headers": (("a", "b"),) * 65}, "more than", Cause.TOO_LARGE),
            (
                {"headers": (("a", "b" * 16_384),)},
                "headers exceed",
                Cause.TOO_LARGE,
            ),
            ({"key": None}, "idempotency-key is required", Cause.INVALID),
            ({"key": "k" * 257}, "idempotency-key exceeds", Cause.INVALID),
            ({"timeout_s": float("nan")}, "deadline", Cause.INVALID),
        ],
    )
    async def test_refusals(self, cluster, fields, reason, cause):
        """Guards against work for a request that must be refused."""
        outcome = await cluster.wait(cluster.send("a", "k", **fields))
        assert isinstance(outcome, requests.NotRun)
        assert reason in outcome.reason
        assert outcome.cause is cause
        assert not cluster.upstream.runs

    async def test_admission_refuses(self, cluster):
        cluster.nodes["a"].admission.refusal = "queue is full"
        outcome = await cluster.wait(cluster.send("a", "k"))
        assert outcome.reason == "queue is full"
        assert not cluster.upstream.runs

    async def test_unknown_account_is_compared(self, monkeypatch):
        """Guards against telling accounts apart by the time of a refusal."""
        calls = []
        compare = _auth.hmac.compare_digest
        monkeypatch.setattr(
            _auth.hmac,
            "compare_digest",
            lambda a, b: calls.append(len(a) == len(b)) or compare(a, b),
        )
        with pytest.raises(requests.AuthenticationError):
            requests.authenticate(
                claim_cluster.CONFIGURATION, "Bearer nobody:secret"
            )
        assert calls == [True]


class TestAnswers:
    @pytest.mark.parametrize(
        ("changes", "counter"),
        [
            ({"request_id": "other"}, "mismatched"),
            ({"declared_bytes": 100}, "truncated"),
        ],
    )
    async def test_wrong_answers_are_dropped(self, cluster, changes, counter):
        """Guards against another request's or a partial answer."""
        cluster.upstream.changes = changes
        outcome = await cluster.wait(cluster.send("a", "k"))
        assert isinstance(outcome, requests.Unknown)
        dump = cluster.nodes["a"].gateway.dump()
        assert dump["answers"]["dropped"] == {counter: 1}

    async def test_late_and_duplicate_answers_are_dropped(self):
        answers = requests.AnswerMatcher()
        answers.expect("r1")
        future = answers.expect("r2")
        answers.abandon("r1")
        assert not answers.answer("r1", "late")
        assert answers.answer("r2", "first")
        assert not answers.answer("r2", "second")
        assert not answers.answer("r3", "never asked")
        assert future.result() == "first"
        assert dict(answers.counters) == {
            "late": 1,
            "duplicate": 1,
            "mismatched": 1,
        }


class TestStop:
    async def test_graceful_stop_finishes_requests(self, cluster):
        """Guards against a planned stop that interrupts a request."""
        cluster.upstream.delay_s = 3.0
        task = cluster.send("a", "k")
        await cluster.clock.advance(1)
        stop = asyncio.create_task(cluster.nodes["a"].stop())
        await cluster.clock.advance(1)
        refused = await cluster.send("a", "k2")
        assert isinstance(refused, requests.NotRun)
        assert refused.cause is Cause.STOPPING
        assert not stop.done()
        await cluster.clock.advance(2)
        assert isinstance(task.result(), requests.Ran)
        await cluster.clock.advance(1)
        assert stop.done()
        again = await cluster.wait(cluster.send("b", "k"))
        assert again.response.body == b"printed"

    async def test_forced_stop_answers_truly(self, cluster):
        """Guards against a false outcome when a stop is forced."""
        cluster.upstream.delay_s = 100.0
        gateway = cluster.nodes["a"].gateway
        sent = cluster.send("a", "sent")
        await cluster.clock.advance(1)
        for node in cluster.nodes.values():
            node.faults.delay_s = 0.5
        waiting = cluster.send("a", "waiting")
        await cluster.clock.advance(0.1)
        graceful = asyncio.create_task(gateway.stop())
        await gateway.stop(force=True)
        await graceful
        assert isinstance(await sent, requests.Unknown)
        assert (await waiting).cause is Cause.STOPPING
        await cluster.clock.advance(10)
        assert cluster.upstream.runs[b"waiting"] == 0

    async def test_disconnected_caller_causes_no_run(self, cluster):
        """Guards against a dispatch for a caller that has gone."""
        for node in cluster.nodes.values():
            node.faults.delay_s = 0.5
        task = cluster.send("a", "k")
        await cluster.clock.advance(0.1)
        task.cancel()
        await cluster.clock.advance(5)
        assert not cluster.upstream.runs
