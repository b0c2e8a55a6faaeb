"""Replays of loads that exceed the room, in virtual time."""

import dataclasses

import pytest

from magnoliaglade import placement
from magnoliaglade.jobs import Resources
from magnoliaglade.placement import _overload
from magnoliaglade.standins import pool


class TestOverloadReplay:
    """Bursts and lasting overloads, with values that grow with the work."""

    shape = pool.LoadShape(
        name="batch",
        per_s=3.0,
        count=13,
        count_most=26,
        accelerators=(1, 2, 4, 8),
        demand=Resources(cores_m=13_000, memory_mb=1_000),
        work_s=10.0,
        fields={"priority": 1, "is_gang": True, "late_worth": 0.3},
    )
    urgent = pool.LoadShape(
        name="urgent",
        per_s=2.0,
        burst=12.0,
        burst_at_s=3.0,
        burst_end_s=8.0,
        count=5,
        count_most=10,
        accelerators=(1, 2, 4, 8),
        demand=Resources(cores_m=3_700, memory_mb=1_000),
        work_s=2.5,
        fields={
            "priority": 0,
            "is_gang": True,
            "stretch": 1.5,
            "slack_s": 0.3,
            "late_worth": 0.2,
        },
    )

    def play(self, shape, seed):
        """Returns the part of the value of a load that is served."""
        load = pool.draw_load([shape], accounts=10, until_s=20.0, seed=seed)
        work = [
            j.count * placement.core_seconds(j.demand, j.work_s) for j in load
        ]
        mean = sum(work) / len(work)
        valued = []
        for job, core_s in zip(load, work, strict=True):
            value = placement.job_value(core_s / mean)
            late_worth = value * job.late_worth
            valued.append(
                dataclasses.replace(job, worth=value, late_worth=late_worth)
            )
        model = pool.PoolModel(
            planner=placement.Planner(),
            workers=pool.make_workers(
                40,
                per_rack=20,
                capacity=Resources(
                    cores_m=32_000, memory_mb=64_000, accelerators=8
                ),
            ),
        )
        outcome = model.play(valued, until_s=60.0)
        return outcome.earned / outcome.owed

    @pytest.mark.parametrize("name", ["shape", "urgent"])
    def test_more_value_is_served_than_by_latest_start(self, name, monkeypatch):
        shape = getattr(self, name)
        seeds = range(4)
        served = [self.play(shape, s) for s in seeds]
        monkeypatch.setattr(
            _overload, "rank_demands", lambda _: _overload.Ranks()
        )
        by_latest_start = [self.play(shape, s) for s in seeds]
        assert sum(served) > sum(by_latest_start)
