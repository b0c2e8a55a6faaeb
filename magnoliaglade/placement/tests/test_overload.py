"""Tests of the order, and of what gives way, when capacity is insufficient."""

import collections
import dataclasses
import random

import pytest

from magnoliaglade import placement
from magnoliaglade.jobs import Resources
from magnoliaglade.placement import _order, _overload
from magnoliaglade.placement.tests import builders
from magnoliaglade.standins import pool
from magnoliaglade.types import AccountId

WORKERS = builders.racks(2)
CAPACITY = len(WORKERS) * 8


def order_of(demands, *, allocations=(), now_s=builders.NOW_S, workers=WORKERS):
    snapshot = dataclasses.replace(
        builders.snapshot(workers, allocations=allocations, demands=demands),
        now_s=now_s,
    )
    ordered, deferred = _order.order_demands(snapshot)
    return [str(d.unit.job) for d in ordered], {str(u.job) for u in deferred}


def due_in(seconds, **fields):
    """Returns the fields of a demand whose latest start is in `seconds`."""
    return {
        "latest_start_s": builders.NOW_S + seconds,
        "latest_useful_start_s": builders.NOW_S + seconds + 20.0,
        **fields,
    }


def order_by_latest_start(demands):
    return [
        str(d.unit.job)
        for d in sorted(
            demands,
            key=lambda d: (
                not d.is_guaranteed,
                d.priority,
                placement.timeliness_of(d, now_s=builders.NOW_S),
                d.latest_start_s,
                d.arrived_at_s,
            ),
        )
    ]


class TestSelection:
    # Load pattern: a burst that exceeds the room. Guards against an order in
    # which a large early demand makes several others miss their objectives.

    def test_demands_worth_most_for_their_work_go_first(self):
        large = builders.demand("large", 8, 8, value=4.0, **due_in(1.0))
        small = [
            builders.demand(f"s{n}", 2, 8, value=1.5, **due_in(2.0))
            for n in range(4)
        ]
        names, deferred = order_of([large, *small])
        assert names == ["s0", "s1", "s2", "s3", "large"]
        assert deferred == {"large"}

    def test_large_demand_worth_more_than_what_it_displaces_goes_first(self):
        small = builders.demand("small", 1, 8, value=0.9, **due_in(1.0))
        large = builders.demand("large", 8, 8, value=4.0, **due_in(2.0))
        assert order_of([small, large])[0] == ["large", "small"]

    def test_capacity_that_comes_free_in_time_counts(self):
        # Guards against deferring work that only has to wait for an end.
        running = [
            builders.allocation(f"r{c.worker}", c.worker, 8) for c in WORKERS
        ]
        demands = [
            builders.demand("early", 8, 8, value=0.1, **due_in(6.0)),
            builders.demand("later", 8, 8, value=9.0, **due_in(15.0)),
        ]
        names, deferred = order_of(demands, allocations=running)
        assert (names, deferred) == (["early", "later"], set())

    def test_urgent_demands_count_on_work_that_they_can_preempt(self):
        running = [
            builders.allocation(f"r{c.worker}", c.worker, 8, ends_at_s=9e9)
            for c in WORKERS
        ]
        demands = [
            builders.demand("early", 4, 8, priority=0, value=0.1, **due_in(1)),
            builders.demand("later", 4, 8, priority=0, value=9.0, **due_in(2)),
        ]
        assert not order_of(demands, allocations=running)[1]

    def test_guaranteed_and_urgent_demands_stay_first(self):
        guaranteed = builders.demand(
            "g", 8, 8, priority=0, is_guaranteed=True, value=0.1, **due_in(9)
        )
        urgent = builders.demand("u", 8, 8, priority=0, value=0.1, **due_in(9))
        batch = builders.demand("b", 1, 1, value=9.0, **due_in(1))
        assert order_of([batch, urgent, guaranteed])[0] == ["g", "u", "b"]

    def test_late_result_that_is_still_useful_precedes_one_that_is_not(self):
        # Guards against spending the room on results worth nothing.
        useless = builders.demand("useless", 8, 8, value=0.1, **due_in(-19.9))
        useful = builders.demand("useful", 8, 8, value=1.0, **due_in(-19.0))
        assert order_of([useless, useful])[0] == ["useful", "useless"]

    @pytest.mark.parametrize(
        "fields",
        [{"resources": builders.resources(9)}, {"label": "none"}, {}],
    )
    def test_demand_that_no_workers_can_hold_is_last(self, fields):
        count = 1 if fields else CAPACITY + 1
        unservable = builders.demand("x", count, 1, **(due_in(0.1) | fields))
        fitting = builders.demand("fitting", 1, 1, priority=2)
        assert order_of([unservable, fitting])[0] == ["fitting", "x"]


