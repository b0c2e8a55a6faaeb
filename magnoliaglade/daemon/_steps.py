"""Steps of a planned stop, for the fault matrix."""

import enum


class ShutdownStep(enum.Enum):
    """Steps of the stop of an entry instance or an upstream.

    The value is the call point: the called part and what it does.
    """

    LEAVE = "upstream:leaving"
    DRAIN = "gateway:stop"
    ANSWER = "upstream:answer"
    REPORT = "peer:ClaimOutcome"
    RELEASE = "store:delete"
    REVOKE = "store:revoke_lease"
