"""Renewal delegate: keeps running gangs alive when the owner fails.

The owner tells the instance that ranks second for the domain, in each renewal
round, which gangs run. If the owner falls silent while the store does not
answer, no successor can take over, and the delegate renews these gangs under
the owner's epoch and with grants of a majority. It starts and stops nothing.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable
from typing import Any

from magnoliaglade import base, peers, scheduling
from magnoliaglade import clock as clock_lib
from magnoliaglade import store as store_lib
from magnoliaglade.execution import (
    _calls,
    _gangs,
    _launch,
    _records,
    _renewal,
)
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.types import (
    AccountId,
    Epoch,
    InstanceId,
    JobId,
    WorkerId,
)

# How often the delegate looks whether the owner is silent.
_POLL_S = 1.0

# Job, attempt, and worker and number of tasks of each member.
DelegatedGang = tuple[str, int, tuple[tuple[str, int], ...]]


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class DelegateRenewal(peers.Message):
    """The gangs of a domain that its owner renews."""

    domain: str
    epoch: int
    gangs: tuple[DelegatedGang, ...]


class DelegateNotifier:
    """Tells the delegate of a domain what runs; see `OwnerHooks.on_renewed`.

    Attributes:
        choose: the instance that ranks second, or None if there is none.
    """

    def __init__(
        self,
        *,
        domain: str,
        network: peers.PeerNetwork,
        choose: Callable[[], InstanceId | None],
    ) -> None:
        self.domain = domain
        self.network = network
        self.choose = choose

    async def notify(
        self, epoch: Epoch, gangs: list[_gangs.ActiveGang]
    ) -> None:
        """Sends the gangs; a delegate that is not reached is no error."""
        delegate = self.choose()
        if delegate is None:
            return
        message = DelegateRenewal(
            domain=self.domain,
            epoch=epoch,
            gangs=tuple(
                (g.job, g.attempt, g.launch.placement.assignments)
                for g in gangs
            ),
        )
        with contextlib.suppress(peers.PeerError):
            await self.network.send(delegate, message)


class _Delegation:
    """Gangs of one domain that this instance may have to renew."""

    def __init__(
        self,
        *,
        owner: InstanceId,
        message: DelegateRenewal,
        clock: clock_lib.Clock,
        client: _calls.Client,
        is_permitted: Callable[[], bool],
    ) -> None:
        self.owner = owner
        self.epoch = Epoch(message.epoch)
        self.is_permitted = is_permitted
        self.heard_s = clock.now()
        self.renewed_s = float("-inf")
        self.renewal = _renewal.Renewal(
            domain=message.domain,
            clock=clock,
            calls=_calls.WorkerCalls(
                clock=clock, client=client, authority=self
            ),
            is_expected=lambda *_: True,
            on_finding=lambda *_: None,
            on_orphan=_ignore_orphan,
        )
        for job, attempt, assignments in message.gangs:
            launch = _make_launch(JobId(job), attempt, assignments)
            # The owner renewed every member just before it told.
            self.renewal.add(_gangs.make_unseen_gang(launch, now_s=clock.now()))

    def check(self) -> Epoch:
        """Returns the owner's epoch while renewals are permitted."""
        if not self.is_permitted():
            raise store_lib.LeaseLapsedError("no grants of a majority")
        return self.epoch


class RenewalDelegate(base.Component):
    """Renews the gangs of silent owners while the store is down.

    Attributes:
        network: the peers; owners that are not live are silent.
        client: client of a worker, see `OwnerHooks.client`.
        is_store_reachable: whether the store answers this instance.
        is_permitted: whether a majority has granted domain and epoch to this
            instance. A peer must not grant a domain to two instances at a
            time: an owner that restarts a gang elsewhere relies on nobody
            renewing what it cannot reach.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        network: peers.PeerNetwork,
        client: _calls.Client,
        is_store_reachable: Callable[[], bool],
        is_permitted: Callable[[str, Epoch], bool],
    ) -> None:
        self.clock = clock
        self.network = network
        self.client = client
        self.is_store_reachable = is_store_reachable
        self.is_permitted = is_permitted
        self._delegations: dict[str, _Delegation] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def wanted(self) -> dict[str, Epoch]:
        """Epochs of the domains whose owner is silent; they need grants."""
        live = self.network.live_peers
        return {
            domain: x.epoch
            for domain, x in self._delegations.items()
            if x.owner not in live
        }

    async def start(self) -> None:
        """Listens to owners and starts the loop."""
        self.validate_params()
        self.network.handle(DelegateRenewal, self._handle)
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Ends the loop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    def dump(self) -> dict[str, Any]:
        """Returns owner, epoch and number of gangs by domain."""
        return {
            domain: [x.owner, x.epoch, len(x.renewal.gangs)]
            for domain, x in self._delegations.items()
        }

    async def _handle(
        self, owner: InstanceId, message: DelegateRenewal
    ) -> None:
        known = self._delegations.get(message.domain)
        if known is not None and known.epoch > message.epoch:
            return
        domain, epoch = message.domain, Epoch(message.epoch)
        self._delegations[domain] = _Delegation(
            owner=owner,
            message=message,
            clock=self.clock,
            client=self.client,
            is_permitted=lambda: (
                not self.is_store_reachable()
                and self.is_permitted(domain, epoch)
            ),
        )

    async def _run(self) -> None:
        while True:
            await self.clock.sleep(_POLL_S)
            for domain, delegation in list(self._delegations.items()):
                await self._step(domain, delegation)

    async def _step(self, domain: str, delegation: _Delegation) -> None:
        now_s = self.clock.now()
        if delegation.owner in self.network.live_peers:
            return
        renewed_s = max(delegation.heard_s, delegation.renewed_s)
        is_over = now_s - renewed_s >= _launch.TASK_LEASE_TTL_S
        if is_over or self.is_store_reachable():
            del self._delegations[domain]
            return
        if now_s - delegation.renewed_s < _renewal.TASK_RENEW_S:
            return
        try:
            await delegation.renewal.round()
            delegation.renewed_s = now_s
        except worker_lib.StaleEpochError:
            # A successor has fenced a worker; the gangs are its now.
            if self._delegations.get(domain) is delegation:
                del self._delegations[domain]
        except store_lib.LeaseLapsedError:
            return


async def _ignore_orphan(*_: object) -> None:
    """Tasks that are not delegated end with their lease."""


def _make_launch(
    job: JobId, attempt: int, assignments: tuple[tuple[str, int], ...]
) -> _launch.Launch:
    members = tuple((WorkerId(w), n) for w, n in assignments)
    gang = scheduling.Gang(
        job=job,
        account=AccountId(""),
        tasks=sum(n for _, n in members),
        shape=scheduling.Shape(),
    )
    return _launch.Launch(
        spec=_records.JobSpec(gang=gang, command=(), submission=""),
        attempt=attempt,
        checkpoint="",
        placement=scheduling.Placement(job=job, assignments=members),
    )
