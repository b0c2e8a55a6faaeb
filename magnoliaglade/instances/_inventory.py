"""Polls the instance list and keeps the last list that was read."""

import asyncio
import math
from collections.abc import Callable
from typing import Any

from magnoliaglade import base
from magnoliaglade import clock as clock_lib
from magnoliaglade.instances import instance_list
from magnoliaglade.types import InstanceId

POLL_INTERVAL_S = 1.0

Listener = Callable[[list[instance_list.ListedInstance]], None]


class InstanceInventory(base.Component):
    """The listed instances as of the last successful read.

    The list lags and may be unreachable. After a failed read, the last list
    that was read is kept. Listeners are called after every successful read.
    """

    _parameter_constraints = {
        "poll_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        source: instance_list.InstanceList,
        clock: clock_lib.Clock,
        poll_s: float = POLL_INTERVAL_S,
    ) -> None:
        self.source = source
        self.clock = clock
        self.poll_s = poll_s
        self._instances: list[instance_list.ListedInstance] = []
        self._by_id: dict[InstanceId, instance_list.ListedInstance] = {}
        self._last_read_s = float("-inf")
        self._listeners: list[Listener] = []
        self._poll_task: asyncio.Task[None] | None = None

    @property
    def listed(self) -> list[instance_list.ListedInstance]:
        """The instances as of the last successful read."""
        return list(self._instances)

    @property
    def age_s(self) -> float:
        """Seconds since the last successful read; infinite before the first."""
        return self.clock.now() - self._last_read_s

    async def instances(self) -> list[instance_list.ListedInstance]:
        """Returns the last list that was read; see `InstanceList.instances`.

        Raises:
            InstanceListError: the list has not been read yet.
        """
        if not math.isfinite(self._last_read_s):
            raise instance_list.InstanceListError("has not been read yet")
        return self.listed

    def add_listener(self, listener: Listener) -> None:
        """Registers a callback that receives the list after every read."""
        self._listeners.append(listener)

    def with_role(
        self, role: instance_list.InstanceRole
    ) -> list[instance_list.ListedInstance]:
        """Returns the listed instances with a role."""
        return [i for i in self._instances if i.role is role]

    def find(self, instance: InstanceId) -> instance_list.ListedInstance | None:
        """Returns the listed instance with an id, or None."""
        return self._by_id.get(instance)

    async def start(self) -> None:
        """Reads the list once, then polls it in the background."""
        self.validate_params()
        await self._refresh()
        self._poll_task = asyncio.create_task(self._run_poll())

    async def stop(self) -> None:
        """Stops polling."""
        if self._poll_task is not None:
            self._poll_task.cancel()
            await asyncio.gather(self._poll_task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Returns the number of instances by role and the age in seconds."""
        roles = [i.role.value for i in self._instances]
        return {
            "age_s": round(self.age_s, 3),
            "instances": {r: roles.count(r) for r in sorted(set(roles))},
        }

    async def _run_poll(self) -> None:
        while True:
            await self.clock.sleep(self.poll_s)
            await self._refresh()

    async def _refresh(self) -> None:
        try:
            instances = await self.source.instances()
        except instance_list.InstanceListError:
            return
        self._instances = instances
        self._by_id = {i.instance: i for i in instances}
        self._last_read_s = self.clock.now()
        for listener in self._listeners:
            listener(list(instances))
