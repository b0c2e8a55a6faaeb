"""Table of the zone removals and withdrawals held by one instance."""

import dataclasses
from collections.abc import Iterable
from typing import Any

from magnoliaglade.configuration import _messages, _schema
from magnoliaglade.types import ZoneId


class ZoneIntentTable:
    """The latest intent of each zone, settled ones included."""

    def __init__(self) -> None:
        self._by_zone: dict[str, _messages.ZoneIntent] = {}
        self._revision = 0

    @property
    def open(self) -> tuple[_messages.ZoneIntent, ...]:
        """Intents that are not included in the configuration in force here."""
        return tuple(
            i for i in self._by_zone.values() if not self._is_included(i)
        )

    @property
    def removed_zones(self) -> frozenset[ZoneId]:
        """Zones that an open intent removes."""
        return frozenset(ZoneId(i.zone) for i in self.open if i.removed)

    def get(self, zone: str) -> _messages.ZoneIntent | None:
        """Returns the latest intent on a zone, or None."""
        return self._by_zone.get(zone)

    def is_latest(self, intent: _messages.ZoneIntent) -> bool:
        """Returns whether no other intent on the zone is later."""
        known = self._by_zone.get(intent.zone)
        return known is not None and known.order == intent.order

    def is_settled(self, intent: _messages.ZoneIntent) -> bool:
        """Returns whether an accepted configuration includes this intent."""
        known = self._by_zone.get(intent.zone)
        if known is None or known.order != intent.order:
            return False
        return known.settled_revision > 0

    def merge(self, intent: _messages.ZoneIntent) -> None:
        """Stores an intent unless a later one on the zone is known."""
        known = self._by_zone.get(intent.zone)
        if known is None or intent.order > known.order:
            self._by_zone[intent.zone] = intent
        elif intent.order == known.order and intent.settled_revision:
            self.settle(known, intent.settled_revision)

    def settle(self, intent: _messages.ZoneIntent, revision: int) -> None:
        """Records a revision that includes an intent; keeps the lowest one."""
        known = self._by_zone.get(intent.zone)
        if known is None or known.order != intent.order:
            return
        lowest = min(known.settled_revision or revision, revision)
        self._by_zone[intent.zone] = dataclasses.replace(
            known, settled_revision=lowest
        )

    def settle_included_in(self, configuration: _schema.Configuration) -> None:
        """Settles the intents that the configuration in force includes."""
        self._revision = configuration.revision
        in_service = configuration.zones_in_service
        for intent in self.open:
            is_later = configuration.revision > intent.base_revision
            if is_later and (intent.zone not in in_service) == intent.removed:
                self.settle(intent, configuration.revision)

    def _is_included(self, intent: _messages.ZoneIntent) -> bool:
        return 0 < intent.settled_revision <= self._revision

    def to_plain(self) -> tuple[Any, ...]:
        """Returns all intents as tuples of field values for a message."""
        return tuple(i.to_plain() for i in self._by_zone.values())

    def merge_plain(
        self, plain: Iterable[Any]
    ) -> tuple[_messages.ZoneIntent, ...]:
        """Merges the intents of a message and returns them decoded."""
        names = [f.name for f in dataclasses.fields(_messages.ZoneIntent)]
        intents = tuple(
            _messages.ZoneIntent(**dict(zip(names, values, strict=False)))
            for values in plain
        )
        for intent in intents:
            self.merge(intent)
        return intents
