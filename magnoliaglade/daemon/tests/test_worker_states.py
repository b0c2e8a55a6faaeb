from magnoliaglade import clock as clock_lib
from magnoliaglade import scheduling
from magnoliaglade.daemon import _worker_states
from magnoliaglade.types import JobId, WorkerId, ZoneId


def make_workers(count):
    return {
        WorkerId(f"w{n}"): scheduling.Worker(
            worker=WorkerId(f"w{n}"),
            zone=ZoneId("z"),
            rack="r",
            shape=scheduling.Shape(cores=1),
        )
        for n in range(count)
    }


def states(workers):
    return [w.state.value for w in workers.values()]


class TestWorkerHealth:
    def test_worker_that_fails_every_task_is_quarantined(self):
        """Guards against a bad worker that goes on failing jobs."""
        clock = clock_lib.ManualClock()
        health = _worker_states.WorkerHealth(
            clock=clock, quarantine=scheduling.Quarantine()
        )
        workers = make_workers(2)
        for n in range(3):
            assert states(health.with_states(workers))[0] == "available"
            health.note(WorkerId("w0"), JobId(f"j{n}"), False)
            health.note(WorkerId("w1"), JobId(f"k{n}"), True)
        found = states(health.with_states(workers))
        assert found == ["quarantined", "available"]


class TestZoneReturns:
    async def test_only_a_returned_zone_is_ramped(self):
        """Guards against all waiting gangs that start at one moment."""
        clock = clock_lib.ManualClock()
        returns = _worker_states.ZoneReturns(clock=clock)

        def leaving(now_s):
            snapshot = scheduling.ClusterSnapshot(
                now_s=now_s, workers=make_workers(4), running={}, pending=()
            )
            workers = returns.apply(snapshot).workers
            return states(workers).count("leaving")

        returns.observe(ZoneId("z"), is_removed=False)
        assert leaving(clock.time()) == 0
        returns.observe(ZoneId("z"), is_removed=True)
        returns.observe(ZoneId("z"), is_removed=False)
        assert leaving(clock.time()) == 3
        assert leaving(clock.time() + 60) == 0
