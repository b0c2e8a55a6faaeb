"""Interfaces and data types between the parts of the requests layer."""

import contextlib
import dataclasses
from typing import Protocol

from magnoliaglade import configuration as configuration_lib
from magnoliaglade import membership
from magnoliaglade.types import AccountId, RequestId

__all__ = [
    "Admission",
    "ConfigurationSource",
    "Dispatcher",
    "RetryPolicy",
    "UpstreamRequest",
    "UpstreamResponse",
    "ViewSource",
]

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamRequest:
    """One request as it is sent to an upstream.

    Attributes:
        request_id: unique per attempt of a caller.
        account: the authenticated client account.
        service: name of the service.
        kind: kind of request within the service.
        body: whole request body.
        headers: header names in lower case, and values.
        deadline_s: on this process's monotonic clock.
        idempotent: whether a second run is harmless.
        progress_timeout_s: longest time without a byte of the answer.
    """

    request_id: RequestId
    account: AccountId
    service: str
    kind: str
    body: bytes
    headers: Headers = ()
    deadline_s: float
    idempotent: bool
    progress_timeout_s: float = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamResponse:
    """The answer of an upstream.

    Attributes:
        status: HTTP status.
        headers: header names in lower case, and values.
        body: response body.
        request_id: id that the upstream repeated; None if it gave none.
        declared_bytes: body length that the upstream announced, if any.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    request_id: RequestId | None = None
    declared_bytes: int | None = None


class Admission(Protocol):
    """Limits the requests of each account that are in progress."""

    def admit(
        self, request: UpstreamRequest
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Returns a context that holds a place for one request.

        No place is given after the request's deadline.

        Raises:
            RefusedError: on entering the context.
        """


class Dispatcher(Protocol):
    """Sends a request to an upstream that it selects."""

    async def dispatch(self, request: UpstreamRequest) -> UpstreamResponse:
        """Returns the whole answer.

        Raises:
            NotSentError: the request did not run.
            OutcomeUnknownError: the request may have run.
        """


class RetryPolicy(Protocol):
    """Decides whether and when a failed dispatch is repeated."""

    def record_request(self) -> None:
        """Counts a request towards the retry budget."""

    def next_delay_s(self, attempt: int, *, deadline_s: float) -> float | None:
        """Returns the delay before the next attempt, or None for no retry.

        Args:
            attempt: number of dispatches so far, at least 1.
            deadline_s: on the monotonic clock.
        """


class ConfigurationSource(Protocol):
    """Source of the configuration in effect."""

    @property
    def configuration(self) -> configuration_lib.Configuration:
        """The newest revision that this instance holds."""


class ViewSource(Protocol):
    """Source of the current membership view."""

    @property
    def view(self) -> membership.View:
        """The last view that was read from the store."""
