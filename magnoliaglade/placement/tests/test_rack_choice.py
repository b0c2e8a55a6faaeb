"""Tests of the options of urgent gangs by racks and speeds."""

import dataclasses

import pytest

from magnoliaglade import placement
from magnoliaglade.placement import _gang_placement, _rack_choice
from magnoliaglade.placement.tests import builders

NOW_S = builders.NOW_S
Option = placement.PlacementOption


def urgent(name="urgent", count=2, accelerators=8, **fields):
    """Returns a gang with an objective of 1.5 times its work plus 0.3 s."""
    values = {
        "priority": 0,
        "same_rack": True,
        "estimate_s": 2.0,
        "latest_start_s": NOW_S + 1.3,
        "latest_useful_start_s": NOW_S + 7.9,
    }
    return builders.demand(name, count, accelerators, **(values | fields))


def prospect(option, begins_in_s, run_s, cost=0.0):
    return _rack_choice.Prospect(
        option=option,
        begins_at_s=NOW_S + begins_in_s,
        run_s=run_s,
        cost=cost,
    )


class TestChoice:
    """The option with the highest value, less its cost, is taken."""

    @pytest.mark.parametrize(
        ("offered", "taken", "reason"),
        [
            # A short wait meets the objective, a start off the rack does not.
            (
                [(Option.OFF_RACK, 0.1, 6.0, 0.1), (Option.LATER, 0.8, 2.0)],
                Option.LATER,
                "best value",
            ),
            # Stopping work that loses little meets it, the wait is too long.
            (
                [
                    (Option.OFF_RACK, 0.1, 6.0, 0.1),
                    (Option.LATER, 1.9, 2.0),
                    (Option.PREEMPTION, 0.5, 2.0, 0.05),
                ],
                Option.PREEMPTION,
                "best value",
            ),
            # Off its rack the gang is on time on fast workers.
            (
                [
                    (Option.OFF_RACK, 0.1, 2.4, 0.1),
                    (Option.PREEMPTION, 0.5, 2.0, 0.6),
                ],
                Option.OFF_RACK,
                "best value",
            ),
            # The work that would be thrown away is worth more than the result.
            (
                [
                    (Option.OFF_RACK, 0.1, 6.0, 0.1),
                    (Option.PREEMPTION, 0.5, 2.0, 3.0),
                ],
                Option.OFF_RACK,
                "best value",
            ),
            # Each is late: the first end is the best.
            (
                [
                    (Option.OFF_RACK, 0.1, 6.0, 0.1),
                    (Option.LATER, 2.0, 3.0),
                    (Option.PREEMPTION, 0.5, 4.0, 0.01),
                ],
                Option.PREEMPTION,
                "ends first",
            ),
            ([(Option.LATER, 5.0, 2.0)], Option.LATER, "only option"),
        ],
    )
    def test_option_and_reason(self, offered, taken, reason):
        """Guards against gangs off their rack that miss their objective."""
        best, choice = _rack_choice.choose(
            urgent(), [prospect(*o) for o in offered], late_ratio=0.2
        )
        assert (best.option, choice.option) == (taken, taken)
        assert choice.reason == reason
        assert len(choice.values) == len(offered)

    @pytest.mark.parametrize(
        ("begins_in_s", "run_s", "value"),
        [(0.1, 2.0, 1.0), (1.3, 2.0, 0.6), (3.0, 2.0, 0.2), (9.0, 2.0, 0.0)],
    )
    def test_value_follows_objective_and_usefulness(
        self, begins_in_s, run_s, value
    ):
        """Guards against a comparison by the end of a run alone."""
        found = _rack_choice.value_of(
            urgent(),
            prospect(Option.ON_RACK, begins_in_s, run_s),
            late_ratio=0.2,
        )
        assert found == pytest.approx(value)