class TestSufficiency:
    def test_order_is_by_latest_start_if_all_fit(self):
        # Guards against a change of order on pools that are not overloaded.
        rng = random.Random(7)
        for _ in range(50):
            demands = [
                builders.demand(
                    f"d{n}",
                    1,
                    rng.randint(1, 4),
                    priority=rng.randint(0, 2),
                    is_guaranteed=rng.random() < 0.2,
                    value=rng.uniform(0.3, 4.0),
                    account=AccountId(rng.choice("aab")),
                    **due_in(rng.uniform(-15.0, 30.0)),
                )
                for n in range(16)
            ]
            names, deferred = order_of(demands)
            assert names == order_by_latest_start(demands)
            assert not deferred


class TestAccounts:
    # Load pattern: a batch burst of one large account beside others.

    def burst(self, count=12):
        large = [
            builders.demand(
                f"l{n}", 2, 8, account=AccountId("large"), **due_in(1.0)
            )
            for n in range(count)
        ]
        others = [
            builders.demand(
                f"o{n}", 2, 8, account=AccountId(f"other{n}"), **due_in(2.0)
            )
            for n in range(3)
        ]
        return [*large, *others]

    def test_account_beyond_its_share_waits_behind_others(self):
        # The pool holds four of the demands at a time.
        names, _ = order_of(self.burst())
        assert {"o0", "o1", "o2"} <= set(names[:4])

    def test_running_work_counts_towards_the_share(self):
        running = [
            builders.allocation(
                f"r{c.worker}",
                c.worker,
                8,
                priority=1,
                account=AccountId("large"),
            )
            for c in WORKERS[:6]
        ]
        demands = [
            builders.demand(
                "l", 2, 8, account=AccountId("large"), **due_in(0.1)
            ),
            builders.demand(
                "o", 2, 8, account=AccountId("other0"), **due_in(0.2)
            ),
            builders.demand(
                "p", 1, 1, account=AccountId("other1"), **due_in(99)
            ),
        ]
        names, _ = order_of(demands, allocations=running)
        assert names.index("o") < names.index("l")

    def play_burst(self, seed):
        """Returns how many jobs of others, and of all, were on time."""
        rng = random.Random(seed)
        fields = {
            "priority": 1,
            "count": 2,
            "demand": Resources(cores_m=3_000, memory_mb=1, accelerators=8),
            "is_gang": True,
            "stretch": 2.0,
            "work_s": 6.0,
            "estimate_s": 6.0,
        }
        load = [
            pool.LoadJob(
                name=f"{account}{n}",
                account=account if account == "large" else f"other{n % 9}",
                arrives_at_s=rng.uniform(*arrival_s),
                **fields,
            )
            for account, count, arrival_s in (
                ("large", 60, (0.0, 1.0)),
                ("other", 18, (1.0, 10.0)),
            )
            for n in range(count)
        ]
        model = pool.PoolModel(
            planner=placement.Planner(),
            workers=pool.make_workers(
                16, per_rack=8, capacity=builders.CAPACITY
            ),
        )
        outcome = model.play(load, until_s=60.0)
        on_time = [
            j.account
            for j in load
            if outcome.ended_at_s.get(j.name, float("inf")) - j.arrives_at_s
            <= j.objective_s
        ]
        return sum(a != "large" for a in on_time), len(on_time)

    def test_burst_of_one_account_delays_fewer_jobs_of_others(
        self, monkeypatch
    ):
        others, total = self.play_burst(3)
        monkeypatch.setattr(
            _overload, "rank_demands", lambda _: _overload.Ranks()
        )
        others_before, total_before = self.play_burst(3)
        assert others > others_before
        assert total >= total_before


