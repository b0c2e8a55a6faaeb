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


def report(run, seconds, *, percents, every_s=1.0):
    """Applies reports at equal intervals that show the percents in turn."""
    at_s = run.reported_ms / 1000.0 or 50.0
    steps = int(seconds / every_s)
    for number in range(steps):
        at_s += every_s
        _watchdog.note_progress(
            run,
            percent=percents[min(number, len(percents) - 1)],
            reported_ms=int(at_s * 1000),
        )
    return run


class TestStalls:
    spec = harness.make_step(estimate_s=4.0)

    def test_a_run_without_progress_is_stalled(self):
        run = report(attempt(), 3.0, percents=[10.0])
        assert not _watchdog.stalled_runs(self.spec, [run])
        report(run, 1.0, percents=[10.0])
        assert _watchdog.stalled_runs(self.spec, [run]) == [run]

    def test_a_long_running_task_is_not(self):
        spec = harness.make_step(is_long_running=True)
        run = report(attempt(), 200.0, percents=[10.0])
        assert not _watchdog.stalled_runs(spec, [run])

    def test_silence_is_no_evidence(self):
        # Guards against giving up runs of a worker that was only cut off.
        run = report(attempt(), 2.0, percents=[10.0])
        report(run, 60.0, percents=[10.0], every_s=6.0)
        assert not _watchdog.stalled_runs(self.spec, [run])

    def test_no_report_in_this_term_is_no_evidence(self):
        assert not _watchdog.stalled_runs(self.spec, [attempt()])

    def test_late_reports_count_by_the_worker_clock(self):
        # Guards against giving up runs whose reports wait in a late loop: a
        # burst of old reports covers little of the worker's time.
        run = report(attempt(), 1.0, percents=[10.0], every_s=0.02)
        assert run.no_progress_s < 1.1
        assert not _watchdog.stalled_runs(self.spec, [run])

    def test_progress_starts_the_allowance_anew(self):
        run = report(attempt(), 30.0, percents=[float(i) for i in range(30)])
        assert not _watchdog.stalled_runs(self.spec, [run])


class TestStalledGangs:
    gang = harness.make_step(estimate_s=4.0, count=3, is_gang=True)

    def test_a_member_that_is_through_waits_for_the_slowest(self):
        # Guards against throwing finished work away: paces differ, and a gang
        # ends together.
        through = [report(attempt(), 20.0, percents=[100.0]) for _ in range(2)]
        slow = report(attempt(), 20.0, percents=[float(i) for i in range(20)])
        assert not _watchdog.stalled_runs(self.gang, [*through, slow])

    def test_a_slowest_member_that_stands_still_holds_the_gang_up(self):
        through = [report(attempt(), 20.0, percents=[100.0]) for _ in range(2)]
        hung = report(attempt(), 20.0, percents=[40.0])
        members = [*through, hung]
        assert _watchdog.stalled_runs(self.gang, members) == [hung]

    def test_a_gang_that_is_through_and_does_not_end_hangs(self):
        members = [report(attempt(), 20.0, percents=[100.0]) for _ in range(3)]
        assert _watchdog.stalled_runs(self.gang, members) == members
        report(members[0], 1.0, percents=[99.0])
        report(members[0], 1.0, percents=[100.0])
        assert not _watchdog.stalled_runs(self.gang, members)

    def test_a_gang_with_an_absent_member_is_not_judged(self):
        # Members wait for one whose start has not been confirmed.
        members = [report(attempt(), 20.0, percents=[0.0]) for _ in range(2)]
        absent = attempt(state=AttemptState.SENT)
        assert not _watchdog.stalled_runs(self.gang, [*members, absent])


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
