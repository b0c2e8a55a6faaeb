"""Tests of owners that are killed, paused or cut off from the store."""

import asyncio
import contextlib

import pytest

from magnoliaglade import execution, scheduling
from magnoliaglade import store as store_lib
from magnoliaglade.execution.tests import harness
from magnoliaglade.types import JobId, WorkerId

PHASE = execution.JobPhase
# A takeover is complete 5 s after the owner failed, and the slowest start or
# restart afterwards waits for a lease of 20 s and a backoff.
SETTLE_S = 45.0


async def _time_out(_):
    raise store_lib.StoreOutcomeUnknownError("no answer")


async def run_script(node, script, *, at_most_once):
    """Runs commands as a caller does; returns the acknowledged ones."""
    done = []
    clock = node.cluster.clock
    for command in script:
        if command == "submit":
            spec = harness.make_spec("j", tasks=4, at_most_once=at_most_once)
            call = node.owner.submit(spec)
        elif command == "cancel":
            call = node.owner.cancel(JobId("j"))
        else:
            call = node.owner.stop()
        task = asyncio.create_task(call)
        # A hand-over waits up to 5 s for steps in flight.
        await clock.advance(7 if command == "hand-over" else 3)
        assert task.done()
        with contextlib.suppress(execution.ExecutionError):
            await task
            done.append(command)
    if "hand-over" not in script:
        await clock.advance(7)
    return done


async def count_effects(script, *, at_most_once):
    cluster = harness.Cluster()
    node = harness.Node(cluster, "a")
    await node.own()
    before = node.fuse.count
    await run_script(node, script, at_most_once=at_most_once)
    effects = node.fuse.count - before
    await node.close()
    return effects


async def check_kill(script, limit, *, at_most_once):
    """Kills the owner after `limit` effects and checks the promises."""
    cluster = harness.Cluster()
    old, new = harness.Node(cluster, "a"), harness.Node(cluster, "b")
    await old.own()
    old.fuse.limit = old.fuse.count + limit
    done = await run_script(old, script, at_most_once=at_most_once)
    await old.close()
    await new.own()
    await cluster.clock.advance(SETTLE_S)
    entry = new.owner.jobs.get(JobId("j"))
    running = cluster.running("j")
    # A kill in the middle of the confirmation leaves confirmed members until
    # the successor fences them: 5 s of takeover and the 7 s of the script.
    assert cluster.partial_s("j", tasks=4) <= 3.0 + 7.0 + 5.0
    assert len(running) in (0, 4)
    assert not cluster.overlaps("j", tasks=4)
    assert "submit" not in done or entry is not None
    if "cancel" in done:
        assert entry.phase is PHASE.CANCELLED
    if entry is None or entry.phase.is_terminal:
        assert running == []
    elif not at_most_once:
        assert len(running) == 4
    if at_most_once:
        assert len(cluster.attempts("j")) <= 1
        assert entry is None or entry.phase is not PHASE.PENDING
    await new.close()


