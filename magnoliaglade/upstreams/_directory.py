"""Eligible upstreams, from the instance list and observed responses."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

from magnoliaglade import base
from magnoliaglade import clock as clock_lib
from magnoliaglade.instances import instance_list as instance_list_lib
from magnoliaglade.types import UpstreamId, ZoneId
from magnoliaglade.upstreams import _connection, _errors

CONFIRMATION_MAX_AGE_S = 3.0
# A poll and the timeout of its probes end within the maximum age of a
# confirmation, so an upstream that does not answer does not make the
# confirmations of the others expire.
POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 1.0
# An upstream that still responds without `x-leaving` this long after it
# announced that it is leaving has withdrawn the announcement.
LEAVING_RETENTION_S = 600.0

Prober = Callable[
    [instance_list_lib.ListedInstance],
    Awaitable[_connection.ExchangeResponse | None],
]


@dataclasses.dataclass(kw_only=True)
class _Observations:
    confirmed_s: float | None = None
    refused_s: float | None = None
    leaving_s: float | None = None


class UpstreamDirectory(base.Component):
    """Combines the instance list, which may lag, with observed responses.

    An upstream is eligible only if a request sent at most `confirm_max_age_s`
    seconds ago got a response without `x-leaving: true`. Upstreams without
    other requests are probed, so a leaving upstream gets no new work after
    that time even if the list still shows it as live, and even if this
    process was paused.
    """

    _parameter_constraints = {
        "confirm_max_age_s": [base.Interval(kind=float, low=0, low_open=True)],
        "poll_s": [base.Interval(kind=float, low=0, low_open=True)],
        "poll_timeout_s": [base.Interval(kind=float, low=0, low_open=True)],
    }

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        instance_list: instance_list_lib.InstanceList,
        service: str,
        prober: Prober,
        confirm_max_age_s: float = CONFIRMATION_MAX_AGE_S,
        poll_s: float = POLL_INTERVAL_S,
        poll_timeout_s: float = POLL_TIMEOUT_S,
    ) -> None:
        self.clock = clock
        self.instance_list = instance_list
        self.service = service
        self.prober = prober
        self.confirm_max_age_s = confirm_max_age_s
        self.poll_s = poll_s
        self.poll_timeout_s = poll_timeout_s
        self._listed: dict[UpstreamId, instance_list_lib.ListedInstance] = {}
        self._observations: dict[UpstreamId, _Observations] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Polls and probes once, then in the background."""
        self.validate_params()
        await self.poll_once()
        await self._probe_all()
        self._task = asyncio.create_task(self._poll_forever())

    async def stop(self) -> None:
        """Stops polling and probing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    def dump(self) -> dict[str, Any]:
        """Returns the listed upstreams and whether they are eligible."""
        return {u: self.is_eligible(u) for u in sorted(self._listed)}

    def listed(self) -> list[instance_list_lib.ListedInstance]:
        """Returns the upstreams of the service, in order of their ids."""
        return [self._listed[u] for u in sorted(self._listed)]

    def eligible(
        self, *, zones: frozenset[ZoneId] | None = None
    ) -> list[instance_list_lib.ListedInstance]:
        """Returns the upstreams that may get new work, in `zones` if given."""
        return [
            listed
            for listed in self.listed()
            if self.is_eligible(UpstreamId(listed.instance))
            and (zones is None or listed.zone in zones)
        ]

    def is_eligible(self, upstream: UpstreamId) -> bool:
        """Returns whether an upstream may get new work now."""
        listed = self._listed.get(upstream)
        observations = self._observations.get(upstream)
        if listed is None or observations is None:
            return False
        is_unavailable = (observations.leaving_s, observations.refused_s) != (
            None,
            None,
        )
        if (
            is_unavailable
            or not _is_live(listed)
            or observations.confirmed_s is None
        ):
            return False
        age_s = self.clock.now() - observations.confirmed_s
        return age_s <= self.confirm_max_age_s

    def observe(
        self, upstream: UpstreamId, response: _connection.ExchangeResponse
    ) -> None:
        """Records a complete response, also a refusal with `x-not-run`."""
        observations = self._observations.setdefault(upstream, _Observations())
        if response.leaving:
            observations.leaving_s = self.clock.now()
            return
        sent_s = response.sent_s
        if (
            observations.confirmed_s is None
            or sent_s > observations.confirmed_s
        ):
            observations.confirmed_s = sent_s
        if (
            observations.refused_s is not None
            and sent_s > observations.refused_s
        ):
            observations.refused_s = None
        if (
            observations.leaving_s is not None
            and sent_s > observations.leaving_s + LEAVING_RETENTION_S
        ):
            observations.leaving_s = None

    def observe_refused_connection(self, upstream: UpstreamId) -> None:
        """Records a refused connection; a later response clears it."""
        observations = self._observations.setdefault(upstream, _Observations())
        observations.refused_s = self.clock.now()

    async def poll_once(self) -> None:
        """Reads the instance list; keeps the last one if the read fails."""
        with contextlib.suppress(
            instance_list_lib.InstanceListError, TimeoutError
        ):
            self._apply_list(
                await self.clock.wait_for(
                    self.instance_list.instances(), self.poll_timeout_s
                )
            )

    async def _poll_forever(self) -> None:
        while True:
            await asyncio.gather(self.poll_once(), self._probe_all())
            await self.clock.sleep(self.poll_s)

    async def _probe_all(self) -> None:
        await asyncio.gather(
            *(self._probe(x) for x in self.listed() if self._is_probe_due(x))
        )

    def _is_probe_due(self, listed: instance_list_lib.ListedInstance) -> bool:
        observations = self._observations.get(UpstreamId(listed.instance))
        if not _is_live(listed):
            return False
        if observations is None or observations.confirmed_s is None:
            return True
        return self.clock.now() - observations.confirmed_s >= self.poll_s

    async def _probe(self, listed: instance_list_lib.ListedInstance) -> None:
        upstream = UpstreamId(listed.instance)
        try:
            response = await self.clock.wait_for(
                self.prober(listed), self.poll_timeout_s
            )
        except _errors.UpstreamRefusedError:
            self.observe_refused_connection(upstream)
            return
        except (_errors.UpstreamError, TimeoutError):
            return
        if response is not None and upstream in self._listed:
            self.observe(upstream, response)

    def _apply_list(
        self, instances: list[instance_list_lib.ListedInstance]
    ) -> None:
        role = instance_list_lib.InstanceRole.UPSTREAM
        self._listed = {
            UpstreamId(x.instance): x
            for x in instances
            if x.role is role and x.service == self.service
        }
        # Once the list no longer shows an upstream as live, an instance that
        # appears later under the same id is a new one.
        self._observations = {
            upstream: observations
            for upstream, observations in self._observations.items()
            if upstream in self._listed and _is_live(self._listed[upstream])
        }


def _is_live(listed: instance_list_lib.ListedInstance) -> bool:
    return listed.state is instance_list_lib.InstanceState.LIVE
