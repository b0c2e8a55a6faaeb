"""Watches the store for the configuration and removed availability zones."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from magnoliaglade import base, observability, supervision
from magnoliaglade import clock as clock_lib
from magnoliaglade.routing._configuration import Configuration
from magnoliaglade.store import Entry, PrefixWatcher, Store
from magnoliaglade.types import ZoneId

# Maximum duration of one watch. An unresponsive connection is detected after
# this plus one call timeout; together they stay below the 2 s within which a
# configuration has to be in force.
WATCH_WAIT_S = 0.8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OperatorState:
    """State that operators have requested.

    Attributes:
        configuration: the configuration, or None if there is none.
        removed_zones: zones in which no work may start.
    """

    configuration: Configuration | None
    removed_zones: frozenset[ZoneId]


Decoder = Callable[[Mapping[str, Entry]], OperatorState]


class ConfigurationWatcher(base.Component):
    """Watches the operators' keys.

    A configuration with a lower version than the current one is ignored, as is
    a missing or malformed one, so the version never decreases in a process.

    Attributes:
        prefix: prefix of the operators' keys.
        decode: decodes all entries under the prefix.
        watch_wait_s: maximum duration of one watch in seconds.
    """

    _parameter_constraints = {
        "watch_wait_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        store: Store,
        clock: clock_lib.Clock,
        prefix: str,
        decode: Decoder,
        watch_wait_s: float = WATCH_WAIT_S,
    ) -> None:
        self.store = store
        self.clock = clock
        self.prefix = prefix
        self.decode = decode
        self.watch_wait_s = watch_wait_s
        self._listeners: list[Callable[[], None]] = []
        self._state = OperatorState(
            configuration=None, removed_zones=frozenset()
        )
        self._watcher = PrefixWatcher(
            store=store,
            clock=clock,
            prefix=prefix,
            wait_s=watch_wait_s,
            on_change=self._update,
        )
        self._task: asyncio.Task[None] | None = None

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration received, or None before the first."""
        return self._state.configuration

    @property
    def removed_zones(self) -> frozenset[ZoneId]:
        """Zones in which no work may start."""
        return self._state.removed_zones

    @property
    def age_s(self) -> float:
        """Age of the state in seconds.

        It counts from the sending of the last call that confirmed the state.
        """
        return self.clock.now() - self._watcher.confirmed_at_s

    def on_change(self, listener: Callable[[], None]) -> None:
        """Registers a callback that is called after every change."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Checks the parameters and starts to watch in the background."""
        self.validate_params()
        self._task = asyncio.create_task(
            supervision.keep_running(
                self._watcher.run, part="configuration", clock=self.clock
            )
        )

    async def stop(self) -> None:
        """Stops watching."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Returns version, number of queues, removed zones and age."""
        current = self._state.configuration
        return {
            "version": current.version if current else None,
            "queues": len(current.queues) if current else 0,
            "removed_zones": sorted(self._state.removed_zones),
            "age_s": round(self.age_s, 3),
        }

    def _update(self, _: frozenset[str]) -> None:
        state = self.decode(self._watcher.entries)
        previous = self._state
        configuration = state.configuration
        if configuration is None or (
            previous.configuration is not None
            and configuration.version < previous.configuration.version
        ):
            configuration = previous.configuration
        self._state = dataclasses.replace(state, configuration=configuration)
        if configuration is not previous.configuration and configuration:
            observability.log_state_change(
                "configuration",
                state="in force",
                version=configuration.version,
                queues=len(configuration.queues),
            )
        if state.removed_zones != previous.removed_zones:
            observability.log_state_change(
                "zones",
                state="removed zones changed",
                removed=sorted(state.removed_zones),
            )
        for listener in self._listeners:
            listener()