class TestKilledOwner:
    @pytest.mark.parametrize("at_most_once", [False, True])
    @pytest.mark.parametrize(
        "script",
        [("submit",), ("submit", "cancel"), ("submit", "hand-over")],
        ids="-".join,
    )
    async def test_kill_at_every_effect(self, script, at_most_once):
        """Guards every promise of an owner that fails at any point.

        The points are before and after each call of a worker and each write
        to the store, in submission, launch, renewal, cancellation and stop.
        """
        effects = await count_effects(script, at_most_once=at_most_once)
        assert effects >= 20
        for limit in range(effects + 1):
            await check_kill(script, limit, at_most_once=at_most_once)

    @pytest.mark.parametrize("at_most_once", [False, True])
    @pytest.mark.parametrize("step", execution.LaunchStep)
    async def test_kill_at_each_step(self, step, at_most_once):
        """Guards against a partial gang or a second start after a kill."""
        cluster = harness.Cluster()
        old, new = harness.Node(cluster, "a"), harness.Node(cluster, "b")

        async def on_step(current, _):
            if current is step:
                old.kill()

        await old.own(on_step=on_step)
        spec = harness.make_spec("j", tasks=4, at_most_once=at_most_once)
        await old.owner.submit(spec)
        await cluster.clock.advance(1)
        await old.close()
        await new.own()
        await cluster.clock.advance(SETTLE_S)
        assert cluster.partial_s("j", tasks=4) <= 3.0
        assert not cluster.overlaps("j", tasks=4)
        entry = new.owner.status("j")
        if at_most_once:
            assert len(cluster.attempts("j")) <= 1
            is_running = len(cluster.running("j")) == 4
            assert is_running == (entry.phase is PHASE.ACTIVE)
        else:
            assert len(cluster.running("j")) == 4
        await new.close()

    async def test_running_gang_is_adopted(self):
        """Guards against a restart of work that runs whole."""
        cluster = harness.Cluster()
        old, new = harness.Node(cluster, "a"), harness.Node(cluster, "b")
        await old.own()
        await old.owner.submit(harness.make_spec("j", tasks=4))
        await cluster.clock.advance(7)
        await old.close()
        await new.own()
        await cluster.clock.advance(60)
        assert {r.attempt for r in cluster.running("j")} == {1}
        assert len(cluster.runs("j")) == 4
        await new.close()

    @pytest.mark.parametrize("is_down", [False, True])
    async def test_result_outlives_the_owner(self, is_down):
        """Guards against a finished job that runs again."""
        cluster = harness.Cluster()
        old, new = harness.Node(cluster, "a"), harness.Node(cluster, "b")
        await old.own()
        spec = harness.make_spec("j", tasks=4, command=("sleep", "3"))
        await old.owner.submit(spec)
        await cluster.clock.advance(1)
        if is_down:
            # The result is known to the owner, and not yet in the log.
            old.store.is_down = old.has_grants = True
            await cluster.clock.advance(18)
        await old.close()
        await cluster.clock.advance(10)
        await new.own()
        await cluster.clock.advance(2)
        assert new.phase("j") is PHASE.FINISHED
        assert len(cluster.runs("j")) == 4
        await new.close()

    async def test_held_at_most_once_gang_starts_later(self):
        """Guards against a job given up that certainly has not run."""
        cluster = harness.Cluster()
        old, new = harness.Node(cluster, "a"), harness.Node(cluster, "b")

        async def on_step(step, _):
            if step is execution.LaunchStep.ACTIVATE:
                await old.ownership.release(old.owner.owned)
                await asyncio.Event().wait()

        await old.own(on_step=on_step)
        await old.owner.submit(harness.make_spec("j", at_most_once=True))
        await cluster.clock.advance(0.1)
        await old.close()
        await new.own()
        await cluster.clock.advance(20)
        assert set(cluster.attempts("j")) == {2}
        assert len(cluster.running("j")) == 2
        await new.close()

    async def test_cancelled_tasks_on_a_late_worker_are_stopped(self):
        """Guards against tasks of an ended job that hold a worker."""
        cluster = harness.Cluster()
        old, new = harness.Node(cluster, "a"), harness.Node(cluster, "b")
        await old.own()
        await old.owner.submit(harness.make_spec("j"))
        await cluster.clock.advance(7)
        old.links["w0"].is_cut = new.links["w0"].is_cut = True
        await old.owner.cancel(JobId("j"))
        await old.close()
        await new.own()
        await cluster.clock.advance(1)
        assert len(cluster.running("j")) == 2
        new.links["w0"].is_cut = False
        await cluster.clock.advance(5)
        assert cluster.running("j") == []
        # The worker is fenced now, so starts need not wait for its leases.
        await new.owner.submit(harness.make_spec("k"))
        await cluster.clock.advance(3)
        assert len(cluster.running("k")) == 2
        await cluster.clock.advance(12)
        reports = cluster.workers["w0"]._tasks.values()
        assert {t.request.job for t in reports} <= {"k"}
        await new.close()

    async def test_graceful_handover(self):
        """Guards against a planned stop that interrupts running tasks."""
        cluster = harness.Cluster()
        old, new = harness.Node(cluster, "a"), harness.Node(cluster, "b")
        await old.own()
        await old.owner.submit(harness.make_spec("j", tasks=4))
        await asyncio.sleep(0)
        await old.owner.stop()
        with pytest.raises(execution.NotOwnerError):
            await old.owner.submit(harness.make_spec("k"))
        before_s = cluster.clock.now()
        await new.own()
        assert cluster.clock.now() == before_s
        await cluster.clock.advance(30)
        assert len(cluster.runs("j")) == 4
        assert len(cluster.running("j")) == 4
        assert new.owner.jobs.get(JobId("k")) is None
        await new.close()
        await old.close()


