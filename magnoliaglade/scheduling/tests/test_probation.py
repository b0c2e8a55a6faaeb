"""Tests of workers on probation and of jobs that have failed too often."""

import pytest

from magnoliaglade import scheduling
from magnoliaglade.types import AccountId, JobId, RackId, WorkerId, ZoneId

STATE = scheduling.WorkerState
PRIORITY = scheduling.Priority
NOW_S = 10_000.0
POLICIES = ["cells", "first-fit"]


def make_gang(job, *, accelerators=1, **kwargs):
    return scheduling.Gang(
        job=JobId(job),
        account=AccountId("a"),
        tasks=1,
        shape=scheduling.Shape(accelerators=accelerators),
        **kwargs,
    )


def make_snapshot(pending, *states, running=None):
    workers = {
        WorkerId(f"w{n}"): scheduling.Worker(
            worker=WorkerId(f"w{n}"),
            zone=ZoneId("z"),
            rack=RackId("r"),
            shape=scheduling.Shape(accelerators=8),
            state=state,
        )
        for n, state in enumerate(states)
    }
    return scheduling.ClusterSnapshot(
        now_s=NOW_S,
        workers=workers,
        running=running or {},
        pending=tuple(pending),
        startable_zones=frozenset({ZoneId("z")}),
    )


class TestProbation:
    @pytest.mark.parametrize("policy", POLICIES)
    def test_one_gang_at_a_time(self, policy):
        """Guards against a bad worker that fails several gangs at once."""
        snapshot = make_snapshot(
            [make_gang(f"j{n}") for n in range(3)], *[STATE.PROBATION] * 2
        )
        plan = scheduling.decide(snapshot, policy=policy, seed=0)
        assert len(plan.starts) == 1
        assert not any(r.permanent for r in plan.refusals)
        after = scheduling.apply_plan(snapshot, plan)
        assert not scheduling.decide(after, policy=policy, seed=0).starts

    def test_eviction_starts_no_second_gang(self):
        """Guards against a search for victims that ignores the limit."""
        first = make_snapshot(
            [make_gang("r", accelerators=8)], *[STATE.PROBATION] * 2
        )
        plan = scheduling.decide(first, seed=0)
        running = scheduling.apply_plan(first, plan).running
        assert running["r"].placement.borrowed
        urgent = make_gang("u", priority=PRIORITY.URGENT)
        snapshot = make_snapshot(
            [urgent], *[STATE.PROBATION] * 2, running=running
        )
        plan = scheduling.decide(snapshot, seed=0)
        assert plan.starts == plan.evictions == ()

    @pytest.mark.parametrize("priority", [PRIORITY.NORMAL, PRIORITY.URGENT])
    @pytest.mark.parametrize("policy", POLICIES)
    def test_at_most_once_work_avoids_probation(self, priority, policy):
        """Guards against losing a job that cannot be tried again."""
        gangs = [
            make_gang(
                f"j{n}", accelerators=8, at_most_once=True, priority=priority
            )
            for n in range(2)
        ]
        snapshot = make_snapshot(gangs, STATE.PROBATION, STATE.AVAILABLE)
        plan = scheduling.decide(snapshot, policy=policy, seed=0)
        assert [p.assignments for p in plan.starts] == [(("w1", 1),)]


class TestVerdicts:
    @pytest.mark.parametrize("policy", POLICIES)
    def test_exhausted_job_is_refused_for_good(self, policy):
        """Guards against a failing job that is retried without end."""
        quarantine = scheduling.Quarantine(attempts_max=1)
        outcomes = [("bad", "w0"), ("x0", "w1"), ("x1", "w1"), ("x2", "w1")]
        quarantine.partial_fit(
            scheduling.TaskOutcome(
                job=JobId(job), worker=WorkerId(w), at_s=NOW_S, failed=True
            )
            for job, w in outcomes
        )
        snapshot = quarantine.annotate(
            make_snapshot(
                [make_gang("bad"), make_gang("j")], *[STATE.AVAILABLE] * 2
            )
        )
        states = [w.state for w in snapshot.workers.values()]
        assert states == [STATE.AVAILABLE, STATE.QUARANTINED]
        plan = scheduling.decide(snapshot, policy=policy, seed=0)
        (refusal,) = plan.refusals
        assert refusal.job == "bad" and refusal.permanent
        assert refusal.reason is scheduling.RefusalReason.RETRIES_EXHAUSTED
        assert [p.job for p in plan.starts] == ["j"]
