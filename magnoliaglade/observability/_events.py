"""Rate-limited event log lines and a writer that never blocks the loop."""

import collections
import json
import os
import time
from collections.abc import Callable
from typing import Any

import eliot

# Lines of one kind that are written per second.
MAX_LINES_PER_S = 40
# Bytes that are buffered while the reader of the output lags behind.
MAX_BUFFER_BYTES = 262_144

_COMPONENT = "magnoliaglade"


class LineRateLimiter:
    """Limits the rate of log lines of each kind and counts dropped lines.

    Attributes:
        max_lines_per_s: lines of one kind that are written per second.
        now: returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        max_lines_per_s: int = MAX_LINES_PER_S,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.max_lines_per_s = max_lines_per_s
        self.now = now
        self.dropped: collections.Counter[str] = collections.Counter()
        self._window: tuple[int, collections.Counter[str]] = (
            0,
            collections.Counter(),
        )

    def acquire(self, kind: str) -> int | None:
        """Returns how many lines of this kind were dropped before this one.

        Returns None if this line must be dropped.
        """
        second = int(self.now())
        if second != self._window[0]:
            self._window = (second, collections.Counter())
        written_counts = self._window[1]
        if written_counts[kind] >= self.max_lines_per_s:
            self.dropped[kind] += 1
            return None
        written_counts[kind] += 1
        return self.dropped.pop(kind, 0)


class NonBlockingStream:
    """Writes to a file descriptor without waiting for its reader.

    Attributes:
        fd: the file descriptor; it is set to non-blocking mode.
        max_bytes: bytes that are buffered while the reader lags behind.
    """

    def __init__(self, *, fd: int, max_bytes: int = MAX_BUFFER_BYTES) -> None:
        self.fd = fd
        self.max_bytes = max_bytes
        self.dropped_lines = 0
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        os.set_blocking(fd, False)

    def write(self, data: str | bytes) -> int:
        """Writes one line, or drops it if the buffer is full."""
        line = data.encode() if isinstance(data, str) else data
        if self._buffered_bytes + len(line) > self.max_bytes:
            self.dropped_lines += 1
            return len(data)
        if self.dropped_lines and not self._lines:
            self._append(self._drop_report())
        if line:
            self._append(line)
        self.flush()
        return len(data)

    def flush(self) -> None:
        """Writes as much of the buffer as the descriptor accepts."""
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self.fd, line)
            except BlockingIOError:
                return
            except OSError:
                # Nothing reads the output any more; the lost lines are counted.
                self.dropped_lines += len(self._lines)
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()

    def _append(self, line: bytes) -> None:
        self._lines.append(line)
        self._buffered_bytes += len(line)

    def _drop_report(self) -> bytes:
        fields = {
            "message_type": f"{_COMPONENT}:log",
            "state": "lines dropped",
            "count": self.dropped_lines,
        }
        self.dropped_lines = 0
        return json.dumps(fields).encode() + b"\n"


_rate_limiter = LineRateLimiter()
_context: dict[str, Any] = {}


def set_log_context(**fields: Any) -> None:
    """Adds fields, such as the instance, to every event line."""
    _context.update(fields)


def log_event(kind: str, **fields: Any) -> None:
    """Writes one line about a decision or a change of the known state.

    Args:
        kind: subject of the line; the rate limit applies to each kind.
        **fields: ids, the inputs of the decision with their age, the outcome.
    """
    dropped = _rate_limiter.acquire(kind)
    if dropped is None:
        return
    if dropped:
        fields["dropped_before"] = dropped
    eliot.log_message(message_type=f"{_COMPONENT}:{kind}", **_context, **fields)
