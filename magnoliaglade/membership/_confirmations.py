"""Ages of confirmed versions."""

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
class _Confirmed:
    version: int
    at_s: float
    source: ConfirmationSource


class ConfirmationTracker:
    """Remembers when the version of a subject was last known to be current.

    Only the highest confirmed version of a subject counts: confirming it shows
    that lower ones are no longer current.
    """

    def __init__(self, *, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self._confirmed: dict[str, _Confirmed] = {}

    def confirm(
        self,
        subject: str,
        version: int,
        *,
        age_s: float,
        source: ConfirmationSource,
    ) -> None:
        """Notes that `version` was current `age_s` seconds ago.

        Args:
            subject: what the version is of.
            version: the version that was current.
            age_s: time since then, an upper bound; not a number and negative
                values are ignored, since they bound nothing.
            source: how it was confirmed.
        """
        if not age_s >= 0:
            return
        at_s = self.clock.now() - age_s
        known = self._confirmed.get(subject)
        if known and (known.version, known.at_s) >= (version, at_s):
            return
        self._confirmed[subject] = _Confirmed(
            version=version, at_s=at_s, source=source
        )

    def age_s(self, subject: str, version: int) -> float:
        """Returns the seconds since the confirmation; infinity if none."""
        known = self._confirmed.get(subject)
        if known is None or known.version != version:
            return math.inf
        return self.clock.now() - known.at_s

    def source(self, subject: str) -> ConfirmationSource | None:
        """Returns how the subject was last confirmed, or None."""
        known = self._confirmed.get(subject)
        return known.source if known else None

    def is_fresh(self, subject: str, version: int, *, max_age_s: float) -> bool:
        """Tells whether the version was confirmed within `max_age_s`."""
        return self.age_s(subject, version) <= max_age_s
