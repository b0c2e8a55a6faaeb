"""Decision lines with a budget, and a writer that never blocks the loop."""

import collections
import json
import os
import time
from collections.abc import Callable
from typing import Any

import eliot

# Lines of one kind that are written in one second.
LINES_PER_S = 40
# Bytes kept while the reader of the output is behind.
BUFFER_BYTES = 262_144

_COMPONENT = "magnoliaglade"


class LineBudget:
    """Bounds the lines of each kind and counts what is dropped.

    Attributes:
        lines_per_s: lines of a kind in one second.
        now: returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        lines_per_s: int = LINES_PER_S,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.lines_per_s = lines_per_s
        self.now = now
        self.dropped: collections.Counter[str] = collections.Counter()
        self._window: tuple[int, collections.Counter[str]] = (
            0,
            collections.Counter(),
        )

    def take(self, kind: str) -> int | None:
        """Returns None if a line is dropped, else the lines dropped before."""
        second = int(self.now())
        if second != self._window[0]:
            self._window = (second, collections.Counter())
        used = self._window[1]
        if used[kind] >= self.lines_per_s:
            self.dropped[kind] += 1
            return None
        used[kind] += 1
        return self.dropped.pop(kind, 0)


class BoundedStream:
    """Writes to a file descriptor without ever waiting for its reader.

    Attributes:
        fd: the descriptor; it is set to non-blocking.
        max_bytes: what is kept while the reader is behind.
    """

    def __init__(self, *, fd: int, max_bytes: int = BUFFER_BYTES) -> None:
        self.fd = fd
        self.max_bytes = max_bytes
        self.dropped_lines = 0
        self._lines: collections.deque[bytes] = collections.deque()
        self._size = 0
        os.set_blocking(fd, False)

    def write(self, data: str | bytes) -> int:
        """Takes one line, or drops it if too much waits."""
        line = data.encode() if isinstance(data, str) else data
        if self._size + len(line) > self.max_bytes:
            self.dropped_lines += 1
            return len(data)
        if self.dropped_lines and not self._lines:
            self._append(self._summary())
        if line:
            self._append(line)
        self.flush()
        return len(data)

    def flush(self) -> None:
        """Writes as much as the descriptor takes."""
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self.fd, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the counter tells how much is lost.
                self.dropped_lines += len(self._lines)
                self._lines.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()

    def _append(self, line: bytes) -> None:
        self._lines.append(line)
        self._size += len(line)

    def _summary(self) -> bytes:
        fields = {
            "message_type": f"{_COMPONENT}:log",
            "state": "lines dropped",
            "count": self.dropped_lines,
        }
        self.dropped_lines = 0
        return json.dumps(fields).encode() + b"\n"


_budget = LineBudget()
_context: dict[str, Any] = {}


def set_log_context(**fields: Any) -> None:
    """Adds fields, such as the instance, to every event line."""
    _context.update(fields)


def log_event(kind: str, **fields: Any) -> None:
    """Writes one line on a decision or on a change of what is believed.

    Args:
        kind: what the line is about; lines are budgeted by kind.
        **fields: ids, the inputs that decided with their age, the outcome.
    """
    dropped = _budget.take(kind)
    if dropped is None:
        return
    if dropped:
        fields["dropped_before"] = dropped
    eliot.log_message(message_type=f"{_COMPONENT}:{kind}", **_context, **fields)
