"""Tests of an owner with workers that fail, jobs that end and commands."""

import asyncio
import dataclasses

import pytest

from magnoliaglade import configuration, execution, scheduling
from magnoliaglade.execution.tests import harness
from magnoliaglade.types import JobId

PHASE = execution.JobPhase


async def make_owner(*, workers=2, **hooks):
    cluster = harness.Cluster(workers=workers)
    node = harness.Node(cluster, "a")
    await node.own(**hooks)
    return cluster, node


async def submit(node, job, *, run_s=2.0, **options):
    spec = harness.make_spec(job, **options)
    await node.owner.submit(spec)
    await node.cluster.clock.advance(run_s)


class TestJobs:
    async def test_result_needs_every_member(self):
        """Guards against a result of part of a gang."""
        cluster, node = await make_owner()
        await submit(node, "j", tasks=4, command=("sleep", "7"), run_s=6)
        assert len(cluster.running("j")) == 4
        node.links["w1"].is_cut = True
        await cluster.clock.advance(6)
        assert node.phase("j") is PHASE.ACTIVE
        node.links["w1"].is_cut = False
        await cluster.clock.advance(5)
        assert node.phase("j") is PHASE.FINISHED
        assert {ok for _, _, ok in node.outcomes} == {True}
        reports = [w._tasks for w in cluster.workers.values()]
        assert reports == [{}, {}]
        await node.close()

    async def test_repeated_submission_is_one_job(self):
        """Guards against a second job after a lost acknowledgement."""
        cluster, node = await make_owner()
        spec = harness.make_spec("j")
        renamed = dataclasses.replace(
            spec, gang=dataclasses.replace(spec.gang, job=JobId("k"))
        )
        found = await asyncio.gather(
            *(node.owner.submit(s) for s in (spec, renamed, spec))
        )
        await cluster.clock.advance(3)
        found.append(await node.owner.submit(renamed))
        assert set(found) == {"j"}
        assert len(node.owner.jobs) == 1
        assert len(cluster.runs("j")) == 2
        await node.close()

    async def test_failing_job_is_reported_at_the_retry_cap(self):
        """Guards against a job that fails and restarts for ever."""
        cluster, node = await make_owner()
        await submit(node, "j", command=("fail", "1"), run_s=120)
        assert node.phase("j") is PHASE.FAILED
        assert len(cluster.attempts("j")) == 4
        assert not cluster.overlaps("j")
        await node.close()

    async def test_at_most_once_job_that_fails_is_not_restarted(self):
        cluster, node = await make_owner()
        await submit(
            node, "j", command=("fail", "1"), at_most_once=True, run_s=60
        )
        assert node.phase("j") is PHASE.FAILED
        assert len(cluster.attempts("j")) == 1
        await node.close()

    @pytest.mark.parametrize("fault", ["crash", "unreachable", "cut"])
    async def test_lost_member_restarts_the_gang_elsewhere(self, fault):
        """Guards against two attempts at once and against part of a gang."""
        cluster, node = await make_owner(workers=3)
        await submit(node, "j", tasks=4)
        worker = cluster.workers["w1"]
        if fault == "crash":
            worker.crash()
        elif fault == "unreachable":
            worker.is_unreachable = True
        else:
            node.links["w1"].is_cut = True
        await cluster.clock.advance(60)
        assert node.phase("j") is PHASE.ACTIVE
        assert {r.attempt for r in cluster.running("j")} == {2}
        assert not cluster.overlaps("j", tasks=4)
        assert cluster.partial_s("j", tasks=4) <= 20.7
        await node.close()

    async def test_one_missed_renewal_is_tolerated(self):
        """Guards against restarts after a short network fault."""
        cluster, node = await make_owner()
        await submit(node, "j")
        node.links["w0"].is_cut = True
        await cluster.clock.advance(5)
        node.links["w0"].is_cut = False
        await cluster.clock.advance(30)
        assert node.owner.status("j").attempt == 1
        assert len(cluster.running("j")) == 2
        await node.close()

    async def test_eviction_continues_from_the_checkpoint(self):
        """Guards against lost work when a borrower makes room."""
        evictions = []

        def decide(snapshot):
            if evictions:
                return scheduling.Plan(evictions=(evictions.pop(),))
            return harness.greedy(snapshot)

        cluster, node = await make_owner(decide=decide)
        await submit(node, "j", tasks=4)
        evictions.append(scheduling.Eviction(job=JobId("j")))
        await submit(node, "k", tasks=4, run_s=20)
        assert node.owner.status("j").checkpoint == "j/1/1"
        assert node.owner.status("j").failures == 0
        jobs = {r.job for w in cluster.workers.values() for r in w.runs}
        assert jobs == {"j", "k"}
        await node.close()

    @pytest.mark.parametrize("is_silent", [False, True])
    async def test_urgent_work_does_not_wait_for_checkpoints(self, is_silent):
        """Guards against urgent work that starts later than after 3.2 s."""
        beneficiary = JobId("batch")

        def decide(snapshot):
            plan = harness.greedy(snapshot)
            is_due = JobId("j") in snapshot.running and not plan.starts
            victim = scheduling.Eviction(
                job=JobId("j"), beneficiary=beneficiary
            )
            return dataclasses.replace(
                plan, evictions=(victim,) if is_due else ()
            )

        cluster, node = await make_owner(decide=decide)
        await submit(node, "j", tasks=4)
        for worker in cluster.workers.values():
            worker.checkpoint_s = 1e9
            if is_silent:
                worker.checkpoint = lambda _: cluster.clock.sleep(1e9)
        # The victim has a long bound already when the urgent job comes.
        await submit(node, "batch", tasks=4)
        assert len(cluster.running("j")) == 4
        beneficiary = JobId("u")
        urgent = scheduling.Priority.URGENT
        await node.owner.cancel(JobId("batch"))
        await submit(node, "u", tasks=4, priority=urgent, run_s=3.2)
        assert len(cluster.running("u")) == 4
        await node.close()

    async def test_permanent_refusal_ends_the_job(self):
        """Guards against a job that waits for ever and can never run."""

        def decide(snapshot):
            return scheduling.Plan(
                refusals=tuple(
                    scheduling.Refusal(
                        job=g.job,
                        reason=scheduling.RefusalReason.NO_SHAPE,
                        permanent=True,
                    )
                    for g in snapshot.pending
                )
            )

        _, node = await make_owner(decide=decide)
        await submit(node, "j")
        assert node.phase("j") is PHASE.FAILED
        assert node.owner.status("j").detail == "no-shape"
        await node.close()


