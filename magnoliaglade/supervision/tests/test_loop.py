import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade.supervision import LoopMonitor


@pytest.fixture
def monitor():
    return LoopMonitor(clock=clock_lib.ManualClock(), lag_threshold_s=0.5)


class TestLateness:
    def test_one_pause_is_no_slow_process(self, monitor):
        # Guards against a coordinator that leaves its place after a freeze
        # that is over.
        monitor.record_lag(6.5)
        assert not monitor.is_lagging

    def test_a_series_of_late_wake_ups_is(self, monitor):
        for _ in range(5):
            monitor.record_lag(0.9)
        assert monitor.is_lagging

    def test_long_plans_under_load_are_not(self, monitor):
        for _ in range(100):
            monitor.record_lag(0.3)
        assert not monitor.is_lagging

    def test_it_recovers(self, monitor):
        for _ in range(5):
            monitor.record_lag(0.9)
        for _ in range(40):
            monitor.record_lag(0.0)
        assert not monitor.is_lagging

    async def test_a_loop_on_time_has_no_lag(self, monitor):
        await monitor.start()
        await monitor.clock.advance(3.0)
        await monitor.stop()
        assert monitor.mean_lag_s == pytest.approx(0.0, abs=1e-6)
