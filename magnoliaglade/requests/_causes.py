"""Causes of a refusal, for callers that decide what to do next."""

import enum


class NotRunCause(enum.Enum):
    """Why an attempt did not run."""

    UNAUTHENTICATED = "unauthenticated"
    INVALID = "invalid"
    TOO_LARGE = "too-large"
    KEY_CONFLICT = "key-conflict"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    UNAVAILABLE = "unavailable"
    STOPPING = "stopping"
