"""Checks whether this process may still act as the coordinator.

Guards against processes that were paused, delayed or cut off from the store and
continue with outdated state. All ages are computed at the time of the check, on
a clock that counts suspended time. Callers check in the same step of the event
loop in which they send: there is no await between the check and the write to
the socket.
"""

import dataclasses
from collections.abc import Callable
from typing import Any

from magnoliaglade import observability

# Time before the store may expire the coordinator's lease at which orders stop,
# in seconds; it allows for clocks that run at different rates.
CLOCK_DRIFT_MARGIN_S = 0.1
# Time, in seconds, for which leases of runs are renewed without a confirmation
# by the store. A successor waits as long before it gives up a worker that it
# cannot reach.
UNCONFIRMED_RENEWAL_S = 8.0
# Time, in seconds, that a start may take from the check until it reaches the
# worker.
START_TRANSIT_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermissionLimits:
    """Maximum ages, in seconds, up to which actions are permitted.

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
    """Returns the limits that follow from the deployment's time limits.

    Args:
        lease_ttl_s: time to live of the coordinator's lease, in seconds.
        evacuate_s: time after the removal of a zone from which nothing may
            start there, in seconds.
        drain_s: time after the beginning of a worker's draining from which
            nothing may start on it, in seconds.
    """
    return PermissionLimits(
        orders_s=lease_ttl_s - CLOCK_DRIFT_MARGIN_S,
        renewals_s=UNCONFIRMED_RENEWAL_S,
        zones_s=evacuate_s - START_TRANSIT_S,
        workers_s=drain_s - START_TRANSIT_S,
    )


class Permission:
    """Decides which actions this process may take now.

    Attributes:
        unconfirmed_s: returns the age, in seconds, of the store's last
            confirmation that this process is the coordinator.
        zones_age_s: returns the age of configuration and removed zones, in
            seconds.
        workers_age_s: returns the age of the list of workers, in seconds.
        limits: maximum ages.
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
        """Returns whether orders and acknowledgements may be sent."""
        return self._log_change("orders", self._is_confirmed())

    def may_renew(self) -> bool:
        """Returns whether leases of runs may be renewed."""
        is_recent = self.unconfirmed_s() <= self.limits.renewals_s
        return self._log_change("renewals", is_recent)

    def may_start(self) -> bool:
        """Returns whether tasks may be started: no age is over its limit."""
        is_recent = (
            self._is_confirmed()
            and self.zones_age_s() <= self.limits.zones_s
            and self.workers_age_s() <= self.limits.workers_s
        )
        return self._log_change("starts", is_recent)

    def dump(self) -> dict[str, Any]:
        """Returns the ages and the withheld actions."""
        return {"withheld": sorted(self._withheld), **self._ages()}

    def _is_confirmed(self) -> bool:
        return self.unconfirmed_s() <= self.limits.orders_s

    def _log_change(self, action: str, is_allowed: bool) -> bool:
        """Returns `is_allowed`; logs it if it has changed for the action."""
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
