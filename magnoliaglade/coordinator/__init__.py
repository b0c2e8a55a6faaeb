"""The coordinator: one elected instance places all jobs on the workers."""

from magnoliaglade.coordinator._coordinator import Coordinator, Timings
from magnoliaglade.coordinator._election import Election, election_delay_s
from magnoliaglade.coordinator._journal import CoordinatorLostError, Journal
from magnoliaglade.coordinator._orders import ORDER_KINDS

__all__ = [
    "ORDER_KINDS",
    "Coordinator",
    "CoordinatorLostError",
    "Election",
    "Journal",
    "Timings",
    "election_delay_s",
]
