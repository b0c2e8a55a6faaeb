"""Tests of the ages of confirmed versions."""

import math

from magnoliaglade import clock as clock_lib
from magnoliaglade import membership


class TestConfirmations:
    async def test_age_is_measured_from_latest_confirmation(self):
        """Guards against an older confirmation that arrives late.

        It must not replace the age or the source of a newer one.
        """
        clock = clock_lib.ManualClock()
        confirmations = membership.ConfirmationTracker(clock=clock)
        confirm, age_s = confirmations.confirm, confirmations.age_s
        assert age_s("x", 1) == math.inf
        confirm("x", 1, age_s=0.5, source=membership.ConfirmationSource.STORE)
        confirm("x", 1, age_s=2.0, source=membership.ConfirmationSource.PEER)
        await clock.advance(2)
        assert age_s("x", 1) == 2.5
        assert confirmations.is_fresh("x", 1, max_age_s=3)
        confirm(
            "x", 1, age_s=math.nan, source=membership.ConfirmationSource.PEER
        )
        confirm("x", 1, age_s=-1.0, source=membership.ConfirmationSource.PEER)
        assert confirmations.source("x") is membership.ConfirmationSource.STORE
        await clock.advance(1)
        assert not confirmations.is_fresh("x", 1, max_age_s=3)

    async def test_higher_version_replaces_lower_one(self):
        """Guards against treating a replaced version as current."""
        clock = clock_lib.ManualClock()
        confirmations = membership.ConfirmationTracker(clock=clock)
        confirm = confirmations.confirm
        confirm("x", 2, age_s=1.0, source=membership.ConfirmationSource.PEER)
        confirm("x", 1, age_s=0.0, source=membership.ConfirmationSource.STORE)
        assert confirmations.age_s("x", 1) == math.inf
        assert confirmations.age_s("x", 2) == 1.0
