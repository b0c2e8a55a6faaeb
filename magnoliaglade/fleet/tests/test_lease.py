from magnoliaglade import fleet


class TestLeaseBound:
    def test_no_lease_is_offered_before_the_clock_is_known(self):
        bound = fleet.LeaseBound(longest_lease_s=6.0)
        assert bound.offer(100.0, 6.0) is None

    def test_a_granted_lease_ends_later_on_a_slow_clock(self):
        # Guards against a second run of a task while the lease of a worker with
        # a slow clock is still valid.
        bound = fleet.LeaseBound(longest_lease_s=6.0)
        bound.observe_clock(5_000, now_s=100.0)
        assert bound.offer(100.0, 6.0).until_ms == 11_000
        assert not bound.has_ended(106.05, margin_s=0.0)
        assert bound.has_ended(106.2, margin_s=0.0)

    def test_the_bound_never_decreases(self):
        bound = fleet.LeaseBound(longest_lease_s=6.0)
        bound.observe_clock(5_000, now_s=100.0)
        bound.assume_granted(100.0, 6.0)
        before = bound.ends_at_s
        bound.confirm(bound.offer(100.5, 1.0))
        assert bound.ends_at_s == before

    def test_a_withdrawn_offer_does_not_extend_the_bound(self):
        # Guards against a lease of a lost worker that never seems to end
        # because offers that were not sent extend it.
        bound = fleet.LeaseBound(longest_lease_s=6.0)
        bound.observe_clock(5_000, now_s=100.0)
        bound.confirm(bound.offer(100.0, 6.0))
        offer = bound.offer(104.0, 6.0)
        assert not bound.has_ended(107.0, margin_s=0.0)
        bound.withdraw(offer)
        assert bound.has_ended(107.0, margin_s=0.0)