class TestWaitLimits:
    """A guaranteed gang begins within the time of a reclaim."""

    limits = _rack_choice.WaitLimits(reclaim_s=2.7, stop_s=0.4)

    @pytest.mark.parametrize(
        ("fields", "waited_s", "latest_in_s"),
        [
            # 2.7 s less a stop of 0.4 s and the margin of 1.0 s.
            ({"is_guaranteed": True}, 0.0, 1.3),
            ({"is_guaranteed": True, "arrived_at_s": NOW_S - 1.0}, 1.0, 0.3),
            # Past the bound nothing may be waited for.
            ({"is_guaranteed": True, "arrived_at_s": NOW_S - 2.0}, 0.5, 0.0),
            # A gang that runs again has kept the bound.
            (
                {
                    "is_guaranteed": True,
                    "arrived_at_s": NOW_S - 2.0,
                    "has_begun": True,
                },
                0.5,
                1.0,
            ),
            ({}, 0.0, 1.5),
            ({}, 2.0, -0.5),
        ],
    )
    def test_latest_start(self, fields, waited_s, latest_in_s):
        """Guards against a guarantee that is broken by waiting."""
        found = self.limits.latest_begin_s(
            urgent(**fields), waits_since_s=NOW_S - waited_s, now_s=NOW_S
        )
        assert found - NOW_S == pytest.approx(latest_in_s)


def plan(candidates, *, now_s=NOW_S, claims=(), planner=None, **parts):
    snapshot = dataclasses.replace(
        builders.snapshot(candidates, **parts), now_s=now_s, claims=claims
    )
    return (planner or placement.Planner()).plan(snapshot)


def busy(rack, *, ends_in_s, size=2, **fields):
    """Returns runs that hold all workers of a rack."""
    return [
        builders.allocation(
            f"b{rack}{i}",
            f"w{rack}{i}",
            8,
            ends_at_s=NOW_S + ends_in_s,
            **fields,
        )
        for i in range(size)
    ]


class TestWaiting:
    """No rack has room for a gang; one ends shortly, others have parts free."""

    pool = builders.racks(3, size=2)
    taken = (
        *busy(0, ends_in_s=0.6, is_protected=True),
        builders.allocation("x", "w10", 8, ends_at_s=NOW_S + 9, loss_s=30.0),
        builders.allocation("y", "w20", 8, ends_at_s=NOW_S + 9, loss_s=30.0),
    )

    @pytest.mark.parametrize("is_guaranteed", [False, True])
    def test_gang_waits_for_its_rack(self, is_guaranteed):
        """Guards against a start on two racks 20 ms after the arrival."""
        found = plan(
            self.pool,
            allocations=self.taken,
            demands=[urgent(is_guaranteed=is_guaranteed)],
        )
        assert (found.starts, found.preemptions) == ((), ())
        (claim,) = found.claims
        assert claim.is_wait
        assert {w for _, w in claim.placement} == {"w00", "w01"}

    def test_lesser_work_does_not_take_the_rack(self):
        """Guards against batch tasks that take what the gang waits for."""
        half_free = self.taken[1:]
        batch = builders.demand("batch", 1, 8, priority=2, is_gang=False)
        found = plan(
            self.pool, allocations=half_free, demands=[urgent(), batch]
        )
        assert builders.workers_of(found, "urgent") == []
        assert builders.workers_of(found, "batch") in (["w11"], ["w21"])

    def test_start_after_a_wait_is_told(self):
        """Guards against waits that the log does not show."""
        demand = urgent(is_guaranteed=True)
        first = plan(self.pool, allocations=self.taken, demands=[demand])
        second = plan(
            self.pool,
            now_s=NOW_S + 0.6,
            claims=first.claims,
            allocations=self.taken[2:],
            demands=[demand],
        )
        (start,) = second.starts
        assert start.choice.option is Option.LATER
        assert not start.is_spread

    def test_capacity_is_held_for_a_bounded_number_of_gangs(self):
        """Guards against a pool that is idle for gangs that wait."""
        count = _gang_placement.MAX_HOLDS + 3
        pool = builders.racks(count, size=2)
        taken = [a for r in range(count) for a in busy(r, ends_in_s=0.6)]
        waiting = [urgent(f"u{n}") for n in range(count)]
        found = plan(pool, allocations=taken, demands=waiting)
        held = [c for c in found.claims if c.is_wait and c.placement]
        assert len(held) == _gang_placement.MAX_HOLDS

    @pytest.mark.parametrize("is_guaranteed", [False, True])
    def test_capacity_that_does_not_become_free(self, is_guaranteed):
        """Guards against a wait without an end for a run that lasts longer.

        In each plan the rack is expected to be free in 0.3 s.
        """
        demand = urgent(is_guaranteed=is_guaranteed)
        claims = ()
        for step in range(40):
            now_s = NOW_S + 0.1 * step
            late = [
                dataclasses.replace(a, ends_at_s=now_s + 0.3)
                for a in self.taken[:2]
            ]
            found = plan(
                self.pool,
                now_s=now_s,
                claims=claims,
                allocations=(*late, *self.taken[2:]),
                demands=[demand],
            )
            claims = found.claims
            if found.starts or found.preemptions:
                break
        assert 0.0 < now_s - NOW_S <= _rack_choice.MAX_WAIT_S
        if is_guaranteed:
            # A stop, a store write and a start still fit.
            assert now_s - NOW_S <= 2.7 - 0.4 - 0.6