class TestStarvation:
    # Load pattern: an overload that lasts. Guards against large jobs that are
    # passed over for ever, the first complaint of users.

    def overdue(self, name, count, **fields):
        late_s = -_overload.MAX_USELESS_S - 1.0
        return builders.demand(
            name, count, 8, value=0.1, **due_in(late_s, **fields)
        )

    def fresh(self):
        return [
            builders.demand(f"f{n}", 1, 8, **due_in(9.0)) for n in range(20)
        ]

    def test_demand_passed_over_for_long_goes_first(self):
        names, _ = order_of([*self.fresh(), self.overdue("old", 6)])
        assert names[0] == "old"

    @pytest.mark.parametrize(
        ("useful_until_s", "is_first"), [(1.0, True), (-1.0, False)]
    )
    def test_useful_demand_goes_first_earlier(self, useful_until_s, is_first):
        late = builders.demand(
            "late",
            6,
            8,
            value=0.1,
            latest_start_s=builders.NOW_S - _overload.MAX_PASSED_OVER_S - 1.0,
            latest_useful_start_s=builders.NOW_S + useful_until_s,
        )
        names, _ = order_of([*self.fresh(), late])
        assert (names[0] == "late") is is_first

    def test_overdue_work_uses_a_part_of_the_pool_at_a_time(self):
        overdue = [self.overdue(f"old{n}", 1) for n in range(20)]
        names, _ = order_of([*self.fresh(), *overdue])
        assert [n.startswith("old") for n in names[:3]] == [True, True, False]
        running = builders.allocation(
            "r", WORKERS[0].worker, 8, priority=1, latest_end_s=0.0
        )
        names, _ = order_of([*self.fresh(), *overdue], allocations=[running])
        assert names[0].startswith("f")

    def test_overdue_demand_that_cannot_be_placed_does_not_block_others(self):
        # Each of the others has its turn beside the oldest.
        overdue = [self.overdue(f"old{n}", 2) for n in range(3)]
        second = {
            order_of(
                [*self.fresh(), *overdue],
                now_s=builders.NOW_S + turn * _overload.OVERDUE_TURN_S,
            )[0][1]
            for turn in range(3)
        }
        assert {"old1", "old2"} <= second

    def test_large_gang_starts_beside_small_ones_that_keep_arriving(self):
        capacity = Resources(cores_m=32_000, memory_mb=64_000, accelerators=8)
        small = {
            "demand": Resources(cores_m=1_000, memory_mb=1, accelerators=8),
            "count": 1,
            "work_s": 3.0,
            "estimate_s": 3.0,
            "is_gang": True,
            "priority": 1,
        }
        load = [
            pool.LoadJob(
                name=f"s{n}", account=f"a{n % 5}", arrives_at_s=n * 0.2, **small
            )
            for n in range(700)
        ]
        large = {**small, "count": 6, "work_s": 6.0, "estimate_s": 6.0}
        load.append(
            pool.LoadJob(name="l", account="l", arrives_at_s=1.0, **large)
        )
        model = pool.PoolModel(
            planner=placement.Planner(),
            workers=pool.make_workers(8, per_rack=8, capacity=capacity),
        )
        outcome = model.play(load, until_s=130.0)
        objective_s = 3.0 * 6.0 + 1.0
        limit_s = objective_s + _overload.MAX_USELESS_S + 2 * 6.0
        assert outcome.waited_s["l"] < limit_s


class TestVictims:
    def test_work_that_would_miss_its_objective_is_spared(self):
        # Guards against preempting work that is about to be on time.
        victims = [
            builders.allocation(
                name,
                "w00",
                4,
                loss_s=loss_s,
                estimate_s=9.0,
                latest_end_s=builders.NOW_S + end_s,
            )
            for name, loss_s, end_s in (
                ("tight", 1.0, 5.5),
                ("slack", 1.5, 60.0),
            )
        ]
        urgent = builders.demand("u", 1, 4, priority=0, estimate_s=9.0)
        plan = placement.Planner().plan(
            builders.snapshot(
                WORKERS[:1], allocations=victims, demands=[urgent]
            )
        )
        assert builders.victims_of(plan) == {"slack"}


class TestFailure:
    def test_extreme_values_give_a_total_order(self):
        # Guards against a plan that fails on a pool that has just lost all of
        # its workers, or on jobs with odd declarations.
        demands = [
            builders.demand(
                f"d{n}", 1, size, estimate_s=run_s, value=value, **due_in(1.0)
            )
            for n, (size, run_s, value) in enumerate(
                [(0, 0.0, 0.0), (8, 0.0, 4.0), (8, 1e9, 0.0), (100, 1.0, 1.0)]
            )
        ]
        for workers in (
            (),
            WORKERS,
            [builders.candidate("w", is_schedulable=False)],
        ):
            names, _ = order_of(demands * 1, workers=workers)
            assert collections.Counter(names) == {f"d{n}": 1 for n in range(4)}
