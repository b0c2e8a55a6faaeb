"""Keeps the newest configuration and the removed availability zones."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from magnoliaglade import base, observability, supervision
from magnoliaglade import clock as clock_lib
from magnoliaglade.routing._configuration import Configuration
from magnoliaglade.store import Entry, PrefixWatcher, Store
from magnoliaglade.types import ZoneId

# Longest wait of a watch, in seconds. A silent connection is noticed after
# this and one call timeout, which together stay below the two seconds in
# which a configuration has to be in force.
WATCH_S = 0.8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OperatorState:
    """What operators have asked for."""

    configuration: Configuration | None
    removed_zones: frozenset[ZoneId]


Decoder = Callable[[Mapping[str, Entry]], OperatorState]


class ConfigurationWatcher(base.Component):
    """Follows the operators' keys; versions only rise within a process.

    Attributes:
        prefix: prefix of the operators' keys.
        decode: reads all entries under the prefix.
    """

    _parameter_constraints = {
        "watch_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        store: Store,
        clock: clock_lib.Clock,
        prefix: str,
        decode: Decoder,
        watch_s: float = WATCH_S,
    ) -> None:
        self.store = store
        self.clock = clock
        self.prefix = prefix
        self.decode = decode
        self.watch_s = watch_s
        self._listeners: list[Callable[[], None]] = []
        self._state = OperatorState(
            configuration=None, removed_zones=frozenset()
        )
        self._watcher = PrefixWatcher(
            store=store,
            clock=clock,
            prefix=prefix,
            wait_s=watch_s,
            on_change=self._update,
        )
        self._task: asyncio.Task[None] | None = None

    @property
    def configuration(self) -> Configuration | None:
        """The newest version seen, or None before the first."""
        return self._state.configuration

    @property
    def removed_zones(self) -> frozenset[ZoneId]:
        """Zones in which nothing may start."""
        return self._state.removed_zones

    @property
    def age_s(self) -> float:
        """Seconds for which the state has not been confirmed."""
        return self.clock.now() - self._watcher.confirmed_at_s

    def on_change(self, listener: Callable[[], None]) -> None:
        """Registers a callback for every change."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Follows in the background."""
        self.validate_params()
        self._task = asyncio.create_task(
            supervision.keep_running(
                self._watcher.run, part="configuration", clock=self.clock
            )
        )

    async def stop(self) -> None:
        """Stops following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Returns version, age and removed zones."""
        current = self._state.configuration
        return {
            "version": current.version if current else None,
            "queues": len(current.queues) if current else 0,
            "removed_zones": sorted(self._state.removed_zones),
            "age_s": round(self.age_s, 3),
        }

    def _update(self, _: frozenset[str]) -> None:
        state = self.decode(self._watcher.entries)
        before = self._state
        configuration = state.configuration
        if configuration is None or (
            before.configuration is not None
            and configuration.version < before.configuration.version
        ):
            configuration = before.configuration
        self._state = dataclasses.replace(state, configuration=configuration)
        if configuration is not before.configuration and configuration:
            observability.log_state_change(
                "configuration",
                state="in force",
                version=configuration.version,
                queues=len(configuration.queues),
            )
        if state.removed_zones != before.removed_zones:
            observability.log_state_change(
                "zones",
                state="removed zones changed",
                removed=sorted(state.removed_zones),
            )
        for listener in self._listeners:
            listener()
