"""Stand-in of the platform's instance list over HTTP.

`GET /v1/instances` answers `{"instances": [...]}` with the fields of
`instances.instance_list.ListedInstance`. A change appears only `lag_s` seconds
after it was made.
"""

import dataclasses
import json
from collections.abc import Mapping
from typing import Any

import blacksheep

from magnoliaglade import clock as clock_lib
from magnoliaglade import http, instances
from magnoliaglade.instances import instance_list
from magnoliaglade.standins import _server
from magnoliaglade.types import InstanceId

__all__ = ["InstanceListServer"]

Listed = instance_list.ListedInstance
_MAX_BODY_BYTES = 65_536


class InstanceListServer(_server.StandinServer):
    """Serves a list that follows its changes with a lag."""

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        lag_s: float = 0.0,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self.clock = clock
        self.lag_s = lag_s
        self._changes: list[tuple[float, InstanceId, Listed | None]] = []
        super().__init__(host=host, port=port)

    def put(self, listed: Listed) -> None:
        """Adds or replaces an instance."""
        self._changes.append((self.clock.now(), listed.instance, listed))

    def remove(self, instance: InstanceId) -> None:
        """Removes an instance."""
        self._changes.append((self.clock.now(), instance, None))

    async def instances(self) -> list[Listed]:
        """Returns the list as of `lag_s` ago; see `InstanceList`."""
        visible_s = self.clock.now() - self.lag_s
        current: dict[InstanceId, Listed] = {}
        for changed_s, instance, listed in self._changes:
            if changed_s > visible_s:
                break
            if listed is None:
                current.pop(instance, None)
            else:
                current[instance] = listed
        return list(current.values())

    def _routes(self) -> Mapping[tuple[str, str], http.Handler]:
        return {
            ("GET", "/v1/instances"): self._get,
            ("POST", "/v1/instances"): self._post,
        }

    async def _get(self, request: blacksheep.Request) -> blacksheep.Response:
        found = [_fields(i) for i in await self.instances()]
        return http.json_response(200, {"instances": found})

    async def _post(self, request: blacksheep.Request) -> blacksheep.Response:
        body = await http.read_body(request, max_bytes=_MAX_BODY_BYTES)
        try:
            self.put(instances.decode_instance(json.loads(body)))
        except (KeyError, TypeError, ValueError) as error:
            return http.json_response(400, {"reason": repr(error)})
        return http.json_response(200, {})


def _fields(listed: Listed) -> dict[str, Any]:
    return {
        **dataclasses.asdict(listed),
        "role": listed.role.value,
        "state": listed.state.value,
    }
