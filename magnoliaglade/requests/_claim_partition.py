"""The owner's side of one claim partition."""

import asyncio
import collections
from collections.abc import Coroutine
from typing import Any

from magnoliaglade import clock as clock_lib
from magnoliaglade import store as store_lib
from magnoliaglade.requests import _claim_messages as messages
from magnoliaglade.requests import _claim_table as table_lib
from magnoliaglade.types import InstanceId

# The reply leaves this long before the requester stops waiting for it.
_REPLY_MARGIN_S = 0.05
# Pause before a claim record of unknown outcome is written again.
_DOUBT_PAUSE_S = 0.2
# A successor reads the slots after the snapshot one by one, at a few
# milliseconds each, and has less than a second for it.
COMPACT_SLOTS = 250
# A large table is written less often: one more slot per this many claims, so
# that snapshots stay a small share of the writes.
_CLAIMS_PER_SLOT = 100
# A claim takes 530 bytes, 763 with an answer of 200 bytes and 4,659 with the
# largest one that is kept; `MAX_ANSWERS_BYTES` limits the answers.
MAX_CLAIMS = 40_000
# At 8 microseconds each, the event loop is held up for 2 ms at a time.
_SNAPSHOT_SLICE = 250
# Claims that one tick forgets; two ticks a second keep up with 2,000 a second.
_EXPIRED_PER_TICK = 1_000


