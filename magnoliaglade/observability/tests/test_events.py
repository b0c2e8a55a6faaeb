import json
import os

from magnoliaglade import observability


class TestNonBlockingStream:
    def test_a_stalled_reader_does_not_block_writes(self):
        # Guards against an event loop that blocks on the reader of the log.
        reader, writer = os.pipe()
        stream = observability.NonBlockingStream(fd=writer, max_bytes=10_000)
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


class TestLineRateLimiter:
    def test_lines_of_a_kind_are_limited_and_drops_are_reported(self):
        now = [0.0]
        limiter = observability.LineRateLimiter(
            max_lines_per_s=2, now=lambda: now[0]
        )
        results = [limiter.acquire("start") for _ in range(5)]
        assert results == [0, 0, None, None, None]
        assert limiter.acquire("end") == 0
        now[0] = 1.0
        assert limiter.acquire("start") == 3
