import asyncio

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade.supervision import Backoff, describe_error, keep_running


class TestBackoff:
    def test_delays_double_up_to_the_maximum(self):
        backoff = Backoff(initial_delay_s=0.1, max_delay_s=0.3)
        assert [backoff.next_delay_s(t) for t in (0.0, 0.2, 0.4, 0.8)] == [
            0.1,
            0.2,
            0.3,
            0.3,
        ]

    def test_a_time_without_errors_resets_the_delay(self):
        backoff = Backoff(
            initial_delay_s=0.1, max_delay_s=5.0, reset_after_s=10.0
        )
        backoff.next_delay_s(0.0)
        backoff.next_delay_s(1.0)
        assert backoff.next_delay_s(20.0) == 0.1


class TestKeepRunning:
    async def test_a_part_is_restarted_after_an_unexpected_error(self):
        clock = clock_lib.ManualClock()
        runs = []

        async def work():
            runs.append(clock.now())
            if len(runs) < 3:
                raise ValueError("unforeseen")

        task = asyncio.ensure_future(
            keep_running(work, part="part", clock=clock)
        )
        await clock.advance(1.0)
        assert task.done()
        assert len(runs) == 3

    async def test_an_expected_error_is_raised(self):
        clock = clock_lib.ManualClock()

        async def work():
            raise KeyError("expected")

        with pytest.raises(KeyError):
            await keep_running(
                work, part="part", clock=clock, expected=(KeyError,)
            )


class TestDescribeError:
    def test_error_and_frame_are_returned(self):
        try:
            raise ValueError("odd")
        except ValueError as error:
            fields = describe_error(error)
        assert fields["reason"] == "ValueError('odd')"
        assert "test_error_and_frame_are_returned" in fields["frames"][-1]
