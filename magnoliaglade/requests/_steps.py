"""Steps of a request, for the fault matrix."""

import enum


class RequestStep(enum.Enum):
    """Steps of a non-idempotent request in their order.

    The value is the call point: the called part and, for messages and
    writes, what is sent.
    """

    ACCEPT = "gateway:handle"
    ADMIT = "admission:admit"
    CLAIM = "peer:ClaimRequest"
    PERSIST_CLAIM = "store:claim"
    DISPATCH = "upstream:dispatch"
    ANSWER = "upstream:answer"
    OUTCOME = "peer:ClaimOutcome"
    PERSIST_OUTCOME = "store:outcome"
