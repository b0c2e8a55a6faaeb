"""Checks of a caller's request before it may wait for anything."""

import dataclasses

from magnoliaglade import configuration as configuration_lib
from magnoliaglade.requests import _auth, _causes, _errors, _outcome
from magnoliaglade.types import AccountId

MAX_HEADERS = 64
MAX_HEADERS_BYTES = 16_384
MAX_KEY_BYTES = 256
# Longest deadline that a caller may ask for.
MAX_TIMEOUT_S = 3600.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Screened:
    """A request that was authenticated and is within the limits.

    Attributes:
        account: the client account.
        kind: configuration of the kind of request.
        timeout_s: time until the caller's deadline.
    """

    account: AccountId
    kind: configuration_lib.RequestKind
    timeout_s: float


def screen(
    configuration: configuration_lib.Configuration,
    request: _outcome.CallerRequest,
) -> Screened:
    """Authenticates a request and checks it against the limits.

    Raises:
        AuthenticationError: the credentials are not valid.
        RefusedError: the request exceeds a limit or is incomplete.
    """
    account = _auth.authenticate(configuration, request.authorization)
    kind = configuration.kind(request.service, request.kind)
    if kind is None:
        raise _errors.RefusedError(
            "unknown service or kind of request",
            cause=_causes.NotRunCause.INVALID,
        )
    if len(request.body) > kind.max_body_bytes:
        raise _errors.RefusedError(
            f"body exceeds {kind.max_body_bytes} bytes",
            cause=_causes.NotRunCause.TOO_LARGE,
        )
    _check_headers(request)
    _check_key(request, kind)
    timeout_s = kind.deadline_s
    if request.timeout_s is not None:
        timeout_s = request.timeout_s
    # The comparison is also false for NaN.
    if not 0 < timeout_s <= MAX_TIMEOUT_S:
        raise _errors.RefusedError(
            f"deadline must be within {MAX_TIMEOUT_S:.0f} s",
            cause=_causes.NotRunCause.INVALID,
        )
    return Screened(account=account, kind=kind, timeout_s=timeout_s)


def _check_headers(request: _outcome.CallerRequest) -> None:
    if len(request.headers) > MAX_HEADERS:
        raise _errors.RefusedError(
            f"more than {MAX_HEADERS} headers",
            cause=_causes.NotRunCause.TOO_LARGE,
        )
    size = sum(len(name) + len(value) for name, value in request.headers)
    if size > MAX_HEADERS_BYTES:
        raise _errors.RefusedError(
            f"headers exceed {MAX_HEADERS_BYTES} bytes",
            cause=_causes.NotRunCause.TOO_LARGE,
        )


def _check_key(
    request: _outcome.CallerRequest, kind: configuration_lib.RequestKind
) -> None:
    if kind.idempotent:
        return
    if not request.key:
        raise _errors.RefusedError(
            "idempotency-key is required", cause=_causes.NotRunCause.INVALID
        )
    if len(request.key.encode(errors="replace")) > MAX_KEY_BYTES:
        raise _errors.RefusedError(
            f"idempotency-key exceeds {MAX_KEY_BYTES} bytes",
            cause=_causes.NotRunCause.INVALID,
        )
