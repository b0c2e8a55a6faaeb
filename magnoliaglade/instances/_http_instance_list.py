"""Instance list client over HTTP: `GET /v1/instances` with a JSON answer.

The answer is `{"instances": [...]}` with the fields of `ListedInstance`.
"""

from typing import Any

from magnoliaglade import base, http
from magnoliaglade.instances import instance_list
from magnoliaglade.types import InstanceId, RackId, ZoneId


class HttpInstanceList(base.Component):
    """See `instances.instance_list.InstanceList`."""

    def __init__(self, *, url: str, timeout_s: float = 2.0) -> None:
        self.url = url
        self.timeout_s = timeout_s
        self._client = http.HttpClient(url=url, timeout_s=timeout_s)
        self._body = b""
        self._decoded: list[instance_list.ListedInstance] = []

    async def start(self) -> None:
        """Prepares the client; connects on first use."""
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
            # 3,800 instances takes some 30 ms.
            if reply.body != self._body:
                found = [decode_instance(i) for i in reply.json()["instances"]]
                self._body, self._decoded = reply.body, found
            return list(self._decoded)
        except (http.HttpClientError, KeyError, TypeError, ValueError) as error:
            raise instance_list.InstanceListError(str(error)) from error


def decode_instance(fields: dict[str, Any]) -> instance_list.ListedInstance:
    """Builds a listed instance from the fields of the answer.

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
