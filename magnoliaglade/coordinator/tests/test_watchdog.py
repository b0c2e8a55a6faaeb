from magnoliaglade.coordinator import _watchdog
from magnoliaglade.coordinator.tests import harness
from magnoliaglade.jobs import Attempt, AttemptState
from magnoliaglade.types import Lifetime, WorkerId


def attempt(**fields):
    values = {
        "run": 1,
        "worker": WorkerId("w"),
        "lifetime": Lifetime(1),
        "state": AttemptState.RUNNING,
        "percent": 10.0,
        "percent_at_s": 100.0,
    }
    return Attempt(**(values | fields))


def must_leave(*, left_s, remaining_s, is_checkpointable):
    return _watchdog.must_leave(
        harness.make_step(is_checkpointable=is_checkpointable),
        attempt(),
        _watchdog.Departure(leaves_at_s=100.0 + left_s, stop_s=0.4),
        now_s=100.0,
        remaining_s=remaining_s,
    )


class TestStalls:
    def test_a_run_without_progress_is_stalled(self):
        spec = harness.make_step(estimate_s=4.0)
        assert not _watchdog.is_stalled(spec, attempt(), now_s=102.0)
        assert _watchdog.is_stalled(spec, attempt(), now_s=104.0)

    def test_a_long_running_task_is_not(self):
        spec = harness.make_step(is_long_running=True)
        assert not _watchdog.is_stalled(spec, attempt(), now_s=200.0)


class TestSlowRuns:
    def is_slow(self, percent, *, left_s=1.0, **fields):
        found = attempt(
            percent=percent,
            first_percent_at_s=100.0,
            seen_at_s=101.0,
            **fields,
        )
        spec = harness.make_step(estimate_s=4.0)
        return _watchdog.is_too_slow(spec, found, left_s=left_s)

    def test_a_run_on_a_slow_worker_is_made_again(self):
        # Load pattern: a sixth of the workers take six times as long.
        assert self.is_slow(4.0)
        assert not self.is_slow(12.0)

    def test_a_run_that_meets_its_objective_goes_on(self):
        assert not self.is_slow(4.0, left_s=60.0)

    def test_a_run_far_from_its_data_is_expected_to_be_slow(self):
        assert not self.is_slow(4.0, expected_factor=3.0)

    def test_a_task_does_not_move_for_ever(self):
        assert not self.is_slow(4.0, run=4)


class TestDepartures:
    def test_work_that_ends_in_time_stays(self):
        assert not must_leave(
            left_s=3.0, remaining_s=2.0, is_checkpointable=False
        )

    def test_work_that_would_be_lost_leaves_at_once(self):
        assert must_leave(left_s=3.0, remaining_s=8.0, is_checkpointable=False)

    def test_work_with_checkpoints_uses_the_time_that_is_left(self):
        assert not must_leave(
            left_s=3.0, remaining_s=8.0, is_checkpointable=True
        )
        assert must_leave(left_s=0.7, remaining_s=8.0, is_checkpointable=True)
