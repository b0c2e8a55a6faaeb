"""Tests of claims on freed capacity and of the limits on lost work."""

import dataclasses

import pytest

from magnoliaglade import placement
from magnoliaglade.placement.tests import builders
from magnoliaglade.standins import pool

STUDIO = "studio"


def plan(candidates, **fields):
    snapshot = dataclasses.replace(builders.snapshot(candidates), **fields)
    return placement.Planner().plan(snapshot)


def claim(name, *workers, age_s=0.2):
    return placement.Claim(
        unit=builders.unit(name),
        placement=tuple((i, w) for i, w in enumerate(workers)),
        ordered_at_s=builders.NOW_S - age_s,
    )


class TestClaims:
    pool = builders.racks(1, size=2)
    urgent = builders.demand("urgent", 2, 8, priority=0, estimate_s=30.0)
    other = builders.demand("other", 1, 8, priority=0, latest_start_s=0.0)
    full = tuple(
        builders.allocation(f"low{w}", w, 8, loss_s=0.1) for w in ("w00", "w01")
    )

    def test_freed_capacity_is_claimed(self):
        found = plan(self.pool, allocations=self.full, demands=(self.urgent,))
        (made,) = found.claims
        assert {w for _, w in made.placement} == {"w00", "w01"}
        assert found.lost_core_s[self.urgent.unit] > 0

    def test_free_part_of_a_claim_is_held_for_the_whole(self):
        # Guards against capacity that is freed for one gang and given, part by
        # part, to the first demand in order.
        stopping = builders.allocation("low", "w01", 8, is_stopping=True)
        found = plan(
            self.pool,
            allocations=(stopping,),
            demands=(self.other, self.urgent),
            claims=(claim("urgent", "w00", "w01"),),
        )
        assert found.starts == ()
        assert found.preemptions == ()
        assert [c.unit for c in found.claims] == [self.urgent.unit]

    def test_gang_with_a_claim_starts_when_all_is_free(self):
        found = plan(
            self.pool,
            demands=(self.other, self.urgent),
            claims=(claim("urgent", "w00", "w01"),),
        )
        assert set(builders.workers_of(found, "urgent")) == {"w00", "w01"}
        assert found.claims == ()

    def test_claimed_tasks_without_a_gang_start_one_by_one(self):
        tasks = builders.demand("tasks", 2, 8, priority=0, is_gang=False)
        stopping = builders.allocation("low", "w01", 8, is_stopping=True)
        found = plan(
            self.pool,
            allocations=(stopping,),
            demands=(tasks,),
            claims=(claim("tasks", "w00", "w01"),),
        )
        assert builders.workers_of(found, "tasks") == ["w00"]
        assert [c.placement for c in found.claims] == [((1, "w01"),)]

    @pytest.mark.parametrize(
        "kept",
        [
            claim("urgent", "w00", "w01", age_s=60.0),
            claim("urgent", "w00", "gone"),
            claim("urgent", "w00"),
        ],
    )
    def test_unusable_claim_is_dropped(self, kept):
        found = plan(
            self.pool, demands=(self.other, self.urgent), claims=(kept,)
        )
        assert found.claims == ()

    def test_guarantee_takes_precedence_over_a_claim(self):
        # Guards against guaranteed work that waits for other work.
        guaranteed = builders.demand(
            "sure", 2, 8, priority=0, is_guaranteed=True
        )
        found = plan(
            self.pool,
            demands=(self.urgent, guaranteed),
            claims=(claim("urgent", "w00", "w01"),),
        )
        assert set(builders.workers_of(found, "sure")) == {"w00", "w01"}


