"""Tests of the workers' speeds and of placement that follows them."""

import dataclasses
import math
import random

import pytest

from magnoliaglade import placement
from magnoliaglade.placement import _packing
from magnoliaglade.placement.tests import builders
from magnoliaglade.types import WorkerId

WORKER = WorkerId("w")


def observe(speeds, ratio, at_s, *, is_relative=False, worker=WORKER, runs=0):
    speeds.partial_fit(
        [
            placement.SpeedObservation(
                worker=worker,
                ratio=ratio,
                is_relative=is_relative,
                at_s=at_s,
                independent_runs=runs,
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


class TestLastingSpeeds:
    """A pool of 24 workers, observed once a second in two runs each."""

    RUN_S = 6.0

    def observe_pool(self, speeds, true_speeds, *, from_s, until_s, seed=1):
        draw = random.Random(f"pool/{seed}/{from_s}")
        for at_s in range(from_s, until_s):
            for worker, true in true_speeds.items():
                for _ in range(2):
                    ratio = true * draw.lognormvariate(0.0, 0.2)
                    observe(
                        speeds,
                        ratio,
                        float(at_s),
                        is_relative=True,
                        worker=worker,
                        runs=true / self.RUN_S,
                    )

    def pool(self, *kinds):
        return {WorkerId(f"w{n:02}"): kinds[n % len(kinds)] for n in range(24)}

    def learned(self, true_speeds, **parameters):
        speeds = placement.SpeedEstimator(**parameters)
        self.observe_pool(speeds, true_speeds, from_s=0, until_s=12)
        return speeds

    @pytest.mark.parametrize(
        "kinds", [(0.7, 0.7, 1.7), (0.7, 1.7, 1.7), (0.8, 1.4)]
    )
    def test_kinds_are_learned_and_kept(self, kinds):
        """Guards against a lasting difference that fades while a worker idles.

        The faster kind is tried as the minority, the majority and one half.
        """
        true_speeds = self.pool(*kinds)
        speeds = self.learned(true_speeds)
        logs = [math.log(k) for k in kinds]
        mean = sum(logs) / len(logs)
        for worker, true in true_speeds.items():
            expected = math.log(true) - mean
            found = math.log(speeds.speed(worker, 300.0))
            assert found == pytest.approx(expected, abs=_packing.SPEED_STEP)
            known = speeds.known_lasting_speed(worker)
            assert known == 1.0 or (known > 1.0) == (expected > 0.0)

    def test_equal_pool_is_estimated_as_by_the_transient_component(self):
        """Guards against any effect on pools whose workers are equal."""
        true_speeds = self.pool(1.0)
        found = self.learned(true_speeds)
        without = self.learned(true_speeds, max_lasting_spread=0.0)
        for worker in true_speeds:
            assert found.speed(worker, 13.0) == without.speed(worker, 13.0)
            assert found.lasting_speed(worker) == 1.0

    @pytest.mark.parametrize("slow", [0.15, 0.3, 0.45])
    def test_slow_phases_are_not_taken_for_kinds_of_machines(self, slow):
        """Guards against batch work that is sent to faulty workers first."""
        true_speeds = self.pool(1.0)
        speeds = placement.SpeedEstimator()
        draw = random.Random("phases")
        for phase in range(6):
            faulty = draw.sample(sorted(true_speeds), 5)
            now = true_speeds | dict.fromkeys(faulty, slow)
            self.observe_pool(
                speeds, now, from_s=8 * phase, until_s=8 * phase + 8
            )
            known = {speeds.known_lasting_speed(w) for w in true_speeds}
            assert known == {1.0}

    def test_fast_worker_that_turns_slow_is_avoided_after_three_reports(self):
        """Guards against trust in what a worker was before a fault."""
        true_speeds = self.pool(0.7, 0.7, 1.7)
        speeds = self.learned(true_speeds)
        worker = WorkerId("w02")
        assert speeds.known_lasting_speed(worker) > 1.4
        for at_s in (12.0, 13.0, 14.0):
            observe(
                speeds, 0.25, at_s, is_relative=True, worker=worker, runs=0.04
            )
        assert speeds.speed(worker, 14.0) < 0.6
        assert speeds.speed(worker, 14.0) < min(
            speeds.speed(w, 14.0) for w in true_speeds if w != worker
        )

    def test_changed_kind_is_learned(self):
        """Guards against evidence so strong that no change is noticed."""
        true_speeds = self.pool(0.7, 0.7, 1.7)
        speeds = self.learned(true_speeds)
        worker = WorkerId("w02")
        changed = true_speeds | {worker: 0.7}
        self.observe_pool(speeds, changed, from_s=12, until_s=72)
        assert speeds.lasting_speed(worker) < 1.0

    def test_restored_progress_does_not_make_a_worker_fast(self):
        """Guards against a faulty worker that resumes from a checkpoint."""
        true_speeds = self.pool(0.7, 0.7, 1.7)
        speeds = self.learned(true_speeds)
        before = speeds.lasting_speed(WorkerId("w00"))
        observe(
            speeds,
            40.0,
            13.0,
            is_relative=True,
            worker=WorkerId("w00"),
            runs=0.9,
        )
        assert before < speeds.lasting_speed(WorkerId("w00")) < 1.2


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

    @pytest.mark.parametrize(
        ("latest_start_s", "expected"),
        [
            # On time on a worker of 0.7, late on it, and late in any case.
            (10.0, "w01"),
            (1.0, "w00"),
            (-1.0, "w01"),
        ],
    )
    def test_batch_work_uses_slow_workers_unless_it_is_late_there(
        self, latest_start_s, expected
    ):
        """Guards against batch work that takes fast workers, or is late."""
        demand = builders.demand(
            "batch",
            1,
            8,
            priority=1,
            latest_start_s=builders.NOW_S + latest_start_s,
        )
        found = self.plan(
            demand,
            w01={"speed": 0.7, "lasting_speed": 0.7},
            w03={"speed": 1.7, "lasting_speed": 1.7},
        )
        assert builders.workers_of(found, "batch") == [expected]

    @pytest.mark.parametrize(
        ("speed", "lasting_speed", "is_unfit"),
        [
            (0.55, 1.0, True),
            (0.55, 0.7, False),
            (0.4, 0.7, True),
            (0.55, 1.7, True),
            (0.3, 0.3, True),
        ],
    )
    def test_worker_is_unfit_if_it_is_slow_for_its_kind(
        self, speed, lasting_speed, is_unfit
    ):
        """Guards against noise that makes a slow kind of worker unusable."""
        candidate = dataclasses.replace(
            builders.candidate("w"), speed=speed, lasting_speed=lasting_speed
        )
        assert _packing.is_unfit_for_urgent_work(candidate) is is_unfit

    @pytest.mark.parametrize(
        ("count", "expected"),
        [(1, {"w02"}), (2, {"w02", "w03"}), (3, {"w00", "w01", "w02"})],
    )
    def test_urgent_gang_uses_equally_fast_workers(self, count, expected):
        """Guards against fast workers that wait for a slow member."""
        demand = builders.demand("urgent", count, 4, priority=0)
        slow = {"speed": 0.7, "lasting_speed": 0.7}
        fast = {"speed": 1.7, "lasting_speed": 1.7}
        half = tuple(
            builders.allocation(f"low{w}", w, 4)
            for w in ("w00", "w01", "w02", "w03")
        )
        found = self.plan(
            demand, allocations=half, w00=slow, w01=slow, w02=fast, w03=fast
        )
        assert set(builders.workers_of(found, "urgent")) == expected

    def test_gang_is_as_fast_as_its_slowest_member(self):
        """Guards against racks compared by the mean of their workers."""
        candidates = [
            dataclasses.replace(builders.candidate("w"), speed=s)
            for s in (1.7, 0.7, 1.0)
        ]
        assert placement.slowest_speed(candidates) == 0.7
        assert placement.slowest_speed([]) == 1.0
        assert placement.speed_level(1.62) == placement.speed_level(1.68)
