"""Structured log lines for changes of state.

Values that change continuously are metrics; a line is written only when a state
changes, such as an owner, a view, a revision or a zone.
"""

import collections
import sys
from typing import Any, TextIO

import eliot

_COMPONENT = "magnoliaglade"
_MAX_RECENT_CHANGES = 200

_recent: collections.deque[dict[str, Any]] = collections.deque(
    maxlen=_MAX_RECENT_CHANGES
)


def start_logging(*, stream: TextIO = sys.stderr) -> None:
    """Starts writing log lines as JSON to a stream."""
    eliot.to_file(stream)


def log_state_change(subject: str, *, state: str, **fields: Any) -> None:
    """Writes one line that says that `subject` is now in `state`."""
    _recent.append({"subject": subject, "state": state, **fields})
    eliot.log_message(
        message_type=f"{_COMPONENT}:{subject}", state=state, **fields
    )


def state_changes() -> list[dict[str, Any]]:
    """Returns the latest state changes, oldest first."""
    return list(_recent)