class TestOptions:
    def test_batch_work_that_loses_little_is_stopped_for_a_rack(self):
        """Guards against a start off the rack beside cheap batch work."""
        cheap = [
            builders.allocation(f"c{r}", f"w{r}0", 8, loss_s=0.3)
            for r in range(2)
        ]
        found = plan(
            builders.racks(2, size=2),
            allocations=cheap,
            demands=[urgent(is_guaranteed=True)],
        )
        assert found.starts == ()
        (preemption,) = found.preemptions
        (claim,) = found.claims
        assert claim.choice.option is Option.PREEMPTION
        assert {w for _, w in claim.placement} in (
            {"w00", "w01"},
            {"w10", "w11"},
        )
        assert preemption.is_guaranteed

    def test_searches_left_out_do_not_spread_a_gang(self):
        """Guards against gangs off their rack since a plan had no searches."""
        cheap = [
            builders.allocation(f"c{r}", f"w{r}0", 8, loss_s=0.3)
            for r in range(4)
        ]
        waiting = [urgent(f"u{n}", is_guaranteed=True) for n in range(2)]
        found = plan(
            builders.racks(4, size=2),
            allocations=cheap,
            demands=waiting,
            planner=placement.Planner(max_searches=1),
        )
        assert found.starts == ()
        assert not found.is_complete

    def test_racks_without_a_factor_do_not_matter(self):
        """Guards against waits where work off its rack is as fast."""
        found = plan(
            TestWaiting.pool,
            allocations=TestWaiting.taken,
            demands=[urgent()],
            planner=placement.Planner(off_rack_slowdown=1.0),
        )
        assert set(builders.workers_of(found, "urgent")) == {"w11", "w21"}


