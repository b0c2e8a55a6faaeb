import dataclasses

import pytest

from magnoliaglade import placement
from magnoliaglade.placement import _capacity_tracker, _order, _selection
from magnoliaglade.placement.tests import builders


def full_pool(racks):
    """Returns a pool in which every accelerator runs a preemptible task."""
    candidates = builders.racks(racks)
    allocations = [
        builders.allocation(f"{c.worker}-{n}", c.worker, 1, loss_s=n + 0.1 * i)
        for i, c in enumerate(candidates)
        for n in range(8)
    ]
    return candidates, allocations


@pytest.fixture
def count_queries(monkeypatch):
    """Counts how often a plan queries how many tasks fit on a worker."""
    calls = []
    original = _capacity_tracker.CapacityTracker.slots

    def slots(self, demand, worker, **options):
        calls.append(worker)
        return original(self, demand, worker, **options)

    monkeypatch.setattr(_capacity_tracker.CapacityTracker, "slots", slots)

    def count(candidates, allocations, demands, **planner):
        calls.clear()
        plan = placement.Planner(**planner).plan(
            builders.snapshot(
                candidates, allocations=allocations, demands=demands
            )
        )
        return len(calls), plan

    return count


class TestCost:
    # Load pattern: a burst of urgent work on a full pool. A plan that takes
    # longer than the coordinator's lease makes each coordinator in turn lose
    # its leadership, so that nothing is started at all.

    def test_cost_of_a_victim_search_is_linear_in_the_pool(self, count_queries):
        urgent = builders.demand("urgent", 6, 8, priority=0, estimate_s=9.0)
        small, _ = count_queries(*full_pool(8), [urgent])
        large, plan = count_queries(*full_pool(32), [urgent])
        assert plan.preemptions
        # Four times the workers may take four times the queries.
        assert large <= 4 * small

    def test_equal_demands_are_rejected_without_a_search(self, count_queries):
        candidates, allocations = full_pool(8)
        waiting = [builders.demand(f"batch{n}", 4, 8) for n in range(40)]
        first, _ = count_queries(candidates, allocations, waiting[:1])
        every, _ = count_queries(candidates, allocations, waiting)
        assert every <= 2 * first

    def test_smaller_demands_are_still_placed(self, count_queries):
        candidates, allocations = full_pool(2)
        demands = [
            builders.demand("large", 4, 8, estimate_s=1.0),
            builders.demand("s", 1, 8, estimate_s=1.0),
        ]
        _, plan = count_queries(candidates, allocations[8:], demands)
        assert builders.workers_of(plan, "s") == ["w00"]

    def test_plan_reports_whether_it_is_complete(self, count_queries):
        urgent = [
            builders.demand(f"urgent{n}", 1, 8, priority=0, estimate_s=9.0)
            for n in range(3)
        ]
        _, plan = count_queries(*full_pool(2), urgent, max_searches=2)
        assert not plan.is_complete
        assert len({p.beneficiary for p in plan.preemptions}) == 2
        _, plan = count_queries(*full_pool(2), urgent, max_searches=3)
        assert plan.is_complete

    @pytest.mark.parametrize("speeds", [(1.0,), (0.7, 1.7)])
    def test_cost_of_gangs_with_a_rack_is_linear_in_the_pool(
        self, count_queries, speeds
    ):
        """Guards against plans that weigh every rack for every gang again.

        Racks have room within the longest wait, so that all options count.
        """

        def count(racks):
            candidates, allocations = full_pool(racks)
            candidates = [
                dataclasses.replace(c, speed=speeds[i % len(speeds)])
                for i, c in enumerate(candidates)
            ]
            allocations = [
                dataclasses.replace(a, ends_at_s=builders.NOW_S + 0.2 * n)
                for n, a in enumerate(allocations)
            ]
            urgent = [
                builders.demand(
                    f"u{n}",
                    3,
                    8,
                    priority=0,
                    same_rack=True,
                    is_guaranteed=n % 2 == 0,
                    latest_start_s=builders.NOW_S + 1.0,
                )
                for n in range(40)
            ]
            return count_queries(candidates, allocations, urgent)[0]

        # Four times the workers may take four times the queries.
        assert count(32) <= 4 * count(8)


class TestOrderCost:
    # Load pattern: an overload with hundreds of waiting demands. Each plan
    # orders them, so that a cost which grows with their square delays renewals.

    def test_cost_of_the_selection_is_linear_in_the_demands(self, monkeypatch):
        calls = []
        for name in ("_advance", "_pop_least", "_start"):
            original = getattr(_selection._Simulation, name)

            def count(self, *args, _original=original):
                calls.append(1)
                return _original(self, *args)

            monkeypatch.setattr(_selection._Simulation, name, count)
        candidates, allocations = full_pool(4)
        demands = [
            builders.demand(
                f"d{n}",
                1 + n % 7,
                8,
                value=1.0 + n % 5,
                latest_start_s=builders.NOW_S + n * 37 % 25,
            )
            for n in range(400)
        ]
        snapshot = builders.snapshot(
            candidates, allocations=allocations, demands=demands
        )
        assert _order.order_demands(snapshot)[1]
        # Two selections are tried twice each. A demand starts and ends once,
        # fails once, and looks at as many others as it may displace.
        per_demand = _selection.MAX_DISPLACED + 4
        assert len(calls) <= 2 * 2 * (len(demands) * per_demand + 1)
