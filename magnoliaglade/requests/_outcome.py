"""A caller's request and its typed outcome."""

import dataclasses

from magnoliaglade.requests import _causes, base
from magnoliaglade.types import IdempotencyKey, RequestId


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A request as it arrives from a caller.

    Attributes:
        service: name of the service.
        kind: kind of request within the service.
        authorization: value of the authorization header.
        body: whole request body.
        headers: headers to pass on, with names in lower case.
        key: idempotency key; required for kinds that are not idempotent.
        timeout_s: remaining time of the caller; None takes the kind's.
    """

    service: str
    kind: str
    authorization: str
    body: bytes = b""
    headers: base.Headers = ()
    key: IdempotencyKey | None = None
    timeout_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ran:
    """The request ran once.

    Attributes:
        request_id: id of this attempt.
        response: the answer; None if an earlier attempt's was not kept.
    """

    request_id: RequestId
    response: base.UpstreamResponse | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun:
    """This attempt did not run and will not.

    Attributes:
        request_id: id of this attempt.
        reason: why it was refused.
        cause: the kind of reason.
        covers_key: whether no other attempt of the idempotency key had run
            either. A caller that made an earlier attempt needs this, or must
            repeat the same key; a new key could run the request twice.
    """

    request_id: RequestId
    reason: str
    cause: _causes.NotRunCause
    covers_key: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unknown:
    """This attempt, or an earlier one of its key, may have run.

    Attributes:
        request_id: id of this attempt.
        reason: what was lost.
    """

    request_id: RequestId
    reason: str


Outcome = Ran | NotRun | Unknown
