"""Agent that keeps an instance's configuration current and confirmed."""

import asyncio
import contextlib
import enum
import math
from collections.abc import Callable, Iterable
from typing import Any

import eliot

from magnoliaglade import base, membership, peers
from magnoliaglade import clock as clock_lib
from magnoliaglade.configuration import (
    _errors,
    _intents,
    _majority,
    _messages,
    _reader,
    _schema,
    _store,
    _stored,
)
from magnoliaglade.types import InstanceId

# Subject of confirmations of configuration revisions.
CONFIRMATION_SUBJECT = "configuration"
# With three readers, one remains if one fails while another restarts. A fixed
# count keeps the store calls independent of the number of instances.
READER_COUNT = 3
# Allows two refreshes within the maximum age of a confirmation, 3 s.
REFRESH_INTERVAL_S = 1.0
# A watch can be lost silently, so it is bounded and followed by a read.
WATCH_WAIT_S = 10.0
READ_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 0.5
# With an older relayed confirmation, the instance reads the store itself.
_RELAY_MAX_AGE_S = 2.0

Listener = Callable[[_schema.Configuration], None]
_StoreState = _messages.StoreState


class AgentState(enum.Enum):
    """Whether a configuration is in force and the store's is accepted."""

    EMPTY = "empty"
    IN_FORCE = "in-force"
    STORE_REFUSED = "store-refused"


