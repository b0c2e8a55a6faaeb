"""Implements the `WorkerClient` interface with the platform's executors."""

from typing import Any

import orjson

from magnoliaglade import fleet, http
from magnoliaglade.jobs import RunOutcome
from magnoliaglade.platform._fields import (
    MAX_INTEGER,
    MalformedError,
    parse_json,
)
from magnoliaglade.types import Epoch, Lifetime, WorkerId

# Timeout of an order in seconds, in addition to any wait that it requests.
CALL_TIMEOUT_S = 0.6
# Largest number of ended runs that an executor lists in one reply; a reply with
# fewer is complete.
_MAX_ENDED_RUNS_PER_REPLY = 500

_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_MISDIRECTED = 421

_DECODE_ERRORS = (KeyError, TypeError, ValueError, IndexError, OverflowError)

_OUTCOMES_BY_REASON = {
    "fence": fleet.OrderOutcome.FENCED,
    "old": fleet.OrderOutcome.SUPERSEDED,
    "late": fleet.OrderOutcome.LEASE_EXPIRED,
    "room": fleet.OrderOutcome.NO_CAPACITY,
    "ticket": fleet.OrderOutcome.INVALID,
}


class PlatformWorker:
    """Client of one lifetime of one executor.

    Attributes:
        worker: id that the executor at the address must have.
        address: `host:port` of the executor.
        call_timeout_s: timeout of an order, without the wait it requests.
    """

    def __init__(
        self,
        *,
        worker: WorkerId,
        address: str,
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self.worker = worker
        self.address = address
        self.call_timeout_s = call_timeout_s
        self._client = http.HttpClient(
            url=f"http://{address}", timeout_s=call_timeout_s
        )

    async def poll(
        self,
        *,
        epoch: Epoch,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_s: float,
        may_send: fleet.MaySend = fleet.may_always_send,
    ) -> fleet.WorkerReport:
        """See `WorkerClient.poll`."""
        body: dict[str, Any] = {"fence": epoch, "lastSeen": acknowledged}
        if lease_until_ms is not None:
            body["untilMs"] = lease_until_ms
        if wait_s > 0:
            body["waitMs"] = int(wait_s * 1000)
        status, reply = await self._post(
            "/api/hold",
            body,
            may_send=may_send,
            timeout_s=self.call_timeout_s + wait_s,
        )
        if status == _CONFLICT:
            raise fleet.WorkerFencedError(f"{self.worker}: fenced: {reply!r}")
        if status != _OK:
            raise fleet.OrderOutcomeUnknownError(
                f"{self.worker}: unexpected status {status}"
            )
        return self._decode_report(reply)

    async def start(
        self,
        order: fleet.StartOrder,
        *,
        may_send: fleet.MaySend = fleet.may_always_send,
    ) -> fleet.OrderReply:
        """See `WorkerClient.start`."""
        body: dict[str, Any] = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "untilMs": order.lease_until_ms,
            "fence": order.epoch,
        }
        if order.checkpoint:
            body["lastCheckpoint"] = order.checkpoint
        return _decode_order_reply(
            *await self._post("/api/run-start", body, may_send=may_send)
        )

    async def stop(
        self,
        *,
        task: str,
        run: int,
        epoch: Epoch,
        may_send: fleet.MaySend = fleet.may_always_send,
    ) -> fleet.OrderReply:
        """See `WorkerClient.stop`."""
        body = {"task": task, "run": run, "fence": epoch}
        return _decode_order_reply(
            *await self._post("/api/run-stop", body, may_send=may_send)
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self._client.stop()

    async def _post(
        self,
        path: str,
        body: dict[str, Any],
        *,
        may_send: fleet.MaySend,
        timeout_s: float | None = None,
    ) -> tuple[int, Any]:
        try:
            reply = await self._client.call(
                "POST",
                path,
                body=orjson.dumps(body),
                headers={"Expect-Instance": self.worker},
                content_type="application/json",
                timeout_s=timeout_s,
                may_send=may_send,
            )
        except http.WithheldError as error:
            raise fleet.OrderWithheldError(str(error)) from error
        except http.NotSentError as error:
            raise fleet.WorkerNotReachedError(str(error)) from error
        except http.NoReplyError as error:
            raise fleet.OrderOutcomeUnknownError(str(error)) from error
        if reply.status == _MISDIRECTED:
            raise fleet.WorkerReplacedError(self.worker)
        return reply.status, _parse_body(reply.body)

    def _decode_report(self, reply: Any) -> fleet.WorkerReport:
        try:
            ended = tuple(
                _decode_run_end(row) for row in reply.get("ended", ())
            )
            return fleet.WorkerReport(
                lifetime=Lifetime(_integer(reply.get("born", 0))),
                clock_ms=_integer(reply["clockMs"]),
                running=tuple(
                    _decode_run_status(r) for r in reply.get("running", ())
                ),
                ended=ended,
                is_complete=len(ended) < _MAX_ENDED_RUNS_PER_REPLY,
            )
        except _DECODE_ERRORS as error:
            raise fleet.OrderOutcomeUnknownError(
                f"{self.worker}: malformed report: {error!r}"
            ) from error


def _parse_body(body: bytes) -> Any:
    if not body:
        return {}
    try:
        reply = parse_json(body)
    except MalformedError as error:
        raise fleet.OrderOutcomeUnknownError(f"reply body: {error}") from error
    return reply if isinstance(reply, dict) else {}


def _integer(value: Any) -> int:
    """Returns a whole number that records and further calls can hold.

    Raises:
        ValueError: it is out of range; other values raise as `int` does.
    """
    number = int(value)
    if not 0 <= number <= MAX_INTEGER:
        raise ValueError(f"expected 0 to {MAX_INTEGER}")
    return number


def _decode_order_reply(status: int, reply: dict[str, Any]) -> fleet.OrderReply:
    clock_ms = reply.get("clockMs")
    if not isinstance(clock_ms, int):
        # Only a clock reading; the outcome is valid without it.
        clock_ms = 0
    if status == _OK:
        outcome = fleet.OrderOutcome.DONE
    elif status == _CONFLICT:
        outcome = _OUTCOMES_BY_REASON.get(
            str(reply.get("reason")), fleet.OrderOutcome.INVALID
        )
    elif status == _BAD_REQUEST:
        outcome = fleet.OrderOutcome.INVALID
    elif status in (429, 503):
        outcome = fleet.OrderOutcome.UNHEALTHY
    else:
        raise fleet.OrderOutcomeUnknownError(f"unexpected status {status}")
    return fleet.OrderReply(outcome=outcome, clock_ms=clock_ms)


def _decode_run_status(row: list[Any]) -> fleet.RunStatus:
    # The last element is the work done by a task that ends, or the start-up
    # done by one that does not; the protocol misnames it as a pace.
    task, run, checkpoint, percent, *_ = row
    return fleet.RunStatus(
        task=str(task),
        run=_integer(run),
        checkpoint=str(checkpoint or ""),
        percent=float(percent),
    )


def _decode_run_end(row: list[Any]) -> fleet.RunEnd:
    number, task, run, outcome, checkpoint, *_ = row
    return fleet.RunEnd(
        number=_integer(number),
        task=str(task),
        run=_integer(run),
        outcome=RunOutcome(outcome),
        checkpoint=str(checkpoint or ""),
    )
