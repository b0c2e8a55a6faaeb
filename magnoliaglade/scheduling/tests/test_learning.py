"""Tests of estimators, memory pressure, quarantine and zone moves."""

import pytest

from magnoliaglade import configuration as configuration_lib
from magnoliaglade import scheduling
from magnoliaglade.types import AccountId, JobId, RackId, WorkerId, ZoneId

STATE = scheduling.WorkerState


def make_gang(job="j", **kwargs):
    return scheduling.Gang(
        job=JobId(job),
        account=AccountId("a"),
        tasks=1,
        shape=scheduling.Shape(cores=1, memory_gb=1, accelerators=1),
        **kwargs,
    )


class TestRunTimeEstimator:
    def test_learns_kind_and_then_error_of_declarations(self):
        """Guards against trusting declared run times that are wrong."""
        estimator = scheduling.RunTimeEstimator()
        known = make_gang(kind="proof", declared_run_s=10.0)
        other = make_gang(kind="new", declared_run_s=10.0)
        assert estimator.predict([known, other]) == [10.0, 10.0]
        estimator.partial_fit(
            scheduling.Observation(
                account=AccountId("b"), kind="proof", declared=10, actual=n
            )
            for n in (100, 200, 300, 400, 500)
        )
        assert estimator.predict([known, other]) == [300, 300.0]


class TestMemoryAction:
    @pytest.mark.parametrize(
        ("now_s", "action"),
        [(10, "none"), (50, "throttle"), (80, "checkpoint")],
    )
    def test_counts_growth_during_the_lag(self, now_s, action):
        """Guards against acting on an old report as if it were current."""
        reports = [
            scheduling.MemoryReport(measured_at_s=0, used_gb=10),
            scheduling.MemoryReport(measured_at_s=10, used_gb=20),
        ]
        decided = scheduling.memory_action(
            reports, limit_gb=120, now_s=now_s, lag_s=10, checkpoint_s=20
        )
        assert decided is scheduling.MemoryAction(action)


class TestQuarantine:
    def observe(self, quarantine, *outcomes):
        quarantine.partial_fit(
            scheduling.TaskOutcome(
                job=JobId(job), worker=WorkerId(w), at_s=at, failed=failed
            )
            for job, w, at, failed in outcomes
        )

    def test_a_retry_avoids_workers_on_which_the_job_failed(self):
        # Guards against a job that spends all its retries on one bad worker.
        quarantine = scheduling.Quarantine()
        self.observe(quarantine, ("j", "w", 0.0, True), ("k", "v", 0.0, True))
        job = JobId("j")
        assert quarantine.avoided([job], now_s=1.0) == {
            job: frozenset({WorkerId("w")})
        }
        assert quarantine.avoided([job], now_s=61.0) == {}

    def test_bad_worker_is_released_after_probation(self):
        quarantine = scheduling.Quarantine(quarantine_s=100.0)
        self.observe(quarantine, *((f"j{n}", "w", 0.0, True) for n in range(3)))
        worker = WorkerId("w")
        times = [(worker, 99.0), (worker, 100.0)]
        assert quarantine.predict(times) == [STATE.QUARANTINED, STATE.PROBATION]
        assert quarantine.verdict(JobId("j0")).value == "retry"
        self.observe(quarantine, ("k", "w", 101.0, True))
        assert quarantine.predict([(worker, 300.0)]) == [STATE.QUARANTINED]
        self.observe(
            quarantine, ("k", "w", 302.0, False), ("l", "w", 303.0, False)
        )
        assert quarantine.predict([(worker, 304.0)]) == [STATE.AVAILABLE]

    def test_bad_job_does_not_quarantine_workers(self):
        """Guards against one broken job emptying the cluster."""
        quarantine = scheduling.Quarantine()
        workers = [f"w{n}" for n in range(5)]
        self.observe(quarantine, *(("ok", w, 0.0, False) for w in workers))
        self.observe(quarantine, *(("bad", w, 1.0, True) for w in workers))
        states = quarantine.predict((WorkerId(w), 2.0) for w in workers)
        assert set(states) == {STATE.AVAILABLE}
        assert quarantine.verdict(JobId("bad")).value == "give-up"

    def test_attempts_are_capped(self):
        quarantine = scheduling.Quarantine(attempts_max=2)
        self.observe(quarantine, ("j", "w", 0.0, True), ("j", "w", 1.0, True))
        assert quarantine.verdict(JobId("j")).value == "give-up"


class TestZoneMoves:
    def make_snapshot(self, gangs=(), now_s=0.0):
        workers = {
            WorkerId(f"w{n}"): scheduling.Worker(
                worker=WorkerId(f"w{n}"),
                zone=ZoneId("z"),
                rack=RackId("r"),
                shape=scheduling.Shape(cores=8, accelerators=8),
            )
            for n in range(4)
        }
        return scheduling.ClusterSnapshot(
            now_s=now_s,
            workers=workers,
            running={
                g.job: scheduling.RunningGang(
                    gang=g,
                    placement=scheduling.Placement(
                        job=g.job, assignments=((WorkerId("w0"), 1),)
                    ),
                    started_at_s=now_s,
                )
                for g in gangs
            },
            pending=(),
        )

    def test_removal_moves_only_what_can_be_moved(self):
        """Guards against a second start of work that must run once."""
        snapshot = self.make_snapshot(
            [
                make_gang("long"),
                make_gang("once", at_most_once=True),
                make_gang("fixed", checkpointable=False),
                make_gang("short", declared_run_s=30.0),
            ]
        )
        policy = configuration_lib.ZonePolicy
        move = scheduling.plan_zone_removal(
            snapshot, ZoneId("z"), policy=policy.CHECKPOINT
        )
        assert move.checkpoint == ("long",)
        assert move.finish == ("fixed", "once", "short")
        move = scheduling.plan_zone_removal(
            snapshot, ZoneId("z"), policy=policy.FINISH
        )
        assert move.checkpoint == ()

    @pytest.mark.parametrize(("now_s", "count"), [(0, 1), (30, 2), (60, 4)])
    def test_return_is_ramped(self, now_s, count):
        """Guards against all waiting work starting in a returned zone."""
        snapshot = scheduling.with_return_ramp(
            self.make_snapshot(now_s=now_s), {ZoneId("z"): 0.0}
        )
        states = [w.state for w in snapshot.workers.values()]
        assert states.count(STATE.AVAILABLE) == count
