"""Time since a version was last confirmed as current."""

import dataclasses
import enum
import math

from magnoliaglade import clock as clock_lib


class ConfirmationSource(enum.Enum):
    """How a version was confirmed."""

    STORE = "store"
    PEER = "peer"
    MAJORITY = "majority"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Confirmation:
    version: int
    at_s: float
    source: ConfirmationSource


class ConfirmationTracker:
    """Records when the version of a subject was last confirmed as current.

    Only the highest confirmed version of a subject counts: confirming it shows
    that lower ones are no longer current.
    """

    def __init__(self, *, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self._confirmations: dict[str, _Confirmation] = {}

    def confirm(
        self,
        subject: str,
        version: int,
        *,
        age_s: float,
        source: ConfirmationSource,
    ) -> None:
        """Records that `version` was current `age_s` seconds ago.

        Args:
            subject: name of the versioned object.
            version: the version that was current.
            age_s: upper bound on the time since then, in seconds; NaN and
                negative values are ignored, since they are no bound.
            source: how it was confirmed.
        """
        if not age_s >= 0:
            return
        at_s = self.clock.now() - age_s
        latest = self._confirmations.get(subject)
        if latest and (latest.version, latest.at_s) >= (version, at_s):
            return
        self._confirmations[subject] = _Confirmation(
            version=version, at_s=at_s, source=source
        )

    def age_s(self, subject: str, version: int) -> float:
        """Returns the seconds since `version` was confirmed, or infinity."""
        latest = self._confirmations.get(subject)
        if latest is None or latest.version != version:
            return math.inf
        return self.clock.now() - latest.at_s

    def source(self, subject: str) -> ConfirmationSource | None:
        """Returns how the subject was last confirmed, or None."""
        latest = self._confirmations.get(subject)
        return latest.source if latest else None

    def is_fresh(self, subject: str, version: int, *, max_age_s: float) -> bool:
        """Returns whether the version was confirmed within `max_age_s`."""
        return self.age_s(subject, version) <= max_age_s
