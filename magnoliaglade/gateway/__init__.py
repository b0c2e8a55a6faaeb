"""Submission, cancellation and lookup of callers' jobs."""

from magnoliaglade.gateway._gateway import (
    CallOutcome,
    CountResult,
    Gateway,
    StateResult,
    SubmissionResult,
)

__all__ = [
    "CallOutcome",
    "CountResult",
    "Gateway",
    "StateResult",
    "SubmissionResult",
]
