"""The part of an instance that callers talk to."""

from magnoliaglade.gateway._gateway import (
    RETRY_AFTER_S,
    CountAnswer,
    Gateway,
    StateAnswer,
    Verdict,
)

__all__ = [
    "RETRY_AFTER_S",
    "CountAnswer",
    "Gateway",
    "StateAnswer",
    "Verdict",
]
