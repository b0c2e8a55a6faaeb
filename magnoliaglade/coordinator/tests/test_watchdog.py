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
