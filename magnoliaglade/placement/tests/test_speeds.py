"""Tests of the workers' speeds and of placement that follows them."""

import dataclasses

import pytest

from magnoliaglade import placement
from magnoliaglade.placement.tests import builders
from magnoliaglade.types import WorkerId

WORKER = WorkerId("w")


def observe(speeds, ratio, at_s, *, is_relative=False):
    speeds.partial_fit(
        [
            placement.SpeedObservation(
                worker=WORKER, ratio=ratio, is_relative=is_relative, at_s=at_s
            )
        ]
    )


class TestSpeedEstimator:
    def test_unobserved_worker_has_average_speed(self):
        assert placement.SpeedEstimator().predict([(WORKER, 0.0)]) == [1.0]

    def test_slow_phase_is_found_within_three_reports(self):
        speeds = placement.SpeedEstimator()
        for at_s in (1.0, 2.0, 3.0):
            observe(speeds, 1.0 / 4.0, at_s)
        assert speeds.speed(WORKER, 3.0) < 0.6

    def test_one_large_job_does_not_make_a_worker_slow(self):
        # Guards against a worker that is avoided since one job on it has twice
        # the usual work.
        speeds = placement.SpeedEstimator()
        observe(speeds, 0.5, 1.0)
        assert speeds.speed(WORKER, 1.0) > 0.6

    def test_tasks_of_the_same_step_weigh_more(self):
        alone, relative = (placement.SpeedEstimator() for _ in range(2))
        observe(alone, 0.5, 1.0)
        observe(relative, 0.5, 1.0, is_relative=True)
        assert relative.speed(WORKER, 1.0) < alone.speed(WORKER, 1.0)

    def test_speed_returns_to_the_average(self):
        # Guards against a worker that gets no tasks after a slow phase, and so
        # never shows that it is over.
        speeds = placement.SpeedEstimator()
        for at_s in range(10):
            observe(speeds, 0.15, float(at_s))
        assert speeds.speed(WORKER, 9.0) < 0.3
        assert speeds.speed(WORKER, 60.0) > 0.9

    def test_new_lifetime_has_average_speed(self):
        speeds = placement.SpeedEstimator()
        observe(speeds, 0.2, 1.0)
        speeds.reset_worker(WORKER)
        assert speeds.speed(WORKER, 1.0) == 1.0


class TestPlacementBySpeed:
    """Urgent gangs arrive while some workers of the pool are slow."""

    def plan(self, demand, *, allocations=(), **changed):
        candidates = tuple(
            dataclasses.replace(c, **changed.get(c.worker, {}))
            for c in builders.racks(1, size=4)
        )
        snapshot = dataclasses.replace(
            builders.snapshot(candidates),
            demands=(demand,),
            allocations=allocations,
        )
        return placement.Planner().plan(snapshot)

    @pytest.mark.parametrize("reason", [{"speed": 0.2}, {"is_overdue": True}])
    def test_urgent_gang_avoids_unfit_workers(self, reason):
        demand = builders.demand("urgent", 2, 8, priority=0)
        found = self.plan(demand, w00=reason, w01=reason)
        assert set(builders.workers_of(found, "urgent")) == {"w02", "w03"}

    def test_urgent_gang_preempts_rather_than_use_slow_workers(self):
        demand = builders.demand("urgent", 2, 8, priority=0, estimate_s=30.0)
        low = tuple(
            builders.allocation(f"low{w}", w, 8, loss_s=0.1)
            for w in ("w02", "w03")
        )
        slow = {"speed": 0.2}
        found = self.plan(demand, allocations=low, w00=slow, w01=slow)
        assert found.starts == ()
        assert len(found.preemptions) == 2

    def test_urgent_gang_uses_slow_workers_if_there_are_no_others(self):
        demand = builders.demand("urgent", 4, 8, priority=0)
        found = self.plan(demand, w00={"speed": 0.2})
        assert len(builders.workers_of(found, "urgent")) == 4

    def test_urgent_task_prefers_the_fastest_worker(self):
        demand = builders.demand("urgent", 1, 8, priority=0)
        found = self.plan(demand, w02={"speed": 1.4})
        assert builders.workers_of(found, "urgent") == ["w02"]

    def test_other_tasks_only_avoid_slow_workers(self):
        demand = builders.demand("batch", 1, 8, priority=2, is_gang=False)
        found = self.plan(demand, w00={"speed": 0.2}, w03={"speed": 1.4})
        assert builders.workers_of(found, "batch") == ["w01"]
