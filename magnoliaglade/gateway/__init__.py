"""The part of an instance that callers talk to."""

from magnoliaglade.gateway._gateway import (
    CountAnswer,
    Gateway,
    StateAnswer,
    Verdict,
)

__all__ = [
    "CountAnswer",
    "Gateway",
    "StateAnswer",
    "Verdict",
]
