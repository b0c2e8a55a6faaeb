"""Polls the instance list and keeps the last answer."""

import asyncio
import math
from collections.abc import Callable
from typing import Any

from magnoliaglade import base
from magnoliaglade import clock as clock_lib
from magnoliaglade.instances import instance_list
from magnoliaglade.types import InstanceId

POLL_S = 1.0

Listener = Callable[[list[instance_list.ListedInstance]], None]


class InstanceInventory(base.Component):
    """The listed instances as of the last answer.

    The list lags and may be unreachable: the last answer stays, and listeners
    are called after every answer.
    """

    _parameter_constraints = {
        "poll_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        source: instance_list.InstanceList,
        clock: clock_lib.Clock,
        poll_s: float = POLL_S,
    ) -> None:
        self.source = source
        self.clock = clock
        self.poll_s = poll_s
        self._instances: list[instance_list.ListedInstance] = []
        self._by_id: dict[InstanceId, instance_list.ListedInstance] = {}
        self._read_s = float("-inf")
        self._listeners: list[Listener] = []
        self._task: asyncio.Task[None] | None = None

    @property
    def listed(self) -> list[instance_list.ListedInstance]:
        """The instances as of the last answer."""
        return list(self._instances)

    @property
    def age_s(self) -> float:
        """Seconds since the last answer."""
        return self.clock.now() - self._read_s

    async def instances(self) -> list[instance_list.ListedInstance]:
        """Returns the last answer; see `InstanceList.instances`.

        Raises:
            InstanceListError: there has been no answer yet.
        """
        if not math.isfinite(self._read_s):
            raise instance_list.InstanceListError("has not been read yet")
        return self.listed

    def add_listener(self, listener: Listener) -> None:
        """Registers a callback for every answer."""
        self._listeners.append(listener)

    def with_role(
        self, role: instance_list.InstanceRole
    ) -> list[instance_list.ListedInstance]:
        """Returns the instances of a role."""
        return [i for i in self._instances if i.role is role]

    def find(self, instance: InstanceId) -> instance_list.ListedInstance | None:
        """Returns a listed instance, or None."""
        return self._by_id.get(instance)

    async def start(self) -> None:
        """Reads the list once, then polls it in the background."""
        self.validate_params()
        await self._read()
        self._task = asyncio.create_task(self._poll())

    async def stop(self) -> None:
        """Stops polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Returns the number of instances by role and the age in seconds."""
        roles = [i.role.value for i in self._instances]
        return {
            "age_s": round(self.age_s, 3),
            "instances": {r: roles.count(r) for r in sorted(set(roles))},
        }

    async def _poll(self) -> None:
        while True:
            await self.clock.sleep(self.poll_s)
            await self._read()

    async def _read(self) -> None:
        try:
            found = await self.source.instances()
        except instance_list.InstanceListError:
            return
        self._instances = found
        self._by_id = {i.instance: i for i in found}
        self._read_s = self.clock.now()
        for listener in self._listeners:
            listener(list(found))