class ClaimPartition:
    """Decides claims of one partition for as long as it is owned.

    Changes run in tasks of the partition, so a handler that is cancelled
    cannot leave the table behind the log.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        owned: store_lib.DomainOwnership,
        log: store_lib.SingleWriterLog,
        compact_slots: int = COMPACT_SLOTS,
        max_claims: int = MAX_CLAIMS,
    ) -> None:
        self.clock = clock
        self.owned = owned
        self.log = log
        self.compact_slots = compact_slots
        self.max_claims = max_claims
        self.counters: collections.Counter[str] = collections.Counter()
        self._table = table_lib.ClaimTable()
        self._changed: dict[bytes, asyncio.Event] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        # The first snapshot of an owner comes early, because the slot of its
        # predecessor's is not known here.
        self._snapshot_slot = 0
        self._appending = 0
        self._idle = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def may_act(self) -> bool:
        """Whether this instance still owns the partition."""
        return self.owned.is_valid and not self.log.is_fenced

    @property
    def table(self) -> table_lib.ClaimTable:
        """The current claims."""
        return self._table

    async def open(self) -> None:
        """Closes the predecessor's log and loads its claims.

        Raises:
            StoreError: the partition could not be opened.
        """
        for record in await self.log.open():
            self._table.apply(record)
        self.owned.check()

    async def close(self) -> None:
        """Writes what is queued and ends all background work."""
        await self.log.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def claim(
        self, holder: InstanceId, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        """Grants a claim, or tells how the key's other attempt stands."""
        end_s = self.clock.now() + request.deadline_s - _REPLY_MARGIN_S
        has_begun = False
        while True:
            reply = self._decide(holder, request)
            if reply is not None:
                return reply
            if self._table.find(request.key_digest) is None:
                if has_begun:
                    return _unavailable(
                        "store is out", is_first=self.may_act, is_out=True
                    )
                if len(self._table) >= self.max_claims:
                    self.counters["refused_full"] += 1
                    return _unavailable(
                        "partition holds too many claims",
                        is_first=self.may_act,
                        is_full=True,
                    )
                has_begun = True
                self._begin(holder, request)
            if not await self._wait_for_change(request.key_digest, end_s):
                return self._pending_reply(request)

    async def finish(self, outcome: messages.ClaimOutcome) -> messages.ClaimAck:
        """Stores an outcome and wakes the callers that wait for it."""
        if not self.may_act:
            return messages.ClaimAck(is_stored=False)
        is_stored = await self._run(self._store_outcome(outcome))
        return messages.ClaimAck(is_stored=is_stored)

    async def mark_unknown(self, claims: list[table_lib.Claim]) -> None:
        """Ends claims whose holder has failed; their keys never run again."""
        await asyncio.gather(
            *(self.finish(_unknown_outcome(claim)) for claim in claims)
        )

    def expire(self) -> None:
        """Drops some of the expired claims; call it regularly."""
        now_s = self.clock.time()
        expired = self._table.expire(now_s, limit=_EXPIRED_PER_TICK)
        self.counters["expired"] += expired

    async def compact_if_due(self) -> None:
        """Replaces a long log by a snapshot."""
        due = max(self.compact_slots, len(self._table) // _CLAIMS_PER_SLOT)
        slots = self.log.next_slot - self._snapshot_slot
        if slots < due or not self.may_act:
            return
        self._writable.clear()
        try:
            await self._wait_for_appends()
            self.owned.check()
            records = await self._encode()
            self.owned.check()
            await self.log.compact(records)
            self._snapshot_slot = self.log.next_slot
            self.counters["compactions"] += 1
        except store_lib.StoreError:
            self.counters["compaction_failures"] += 1
        finally:
            self._writable.set()

    def _decide(
        self, holder: InstanceId, request: messages.ClaimRequest
    ) -> messages.ClaimReply | None:
        """Returns the reply, or None if it has to wait for a change."""
        claim = self._table.find(request.key_digest)
        if claim is not None and claim.body_digest != request.body_digest:
            return _reply(messages.ReplyState.CONFLICT)
        if claim is not None and claim.result is not None:
            return _finished_reply(claim, claim.result)
        is_own = claim is not None and _is_same_attempt(claim, holder, request)
        if not self.may_act:
            # What is in the table stays true after the ownership has ended.
            if claim is not None and not is_own:
                return _reply(messages.ReplyState.DUPLICATE)
            return _unavailable("partition is not owned", is_stored=is_own)
        if self._table.is_released(request.request_id):
            return _unavailable("attempt was released")
        if is_own and claim.state is table_lib.ClaimState.DISPATCHED:
            return _reply(messages.ReplyState.GRANTED)
        return None

    def _pending_reply(
        self, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        claim = self._table.find(request.key_digest)
        if claim is None or claim.request_id == request.request_id:
            return _unavailable(
                "claim is not stored yet",
                is_first=self.may_act,
                is_stored=True,
            )
        return _reply(messages.ReplyState.DUPLICATE)

    def _begin(
        self, holder: InstanceId, request: messages.ClaimRequest
    ) -> None:
        claim = table_lib.Claim(
            key_digest=request.key_digest,
            account=request.account,
            body_digest=request.body_digest,
            request_id=request.request_id,
            holder=holder,
            incarnation=request.incarnation,
            claimed_at_s=self.clock.time(),
        )
        self._table.add(claim)
        self._spawn(self._store_claim(claim))

    async def _store_claim(self, claim: table_lib.Claim) -> None:
        """Stores a claim, and repeats a write of unknown outcome.

        The repeated record has no effect when the first one is in the log.
        """
        while self._table.find(claim.key_digest) is claim:
            if await self._try_store_claim(claim) or not self.may_act:
                break
            await self.clock.sleep(_DOUBT_PAUSE_S)
        self._notify(claim.key_digest)

    async def _try_store_claim(self, claim: table_lib.Claim) -> bool:
        """Writes the record once; tells whether the result is known."""
        try:
            await self._append(table_lib.encode_claim(claim))
            self.owned.check()
        except store_lib.LogUnavailableError:
            if not claim.is_in_doubt:
                self._table.discard(claim)
            return not claim.is_in_doubt
        except store_lib.StoreError:
            claim.is_in_doubt = True
            return False
        if claim.state is table_lib.ClaimState.CLAIMED:
            claim.state = table_lib.ClaimState.DISPATCHED
        return True

    async def _store_outcome(self, outcome: messages.ClaimOutcome) -> bool:
        if self._is_settled(outcome):
            return True
        at_s = self.clock.time()
        try:
            await self._append(table_lib.encode_outcome(outcome, at_s=at_s))
            self.owned.check()
        except store_lib.StoreError:
            return False
        self._table.finish(outcome, at_s=at_s)
        self._notify(outcome.key_digest)
        return True

    def _is_settled(self, outcome: messages.ClaimOutcome) -> bool:
        """Whether storing the outcome would change nothing."""
        claim = self._table.find(outcome.key_digest)
        if claim is not None and claim.request_id == outcome.request_id:
            return claim.result is not None and not table_lib.accepts(
                claim, messages.ClaimResult(outcome.outcome)
            )
        is_release = outcome.outcome == messages.ClaimResult.NOT_RUN.value
        return not is_release or self._table.is_released(outcome.request_id)

    async def _append(self, record: bytes) -> None:
        await self._writable.wait()
        self.owned.check()
        self._appending += 1
        try:
            await self.log.append(record)
        finally:
            self._appending -= 1
            self._idle.set()

    async def _encode(self) -> list[bytes]:
        """Encodes the table and lets other work run in between."""
        records = []
        for record in self._table.snapshot():
            records.append(record)
            if len(records) % _SNAPSHOT_SLICE == 0:
                await asyncio.sleep(0)
        return records

    async def _wait_for_appends(self) -> None:
        while self._appending:
            self._idle.clear()
            await self._idle.wait()

    async def _wait_for_change(self, key: bytes, end_s: float) -> bool:
        remaining_s = end_s - self.clock.now()
        if remaining_s <= 0:
            return False
        event = self._changed.setdefault(key, asyncio.Event())
        try:
            await self.clock.wait_for(event.wait(), remaining_s)
        except TimeoutError:
            return False
        return True

    def _notify(self, key: bytes) -> None:
        event = self._changed.pop(key, None)
        if event is not None:
            event.set()

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return await asyncio.shield(self._spawn(work))


def _is_same_attempt(
    claim: table_lib.Claim,
    holder: InstanceId,
    request: messages.ClaimRequest,
) -> bool:
    return (claim.request_id, claim.holder, claim.incarnation) == (
        request.request_id,
        holder,
        request.incarnation,
    )


def _reply(state: messages.ReplyState) -> messages.ClaimReply:
    return messages.ClaimReply(state=state.value)


def _unavailable(
    reason: str,
    *,
    is_first: bool = False,
    is_stored: bool = False,
    is_full: bool = False,
    is_out: bool = False,
) -> messages.ClaimReply:
    return messages.ClaimReply(
        state=messages.ReplyState.UNAVAILABLE.value,
        reason=reason,
        is_first=is_first,
        is_stored=is_stored,
        is_full=is_full,
        is_out=is_out,
    )


def _finished_reply(
    claim: table_lib.Claim, result: messages.ClaimResult
) -> messages.ClaimReply:
    return messages.ClaimReply(
        state=messages.ReplyState.DUPLICATE.value,
        outcome=result.value,
        answer=claim.answer,
    )


def _unknown_outcome(claim: table_lib.Claim) -> messages.ClaimOutcome:
    return messages.ClaimOutcome(
        partition=messages.partition_of(claim.key_digest),
        key_digest=claim.key_digest,
        request_id=claim.request_id,
        outcome=messages.ClaimResult.UNKNOWN.value,
    )
