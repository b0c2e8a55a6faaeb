"""Ownership of the claim partitions and the handlers of claim messages."""

import asyncio
import collections
import contextlib
from typing import Any

from magnoliaglade import base, membership, peers
from magnoliaglade import clock as clock_lib
from magnoliaglade import store as store_lib
from magnoliaglade.requests import _claim_messages as messages
from magnoliaglade.requests import _claim_partition as partition_lib
from magnoliaglade.requests import _claim_table as table_lib
from magnoliaglade.requests import base as requests_base
from magnoliaglade.types import InstanceId

# Batches collect records this long: at most 200 claim writes/s in all.
CLAIM_FLUSH_S = 0.04
# One store read per tick and instance; takeover must end within 5 s, of which
# the lease of the failed owner takes 4 s.
CLAIM_TICK_S = 0.5
# A holder counts as failed when it has been absent from the view this long,
# so that a view that lags does not fail an instance that has just joined.
HOLDER_ABSENT_S = 5.0
# Pauses between attempts to open a log that cannot be read. Each attempt
# raises the epoch of the partition by a store write.
OPEN_RETRY_S = 0.5
OPEN_RETRY_MAX_S = 30.0


class ClaimService(base.Component):
    """Acquires claim partitions and decides the claims of those it owns."""

    _parameter_constraints = {
        "flush_s": [base.Interval(kind=float, low=0)],
        "compact_slots": [base.Interval(kind=int, low=1)],
        "max_claims": [base.Interval(kind=int, low=1)],
    }

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        store: store_lib.Store,
        network: peers.PeerNetwork,
        ownership: store_lib.OwnershipManager,
        views: requests_base.ViewSource,
        flush_s: float = CLAIM_FLUSH_S,
        compact_slots: int = partition_lib.COMPACT_SLOTS,
        max_claims: int = partition_lib.MAX_CLAIMS,
    ) -> None:
        self.clock = clock
        self.store = store
        self.network = network
        self.ownership = ownership
        self.views = views
        self.flush_s = flush_s
        self.compact_slots = compact_slots
        self.max_claims = max_claims
        self._partitions: dict[int, partition_lib.ClaimPartition] = {}
        self._owners: dict[int, InstanceId] = {}
        self._unowned_since: dict[int, float] = {}
        # Pause and time of the next attempt, by partition.
        self._backoff: dict[int, tuple[float, float]] = {}
        self._absent_since: dict[tuple[InstanceId, str], float] = {}
        self._task: asyncio.Task[None] | None = None
        self.counters: collections.Counter[str] = collections.Counter()

    async def start(self) -> None:
        """Handles claim messages and acquires partitions from now on."""
        self.validate_params()
        self.network.handle(messages.ClaimRequest, self._handle_claim)
        self.network.handle(messages.ClaimOutcome, self._handle_outcome)
        self._task = asyncio.create_task(self._tick_forever())

    async def stop(self) -> None:
        """Stores what is queued and gives every partition up."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        partitions, self._partitions = self._partitions, {}
        for partition in partitions.values():
            await partition.close()
            await self.ownership.release(partition.owned)

    def dump(self) -> dict[str, Any]:
        """Returns known owners, and the size of each owned partition."""
        return {
            "owners": {str(p): o for p, o in self._owners.items()},
            "claims": {str(p): len(x.table) for p, x in self._active().items()},
            "counters": dict(self.counters),
        }

    def owner_of(self, partition: int) -> InstanceId | None:
        """Returns the owner as last read; no store call is made."""
        if partition in self._active():
            return self.network.instance
        return self._owners.get(partition)

    async def tick(self) -> None:
        """Reads owners, acquires unowned partitions, ends lost claims."""
        with contextlib.suppress(store_lib.StoreError):
            await self._read_owners()
            await self._drop_lost()
            await self._acquire_due()
        self._forget_holders()
        for partition in list(self._active().values()):
            await partition.mark_unknown(self._orphans(partition.table))
            partition.expire()
            await partition.compact_if_due()

    async def _tick_forever(self) -> None:
        while True:
            await self.tick()
            await self.clock.sleep(CLAIM_TICK_S)

    def _active(self) -> dict[int, partition_lib.ClaimPartition]:
        return {p: x for p, x in self._partitions.items() if x.may_act}

    async def _read_owners(self) -> None:
        domains = await self.ownership.owners("claims.")
        self._owners = {
            p: domains[messages.domain_of(p)]
            for p in range(messages.CLAIM_PARTITIONS)
            if messages.domain_of(p) in domains
        }

    async def _drop_lost(self) -> None:
        """Drops partitions that another instance has taken over.

        One that lapsed without a successor stays, because its table still
        tells duplicates from new requests.
        """
        for number, partition in list(self._partitions.items()):
            owner = self._owners.get(number)
            is_taken = owner not in (None, self.network.instance)
            if is_taken and not partition.may_act:
                del self._partitions[number]
                await partition.close()

    async def _acquire_due(self) -> None:
        # A partition with an unreadable log must not keep this instance from
        # the other partitions.
        results = await asyncio.gather(
            *(self._acquire(p) for p in self._due()), return_exceptions=True
        )
        failures = sum(isinstance(r, Exception) for r in results)
        self.counters["acquire_failures"] += failures

    def _due(self) -> list[int]:
        """Partitions without an owner for which it is this one's turn."""
        now = self.clock.now()
        due = []
        for number in range(messages.CLAIM_PARTITIONS):
            owner = self._owners.get(number)
            if number in self._active() or owner not in (
                None,
                self.network.instance,
            ):
                self._unowned_since.pop(number, None)
                continue
            since_s = self._unowned_since.setdefault(number, now)
            _, retry_s = self._backoff.get(number, (0.0, now))
            is_turn = now - since_s >= self._rank(number) * CLAIM_TICK_S
            if is_turn and now >= retry_s:
                due.append(number)
        return due

    def _rank(self, number: int) -> int:
        instances = {self.network.instance, *self.network.live_peers}
        order = membership.rendezvous_order(
            messages.domain_of(number), instances
        )
        return order.index(self.network.instance)

    async def _acquire(self, number: int) -> None:
        domain = messages.domain_of(number)
        try:
            owned = await self.ownership.acquire(domain)
        except store_lib.StoreError:
            return
        if owned is None:
            return
        partition = self._make_partition(owned)
        try:
            await partition.open()
        except Exception:
            # The key stays under this instance's lease, so a later tick
            # acquires the partition again under a higher epoch.
            self._back_off(number)
            raise
        self._backoff.pop(number, None)
        previous = self._partitions.pop(number, None)
        self._partitions[number] = partition
        self._owners[number] = self.network.instance
        if previous is not None:
            await previous.close()

    def _back_off(self, number: int) -> None:
        pause_s, _ = self._backoff.get(number, (OPEN_RETRY_S / 2, 0.0))
        pause_s = min(2 * pause_s, OPEN_RETRY_MAX_S)
        self._backoff[number] = (pause_s, self.clock.now() + pause_s)

    def _make_partition(
        self, owned: store_lib.DomainOwnership
    ) -> partition_lib.ClaimPartition:
        log = store_lib.SingleWriterLog(
            store=self.store,
            clock=self.clock,
            name=owned.domain,
            writer=self.network.instance,
            epoch=owned.epoch,
            flush_interval_s=self.flush_s,
        )
        return partition_lib.ClaimPartition(
            clock=self.clock,
            owned=owned,
            log=log,
            compact_slots=self.compact_slots,
            max_claims=self.max_claims,
        )

    def _orphans(self, table: table_lib.ClaimTable) -> list[table_lib.Claim]:
        """Returns open claims whose holder has failed."""
        claims = table.open_claims()
        return [c for c in claims if self._has_failed(c.holder, c.incarnation)]

    def _forget_holders(self) -> None:
        holders = {
            (claim.holder, claim.incarnation)
            for partition in self._active().values()
            for claim in partition.table.open_claims()
        }
        self._absent_since = {
            holder: since_s
            for holder, since_s in self._absent_since.items()
            if holder in holders
        }

    def _has_failed(self, holder: InstanceId, incarnation: str) -> bool:
        member = self.views.view.member(holder)
        if member is not None and member.incarnation == incarnation:
            self._absent_since.pop((holder, incarnation), None)
            return False
        now = self.clock.now()
        since_s = self._absent_since.setdefault((holder, incarnation), now)
        return now - since_s >= HOLDER_ABSENT_S

    async def _handle_claim(
        self, sender: InstanceId, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        partition = self._partitions.get(request.partition)
        if partition is None:
            return messages.ClaimReply(
                state=messages.ReplyState.UNAVAILABLE.value,
                reason="partition is not owned",
            )
        return await partition.claim(sender, request)

    async def _handle_outcome(
        self, sender: InstanceId, outcome: messages.ClaimOutcome
    ) -> messages.ClaimAck:
        partition = self._partitions.get(outcome.partition)
        if partition is None:
            return messages.ClaimAck(is_stored=False)
        return await partition.finish(outcome)
