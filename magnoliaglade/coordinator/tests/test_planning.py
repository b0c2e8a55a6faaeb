import asyncio

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import placement
from magnoliaglade.coordinator import _planning

PLAN_DURATION_S = 0.5


class SlowIncompletePlanner:
    """Takes a fixed time for each plan, and all its plans are incomplete."""

    def __init__(self, clock):
        self.clock = clock
        self.plans = 0

    def plan(self, snapshot):
        del snapshot
        self.plans += 1
        self.clock.shift(PLAN_DURATION_S)
        return placement.Plan(is_complete=False)


class FixedSnapshots:
    def build(self, links, *, wall_s, now_s, claims, lost_core_s):
        del links, now_s, claims, lost_core_s
        return placement.Snapshot(
            now_s=wall_s, candidates=(), allocations=(), demands=("waiting",)
        )


class EmptyTable:
    active = ()


class GrantedPermission:
    def may_send_orders(self):
        return True

    def may_start(self):
        return True


class IdleSender:
    def check_queues(self):
        pass


class IdleRunMonitor:
    def check(self):
        pass


class ShiftableClock(clock_lib.ManualClock):
    """A clock that a simulated long computation shifts."""

    shifted_s = 0.0

    def now(self):
        return super().now() + self.shifted_s

    def shift(self, seconds):
        self.shifted_s += seconds


def make_runner(clock, planner, durations):
    return _planning.PlanRunner(
        planner=planner,
        snapshot_builder=FixedSnapshots(),
        table=EmptyTable(),
        links={},
        journal=None,
        sender=IdleSender(),
        permission=GrantedPermission(),
        clock=clock,
        run_monitor=IdleRunMonitor(),
        observe_plan=durations.append,
        on_planned=None,
        on_lost=None,
    )


async def count_plans(seconds):
    """Returns the number of plans made in some seconds on the clock."""
    clock = ShiftableClock()
    planner = SlowIncompletePlanner(clock)
    durations = []
    runner = make_runner(clock, planner, durations)
    task = asyncio.ensure_future(runner.run())
    runner.wake.set()
    await clock.advance(seconds)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert durations == pytest.approx([PLAN_DURATION_S] * planner.plans)
    return planner.plans


class TestPlanRate:
    async def test_slow_plans_leave_half_of_the_event_loop_time(self):
        # Guards against a coordinator that plans without a pause under load
        # and loses its lease because no renewal runs on the event loop.
        # The simulated duration of a plan shifts `now` but uses up none of the
        # advanced time; only the pause of half a second after each plan does.
        assert 5 <= await count_plans(5.0) <= 5.0 / PLAN_DURATION_S + 1

    async def test_incomplete_plan_is_followed_by_another(self):
        assert await count_plans(PLAN_DURATION_S + 0.1) == 2
