"""Tests of claims under store, owner and peer failures."""

import asyncio
import dataclasses

import pytest

from magnoliaglade import requests
from magnoliaglade.requests.tests import claim_cluster

Status = requests.ClaimStatus
Result = requests.ClaimResult
ANSWER = requests.UpstreamResponse(status=200, body=b"printed")


@pytest.fixture
async def cluster():
    cluster = claim_cluster.Cluster()
    await cluster.start()
    return cluster


class TestClaims:
    async def test_second_caller_gets_first_outcome(self, cluster):
        """Guards against a second run by a retry through another instance."""
        key = cluster.key_owned_by("c")
        spec, first = await cluster.claim("a", key, "r1")
        assert first.status is Status.GRANTED
        _, second = cluster.ask("b", key, "r2")
        await cluster.clock.advance(2.5)
        assert not second.done()
        cluster.nodes["a"].client.report(spec, Result.RAN, ANSWER)
        await cluster.clock.advance(0.2)
        decision = second.result()
        assert (decision.status, decision.result) == (Status.KNOWN, Result.RAN)
        assert decision.response == ANSWER

    async def test_second_caller_is_undecided_at_its_deadline(self, cluster):
        """Guards against `not run` while the first attempt runs."""
        key = cluster.key_owned_by("c")
        await cluster.claim("a", key, "r1")
        _, second = await cluster.claim("b", key, "r2", timeout_s=2)
        assert second.status is Status.UNDECIDED

    async def test_large_answer_is_not_kept(self, cluster):
        key = cluster.key_owned_by("c")
        spec, _ = await cluster.claim("a", key, "r1")
        large = requests.UpstreamResponse(status=200, body=b"x" * 4096)
        cluster.nodes["a"].client.report(spec, Result.RAN, large)
        _, second = await cluster.claim("b", key, "r2")
        assert (second.result, second.response) == (Result.RAN, None)

    async def test_key_reuse_with_another_body_is_refused(self, cluster):
        """Guards against an answer to another request with the same key."""
        key = cluster.key_owned_by("c")
        await cluster.claim("a", key, "r1")
        _, second = await cluster.claim("b", key, "r2", body=b"other")
        assert second.status is Status.CONFLICT

    async def test_released_key_can_be_claimed_again(self, cluster):
        """Guards against a key that is lost when its attempt did not run."""
        key = cluster.key_owned_by("c")
        spec, _ = await cluster.claim("a", key, "r1")
        _, waiting = cluster.ask("b", key, "r2")
        await cluster.clock.advance(0.5)
        cluster.nodes["a"].client.report(spec, Result.NOT_RUN)
        await cluster.clock.advance(0.2)
        assert waiting.result().status is Status.GRANTED
        _, late = await cluster.claim("a", key, "r1", timeout_s=1)
        assert late.status is not Status.GRANTED

    async def test_late_grant_is_released(self, cluster):
        """Guards against a claim reply that arrives after the deadline."""
        key = cluster.key_owned_by("c")
        cluster.nodes["c"].faults.delay_s = 0.5
        _, late = await cluster.claim("a", key, "r1", timeout_s=0.3)
        assert late.status is Status.UNAVAILABLE
        assert late.covers_key
        cluster.nodes["c"].faults.delay_s = 0.0
        await cluster.clock.advance(3)
        _, second = await cluster.claim("b", key, "r2")
        assert second.status is Status.GRANTED

    async def test_cancelled_claim_is_released(self, cluster):
        """Guards against a key held by a caller that has gone."""
        key = cluster.key_owned_by("c")
        cluster.nodes["c"].faults.delay_s = 0.2
        _, first = cluster.ask("a", key, "r1")
        await cluster.clock.advance(0.1)
        first.cancel()
        await cluster.clock.advance(2)
        _, second = await cluster.claim("b", key, "r2")
        assert second.status is Status.GRANTED

    async def test_lost_peer_reply_is_asked_for_again(self, cluster):
        """Guards against a second claim, or none, after a lost reply."""
        key = cluster.key_owned_by("c")
        cluster.hub.lost_replies = 1
        _, first = await cluster.claim("a", key, "r1")
        assert first.status is Status.GRANTED
        assert len(cluster.partition("c", key).table) == 1

    @pytest.mark.parametrize("lost", [1, 4])
    async def test_lost_store_answers(self, cluster, lost):
        """Guards against a double or forgotten record after lost answers."""
        key = cluster.key_owned_by("c")
        faults = cluster.nodes["c"].faults
        faults.lost_answers = lost
        spec, first = await cluster.claim("a", key, "r1")
        assert first.status is Status.GRANTED
        faults.lost_answers = lost
        cluster.nodes["a"].client.report(spec, Result.RAN, ANSWER)
        await cluster.clock.advance(2)
        cluster.crashes.crash("c")
        await cluster.clock.advance(6)
        _, second = await cluster.claim("b", key, "r2")
        assert second.response == ANSWER

    async def test_lost_store_request_of_a_released_claim(self, cluster):
        """Guards against a claim of unknown outcome that blocks its key."""
        key = cluster.key_owned_by("c")
        cluster.nodes["c"].faults.lost_requests = 9
        _, first = await cluster.claim("a", key, "r1", timeout_s=0.1)
        assert first.status is not Status.GRANTED
        await cluster.clock.advance(3)
        cluster.crashes.crash("c")
        await cluster.clock.advance(6)
        _, second = await cluster.claim("b", key, "r2")
        assert second.status is Status.GRANTED

    async def test_lost_store_answer_followed_by_an_outage(self, cluster):
        """Guards against dropping a claim whose record is in the log."""
        key = cluster.key_owned_by("c")
        faults = cluster.nodes["c"].faults
        faults.delay_s, faults.lost_answers = 0.1, 1
        _, first = cluster.ask("a", key, "r1", timeout_s=1)
        await cluster.clock.advance(0.05)
        faults.is_down = True
        await cluster.clock.advance(1.5)
        assert first.result().status is not Status.GRANTED
        faults.is_down, faults.delay_s = False, 0.0
        await cluster.clock.advance(1)
        spec, second = await cluster.claim("b", key, "r2")
        assert second.status is Status.GRANTED
        cluster.nodes["b"].client.report(spec, Result.RAN, ANSWER)
        await cluster.clock.advance(1)
        cluster.crashes.crash("c")
        await cluster.clock.advance(6)
        _, third = await cluster.claim("a", key, "r3")
        assert third.response == ANSWER

    async def test_store_outage_refuses_new_and_knows_old(self, cluster):
        """Guards against `not run` for a key that ran before an outage."""
        key = cluster.key_owned_by("c")
        await cluster.claim("a", key, "r1")
        for node in cluster.nodes.values():
            node.faults.is_down = True
        fresh = f"{key}-new"
        _, refused = await cluster.claim("a", fresh, "r2", timeout_s=2)
        assert refused.status is Status.UNAVAILABLE
        # An attempt that waits elsewhere may claim the key after the outage.
        assert not refused.covers_key
        await cluster.clock.advance(10)
        _, lapsed = await cluster.claim("a", fresh, "r3")
        assert lapsed.status is Status.UNAVAILABLE
        assert not lapsed.covers_key
        _, old = await cluster.claim("b", key, "r4", timeout_s=2)
        assert old.status is Status.UNDECIDED

    async def test_owner_death_after_claim(self, cluster):
        """Guards against a second grant by the owner's successor."""
        key = cluster.key_owned_by("c")
        spec, _ = await cluster.claim("a", key, "r1")
        cluster.crashes.crash("c")
        cluster.nodes["a"].client.report(spec, Result.RAN, ANSWER)
        _, second = await cluster.claim("b", key, "r2")
        assert (second.status, second.response) == (Status.KNOWN, ANSWER)

    async def test_holder_death_makes_the_key_unknown(self, cluster):
        """Guards against a second run after the holder may have dispatched."""
        key = cluster.key_owned_by("c")
        await cluster.claim("a", key, "r1")
        cluster.crashes.crash("a")
        _, second = await cluster.claim("b", key, "r2")
        assert (second.status, second.result) == (Status.KNOWN, Result.UNKNOWN)
        cluster.crashes.crash("c")
        await cluster.clock.advance(6)
        _, third = await cluster.claim("b", key, "r3")
        assert third.result is Result.UNKNOWN

    async def test_paused_owner_grants_nothing_after_takeover(self, cluster):
        """Guards against two grants by a paused owner and its successor."""
        key = cluster.key_owned_by("c")
        paused = cluster.partition("c", key)
        cluster.nodes["c"].faults.delay_s = 8.0
        _, slow = cluster.ask("a", key, "r1", timeout_s=1)
        cluster.hub.cut("a", "c")
        cluster.hub.cut("b", "c")
        await cluster.clock.advance(7)
        assert slow.result().status is not Status.GRANTED
        _, second = await cluster.claim("b", key, "r2")
        assert second.status is Status.GRANTED
        cluster.hub.heal()
        cluster.nodes["c"].faults.delay_s = 0.0
        await cluster.clock.advance(9)
        assert not paused.may_act
        _, third = await cluster.claim("c", key, "r3", timeout_s=2)
        assert third.status is Status.UNDECIDED

    async def test_lapsed_owner_does_not_grant_a_late_claim(self, cluster):
        """Guards against a grant by a write that outlasts the lease."""
        key = cluster.key_owned_by("c")
        node = cluster.nodes["c"]
        node.lease._task.cancel()
        node.faults.delay_s = 3.6
        _, first = cluster.ask("a", key, "r1")
        await cluster.clock.advance(3.7)
        assert len(cluster.partition("c", key).table) == 1
        assert not first.done()
        assert not cluster.partition("c", key).may_act

    async def test_unreadable_log_leaves_the_other_partitions(self, cluster):
        """Guards against one broken record that stops every takeover."""
        lost, other = (cluster.key_owned_by("c", skip=n) for n in (0, 1))
        assert cluster.partition("c", lost) is not cluster.partition("c", other)
        await cluster.partition("c", lost).log.append(b"not a record")
        cluster.crashes.crash("c")
        _, refused = await cluster.claim("a", lost, "r1")
        assert refused.status is Status.UNAVAILABLE
        _, granted = await cluster.claim("a", other, "r2")
        assert granted.status is Status.GRANTED

    async def test_unreadable_log_is_retried_less_and_less(self, cluster):
        """Guards against an epoch raised by each of two ticks a second."""
        key = cluster.key_owned_by("c")
        partition = cluster.partition("c", key)
        await partition.log.append(b"not a record")
        epoch_key = f"epochs/{partition.owned.domain}"
        cluster.crashes.crash("c")
        await cluster.clock.advance(10)
        first = (await cluster.memory.get(epoch_key)).revision
        raised = []
        for _ in range(300):
            await cluster.clock.advance(1)
            revision = (await cluster.memory.get(epoch_key)).revision
            if revision != first:
                raised.append(first := revision)
        assert 5 <= len(raised) <= 15


