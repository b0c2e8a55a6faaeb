"""Load of all domains, exchanged in heartbeats.

Loads are up to a few heartbeats old. They only rank zones for new jobs and
estimate the usage of accounts in other zones; what a worker really has free
is known to the owner of its domain alone.
"""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

from magnoliaglade import membership
from magnoliaglade.execution import _records, _table
from magnoliaglade.types import AccountId, InstanceId

SECTION = "load"


@dataclasses.dataclass(frozen=True, kw_only=True)
class DomainLoad:
    """Load of one domain.

    Attributes:
        used: accelerators of running gangs.
        queued: accelerators of waiting gangs.
        tasks: running and waiting tasks.
        by_account: accelerators of running gangs by account.
    """

    used: int = 0
    queued: int = 0
    tasks: int = 0
    by_account: dict[AccountId, int] = dataclasses.field(default_factory=dict)


def measure_load(table: _table.JobTable) -> DomainLoad:
    """Returns the load of the jobs in a table."""
    by_account: dict[AccountId, int] = {}
    active = [e.spec.gang for e in table.in_phase(_records.JobPhase.ACTIVE)]
    pending = [e.spec.gang for e in table.in_phase(_records.JobPhase.PENDING)]
    for gang in active:
        need = gang.tasks * gang.shape.accelerators
        by_account[gang.account] = by_account.get(gang.account, 0) + need
    return DomainLoad(
        used=sum(by_account.values()),
        queued=sum(g.tasks * g.shape.accelerators for g in pending),
        tasks=sum(g.tasks for g in (*active, *pending)),
        by_account=by_account,
    )


class LoadBoard:
    """Loads of the own domains and those heard from peers."""

    def __init__(
        self,
        *,
        board: membership.HeartbeatExchange,
        local: Callable[[], dict[str, DomainLoad]],
    ) -> None:
        self.board = board
        self.local = local
        self._heard: dict[str, DomainLoad] = {}
        board.set_section_source(SECTION, self._contribute)
        board.set_section_receiver(SECTION, self._receive)

    def load(self, domain: str) -> DomainLoad:
        """Returns the last known load of a domain; empty if none is known."""
        local = self.local()
        if domain in local:
            return local[domain]
        return self._heard.get(domain, DomainLoad())

    def used_elsewhere(
        self, account: AccountId, domain: str, domains: Iterable[str]
    ) -> int:
        """Returns an account's accelerators in all domains but one."""
        return sum(
            self.load(d).by_account.get(account, 0)
            for d in domains
            if d != domain
        )

    def _contribute(self) -> dict[str, Any] | None:
        own = {
            domain: [x.used, x.queued, x.tasks, x.by_account]
            for domain, x in self.local().items()
        }
        return own or None

    def _receive(self, sender: InstanceId, data: Any) -> None:
        for domain, (used, queued, tasks, by_account) in data.items():
            self._heard[domain] = DomainLoad(
                used=used, queued=queued, tasks=tasks, by_account=by_account
            )
