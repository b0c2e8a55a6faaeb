from magnoliaglade import observability
from magnoliaglade.coordinator.tests import harness
from magnoliaglade.placement import PlacementOption


class TestGangChoices:
    async def test_option_is_logged_and_counted(self, monkeypatch):
        """Guards against starts off the rack that nobody can explain.

        One rack of two is held by runs that can be stopped, so that a gang of
        both of its workers has to preempt them.
        """
        events = []
        monkeypatch.setattr(
            observability,
            "log_event",
            lambda kind, **fields: events.append((kind, fields)),
        )
        deployment = harness.Deployment(workers=2, per_rack=2, duration_s=30.0)
        counted = []
        await deployment.elect(observe_gang=counted.append)
        low = harness.make_job("low", harness.make_step(accelerators=8))
        await deployment.submit(low)
        await deployment.clock.advance(1.0)
        gang = harness.make_job(
            "gang",
            harness.make_step(
                count=2, accelerators=8, is_gang=True, same_rack=True
            ),
            priority=0,
            accepted_at_s=deployment.clock.time(),
        )
        await deployment.submit(gang)
        await deployment.clock.advance(1.0)
        (fields,) = [
            f
            for kind, f in events
            if kind == "placement" and f["job"] == gang.job
        ]
        assert fields["option"] == "preemption"
        assert fields["option_reason"]
        assert ["preemption", 1.0] in [
            [name, round(value, 0)] for name, value in fields["option_values"]
        ]
        assert counted == [PlacementOption.PREEMPTION]
        (plain,) = [
            f
            for kind, f in events
            if kind == "placement" and f["job"] == low.job
        ]
        assert "option" not in plain
        await deployment.stop()
