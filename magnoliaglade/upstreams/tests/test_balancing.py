"""Tests of balancing, ejection and the directory of upstreams."""

import collections
import random

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import kernel, upstreams
from magnoliaglade.instances import instance_list
from magnoliaglade.types import InstanceId, RequestId, UpstreamId, ZoneId

A, B = ZoneId("a"), ZoneId("b")


def make_balancer(name="power-of-two"):
    return kernel.create("balancer", name, rng=random.Random(1), zone=A)


def count_choices(balancer, candidates, times=1000):
    picks = (balancer.choose(candidates) for _ in range(times))
    return collections.Counter(picks)


class TestBalancer:
    def test_local_zone_is_preferred_until_loaded(self):
        """Guards against the zone preference overloading the local zone."""
        light = [
            upstreams.Candidate(upstream=UpstreamId(u), zone=z)
            for u, z in (("a0", A), ("a1", A), ("b0", B), ("b1", B))
        ]
        counts = count_choices(make_balancer(), light)
        assert counts["b0"] + counts["b1"] == 0
        loaded = [
            upstreams.Candidate(
                upstream=c.upstream,
                zone=c.zone,
                outstanding=3 if c.zone == A else 0,
            )
            for c in light
        ]
        counts = count_choices(make_balancer(), loaded)
        assert counts["b0"] + counts["b1"] > 500

    def test_slow_upstream_gets_fewer_requests(self):
        candidates = [
            upstreams.Candidate(
                upstream=UpstreamId(f"u{n}"),
                zone=A,
                latency_s=1.0 if n == 0 else 0.1,
            )
            for n in range(5)
        ]
        assert count_choices(make_balancer(), candidates)["u0"] == 0
        for baseline in ("random", "round-robin"):
            counts = count_choices(make_balancer(baseline), candidates)
            assert 150 < counts["u0"] < 250

    def test_no_candidates_is_not_sent(self):
        for name in kernel.names("balancer"):
            with pytest.raises(upstreams.NotSentError):
                make_balancer(name).choose([])

    def test_fast_failures_do_not_attract_requests(self):
        """Guards against an upstream that fails fast getting most requests."""
        clock = clock_lib.ManualClock()
        loads = upstreams.UpstreamLoads(clock=clock)
        pairs = [(UpstreamId("good"), A), (UpstreamId("bad"), A)]
        for upstream, _ in pairs:
            loads.begin(upstream)
            loads.finish(upstream, latency_s=0.1, succeeded=True)
            loads.begin(upstream)
            loads.finish(
                upstream, latency_s=0.001, succeeded=upstream == "good"
            )
        good, bad = loads.candidates(pairs)
        assert good.latency_s < bad.latency_s


class TestOutlierEjector:
    def make(self, count=10):
        clock = clock_lib.ManualClock()
        ejector = upstreams.OutlierEjector(clock=clock)
        ids = [UpstreamId(f"u{n}") for n in range(count)]
        ejector.set_upstreams(ids)
        return clock, ejector, ids

    def test_never_ejects_more_than_the_maximum_fraction(self):
        """Guards against a fault common to all removing every upstream."""
        _, ejector, ids = self.make()
        for upstream in ids * 10:
            ejector.observe(upstream, succeeded=False)
        assert len(ejector.eligible(ids)) == 7
        ejector.set_upstreams(ids[:4])
        assert len(ejector.eligible(ids[:4])) >= 3

    async def test_probation_admits_one_trial_at_a_time(self):
        """Guards against full load on an upstream that still fails."""
        clock, ejector, ids = self.make()
        bad = ids[0]
        for _ in range(5):
            ejector.observe(bad, succeeded=False)
        assert ejector.eligible([bad]) == []
        await clock.advance(5)
        assert ejector.eligible([bad]) == [bad]
        ejector.record_dispatch(bad)
        assert ejector.eligible([bad]) == []
        ejector.observe(bad, succeeded=False)
        await clock.advance(9.9)
        assert ejector.eligible([bad]) == []
        await clock.advance(0.1)
        for _ in range(3):
            assert ejector.health(bad) is upstreams.UpstreamHealth.PROBATION
            ejector.record_dispatch(bad)
            ejector.observe(bad, succeeded=True)
        assert ejector.health(bad) is upstreams.UpstreamHealth.HEALTHY


class FakePlatform:
    """An instance list that lags, and upstreams that answer probes."""

    def __init__(self, clock):
        self.clock = clock
        self.leaving = False
        self.refuses = False
        self.silent = False

    async def instances(self):
        return [
            instance_list.ListedInstance(
                instance=InstanceId("u"),
                role=instance_list.InstanceRole.UPSTREAM,
                zone=A,
                address="127.0.0.1:1",
                service="s",
            )
        ]

    async def probe(self, listed):
        if self.refuses:
            raise upstreams.UpstreamRefusedError("refused")
        if self.silent:
            await self.clock.sleep(100)
        return upstreams.ExchangeResponse(
            request=RequestId("p"),
            status=200,
            headers=(),
            body=b"",
            leaving=self.leaving,
            sent_s=self.clock.now(),
        )


class TestUpstreamDirectory:
    @pytest.mark.parametrize("state", ["leaving", "refuses", "silent"])
    async def test_ineligible_within_3_s_while_listed_as_live(self, state):
        """Guards against new work on an upstream that is leaving."""
        clock = clock_lib.ManualClock()
        platform = FakePlatform(clock)
        directory = upstreams.UpstreamDirectory(
            clock=clock,
            instance_list=platform,
            service="s",
            prober=platform.probe,
        )
        await directory.start()
        await clock.advance(10)
        assert directory.is_eligible(UpstreamId("u"))
        assert directory.eligible(zones=frozenset({B})) == []
        setattr(platform, state, True)
        await clock.advance(3.1)
        assert directory.eligible() == []
        setattr(platform, state, False)
        await clock.advance(3)
        assert bool(directory.eligible()) == (state != "leaving")
        await directory.stop()

    async def test_pause_ends_eligibility(self):
        """Guards against work sent on confirmations from before a pause."""
        clock = clock_lib.ManualClock()
        platform = FakePlatform(clock)
        directory = upstreams.UpstreamDirectory(
            clock=clock,
            instance_list=platform,
            service="s",
            prober=platform.probe,
        )
        await directory.start()
        clock._now += 3.1
        assert directory.eligible() == []
        await directory.stop()