class TestCancellation:
    async def test_wave_stops_only_its_jobs_with_linear_calls(self):
        """Guards against a wave that stops others or costs n squared."""
        cluster, node = await make_owner(workers=40)
        specs = [harness.make_spec(f"j{n}", tasks=1) for n in range(1000)]
        await asyncio.gather(*(node.owner.submit(s) for s in specs))
        await cluster.clock.advance(3)
        assert len([r for r in cluster.runs() if r.ended_s is None]) == 80
        wave = [JobId(f"j{n}") for n in range(1000) if n != 7]
        before = sum(x.call_count for x in node.links.values())
        puts = cluster.memory.call_counts["put"]
        await asyncio.gather(*(node.owner.cancel(j) for j in wave))
        await cluster.clock.advance(1)
        calls = sum(x.call_count for x in node.links.values()) - before
        assert cluster.memory.call_counts["put"] - puts <= 2
        assert calls <= 2 * 80 + 40
        left = [r.job for r in cluster.runs() if r.ended_s is None]
        assert left == ["j7"]
        assert {node.phase(j) for j in wave} == {PHASE.CANCELLED}
        assert list(node.owner._term.attempts.running()) == ["j7"]
        await node.close()

    @pytest.mark.parametrize("step", execution.LaunchStep)
    async def test_cancellation_during_each_step(self, step):
        """Guards against a gang that starts after its cancellation."""
        cluster, node = None, None

        async def on_step(current, job):
            if current is step:
                await node.owner.cancel(job)

        cluster, node = await make_owner(on_step=on_step)
        await submit(node, "j", run_s=5)
        assert node.phase("j") is PHASE.CANCELLED
        assert cluster.running("j") == []
        assert not node.owner._term.attempts.running()
        await node.close()


class TestZoneRemoval:
    @pytest.mark.parametrize("policy", configuration.ZonePolicy)
    async def test_jobs_are_moved_once(self, policy):
        """Guards against work that is lost or doubled when a zone leaves."""
        state = {"policy": None, "lost_replies": 2}
        other = {}

        async def forward(domain, accepted):
            other.setdefault(accepted.spec.gang.job, []).append(accepted)
            if state["lost_replies"]:
                state["lost_replies"] -= 1
                raise execution.ForwardError(domain)

        cluster, node = await make_owner(
            zone_policy=lambda: state["policy"],
            choose_domain=lambda _: "jobs.y",
            forward=forward,
        )
        await submit(node, "running", command=("sleep", "30"))
        await submit(node, "once", at_most_once=True, command=("sleep", "30"))
        node.startable, state["policy"] = frozenset(), policy
        await submit(node, "waiting", run_s=8)
        assert node.phase("waiting") is PHASE.MOVED
        await cluster.clock.advance(40)
        assert node.phase("once") is PHASE.FINISHED
        if policy is configuration.ZonePolicy.FINISH:
            assert node.phase("running") is PHASE.FINISHED
            assert set(other) == {"waiting"}
        else:
            assert node.phase("running") is PHASE.MOVED
            assert other["running"][-1].checkpoint == "running/1/1"
            assert other["running"][-1].attempt == 1
        await node.close()


class TestEarlyLooks:
    @pytest.mark.parametrize(
        ("declared_s", "run_s"), [(3600.0, 1.2), (21.2, 21.2)]
    )
    async def test_end_is_noticed_between_renewals(self, declared_s, run_s):
        """Guards against a finish that waits for the next renewal round."""
        learned = []
        cluster, node = await make_owner(
            on_run_time=lambda gang, s: learned.append((gang.job, s))
        )
        options = {
            "declared_run_s": declared_s,
            "command": ("sleep", str(run_s)),
        }
        await submit(node, "j", run_s=40, **options)
        entry = node.owner.status(JobId("j"))
        ended_s = max(r.ended_s for r in cluster.runs("j"))
        assert entry.ended_at_s - ended_s <= 1.5
        assert [j for j, _ in learned] == ["j"]
        assert learned[0][1] == pytest.approx(run_s, abs=2)
        await node.close()

    async def test_steady_gangs_are_only_renewed(self):
        """Guards against looks at gangs that run for hours."""
        cluster, node = await make_owner(workers=1)
        for n in range(2):
            await node.owner.submit(harness.make_spec(f"j{n}", tasks=1))
        await cluster.clock.advance(20)
        node.links["w0"].worker = calls = CountingWorker(cluster.workers["w0"])
        await cluster.clock.advance(50)
        assert calls.renewals == 10
        await node.close()


class CountingWorker:
    def __init__(self, target):
        self.target = target
        self.renewals = 0

    def __getattr__(self, name):
        self.renewals += name == "renew"
        return getattr(self.target, name)
