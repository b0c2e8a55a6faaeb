"""Matches answers to waiting callers by request id."""

import asyncio
import collections
from typing import Any, Generic, TypeVar

from magnoliaglade.requests import _errors, base
from magnoliaglade.types import RequestId

T = TypeVar("T")

# Ended requests that are remembered, to tell late and duplicate answers from
# answers to requests that never existed.
_ENDED_KEPT = 10_000


class AnswerMatcher(Generic[T]):
    """Gives each caller one answer: the first whole one to its own request.

    Attributes:
        counters: dropped answers, by `late` (the caller gave up), `duplicate`,
            `truncated` and `mismatched` (of another or an unknown request).
    """

    def __init__(self) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self._waiting: dict[RequestId, asyncio.Future[T]] = {}
        self._ended: collections.OrderedDict[RequestId, str] = (
            collections.OrderedDict()
        )

    def expect(self, request_id: RequestId) -> "asyncio.Future[T]":
        """Returns the future answer to a new request."""
        future: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self._waiting[request_id] = future
        return future

    def is_waiting(self, request_id: RequestId) -> bool:
        """Whether the request has a caller and no answer yet."""
        return request_id in self._waiting

    def answer(self, request_id: RequestId, value: T) -> bool:
        """Gives the caller its answer; False if the answer was dropped."""
        future = self._waiting.pop(request_id, None)
        if future is None or future.done():
            self.counters[self._ended.get(request_id, "mismatched")] += 1
            return False
        self._end(request_id, "duplicate")
        future.set_result(value)
        return True

    def abandon(self, request_id: RequestId) -> None:
        """Ends the wait of a caller that gives up."""
        if self._waiting.pop(request_id, None) is not None:
            self._end(request_id, "late")

    def check(
        self, request: base.UpstreamRequest, response: base.UpstreamResponse
    ) -> None:
        """Drops a response that is not the whole answer to the request.

        Raises:
            OutcomeUnknownError: the response was dropped.
        """
        if response.request_id not in (None, request.request_id):
            self._drop("mismatched", request)
        declared = response.declared_bytes
        if declared is not None and declared != len(response.body):
            self._drop("truncated", request)

    def dump(self) -> dict[str, Any]:
        """Returns the number of waiting callers and of dropped answers."""
        return {"waiting": len(self._waiting), "dropped": dict(self.counters)}

    def _drop(self, reason: str, request: base.UpstreamRequest) -> None:
        self.counters[reason] += 1
        raise _errors.OutcomeUnknownError(
            f"{request.request_id}: {reason} answer was dropped"
        )

    def _end(self, request_id: RequestId, reason: str) -> None:
        self._ended[request_id] = reason
        if len(self._ended) > _ENDED_KEPT:
            self._ended.popitem(last=False)