class TestTwoOwners:
    @pytest.mark.parametrize("may_old_act", [True, False])
    async def test_inherited_jobs_wait_for_the_former_owner(self, may_old_act):
        """Guards against a job of two owners, one of them under grants."""
        cluster = harness.Cluster()
        old, new = harness.Node(cluster, "a"), harness.Node(cluster, "b")
        old.startable = frozenset()
        listed = cluster.listed()
        # It does not meet the worker that its successor fences.
        await old.own(workers=lambda: {WorkerId("w1"): listed["w1"]})
        await old.owner.submit(harness.make_spec("p"))
        new.links["w1"].is_cut = old.store.is_down = True
        old.has_grants = may_old_act

        async def is_agreed(owned):
            return not old.has_grants

        await new.own(is_takeover_agreed=is_agreed)
        await new.owner.submit(harness.make_spec("k"))
        await cluster.clock.advance(2)
        # The former owner does not know this job.
        assert len(cluster.running("k")) == 2
        await new.owner.cancel(JobId("k"))
        old.startable = frozenset({harness.ZONE})
        await cluster.clock.advance(17)
        assert len(cluster.running("p")) == (2 if may_old_act else 0)
        await cluster.clock.advance(40)
        assert len(cluster.running("p")) == 2
        assert not cluster.overlaps("p")
        await new.close()
        await old.close()

    async def test_worker_that_left_the_list_is_no_agreement(self):
        """Guards against two runs when only the successor's list is current."""
        cluster = harness.Cluster()
        old, new = harness.Node(cluster, "a"), harness.Node(cluster, "b")
        old.startable = frozenset()
        listed = cluster.listed()
        await old.own(workers=lambda: {WorkerId("w1"): listed["w1"]})
        await old.owner.submit(harness.make_spec("p"))
        new.links["w1"].is_cut = old.store.is_down = old.has_grants = True
        known = dict(listed)

        async def is_agreed(_):
            return False

        await new.own(workers=lambda: known, is_takeover_agreed=is_agreed)
        del known[WorkerId("w1")]
        old.startable = frozenset({harness.ZONE})
        await cluster.clock.advance(60)
        assert len(cluster.running("p")) == 2
        assert not cluster.overlaps("p")
        await new.close()
        await old.close()

    async def test_nothing_starts_before_intents_are_known(self):
        """Guards against a start in a zone that an intent has removed."""
        cluster = harness.Cluster()
        node = harness.Node(cluster, "a")
        answers = []

        async def is_informed():
            return bool(answers)

        await node.own(is_informed=is_informed)
        await node.owner.submit(harness.make_spec("j"))
        await cluster.clock.advance(30)
        assert cluster.runs("j") == []
        answers.append("majority")
        await cluster.clock.advance(2)
        assert len(cluster.running("j")) == 2
        await node.close()

    async def test_paused_owner_does_nothing_after_its_successor(self):
        """Guards against starts, stops and records of a paused owner."""
        cluster = harness.Cluster()
        old, new = harness.Node(cluster, "a"), harness.Node(cluster, "b")
        await old.own()
        await old.owner.submit(harness.make_spec("j"))
        await old.owner.submit(harness.make_spec("p", tasks=4))
        await cluster.clock.advance(3)
        # The pause: no renewal of the lease, and none of the loops run.
        old.lease._task.cancel()
        await old.owner.abandon()
        await new.own()
        await cluster.clock.advance(1)
        # It believes that its lease is valid when it wakes up.
        now_s = cluster.clock.now()
        old.lease._granted = store_lib._lease._GrantedLease(
            lease=old.owner.owned.lease, valid_until_s=now_s + 100
        )
        term = old.owner._term
        gang = term.attempts.renewal.gangs[JobId("j")]
        term.attempts.end(gang, execution.FailureCause.EVICTED)
        placement = scheduling.Placement(
            job=JobId("p"), assignments=((WorkerId("w1"), 2),)
        )
        term.attempts.start(old.owner.jobs.get(JobId("p")), placement)
        await cluster.clock.advance(1)
        assert old.owner.is_lost
        with pytest.raises(execution.NotOwnerError):
            await old.owner.cancel(JobId("j"))
        old.owner._is_lost = False
        with pytest.raises(execution.NotOwnerError):
            await old.owner.submit(harness.make_spec("k"))
        old.owner._is_lost = False
        with pytest.raises(execution.NotOwnerError):
            await old.owner.cancel(JobId("j"))
        await cluster.clock.advance(10)
        assert len(cluster.running("j")) == len(cluster.runs("j")) == 2
        assert cluster.runs("p") == []
        assert new.phase("j") is PHASE.ACTIVE
        assert new.owner.jobs.get(JobId("k")) is None
        await new.close()
        await old.close()

    @pytest.mark.parametrize("at_most_once", [False, True])
    async def test_worker_reachable_for_the_old_owner_only(self, at_most_once):
        """Guards against two runs of a gang whose worker the new owner lost."""
        cluster = harness.Cluster(workers=4)
        old, new = harness.Node(cluster, "a"), harness.Node(cluster, "b")
        await old.own()
        await old.owner.submit(
            harness.make_spec("j", tasks=4, at_most_once=at_most_once)
        )
        await cluster.clock.advance(3)
        old.store.is_down = True
        for link in new.links.values():
            link.is_cut = True
        await new.own()
        for name in ("w2", "w3"):
            new.links[name].is_cut = False
        await cluster.clock.advance(60)
        assert not cluster.overlaps("j", tasks=4)
        assert len(cluster.attempts("j")) == (1 if at_most_once else 2)
        assert new.phase("j") is (
            PHASE.FAILED if at_most_once else PHASE.ACTIVE
        )
        await new.close()
        await old.close()


