import asyncio

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import placement
from magnoliaglade.coordinator import _planning

PLAN_TAKES_S = 0.5


class SlowPlanner:
    """Takes a fixed time for each plan and never comes to an end."""

    def __init__(self, clock):
        self.clock = clock
        self.plans = 0

    def plan(self, snapshot):
        del snapshot
        self.plans += 1
        self.clock.shift(PLAN_TAKES_S)
        return placement.Plan(is_complete=False)


class FixedSnapshots:
    def build(self, links, *, wall_s, now_s, claims, sacrificed):
        del links, now_s, claims, sacrificed
        return placement.Snapshot(
            now_s=wall_s, candidates=(), allocations=(), demands=("waiting",)
        )


class EmptyTable:
    active = ()


class FullPermission:
    def may_act(self):
        return True

    def may_start(self):
        return True


class NoWatch:
    def check(self):
        pass


class SlowClock(clock_lib.ManualClock):
    """A clock that a long computation moves."""

    shifted_s = 0.0

    def now(self):
        return super().now() + self.shifted_s

    def shift(self, seconds):
        self.shifted_s += seconds


def make_runner(clock, planner, durations):
    return _planning.PlanRunner(
        planner=planner,
        snapshots=FixedSnapshots(),
        table=EmptyTable(),
        links={},
        journal=None,
        sender=None,
        permission=FullPermission(),
        clock=clock,
        watch=NoWatch(),
        observe_plan=durations.append,
        on_planned=None,
        on_lost=None,
    )


async def count_plans(seconds):
    """Returns how many plans are made in a time on the clock."""
    clock = SlowClock()
    planner = SlowPlanner(clock)
    durations = []
    runner = make_runner(clock, planner, durations)
    task = asyncio.ensure_future(runner.run())
    runner.wake.set()
    await clock.advance(seconds)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert durations == pytest.approx([PLAN_TAKES_S] * planner.plans)
    return planner.plans


class TestPace:
    async def test_slow_plans_leave_half_of_the_loop(self):
        # Guards against a coordinator that plans without a pause under load
        # and loses its lease because no renewal gets its turn.
        # Each pause of half a second is waited for on the clock itself.
        assert 5 <= await count_plans(5.0) <= 5.0 / PLAN_TAKES_S + 1

    async def test_an_incomplete_plan_is_followed_by_another(self):
        assert await count_plans(PLAN_TAKES_S + 0.1) == 2
