import json
import os

from magnoliaglade import observability


class TestBoundedStream:
    def test_a_reader_that_stops_does_not_block(self):
        # Guards against a loop that waits for whoever reads the log.
        reader, writer = os.pipe()
        stream = observability.BoundedStream(fd=writer, max_bytes=10_000)
        line = "x" * 999 + "\n"
        for _ in range(500):
            stream.write(line)
        assert stream.dropped_lines > 0
        os.set_blocking(reader, False)
        while True:
            try:
                os.read(reader, 65_536)
            except BlockingIOError:
                break
            stream.flush()
        stream.write("last\n")
        text = os.read(reader, 65_536).decode()
        summary = json.loads(text.splitlines()[0])
        assert summary["state"] == "lines dropped"
        assert summary["count"] > 0
        assert text.splitlines()[-1] == "last"
        os.close(reader)
        os.close(writer)


class TestLineBudget:
    def test_a_kind_is_bounded_and_its_drops_are_told(self):
        now = [0.0]
        budget = observability.LineBudget(lines_per_s=2, now=lambda: now[0])
        taken = [budget.take("start") for _ in range(5)]
        assert taken == [0, 0, None, None, None]
        assert budget.take("end") == 0
        now[0] = 1.0
        assert budget.take("start") == 3