class TestStoreOutage:
    @pytest.mark.parametrize("has_grants", [False, True])
    async def test_accepted_jobs_start_only_under_grants(self, has_grants):
        """Guards against a start without permission or record."""
        cluster = harness.Cluster()
        node = harness.Node(cluster, "a")
        node.startable = frozenset()
        await node.own()
        await node.owner.submit(harness.make_spec("j"))
        await node.owner.submit(harness.make_spec("once", at_most_once=True))
        node.store.is_down, node.has_grants = True, has_grants
        await cluster.clock.advance(5)
        node.startable = frozenset({harness.ZONE})
        with pytest.raises(execution.NotRunError):
            await node.owner.submit(harness.make_spec("new"))
        await cluster.clock.advance(30)
        assert len(cluster.running("j")) == (2 if has_grants else 0)
        assert cluster.runs("once") == []
        node.store.is_down = False
        await cluster.clock.advance(30)
        assert len(cluster.running("j")) == 2
        assert len(cluster.attempts("j")) == 1
        assert len(cluster.running("once")) == 2
        with pytest.raises(execution.UnknownJobError):
            node.phase("new")
        await node.close()
        successor = harness.Node(cluster, "b")
        await successor.own()
        assert successor.phase("j") is PHASE.ACTIVE
        await cluster.clock.advance(10)
        assert len(cluster.runs("j")) == 2
        await successor.close()

    async def test_job_shown_as_finished_does_not_run_again(self):
        """Guards against an end that is shown before it is stored.

        Owner and workers are lost before the store answers again, so no
        report tells the successor of the end.
        """
        cluster = harness.Cluster()
        old, new = harness.Node(cluster, "a"), harness.Node(cluster, "b")
        await old.own()
        await old.owner.submit(harness.make_spec("j", command=("sleep", "3")))
        await cluster.clock.advance(1)
        old.store.is_down = old.has_grants = True
        await cluster.clock.advance(10)
        assert all(r.ended_s is not None for r in cluster.runs("j"))
        shown = old.phase("j")
        await old.close()
        for worker in cluster.workers.values():
            worker.crash()
            worker.restart()
        await new.own()
        await cluster.clock.advance(SETTLE_S)
        assert set(cluster.attempts("j")) == {1, 2}
        assert shown is PHASE.ACTIVE
        await new.close()

    async def test_end_is_shown_once_it_is_stored(self):
        """Guards against an end that stays hidden, and a cancelled one."""
        cluster = harness.Cluster()
        node = harness.Node(cluster, "a")
        await node.own()
        await node.owner.submit(harness.make_spec("j", command=("sleep", "3")))
        await cluster.clock.advance(1)
        node.store.is_down = node.has_grants = True
        await cluster.clock.advance(10)
        assert node.phase("j") is PHASE.ACTIVE
        task = asyncio.create_task(node.owner.cancel(JobId("j")))
        await cluster.clock.advance(1)
        assert task.done()
        with pytest.raises(execution.NotRunError):
            await task
        node.store.is_down = node.has_grants = False
        await cluster.clock.advance(10)
        assert node.phase("j") is PHASE.FINISHED
        assert len(cluster.runs("j")) == 2
        await node.close()

    @pytest.mark.parametrize("fault", ["outage", "takeover"])
    async def test_refusal_of_a_job_in_doubt_is_not_a_not_run(self, fault):
        """Guards against "not run" for a job that a successor runs."""
        cluster = harness.Cluster()
        old, new = harness.Node(cluster, "a"), harness.Node(cluster, "b")
        await old.own()
        spec = harness.make_spec("j")
        # The write takes effect, and neither answer nor read-back comes.
        old.store.lost_answers = 10
        with contextlib.suppress(execution.OutcomeUnknownError):
            task = asyncio.create_task(old.owner.submit(spec))
            get, old.store.get = old.store.get, _time_out
            await cluster.clock.advance(0.01)
            assert task.done()
            await task
        assert old.owner.jobs.get(JobId("j")) is None
        old.store.is_down = True
        if fault == "takeover":
            await new.own()
            old.store.is_down, old.store.get = False, get
        task = asyncio.create_task(old.owner.submit(spec))
        await cluster.clock.advance(1)
        assert task.done()
        with pytest.raises(execution.OutcomeUnknownError):
            await task
        await old.close()
        if fault == "outage":
            await new.own()
        await cluster.clock.advance(5)
        assert len(cluster.running("j")) == 2
        await new.close()

    @pytest.mark.parametrize("is_cut", [False, True])
    async def test_successor_of_an_unrecorded_gang(self, is_cut):
        """Guards against a second run of a gang started under grants."""
        cluster = harness.Cluster(workers=4)
        old, new = harness.Node(cluster, "a"), harness.Node(cluster, "b")
        old.startable = frozenset()
        await old.own()
        await old.owner.submit(harness.make_spec("j"))
        old.store.is_down = old.has_grants = True
        old.startable = frozenset({harness.ZONE})
        await cluster.clock.advance(8)
        assert len(cluster.running("j")) == 2
        await old.close()
        new.links["w0"].is_cut = is_cut
        await new.own()
        await cluster.clock.advance(45)
        assert len(cluster.runs("j")) == (4 if is_cut else 2)
        assert len(cluster.running("j")) == 2
        assert not cluster.overlaps("j")
        assert new.phase("j") is PHASE.ACTIVE
        await new.close()

    @pytest.mark.parametrize("is_killed", [False, True])
    async def test_restart_during_the_outage_is_kept(self, is_killed):
        """Guards against a restarted gang that is stopped or forgotten."""
        cluster = harness.Cluster(workers=3)
        node = harness.Node(cluster, "a")
        await node.own()
        await node.owner.submit(harness.make_spec("j"))
        await cluster.clock.advance(3)
        node.store.is_down = node.has_grants = True
        await cluster.clock.advance(5)
        cluster.workers["w0"].crash()
        await cluster.clock.advance(40)
        assert {r.attempt for r in cluster.running("j")} == {2}
        if is_killed:
            await node.close()
            node = harness.Node(cluster, "b")
            await node.own()
        node.store.is_down = node.has_grants = False
        await cluster.clock.advance(30)
        assert set(cluster.attempts("j")) == {1, 2}
        assert len(cluster.running("j")) == 2
        assert node.owner.status("j").attempt == 2
        # What only the owner knew of the outage is lost with it.
        assert node.owner.status("j").failures == (0 if is_killed else 1)
        await node.close()

    @pytest.mark.parametrize("fault", ["lost_answers", "lost_requests"])
    @pytest.mark.parametrize("write", range(8))
    @pytest.mark.parametrize("count", [1, 4])
    async def test_fault_of_each_record(self, fault, write, count):
        """Guards against a record that is lost or applied twice."""
        cluster = harness.Cluster()
        node = harness.Node(cluster, "a")
        await node.own()
        puts = {"count": 0}
        put = node.store.put

        async def faulty_put(*args, **options):
            if puts["count"] == write:
                setattr(node.store, fault, count)
            puts["count"] += 1
            return await put(*args, **options)

        node.store.put = faulty_put
        call = node.owner.submit(
            harness.make_spec("j", command=("fail", "2"), tasks=1)
        )
        task = asyncio.create_task(call)
        await cluster.clock.advance(5)
        with contextlib.suppress(execution.OutcomeUnknownError):
            await task
        await cluster.clock.advance(100)
        assert node.phase("j") is PHASE.FAILED
        assert not cluster.overlaps("j", tasks=1)
        assert node.owner.status("j").failures == 4
        successor = harness.Node(cluster, "b")
        await node.close()
        await successor.own()
        assert successor.phase("j") is PHASE.FAILED
        assert successor.owner.status("j").failures == 4
        await successor.close()
