"""Whether this process may still act as the coordinator.

Answers processes that were paused, delayed or cut off from the store and go on
with what they knew before. All ages are taken at the moment of the question,
on a clock that counts suspended time. Callers ask in the same step in which
they send: there is no await between the answer and the write to the socket.
"""

import dataclasses
from collections.abc import Callable
from typing import Any

from magnoliaglade import observability

# Orders stop this long before the store may end the coordinator's lease, in
# seconds, for clocks that run at different rates.
CLOCK_DRIFT_MARGIN_S = 0.1
# Leases of runs are renewed without the store's confirmation for this long.
# Whoever takes over waits as long before it gives up a worker that it cannot
# reach.
UNCONFIRMED_RENEWAL_S = 8.0
# Time in seconds that a start may take from the check to the worker.
START_TRANSIT_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermissionLimits:
    """Greatest ages, in seconds, at which something may be done.

    Attributes:
        orders_s: age of the store's confirmation for orders.
        renewals_s: age of the store's confirmation for renewals of leases.
        zones_s: age of configuration and removed zones for starts.
        workers_s: age of the list of workers for starts.
    """

    orders_s: float
    renewals_s: float
    zones_s: float
    workers_s: float


def make_limits(
    *, lease_ttl_s: float, evacuate_s: float, drain_s: float
) -> PermissionLimits:
    """Derives the limits from the bounds of the deployment.

    Args:
        lease_ttl_s: life of the coordinator's lease without renewal.
        evacuate_s: nothing may start in a removed zone after this.
        drain_s: nothing may start on a draining worker after this.
    """
    return PermissionLimits(
        orders_s=lease_ttl_s - CLOCK_DRIFT_MARGIN_S,
        renewals_s=UNCONFIRMED_RENEWAL_S,
        zones_s=evacuate_s - START_TRANSIT_S,
        workers_s=drain_s - START_TRANSIT_S,
    )


class Permission:
    """Answers what this process may do now.

    Attributes:
        unconfirmed_s: returns the age of the store's last confirmation that
            this process is the coordinator.
        zones_age_s: returns the age of configuration and removed zones.
        workers_age_s: returns the age of the list of workers.
        limits: greatest ages.
    """

    def __init__(
        self,
        *,
        unconfirmed_s: Callable[[], float],
        zones_age_s: Callable[[], float],
        workers_age_s: Callable[[], float],
        limits: PermissionLimits,
    ) -> None:
        self.unconfirmed_s = unconfirmed_s
        self.zones_age_s = zones_age_s
        self.workers_age_s = workers_age_s
        self.limits = limits
        self._withheld: set[str] = set()

    def may_send_orders(self) -> bool:
        """Tells whether orders and acknowledgements may be sent."""
        return self._log_change("orders", self._is_confirmed())

    def may_renew(self) -> bool:
        """Tells whether leases of runs may be renewed."""
        is_recent = self.unconfirmed_s() <= self.limits.renewals_s
        return self._log_change("renewals", is_recent)

    def may_start(self) -> bool:
        """Tells whether tasks may be started: all views must be recent."""
        is_recent = (
            self._is_confirmed()
            and self.zones_age_s() <= self.limits.zones_s
            and self.workers_age_s() <= self.limits.workers_s
        )
        return self._log_change("starts", is_recent)

    def dump(self) -> dict[str, Any]:
        """Returns the ages and what is withheld."""
        return {"withheld": sorted(self._withheld), **self._ages()}

    def _is_confirmed(self) -> bool:
        return self.unconfirmed_s() <= self.limits.orders_s

    def _log_change(self, action: str, is_allowed: bool) -> bool:
        """Logs changes only."""
        if is_allowed == (action not in self._withheld):
            return is_allowed
        if is_allowed:
            self._withheld.discard(action)
        else:
            self._withheld.add(action)
        observability.log_event(
            "permission",
            of=action,
            state="granted" if is_allowed else "withheld",
            **self._ages(),
        )
        return is_allowed

    def _ages(self) -> dict[str, float]:
        return {
            "unconfirmed_s": _round_age(self.unconfirmed_s()),
            "zones_age_s": _round_age(self.zones_age_s()),
            "workers_age_s": _round_age(self.workers_age_s()),
        }


def _round_age(age_s: float) -> float:
    return round(min(age_s, 1e6), 3)
