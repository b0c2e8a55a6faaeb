from magnoliaglade.coordinator import _watchdog
from magnoliaglade.coordinator.tests import harness
from magnoliaglade.jobs import Attempt, AttemptState
from magnoliaglade.types import Lifetime, WorkerId


def make_attempt(**fields):
    values = {
        "run": 1,
        "worker": WorkerId("w"),
        "lifetime": Lifetime(1),
        "state": AttemptState.RUNNING,
        "percent": 10.0,
    }
    return Attempt(**(values | fields))


def must_stop_before_departure(
    *, until_departure_s, remaining_s, is_checkpointable
):
    return _watchdog.must_stop_before_departure(
        harness.make_step(is_checkpointable=is_checkpointable),
        make_attempt(),
        _watchdog.Departure(leaves_at_s=100.0 + until_departure_s, stop_s=0.4),
        now_s=100.0,
        remaining_s=remaining_s,
    )


def apply_reports(run, seconds, *, percents, interval_s=1.0):
    """Applies reports with the given percents at equal intervals."""
    at_s = run.reported_ms / 1000.0 or 50.0
    steps = int(seconds / interval_s)
    for number in range(steps):
        at_s += interval_s
        _watchdog.record_progress(
            run,
            percent=percents[min(number, len(percents) - 1)],
            reported_ms=int(at_s * 1000),
        )
    return run


class TestStalls:
    spec = harness.make_step(estimate_s=4.0)

    def test_run_without_progress_is_stalled(self):
        run = apply_reports(make_attempt(), 3.0, percents=[10.0])
        assert not _watchdog.stalled_runs(self.spec, [run])
        apply_reports(run, 1.0, percents=[10.0])
        assert _watchdog.stalled_runs(self.spec, [run]) == [run]

    def test_long_running_task_is_never_stalled(self):
        spec = harness.make_step(is_long_running=True)
        run = apply_reports(make_attempt(), 200.0, percents=[10.0])
        assert not _watchdog.stalled_runs(spec, [run])

    def test_time_without_reports_is_no_evidence(self):
        # Guards against stopping runs of a worker that was only disconnected.
        run = apply_reports(make_attempt(), 2.0, percents=[10.0])
        apply_reports(run, 60.0, percents=[10.0], interval_s=6.0)
        assert not _watchdog.stalled_runs(self.spec, [run])

    def test_run_without_a_report_in_this_term_is_not_stalled(self):
        assert not _watchdog.stalled_runs(self.spec, [make_attempt()])

    def test_delayed_reports_count_by_the_worker_clock(self):
        # Guards against stopping runs whose reports are delayed by event-loop
        # lag: a burst of old reports covers little of the worker's time.
        run = apply_reports(
            make_attempt(), 1.0, percents=[10.0], interval_s=0.02
        )
        assert run.no_progress_s < 1.1
        assert not _watchdog.stalled_runs(self.spec, [run])

    def test_progress_resets_the_stall_timer(self):
        run = apply_reports(
            make_attempt(), 30.0, percents=[float(i) for i in range(30)]
        )
        assert not _watchdog.stalled_runs(self.spec, [run])


class TestStalledGangs:
    gang = harness.make_step(estimate_s=4.0, count=3, is_gang=True)

    def test_finished_members_wait_for_the_slowest(self):
        # Guards against discarding finished work: members differ in speed, and
        # a gang ends together.
        finished = [
            apply_reports(make_attempt(), 20.0, percents=[100.0])
            for _ in range(2)
        ]
        slow = apply_reports(
            make_attempt(), 20.0, percents=[float(i) for i in range(20)]
        )
        assert not _watchdog.stalled_runs(self.gang, [*finished, slow])

    def test_stalled_slowest_member_stalls_the_gang(self):
        finished = [
            apply_reports(make_attempt(), 20.0, percents=[100.0])
            for _ in range(2)
        ]
        stalled = apply_reports(make_attempt(), 20.0, percents=[40.0])
        members = [*finished, stalled]
        assert _watchdog.stalled_runs(self.gang, members) == [stalled]

    def test_finished_gang_that_does_not_end_is_stalled(self):
        members = [
            apply_reports(make_attempt(), 20.0, percents=[100.0])
            for _ in range(3)
        ]
        assert _watchdog.stalled_runs(self.gang, members) == members
        apply_reports(members[0], 1.0, percents=[99.0])
        apply_reports(members[0], 1.0, percents=[100.0])
        assert not _watchdog.stalled_runs(self.gang, members)

    def test_gang_with_an_unconfirmed_member_is_not_stalled(self):
        # The members wait for one whose start has not been confirmed.
        members = [
            apply_reports(make_attempt(), 20.0, percents=[0.0])
            for _ in range(2)
        ]
        unconfirmed = make_attempt(state=AttemptState.SENT)
        assert not _watchdog.stalled_runs(self.gang, [*members, unconfirmed])


class TestDepartures:
    def test_run_that_ends_in_time_is_not_stopped(self):
        assert not must_stop_before_departure(
            until_departure_s=3.0, remaining_s=2.0, is_checkpointable=False
        )

    def test_run_without_checkpoints_is_stopped_at_once(self):
        assert must_stop_before_departure(
            until_departure_s=3.0, remaining_s=8.0, is_checkpointable=False
        )

    def test_run_with_checkpoints_is_stopped_at_the_last_moment(self):
        assert not must_stop_before_departure(
            until_departure_s=3.0, remaining_s=8.0, is_checkpointable=True
        )
        assert must_stop_before_departure(
            until_departure_s=0.7, remaining_s=8.0, is_checkpointable=True
        )