class ConfigurationAgent(base.Component):
    """Applies increasing revisions and relays them to the other instances.

    The readers read the store every `refresh_s` and watch it; the other
    instances query a reader. An instance whose source fails queries all peers
    and reads the store itself, which also recovers from lost watches and
    network partitions.
    """

    _parameter_constraints = {
        name: [base.Interval(kind=float, low=0, low_open=True)]
        for name in (
            "refresh_s",
            "watch_wait_s",
            "read_timeout_s",
            "request_timeout_s",
        )
    }

    def __init__(
        self,
        *,
        configurations: _store.ConfigurationStore,
        network: peers.PeerNetwork,
        clock: clock_lib.Clock,
        view: Callable[[], membership.View],
        confirmations: membership.ConfirmationTracker,
        intents: _intents.ZoneIntentTable,
        refresh_s: float = REFRESH_INTERVAL_S,
        watch_wait_s: float = WATCH_WAIT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
        request_timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> None:
        self.configurations = configurations
        self.network = network
        self.clock = clock
        self.view = view
        self.confirmations = confirmations
        self.intents = intents
        self.refresh_s = refresh_s
        self.watch_wait_s = watch_wait_s
        self.read_timeout_s = read_timeout_s
        self.request_timeout_s = request_timeout_s
        self._stored: _stored.StoredConfiguration | None = None
        self._reader = _reader.StoreReader(
            configurations=configurations, clock=clock, timeout_s=read_timeout_s
        )
        self._listeners: list[Listener] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._announcement_event = asyncio.Event()
        self._announced_revisions: dict[InstanceId, int] = {}

    @property
    def configuration(self) -> _schema.Configuration | None:
        """The configuration in force, or None before the first one."""
        return self._stored.configuration if self._stored else None

    @property
    def revision(self) -> int:
        """Revision in force; 0 if there is none."""
        return self._stored.configuration.revision if self._stored else 0

    @property
    def state(self) -> AgentState:
        """Whether a configuration is in force and the store's is accepted."""
        if self._reader.fault is not None:
            return AgentState.STORE_REFUSED
        return AgentState.IN_FORCE if self._stored else AgentState.EMPTY

    @property
    def store_state(self) -> _messages.StoreState:
        """Result of this instance's latest read of the store."""
        return self._reader.state

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads the store on behalf of the others."""
        readers = set(self._reader_instances())
        has_no_live_reader = not self.network.live_peers & readers
        return self.network.instance in readers or has_no_live_reader

    async def start(self) -> None:
        """Queries the peers and the store once, then starts the loops."""
        self.validate_params()
        self.network.handle(_messages.ConfigRequest, self._on_request)
        self.network.handle(_messages.ConfigUpdate, self._on_announcement)
        # Peers first, so that a rolled back store is not accepted.
        await self._query_all_peers()
        await self._read()
        self._tasks = [
            asyncio.create_task(loop())
            for loop in (
                self._refresh_loop,
                self._watch_loop,
                self._announcement_loop,
            )
        ]

    async def stop(self) -> None:
        """Cancels the background tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    def dump(self) -> dict[str, Any]:
        """Returns the state, revision, confirmation, fault and open intents."""
        source = self.confirmations.source(CONFIRMATION_SUBJECT)
        return {
            "state": self.state.value,
            "fault": self._reader.fault,
            "revision": self.revision,
            "confirmation_age_s": self._confirmation_age_s(),
            "confirmation_source": source.value if source else None,
            "store": self._reader.state.value,
            "is_reader": self.is_reader,
            "intents": [list(i.to_plain()) for i in self.intents.open],
        }

    def add_listener(self, listener: Listener) -> None:
        """Calls `listener` with each new configuration in force."""
        self._listeners.append(listener)

    async def apply_accepted(self, stored: _stored.StoredConfiguration) -> None:
        """Applies a configuration that was accepted through this instance.

        The store is read first to confirm it; without the read, starts would
        be delayed until the next refresh.
        """
        if not await self._read() and self._apply(stored):
            await self._announce()

    async def sync_from_peers(self) -> frozenset[InstanceId]:
        """Merges intents and applies newer revisions from all peers.

        A new owner of a zone needs the answers of a majority of the view
        before it starts anything: an intent that is in effect is held by a
        majority, but not necessarily by every instance.

        Returns:
            The instances that answered, this one included.
        """
        return frozenset(await self._query_all_peers()) | {
            self.network.instance
        }

    async def refresh(self) -> None:
        """Confirms the revision in force, or applies a newer one."""
        if not self.is_reader and await self._query_reader():
            self._reader.reset_state()
            return
        is_reached = self._reader.state is _StoreState.REACHED
        if self.is_reader and is_reached and not self.intents.open:
            if not await self._read():
                await self._query_all_peers()
            return
        # Open intents are compared with the peers', which may hold a
        # withdrawal. Both run concurrently, because a store that does not
        # answer uses up its whole timeout.
        await asyncio.gather(self._read(), self._query_all_peers())

    async def _refresh_loop(self) -> None:
        while True:
            started_s = self.clock.now()
            await self.refresh()
            used_s = self.clock.now() - started_s
            await self.clock.sleep(max(0.0, self.refresh_s - used_s))

    async def _watch_loop(self) -> None:
        while True:
            is_reached = self.store_state is _StoreState.REACHED
            if not (self.is_reader and is_reached):
                await self.clock.sleep(self.refresh_s)
                continue
            try:
                await self._reader.watch(wait_s=self.watch_wait_s)
            except (_errors.ConfigurationError, TimeoutError):
                await self.clock.sleep(self.refresh_s)
            await self._read(force_document=True)

    async def _announcement_loop(self) -> None:
        while True:
            await self._announcement_event.wait()
            self._announcement_event.clear()
            announced, self._announced_revisions = self._announced_revisions, {}
            for peer in sorted(announced, key=lambda p: (-announced[p], p)):
                if announced[peer] > self.revision:
                    await self._query_peers([peer])

    def _reader_instances(self) -> list[InstanceId]:
        instances = self.view().instances
        return membership.rendezvous_order(CONFIRMATION_SUBJECT, instances)[
            :READER_COUNT
        ]

    async def _query_reader(self) -> bool:
        """Returns whether a reader that reaches the store has confirmed."""
        live = self.network.live_peers & set(self._reader_instances())
        # Spreads the load of the instances over the readers.
        key = str(self.network.instance)
        order = membership.rendezvous_order(key, live)
        replies = await self._query_peers(order[:1])
        states = {r.store_state for r in replies.values()}
        is_reached = states == {_StoreState.REACHED.value}
        return is_reached and self._confirmation_age_s() <= _RELAY_MAX_AGE_S

    async def _read(self, *, force_document: bool = False) -> bool:
        """Reads the store; returns whether it confirmed a revision."""
        result = await self._reader.read(
            self._stored, force_document=force_document
        )
        if result is None or result.stored is None:
            return False
        revision = result.stored.configuration.revision
        is_new = self._apply(result.stored)
        self._confirm(
            revision, result.age_s, membership.ConfirmationSource.STORE
        )
        if is_new:
            await self._announce()
        return True

    async def _announce(self) -> None:
        with contextlib.suppress(peers.PeerError):
            await self.network.broadcast(self._build_update())

    def _apply(self, stored: _stored.StoredConfiguration) -> bool:
        if stored.configuration.revision <= self.revision:
            return False
        self._stored = stored
        self.intents.settle_included_in(stored.configuration)
        for listener in self._listeners:
            try:
                listener(stored.configuration)
            # An exception in one listener must not prevent the other calls.
            except Exception:
                eliot.write_traceback()
        return True

    def _merge_intents(self, plain: Iterable[Any]) -> None:
        self.intents.merge_plain(plain)
        if self._stored is not None:
            self.intents.settle_included_in(self._stored.configuration)

    def _confirm(
        self, revision: int, age_s: float, source: membership.ConfirmationSource
    ) -> None:
        self.confirmations.confirm(
            CONFIRMATION_SUBJECT, revision, age_s=age_s, source=source
        )

    def _confirmation_age_s(self) -> float:
        return self.confirmations.age_s(CONFIRMATION_SUBJECT, self.revision)

    async def _query_all_peers(
        self,
    ) -> dict[InstanceId, _messages.ConfigUpdate]:
        started_s = self.clock.now()
        replies = await self._query_peers(sorted(self.network.live_peers))
        if _majority.is_confirmed_by_majority(
            own=self.network.instance,
            own_state=self.store_state,
            stored=self._stored,
            replies=replies,
            view=self.view(),
        ):
            age_s = self.clock.now() - started_s
            self._confirm(
                self.revision, age_s, membership.ConfirmationSource.MAJORITY
            )
        return replies

    async def _query_peers(
        self, instances: Iterable[InstanceId]
    ) -> dict[InstanceId, _messages.ConfigUpdate]:
        """Queries instances concurrently; fetches the newest document."""
        targets = list(instances)
        wants = len(targets) == 1
        replies = await self._send_requests(targets, wants_document=wants)
        newest = max(replies, key=lambda p: replies[p].revision, default=None)
        if newest is None or replies[newest].revision <= self.revision:
            return replies
        return replies | await self._send_requests(
            [newest], wants_document=True
        )

    async def _send_requests(
        self, instances: list[InstanceId], *, wants_document: bool
    ) -> dict[InstanceId, _messages.ConfigUpdate]:
        request = _messages.ConfigRequest(
            revision=self.revision, wants_document=wants_document
        )
        calls = (self._request(peer, request) for peer in instances)
        replies = await asyncio.gather(*calls)
        pairs = zip(instances, replies, strict=True)
        return {peer: reply for peer, reply in pairs if reply is not None}

    async def _request(
        self, peer: InstanceId, request: _messages.ConfigRequest
    ) -> _messages.ConfigUpdate | None:
        started_s = self.clock.now()
        try:
            reply = await self.network.request(
                peer, request, timeout_s=self.request_timeout_s
            )
            self._merge_intents(reply.intents)
            if reply.document:
                source = f"ConfigUpdate from {peer}"
                document = _messages.unpack_document(
                    reply.document, source=source
                )
                self._apply(
                    _stored.StoredConfiguration.from_bytes(
                        document, source=source
                    )
                )
        except peers.PeerError:
            return None
        except (_errors.InvalidConfigurationError, TypeError) as error:
            eliot.log_message(
                message_type="configuration:invalid-update", fault=str(error)
            )
            return None
        if _majority.is_same_write(self._stored, reply) and reply.age_s >= 0:
            # Measured from before the request, so it includes the transit time.
            age_s = self.clock.now() - started_s + reply.age_s
            self._confirm(
                reply.revision, age_s, membership.ConfirmationSource.PEER
            )
        return reply

    def _build_update(self, *, document: bytes = b"") -> _messages.ConfigUpdate:
        stamp = self._stored.stamp if self._stored else None
        age_s = self._confirmation_age_s()
        source = self.confirmations.source(CONFIRMATION_SUBJECT)
        # A majority's confirmation is valid only for the querying instance.
        is_majority = source is membership.ConfirmationSource.MAJORITY
        is_relayed = math.isfinite(age_s) and not is_majority
        return _messages.ConfigUpdate(
            revision=self.revision,
            document=document,
            writer=stamp.writer if stamp else "",
            sequence=stamp.sequence if stamp else 0,
            age_s=age_s if is_relayed else -1.0,
            store_state=self._reader.state.value,
            intents=self.intents.to_plain(),
        )

    async def _on_request(
        self, sender: InstanceId, request: _messages.ConfigRequest
    ) -> _messages.ConfigUpdate:
        is_newer = self.revision > request.revision
        if self._stored and is_newer and request.wants_document:
            document = _messages.pack_document(self._stored.to_bytes())
            return self._build_update(document=document)
        return self._build_update()

    async def _on_announcement(
        self, sender: InstanceId, update: _messages.ConfigUpdate
    ) -> None:
        self._merge_intents(update.intents)
        if update.revision > self.revision:
            self._announced_revisions[sender] = update.revision
            self._announcement_event.set()