class TestCompaction:
    async def test_successor_reads_snapshot(self):
        """Guards against a compaction that forgets claims or outcomes."""
        cluster = claim_cluster.Cluster(compact_slots=2)
        await cluster.start()
        key = cluster.key_owned_by("c")
        spec, _ = await cluster.claim("a", key, "r1")
        cluster.nodes["a"].client.report(spec, Result.RAN, ANSWER)
        await cluster.clock.advance(1)
        partition = cluster.partition("c", key)
        assert partition.counters["compactions"] == 1
        assert await cluster.memory.get(f"logs/{partition.log.name}/head")
        cluster.crashes.crash("c")
        await cluster.clock.advance(6)
        _, second = await cluster.claim("b", key, "r2")
        assert second.response == ANSWER

    async def test_claims_during_a_compaction(self, cluster):
        """Guards against a snapshot that loses or invents a claim."""
        key = cluster.key_owned_by("c")
        partition = cluster.partition("c", key)
        other = next(
            k
            for k in (f"other-{n}" for n in range(100))
            if cluster.nodes["c"].service._partitions.get(
                requests.partition_of(requests.digest_key("acme", k))
            )
            is partition
        )
        cluster.nodes["c"].service._task.cancel()
        partition.compact_slots = 0
        faults = cluster.nodes["c"].faults
        faults.delay_s = 0.2
        _, stored = cluster.ask("a", key, "r1")
        await cluster.clock.advance(0.1)
        compaction = asyncio.create_task(partition.compact_if_due())
        await cluster.clock.advance(0.05)
        _, waiting = cluster.ask("b", other, "r2")
        # The snapshot's last write starts at 0.6 s and the claim's after it.
        await cluster.clock.advance(0.55)
        faults.is_down = True
        await cluster.clock.advance(0.3)
        assert compaction.done()
        assert partition.counters["compactions"] == 1
        assert stored.result().status is Status.GRANTED
        assert waiting.result().status is Status.UNAVAILABLE
        faults.is_down, faults.delay_s = False, 0.0
        spec, again = await cluster.claim("b", other, "r3")
        assert again.status is Status.GRANTED
        cluster.nodes["b"].client.report(spec, Result.RAN, ANSWER)
        await cluster.clock.advance(1)
        cluster.crashes.crash("c")
        await cluster.clock.advance(6)
        _, first = await cluster.claim("b", key, "r4", timeout_s=2)
        assert first.status is Status.UNDECIDED
        _, second = await cluster.claim("a", other, "r5")
        assert second.response == ANSWER

    async def test_claims_are_kept_for_their_retention(self, cluster):
        """Guards against a log that grows without bound, or too short."""
        key = cluster.key_owned_by("c")
        await cluster.claim("a", key, "r1")
        table = cluster.partition("c", key).table
        table.expire(cluster.clock.time() + 86_300)
        assert len(table) == 1
        table.expire(cluster.clock.time() + 86_500)
        assert len(table) == 0

    async def test_expired_claims_go_without_a_compaction(self, cluster):
        """Guards against memory that only a compaction gives back."""
        key = cluster.key_owned_by("c")
        await cluster.claim("a", key, "r1")
        partition = cluster.partition("c", key)
        (claim,) = partition.table.open_claims()
        claim.claimed_at_s -= 86_500
        await cluster.clock.advance(1)
        assert len(partition.table) == 0
        assert partition.counters["compactions"] == 0

    async def test_full_partition_refuses_new_keys_only(self):
        """Guards against a table without bound and a false `not run`."""
        cluster = claim_cluster.Cluster(max_claims=1)
        await cluster.start()
        key = cluster.key_owned_by("c")
        spec, _ = await cluster.claim("a", key, "r1")
        cluster.nodes["a"].client.report(spec, Result.RAN, ANSWER)
        partition = cluster.partition("c", key)
        digests = (
            (k, requests.partition_of(requests.digest_key("acme", k)))
            for k in (f"other-{n}" for n in range(100))
        )
        number = requests.partition_of(requests.digest_key("acme", key))
        other = next(k for k, n in digests if n == number)
        _, refused = await cluster.claim("b", other, "r2", timeout_s=2)
        assert refused.status is Status.UNAVAILABLE
        assert refused.covers_key
        assert refused.cause is requests.NotRunCause.OVERLOADED
        assert partition.table.find(requests.digest_key("acme", other)) is None
        _, known = await cluster.claim("b", key, "r3")
        assert known.response == ANSWER

    async def test_answers_are_bounded(self, cluster):
        """Guards against a table of large answers that takes 186 MB."""
        key = cluster.key_owned_by("c")
        table = cluster.partition("c", key).table
        spec, _ = await cluster.claim("a", key, "r1")
        cluster.nodes["a"].client.report(spec, Result.RAN, ANSWER)
        _, second = await cluster.claim("b", key, "r2")
        assert (second.result, second.response) == (Result.RAN, ANSWER)
        (claim,) = table._claims.values()
        table.max_answers_bytes = len(claim.answer)
        other = dataclasses.replace(claim, answer=None)
        table._keep_answer(other, b"x")
        assert other.answer is None
        table.expire(cluster.clock.time() + 86_500)
        table._keep_answer(other, b"x")
        assert other.answer == b"x"

    async def test_other_work_runs_while_a_snapshot_is_encoded(self, cluster):
        """Guards against a large table that holds up every request."""
        partition = cluster.partition("c", cluster.key_owned_by("c"))
        await cluster.claim("a", cluster.key_owned_by("c"), "r1")
        (claim,) = partition.table.open_claims()
        for n in range(1000):
            other = dataclasses.replace(claim, key_digest=b"%d" % n)
            partition.table.add(other)
        turns = 0
        encoding = asyncio.create_task(partition._encode())
        while not encoding.done():
            await asyncio.sleep(0)
            turns += 1
        assert len(encoding.result()) == 1001
        assert turns >= 4

    async def test_release_holds_against_a_repeated_claim_record(self, cluster):
        """Guards against a record that is repeated after its release."""
        key = cluster.key_owned_by("c")
        spec, _ = await cluster.claim("a", key, "r1")
        partition = cluster.partition("c", key)
        (claim, *_) = partition.table.snapshot()
        cluster.nodes["a"].client.report(spec, Result.NOT_RUN)
        await cluster.clock.advance(1)
        await partition.log.append(claim)
        cluster.crashes.crash("c")
        await cluster.clock.advance(6)
        _, second = await cluster.claim("b", key, "r2")
        assert second.status is Status.GRANTED
