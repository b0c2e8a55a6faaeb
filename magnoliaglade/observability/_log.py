"""Structured log lines for changes of state.

Figures that change all the time are counters; a line is written only when a
state changes, such as an owner, a view, a revision or a zone.
"""

import collections
import sys
from typing import Any, TextIO

import eliot

_COMPONENT = "magnoliaglade"
_KEPT_CHANGES = 200

_recent: collections.deque[dict[str, Any]] = collections.deque(
    maxlen=_KEPT_CHANGES
)


def start_logging(*, stream: TextIO = sys.stderr) -> None:
    """Writes JSON lines to a stream."""
    eliot.to_file(stream)


def log_state_change(subject: str, *, state: str, **fields: Any) -> None:
    """Writes one line: `subject` is now in `state`."""
    _recent.append({"subject": subject, "state": state, **fields})
    eliot.log_message(
        message_type=f"{_COMPONENT}:{subject}", state=state, **fields
    )


def state_changes() -> list[dict[str, Any]]:
    """Returns the latest changes of state, oldest first."""
    return list(_recent)
