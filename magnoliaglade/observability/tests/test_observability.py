"""Tests of metrics, dumps and log lines."""

import dataclasses
import enum
import io
import json

from magnoliaglade import clock as clock_lib
from magnoliaglade import observability


class Colour(enum.Enum):
    RED = "red"


@dataclasses.dataclass(frozen=True)
class Part:
    name: str
    colours: tuple[Colour, ...]


class TestMetricsReporter:
    async def test_increments_are_sent_once(self):
        """Guards against counters that are sent in full in each interval."""
        clock = clock_lib.ManualClock()
        metrics = observability.InMemoryMetrics()
        counts = {"ran": 3}
        reporter = observability.MetricsReporter(
            clock=clock,
            metrics=metrics,
            counters={"requests": lambda: counts},
            gauges={"store": lambda: {"reachable": 1}},
        )
        await reporter.start()
        await clock.advance(25)
        counts["ran"] = 4
        await reporter.stop()
        assert metrics.counters == {"requests.ran": 4}
        assert metrics.gauges == {"store.reachable": 1}


class TestDump:
    def test_plain_data_can_be_encoded(self):
        """Guards against a dump that fails on a value of an unknown type."""
        state = {
            Colour.RED: Part(name="a", colours=(Colour.RED,)),
            "secret": b"123",
            "set": frozenset({2, 1}),
            "inf": float("inf"),
            "other": object,
        }
        plain = json.loads(json.dumps(observability.to_plain(state)))
        assert plain["red"] == {"name": "a", "colours": ["red"]}
        assert plain["secret"] == "3 bytes"
        assert plain["set"] == [1, 2]


class TestLog:
    def test_state_change_is_one_json_line(self):
        stream = io.StringIO()
        observability.start_logging(stream=stream)
        observability.log_state_change("zone", state="removed", zone="a")
        line = json.loads(stream.getvalue().splitlines()[-1])
        assert line["message_type"] == "magnoliaglade:zone"
        assert (line["state"], line["zone"]) == ("removed", "a")
        assert observability.state_changes()[-1]["subject"] == "zone"
