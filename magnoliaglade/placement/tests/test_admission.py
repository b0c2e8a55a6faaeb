"""Tests of the estimated waits of new submissions."""

import gc
import math

import pytest

from magnoliaglade import placement
from magnoliaglade.placement.tests import builders

WORKERS = builders.racks(2)
# Value per core-second of a job of average value that uses the pool for 8 s.
DENSITY = 1.0 / (64 * 8 * 8.0 + 64 * 8.0)


def waits_s(*, priority=1, densities=(DENSITY,), allocations=(), demands=()):
    estimator = placement.WaitEstimator(
        snapshot=builders.snapshot(
            WORKERS, allocations=allocations, demands=demands
        )
    )
    return estimator.waits_s(builders.SERVICE, priority, densities)


def whole_pool(name, **fields):
    """Returns a demand that uses the pool for 8 s."""
    return builders.demand(
        name,
        8,
        8,
        **({"latest_useful_start_s": builders.NOW_S + 100.0} | fields),
    )


def running(priority, ends_in_s, **fields):
    return [
        builders.allocation(
            f"r{c.worker}",
            c.worker,
            8,
            priority=priority,
            ends_at_s=builders.NOW_S + ends_in_s,
            **fields,
        )
        for c in WORKERS
    ]


class TestWaits:
    # Guards against estimates above the true wait, by which useful work would
    # be refused. The last of several runs of 8 s may run beside a new job.

    @pytest.mark.parametrize(
        ("expected_s", "arguments"),
        [
            (0.0, {}),
            (6.0, {"allocations": running(2, 6.0)}),
            (16.0, {"demands": [whole_pool(f"d{n}") for n in range(3)]}),
            # Preempted for urgent work.
            (0.0, {"allocations": running(2, 6.0), "priority": 0}),
            (
                6.0,
                {
                    "allocations": running(2, 6.0, is_protected=True),
                    "priority": 0,
                },
            ),
            # Long runs beside idle capacity, or beside some that is soon idle.
            (0.0, {"allocations": running(2, 100.0)[:4]}),
            (
                5.0,
                {"allocations": running(2, 5.0)[:1] + running(2, 90.0)[1:]},
            ),
            # Behind the new job: lower priority, less value, worth nothing, or
            # held by no workers.
            (0.0, {"demands": [whole_pool("d", priority=2)] * 3}),
            (
                0.0,
                {"demands": [whole_pool(f"d{n}", value=0.9) for n in range(3)]},
            ),
            (
                0.0,
                {
                    "demands": [
                        whole_pool(
                            f"d{n}",
                            latest_start_s=builders.NOW_S - 9.0,
                            latest_useful_start_s=builders.NOW_S - 1.0,
                        )
                        for n in range(3)
                    ]
                },
            ),
            (0.0, {"demands": [builders.demand("d", 3, 9)]}),
            # Runs that last leave no capacity: no time is known.
            (0.0, {"allocations": running(1, math.inf)}),
        ],
    )
    def test_wait_counts_only_what_precedes_a_new_job(
        self, expected_s, arguments
    ):
        assert waits_s(**arguments) == pytest.approx((expected_s,))

    def test_small_jobs_wait_less_than_large_ones(self):
        demands = [whole_pool(f"d{n}") for n in range(3)]
        small_s, large_s = waits_s(
            demands=demands, densities=(2 * DENSITY, DENSITY / 2)
        )
        assert (small_s, large_s) == pytest.approx((0.0, 16.0))

    def test_pool_without_workers_gives_no_wait(self):
        estimator = placement.WaitEstimator(
            snapshot=builders.snapshot((), demands=[whole_pool("d")])
        )
        assert estimator.waits_s(builders.SERVICE, 1, (0.0,)) == (0.0,)


class TestMemory:
    def test_snapshots_are_released(self):
        """Guards against caches that keep every snapshot of a term."""
        demands = [whole_pool(f"d{n}") for n in range(3)]
        for _ in range(3):
            waits_s(demands=demands, allocations=running(2, 6.0))
            placement.order_demands(
                builders.snapshot(
                    WORKERS, allocations=running(2, 6.0), demands=demands
                )
            )
        gc.collect()
        kept = [o for o in gc.get_objects() if type(o) is placement.Snapshot]
        assert not kept
