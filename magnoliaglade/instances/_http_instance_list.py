"""HTTP client of the instance list.

`GET /v1/instances` returns the JSON object `{"instances": [...]}`, whose items
have the fields of `ListedInstance`.
"""

from typing import Any

from magnoliaglade import base, http
from magnoliaglade.instances import instance_list
from magnoliaglade.types import InstanceId, RackId, ZoneId


class HttpInstanceList(base.Component):
    """Implements `instances.instance_list.InstanceList` over HTTP."""

    def __init__(self, *, url: str, timeout_s: float = 2.0) -> None:
        self.url = url
        self.timeout_s = timeout_s
        self._client = http.HttpClient(url=url, timeout_s=timeout_s)
        self._last_body = b""
        self._last_instances: list[instance_list.ListedInstance] = []

    async def start(self) -> None:
        """Prepares the client, which connects on first use."""
        await self._client.start()

    async def stop(self) -> None:
        """Closes all connections."""
        await self._client.stop()

    async def instances(self) -> list[instance_list.ListedInstance]:
        """See `InstanceList.instances`."""
        try:
            reply = await self._client.call("GET", "/v1/instances")
            if reply.status != 200:
                raise instance_list.InstanceListError(
                    f"the instance list answered {reply.status}"
                )
            # The list is polled far more often than it changes, and decoding
            # 3,800 instances takes some 30 ms. An unchanged body is not
            # decoded again.
            if reply.body != self._last_body:
                instances = [
                    decode_instance(i) for i in reply.json()["instances"]
                ]
                self._last_body, self._last_instances = reply.body, instances
            return list(self._last_instances)
        except (http.HttpClientError, KeyError, TypeError, ValueError) as error:
            raise instance_list.InstanceListError(str(error)) from error


def decode_instance(fields: dict[str, Any]) -> instance_list.ListedInstance:
    """Returns a listed instance built from the fields of a response item.

    Raises:
        KeyError, TypeError, ValueError: a field is missing or malformed.
    """
    return instance_list.ListedInstance(
        instance=InstanceId(fields["instance"]),
        role=instance_list.InstanceRole(fields["role"]),
        zone=ZoneId(fields["zone"]),
        address=fields["address"],
        state=instance_list.InstanceState(fields["state"]),
        rack=RackId(fields.get("rack", "")),
        service=fields.get("service", ""),
        cores=float(fields.get("cores", 0)),
        memory_gb=float(fields.get("memory_gb", 0)),
        accelerators=int(fields.get("accelerators", 0)),
    )