class TestLossLimits:
    """Work without a guarantee throws away at most what it can still gain."""

    pool = builders.racks(1, size=1)
    full = (builders.allocation("low", "w00", 8, loss_s=4.0),)

    def preempts(self, *, lost_core_s=0.0, **fields):
        urgent = builders.demand(
            "urgent", 1, 8, priority=0, estimate_s=8.0, **fields
        )
        found = plan(
            self.pool,
            allocations=self.full,
            demands=(urgent,),
            lost_core_s={urgent.unit: lost_core_s},
        )
        return bool(found.preemptions)

    def test_loss_below_own_work_is_allowed(self):
        assert self.preempts()

    def test_earlier_losses_count_towards_the_limit(self):
        # Guards against a gang that preempts hundreds of tasks, plan after
        # plan, and never starts.
        assert not self.preempts(lost_core_s=400.0)

    def test_limit_is_lower_for_late_work(self):
        assert not self.preempts(latest_start_s=builders.NOW_S - 1.0)

    def test_limit_is_zero_for_work_that_is_too_late(self):
        assert not self.preempts(
            latest_start_s=builders.NOW_S - 9.0,
            latest_useful_start_s=builders.NOW_S - 1.0,
        )

    def test_guaranteed_work_has_no_limit(self):
        assert self.preempts(
            is_guaranteed=True,
            latest_start_s=builders.NOW_S - 9.0,
            latest_useful_start_s=builders.NOW_S - 1.0,
        )


class TestGuaranteedGangs:
    def test_gang_is_spread_if_preempting_on_one_rack_loses_far_more(self):
        # Guards against long gangs that are preempted so that a short gang can
        # stay on one rack. On two racks it preempts far less work.
        workers = builders.racks(2, size=2)
        long_gangs = [
            builders.allocation(f"long{w[1]}", w, 8, is_gang=True, loss_s=300.0)
            for w in ("w00", "w10")
        ]
        short = [
            builders.allocation(f"short{w}", w, 8, loss_s=0.5)
            for w in ("w01", "w11")
        ]
        urgent = builders.demand(
            "sure",
            2,
            8,
            priority=0,
            is_guaranteed=True,
            same_rack=True,
            estimate_s=2.5,
        )
        found = plan(
            workers, allocations=(*long_gangs, *short), demands=(urgent,)
        )
        assert builders.victims_of(found) == {"shortw01", "shortw11"}


class TestBurstReplay:
    """A burst of urgent gangs with large tasks on a pool of small tasks."""

    def replay(self, planner, seed):
        capacity = builders.resources(8, cores_m=64_000, memory_mb=262_144)
        shapes = (
            pool.LoadShape(
                name="urgent",
                per_s=1.2,
                burst=2.5,
                burst_at_s=4.0,
                burst_end_s=14.0,
                count=5,
                count_most=16,
                accelerators=(2, 4, 8, 8),
                demand=builders.resources(0, cores_m=7_500),
                work_s=2.5,
                share_same_rack=0.8,
                fields={
                    "priority": 0,
                    "is_gang": True,
                    "stretch": 1.5,
                    "slack_s": 1.5,
                    "worth": 4.0,
                    "late_worth": 0.8,
                },
            ),
            pool.LoadShape(
                name="batch",
                per_s=0.4,
                count=38,
                count_most=120,
                accelerators=(1,),
                demand=builders.resources(0, cores_m=5_600),
                work_s=9.5,
                fields={"priority": 2},
            ),
        )
        load = pool.draw_load(shapes, accounts=4, until_s=25.0, seed=seed)
        model = pool.PoolModel(
            planner=planner,
            workers=pool.make_workers(42, per_rack=12, capacity=capacity),
        )
        return model, model.play(load, until_s=60.0)

    @pytest.mark.parametrize("seed", range(3))
    def test_urgent_gang_throws_away_at_most_its_own_work(self, seed):
        model, _ = self.replay(placement.Planner(), seed)
        lost = model.sacrificed
        for unit, core_s in lost.items():
            assert core_s <= model.work_of(unit) * 1.0 + 1e-6

    @pytest.mark.parametrize("seed", range(3))
    def test_more_runs_complete_than_are_preempted(self, seed):
        _, outcome = self.replay(placement.Planner(), seed)
        assert outcome.done > outcome.preempted

    def test_same_load_gives_the_same_outcome(self):
        first, second = (self.replay(placement.Planner(), 1) for _ in range(2))
        assert first[1] == second[1]
