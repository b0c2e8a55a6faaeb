from magnoliaglade import fleet


class TestLeaseBound:
    def test_nothing_is_granted_before_the_clock_is_known(self):
        bound = fleet.LeaseBound(longest_lease_s=6.0)
        assert bound.offer(100.0, 6.0) is None

    def test_a_granted_lease_ends_later_on_a_slow_clock(self):
        # Guards against a second run while a slow worker's lease still holds.
        bound = fleet.LeaseBound(longest_lease_s=6.0)
        bound.observe_clock(5_000, now_s=100.0)
        assert bound.offer(100.0, 6.0).until_ms == 11_000
        assert not bound.has_ended(106.05, margin_s=0.0)
        assert bound.has_ended(106.2, margin_s=0.0)

    def test_the_bound_never_falls(self):
        bound = fleet.LeaseBound(longest_lease_s=6.0)
        bound.observe_clock(5_000, now_s=100.0)
        bound.assume_granted(100.0, 6.0)
        before = bound.ends_at_s
        bound.confirm(bound.offer(100.5, 1.0))
        assert bound.ends_at_s == before

    def test_an_offer_that_was_not_sent_does_not_count(self):
        # Guards against a vanished worker whose lease never seems to end.
        bound = fleet.LeaseBound(longest_lease_s=6.0)
        bound.observe_clock(5_000, now_s=100.0)
        bound.confirm(bound.offer(100.0, 6.0))
        offer = bound.offer(104.0, 6.0)
        assert not bound.has_ended(107.0, margin_s=0.0)
        bound.withdraw(offer)
        assert bound.has_ended(107.0, margin_s=0.0)
