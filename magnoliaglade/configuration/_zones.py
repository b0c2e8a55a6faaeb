"""Zone removal by intent, and the zones in which work may start."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable
from typing import Any

import eliot

from magnoliaglade import base, membership, peers
from magnoliaglade import clock as clock_lib
from magnoliaglade.configuration import (
    _agent,
    _edits,
    _errors,
    _intents,
    _messages,
    _schema,
    _store,
    _stored,
)
from magnoliaglade.types import InstanceId, Revision, ZoneId

CONFIRMATION_MAX_AGE_S = 3.0
_MS_PER_S = 1000
# Each conflict means that another change was accepted meanwhile.
_MAX_WRITE_ATTEMPTS = 20


class ZoneGate:
    """Determines the zones in which work may start (design section 6.5)."""

    def __init__(
        self,
        *,
        agent: _agent.ConfigurationAgent,
        confirmations: membership.ConfirmationTracker,
        intents: _intents.ZoneIntentTable,
        max_age_s: float = CONFIRMATION_MAX_AGE_S,
    ) -> None:
        self.agent = agent
        self.confirmations = confirmations
        self.intents = intents
        self.max_age_s = max_age_s

    def startable_zones(self) -> frozenset[ZoneId]:
        """Returns the zones in service that are confirmed and not removed."""
        configuration = self.agent.configuration
        if configuration is None:
            return frozenset()
        if not self.confirmations.is_fresh(
            _agent.CONFIRMATION_SUBJECT,
            configuration.revision,
            max_age_s=self.max_age_s,
        ):
            return frozenset()
        return configuration.zones_in_service - self.intents.removed_zones


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneReport:
    """Progress of a zone's removal or return.

    Attributes:
        zone: the zone.
        removed: True for a removal, False for a return.
        confirmed: instances that hold the intent.
        unconfirmed: members of the view that have not confirmed.
        is_in_effect: whether a majority of the view and the owner of the zone
            hold it.
        is_stored: whether an accepted configuration includes it.
    """

    zone: ZoneId
    removed: bool
    confirmed: frozenset[InstanceId]
    unconfirmed: frozenset[InstanceId]
    is_in_effect: bool
    is_stored: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PendingIntentWrite:
    intent: _messages.ZoneIntent
    write: _stored.PendingWrite


class _WithdrawnError(_errors.ConfigurationError):
    """A later intent on the zone has replaced the one to be stored."""


class ZoneControl(base.Component):
    """Broadcasts zone intents and stores them once the store responds."""

    _parameter_constraints = {
        name: [base.Interval(kind=float, low=0, low_open=True)]
        for name in ("request_timeout_s", "store_timeout_s", "retry_s")
    }

    def __init__(
        self,
        *,
        agent: _agent.ConfigurationAgent,
        configurations: _store.ConfigurationStore,
        network: peers.PeerNetwork,
        clock: clock_lib.Clock,
        view: Callable[[], membership.View],
        intents: _intents.ZoneIntentTable,
        owner_of: Callable[[ZoneId], InstanceId | None] = lambda zone: None,
        request_timeout_s: float = 0.5,
        store_timeout_s: float = 2.0,
        retry_s: float = 1.0,
    ) -> None:
        self.agent = agent
        self.configurations = configurations
        self.network = network
        self.clock = clock
        self.view = view
        self.intents = intents
        self.owner_of = owner_of
        self.request_timeout_s = request_timeout_s
        self.store_timeout_s = store_timeout_s
        self.retry_s = retry_s
        self._store_task: asyncio.Task[None] | None = None
        self._writes: dict[str, asyncio.Task[None]] = {}
        self._pending: dict[str, _PendingIntentWrite] = {}

    async def start(self) -> None:
        """Starts receiving intents and storing open ones."""
        self.validate_params()
        self.network.handle(_messages.ZoneIntent, self._on_intent)
        self._store_task = asyncio.create_task(self._store_loop())

    async def stop(self) -> None:
        """Cancels the background tasks; open intents remain at the peers."""
        tasks = [
            *self._writes.values(),
            *([self._store_task] if self._store_task else []),
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._writes.clear()
        self._store_task = None

    def dump(self) -> dict[str, Any]:
        """Returns the open intents and the zones with unresolved writes."""
        return {
            "open": [list(i.to_plain()) for i in self.intents.open],
            "unresolved": sorted(self._pending),
        }

    async def remove(self, zone: ZoneId) -> ZoneReport:
        """Removes a zone from service.

        Raises:
            InvalidConfigurationError: the zone is unknown here.
            ConfigurationUnavailableError: no configuration is in force here.
        """
        return await self._command(zone, removed=True)

    async def return_zone(self, zone: ZoneId) -> ZoneReport:
        """Returns a zone to service and withdraws a removal.

        Raises:
            InvalidConfigurationError: the zone is unknown here.
            ConfigurationUnavailableError: no configuration is in force here.
        """
        return await self._command(zone, removed=False)

    async def report(self, zone: ZoneId) -> ZoneReport | None:
        """Sends the latest intent on a zone again and reports its progress."""
        intent = self.intents.get(zone)
        if intent is None:
            return None
        return self._report(intent, await self._broadcast_intent(intent))

    async def _command(self, zone: ZoneId, *, removed: bool) -> ZoneReport:
        configuration = self.agent.configuration
        if configuration is None:
            raise _errors.ConfigurationUnavailableError(
                f"{self.network.instance} has no configuration in force yet"
            )
        _edits.with_zone_state(configuration, zone, _zone_state(removed))
        intent = self._new_intent(zone, removed, configuration.revision)
        self.intents.merge(intent)
        confirmed = await self._broadcast_intent(intent)
        write = asyncio.shield(self._ensure_write(intent))
        # The write continues after the timeout; `is_stored` shows its state.
        with contextlib.suppress(TimeoutError):
            await self.clock.wait_for(write, self.store_timeout_s)
        return self._report(intent, confirmed)

    def _new_intent(
        self, zone: ZoneId, removed: bool, revision: int
    ) -> _messages.ZoneIntent:
        known = self.intents.get(zone)
        # Wall-clock time keeps sequences increasing across writer restarts.
        min_sequence = int(self.clock.time() * _MS_PER_S)
        return _messages.ZoneIntent(
            zone=zone,
            removed=removed,
            writer=self.network.instance,
            sequence=max(known.sequence + 1 if known else 1, min_sequence),
            base_revision=revision,
        )

    async def _broadcast_intent(
        self, intent: _messages.ZoneIntent
    ) -> frozenset[InstanceId]:
        """Sends an intent to all instances and returns those that hold it."""
        own = self.network.instance
        others = set(self.view().instances) | self.network.live_peers
        order = sorted(others - {own})
        acks = await asyncio.gather(*(self._send(p, intent) for p in order))
        confirmed = {p for p, h in zip(order, acks, strict=True) if h}
        if self.intents.is_latest(intent):
            confirmed.add(own)
        return frozenset(confirmed)

    async def _send(
        self, peer: InstanceId, intent: _messages.ZoneIntent
    ) -> bool:
        try:
            ack = await self.network.request(
                peer, intent, timeout_s=self.request_timeout_s
            )
        except peers.PeerError:
            return False
        return bool(ack.applied)

    def _report(
        self, intent: _messages.ZoneIntent, confirmed: frozenset[InstanceId]
    ) -> ZoneReport:
        view = self.view()
        zone = ZoneId(intent.zone)
        owner = self.owner_of(zone)
        members = frozenset(view.instances)
        has_majority = len(confirmed & members) >= view.majority
        return ZoneReport(
            zone=zone,
            removed=intent.removed,
            confirmed=confirmed,
            unconfirmed=members - confirmed,
            is_in_effect=has_majority and (owner is None or owner in confirmed),
            is_stored=self.intents.is_settled(intent),
        )

    async def _on_intent(
        self, sender: InstanceId, intent: _messages.ZoneIntent
    ) -> _messages.ZoneIntentAck:
        self.intents.merge(intent)
        configuration = self.agent.configuration
        if configuration is not None:
            self.intents.settle_included_in(configuration)
        return _messages.ZoneIntentAck(
            holder=self.network.instance,
            applied=self.intents.is_latest(intent),
        )

    async def _store_loop(self) -> None:
        while True:
            for intent in self.intents.open:
                writing_instance = self._writing_instance(intent)
                if writing_instance != self.network.instance:
                    # It may lack the intent: the message to it was lost, or
                    # it was restarted.
                    await self._send(writing_instance, intent)
                    continue
                # Repeated, because an instance may have been partitioned.
                await self._broadcast_intent(intent)
                self._ensure_write(intent)
            await self.clock.sleep(self.retry_s)

    def _writing_instance(self, intent: _messages.ZoneIntent) -> InstanceId:
        members = self.network.live_peers | {self.network.instance}
        writer = InstanceId(intent.writer)
        if writer in members:
            return writer
        # The writer is not live; another instance is chosen to replace it.
        return membership.rendezvous_order(intent.zone, members)[0]

    def _ensure_write(self, intent: _messages.ZoneIntent) -> asyncio.Task[None]:
        write = self._writes.get(intent.zone)
        if write is None or write.done():
            write = asyncio.create_task(self._write(intent))
            self._writes[intent.zone] = write
        return write

    async def _write(self, intent: _messages.ZoneIntent) -> None:
        try:
            stored = await self._resolve_or_change(intent)
        except _errors.ConfigurationOutcomeUnknownError as error:
            if error.pending is not None:
                self._pending[intent.zone] = _PendingIntentWrite(
                    intent=intent, write=error.pending
                )
        except _WithdrawnError:
            return
        except _errors.ConfigurationError as error:
            eliot.log_message(
                message_type="configuration:intent-not-stored",
                zone=intent.zone,
                fault=str(error),
            )
        else:
            self._pending.pop(intent.zone, None)
            self.intents.settle(intent, stored.configuration.revision)
            await self.agent.apply_accepted(stored)

    async def _resolve_or_change(
        self, intent: _messages.ZoneIntent
    ) -> _stored.StoredConfiguration:
        pending = self._pending.get(intent.zone)
        if pending is not None and pending.intent.order == intent.order:
            with contextlib.suppress(_errors.ConflictingChangeError):
                return await self.configurations.resolve(pending.write)

        # A withdrawal, and any change after an unresolved write, is always
        # written, so that a delayed write cannot be accepted afterwards.
        force = pending is not None or not intent.removed
        for _ in range(_MAX_WRITE_ATTEMPTS):
            # Read before the command is recorded: a withdrawal recorded later
            # writes a revision after this one, and the write below fails.
            current = await self.configurations.current()
            if current is None:
                raise _edits.missing_configuration_error()
            await self._record(intent)
            included = await self._included_since(intent)
            if included is not None:
                return included
            with contextlib.suppress(_errors.ConflictingChangeError):
                return await self._accept(current, intent, force=force)
        raise _errors.ConfigurationUnavailableError("too many changes")

    async def _accept(
        self,
        current: _stored.StoredConfiguration,
        intent: _messages.ZoneIntent,
        *,
        force: bool,
    ) -> _stored.StoredConfiguration:
        zone, state = ZoneId(intent.zone), _zone_state(intent.removed)
        base = current.configuration
        edited = _edits.with_zone_state(base, zone, state)
        if edited == base and not force:
            return current
        revision = Revision(base.revision + 1)
        return await self.configurations.accept(
            dataclasses.replace(edited, revision=revision)
        )

    async def _record(self, intent: _messages.ZoneIntent) -> None:
        """Records the command, which orders it among all instances' commands.

        The order includes commands of instances that are partitioned.

        Raises:
            _WithdrawnError: a later command is known or recorded.
        """
        zone = ZoneId(intent.zone)
        for _ in range(_MAX_WRITE_ATTEMPTS):
            plain, store_revision = await self.configurations.get_command(zone)
            known = self.intents.merge_plain([plain] if plain else [])
            if not self.intents.is_latest(intent):
                raise _WithdrawnError(zone)
            if any(k.order == intent.order for k in known):
                return
            if await self.configurations.record_command(
                zone, intent.to_plain(), expected=store_revision
            ):
                return
        raise _errors.ConfigurationUnavailableError("too many commands")

    async def _included_since(
        self, intent: _messages.ZoneIntent
    ) -> _stored.StoredConfiguration | None:
        """Returns a revision after the intent that includes it, or None.

        A writer that was partitioned must not repeat a command that another
        holder has stored and that has been reversed since.
        """
        current = await self.configurations.current()
        last = current.configuration.revision if current else 0
        for revision in range(intent.base_revision + 1, last + 1):
            stored = await self.configurations.get_revision(revision)
            if stored is None:
                continue
            in_service = stored.configuration.zones_in_service
            if (intent.zone not in in_service) == intent.removed:
                return stored
        return None


def _zone_state(removed: bool) -> _schema.ZoneState:
    if removed:
        return _schema.ZoneState.REMOVED
    return _schema.ZoneState.IN_SERVICE