class TestSpeeds:
    """A gang is as slow as its slowest member."""

    @pytest.mark.parametrize(
        ("speeds", "used"),
        [
            # The rack whose slowest chosen worker is the fastest.
            (((1.7, 0.7, 0.7), (1.0, 1.0, 0.7)), {"w10", "w11"}),
            # Fast workers beside a slow one are left to other gangs.
            (((1.7, 0.7, 0.7), (1.7, 0.7, 0.7)), {"w01", "w02"}),
            # Speeds within a step are not distinguished.
            (((1.0, 1.02, 1.0), (1.04, 1.04, 1.04)), {"w00", "w01"}),
        ],
    )
    def test_gang_runs_on_equally_fast_workers(self, speeds, used):
        """Guards against a choice of the rack without regard to speeds."""
        found = plan(
            builders.racks(2, size=3, speeds=speeds), demands=[urgent()]
        )
        assert set(builders.workers_of(found, "urgent")) == used

    def test_fast_workers_are_waited_for_if_slow_ones_are_too_slow(self):
        """Guards against a start now that misses the objective for sure."""
        speeds = ((0.62, 0.62), (1.7, 1.7))
        found = plan(
            builders.racks(2, size=2, speeds=speeds),
            allocations=busy(1, ends_in_s=0.3, is_protected=True),
            demands=[urgent(latest_start_s=NOW_S + 0.5)],
        )
        (claim,) = found.claims
        assert {w for _, w in claim.placement} == {"w10", "w11"}

    def test_gang_without_a_rack_is_not_mixed_with_slow_workers(self):
        """Guards against a gang that is late by its only slow member.

        Batch work that loses little holds one of the fast workers.
        """
        pool = builders.racks(2, size=2, speeds=((1.4, 1.4), (0.6, 0.6)))
        batch = builders.allocation("batch", "w01", 8, loss_s=0.1)
        found = plan(
            pool, allocations=[batch], demands=[urgent(same_rack=False)]
        )
        assert builders.victims_of(found) == {"batch"}
        assert not found.starts

    def test_lesser_work_does_not_take_what_becomes_free(self):
        """Guards against a guaranteed gang that loses its free part.

        It has waited as long as it may, and one of its workers is stopping.
        """
        pool = builders.racks(1, size=3, speeds=((1.4, 1.4, 0.6),))
        taken = [
            builders.allocation(
                "s", "w01", 8, is_stopping=True, ends_at_s=NOW_S + 20.0
            ),
            builders.allocation("p", "w02", 8, is_protected=True),
        ]
        waiting = urgent(
            same_rack=False, is_guaranteed=True, arrived_at_s=NOW_S - 1.5
        )
        lesser = builders.demand(
            "lesser", 1, 8, is_gang=False, priority=2, estimate_s=2.0
        )
        found = plan(pool, allocations=taken, demands=[waiting, lesser])
        assert not found.starts

    def test_speed_of_zero_is_no_error(self):
        """Guards against a plan that fails while all workers stand still."""
        found = plan(
            builders.racks(1, size=2, speeds=((0.0, 0.0),)), demands=[urgent()]
        )
        assert found.is_complete


class TestPendingStops:
    """Fast workers are claimed, and slow ones become free meanwhile."""

    @pytest.mark.parametrize(
        ("ordered_s_ago", "is_started"), [(0.2, False), (0.7, True)]
    )
    def test_slow_workers_are_used_once_stops_are_overdue(
        self, ordered_s_ago, is_started
    ):
        """Guards against victims that are stopped in vain, and long waits."""
        demand = urgent(is_guaranteed=True)
        claim = placement.Claim(
            unit=demand.unit,
            placement=((0, "w10"), (1, "w11")),
            ordered_at_s=NOW_S - ordered_s_ago,
        )
        found = plan(
            builders.racks(2, size=2, speeds=((0.7, 0.7), (1.7, 1.7))),
            claims=(claim,),
            allocations=busy(1, ends_in_s=5.0, is_stopping=True),
            demands=[demand],
        )
        assert bool(found.starts) == is_started


class TestBatchWork:
    def test_batch_work_goes_to_the_fullest_rack(self):
        """Guards against a few tasks on each rack, so that none is ever free.

        By the free accelerators of a worker, the emptier rack comes first.
        """
        taken = [
            builders.allocation("a", "w00", 6),
            builders.allocation("b", "w10", 4),
            builders.allocation("c", "w11", 4),
        ]
        found = plan(
            builders.racks(2, size=2),
            allocations=taken,
            demands=[builders.demand("s", 2, 1, is_gang=False, priority=2)],
        )
        assert set(builders.workers_of(found, "s")) <= {"w10", "w11"}
