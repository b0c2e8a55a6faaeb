import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade.supervision import LoopMonitor


@pytest.fixture
def monitor():
    return LoopMonitor(clock=clock_lib.ManualClock(), lag_threshold_s=0.5)


class TestLag:
    def test_a_single_pause_is_not_lagging(self, monitor):
        # Guards against a coordinator that gives up its leadership after a
        # single pause that has ended.
        monitor.record_lag(6.5)
        assert not monitor.is_lagging

    def test_a_series_of_delayed_wake_ups_is_lagging(self, monitor):
        for _ in range(5):
            monitor.record_lag(0.9)
        assert monitor.is_lagging

    def test_long_plans_under_load_are_not_lagging(self, monitor):
        for _ in range(100):
            monitor.record_lag(0.3)
        assert not monitor.is_lagging

    def test_the_mean_recovers_after_lag(self, monitor):
        for _ in range(5):
            monitor.record_lag(0.9)
        for _ in range(40):
            monitor.record_lag(0.0)
        assert not monitor.is_lagging

    async def test_punctual_wake_ups_have_no_lag(self, monitor):
        await monitor.start()
        await monitor.clock.advance(3.0)
        await monitor.stop()
        assert monitor.mean_lag_s == pytest.approx(0.0, abs=1e-6)
