"""Tests of learned run times, alone and in a replay of an urgent burst."""

import math

import pytest

from magnoliaglade import placement
from magnoliaglade.jobs import Resources, StepKey
from magnoliaglade.standins import pool
from magnoliaglade.types import JobId, QueueName, WorkerId

QUEUE = QueueName("urgent")


def observe(run_times, name, declared_s, run_time_s, queue=QUEUE, index=0):
    run_times.partial_fit(
        [
            placement.RunTimeObservation(
                queue=queue,
                unit=placement.UnitId(JobId(name), StepKey(0, 0)),
                index=index,
                worker=WorkerId(f"w{index}"),
                declared_s=declared_s,
                run_time_s=run_time_s,
            )
        ]
    )


class TestRunTimeEstimator:
    def test_declared_run_time_holds_without_observations(self):
        run_times = placement.RunTimeEstimator()
        assert run_times.predict([(QUEUE, 0.7), (QUEUE, 30.0)]) == [0.7, 30.0]

    def test_unrelated_declared_run_times_are_ignored(self):
        run_times = placement.RunTimeEstimator()
        for number, declared_s in enumerate((0.2, 9.0, 0.5, 20.0, 1.0, 4.0)):
            observe(run_times, f"j{number}", declared_s, 3.0)
        short_s, long_s = run_times.predict([(QUEUE, 0.1), (QUEUE, 25.0)])
        assert 2.0 < short_s <= long_s < 4.5

    def test_accurate_declared_run_times_are_kept(self):
        run_times = placement.RunTimeEstimator()
        for number, declared_s in enumerate((0.2, 9.0, 0.5, 20.0, 1.0, 4.0)):
            observe(run_times, f"j{number}", declared_s, declared_s)
        for declared_s in (0.3, 12.0):
            assert run_times.run_time_s(QUEUE, declared_s) == pytest.approx(
                declared_s, rel=0.1
            )

    def test_common_bias_is_corrected(self):
        run_times = placement.RunTimeEstimator()
        for number in range(6):
            observe(run_times, f"j{number}", 1.0 + number, 3.0 + 3.0 * number)
        assert run_times.run_time_s(QUEUE, 2.0) == pytest.approx(6.0, rel=0.2)

    def test_queues_are_independent(self):
        run_times = placement.RunTimeEstimator()
        observe(run_times, "j", 1.0, 50.0)
        assert run_times.run_time_s(QueueName("other"), 1.0) == 1.0

    def test_later_observation_of_a_task_replaces_the_earlier_one(self):
        run_times = placement.RunTimeEstimator()
        once = placement.RunTimeEstimator()
        observe(run_times, "j", 1.0, 90.0)
        observe(run_times, "j", 1.0, 3.0)
        observe(once, "j", 1.0, 3.0)
        assert run_times.run_time_s(QUEUE, 1.0) == pytest.approx(
            once.run_time_s(QUEUE, 1.0)
        )

    def test_old_step_runs_are_dropped(self):
        run_times = placement.RunTimeEstimator(max_units=4)
        for number in range(20):
            observe(run_times, f"old{number}", 1.0, 100.0)
        for number in range(4):
            observe(run_times, f"new{number}", 1.0, 1.0)
        assert len(run_times.records_[QUEUE]) == 4
        assert run_times.run_time_s(QUEUE, 1.0) == pytest.approx(1.0, rel=0.01)

    def test_extreme_values_give_finite_run_times(self):
        run_times = placement.RunTimeEstimator()
        observe(run_times, "a", 0.0, 0.0)
        observe(run_times, "b", 1e6, 1e-9)
        for declared_s in (0.0, 1e-6, 1e6):
            assert math.isfinite(run_times.run_time_s(QUEUE, declared_s))


class TestSiblings:
    def test_task_that_has_moved_counts_on_its_last_worker(self):
        # Guards against sums by worker that keep an observation that a later
        # one has replaced.
        run_times = placement.RunTimeEstimator()
        unit = placement.UnitId(JobId("a"), StepKey(0, 0))
        for index, worker, run_time_s in (
            (0, "w0", 9.0),
            (1, "w1", 4.0),
            (0, "w1", 4.0),
            (2, "w2", 16.0),
        ):
            observation = placement.RunTimeObservation(
                queue=QUEUE,
                unit=unit,
                index=index,
                worker=WorkerId(worker),
                declared_s=5.0,
                run_time_s=run_time_s,
            )
            run_times.partial_fit([observation])
        found = [
            run_times.sibling_run_time_s(QUEUE, unit, WorkerId(w))
            for w in ("w0", "w1", "w2")
        ]
        assert found == pytest.approx([4.0 ** (4 / 3), 16.0, 4.0])


class TestMisdeclaredBurst:
    """Urgent gangs on a full pool, declared far too short or too long."""

    shapes = (
        pool.LoadShape(
            name="urgent",
            per_s=1.6,
            count=3,
            count_most=12,
            accelerators=(1, 4, 8),
            demand=Resources(cores_m=7_500, memory_mb=1_000),
            work_s=2.5,
            estimate_bias=0.6,
            estimate_spread=0.9,
            fields={
                "priority": 0,
                "is_gang": True,
                "stretch": 1.5,
                "slack_s": 0.25,
                "worth": 4.0,
                "late_worth": 0.8,
            },
        ),
        pool.LoadShape(
            name="batch",
            per_s=0.8,
            count=16,
            count_most=60,
            accelerators=(1,),
            demand=Resources(cores_m=5_600, memory_mb=1_000),
            work_s=6.0,
            estimate_bias=0.6,
            estimate_spread=0.9,
            fields={"priority": 2},
        ),
    )

    def play(self, seed, run_times):
        model = pool.PoolModel(
            planner=placement.Planner(),
            workers=pool.make_workers(
                12,
                per_rack=6,
                capacity=Resources(
                    cores_m=64_000, memory_mb=128_000, accelerators=8
                ),
            ),
            run_times=run_times,
        )
        load = pool.draw_load(self.shapes, accounts=4, until_s=40.0, seed=seed)
        outcome = model.play(load, until_s=90.0)
        return outcome.earned / outcome.owed

    def test_learned_run_times_serve_more(self):
        seeds = range(6)
        declared = [self.play(s, None) for s in seeds]
        learned = [self.play(s, placement.RunTimeEstimator()) for s in seeds]
        assert sum(learned) > sum(declared)
