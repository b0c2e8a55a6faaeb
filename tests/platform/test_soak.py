import pytest

from tests.soak.soak import Soak

# Seconds with faults; a run by hand takes longer ones.
SECONDS = 6.0


class TestSoak:
    @pytest.mark.parametrize("seed", [1, 2])
    async def test_promises_hold_under_faults(self, tmp_path, seed):
        # Guards against faults that only overlap by chance.
        found = await Soak(seed=seed, folder=tmp_path, seconds=SECONDS).run()
        assert found.accepted
        assert found.violations == []
