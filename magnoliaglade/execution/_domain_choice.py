"""Choice of the domain for a job by feasibility and load."""

from collections.abc import Callable, Iterable, Mapping

from magnoliaglade import scheduling
from magnoliaglade.execution import _loads, _records, _routing_replies
from magnoliaglade.types import WorkerId, ZoneId


class DomainChoice:
    """Ranks the domains in which a job may start.

    Attributes:
        loads: last known loads of all domains.
        startable_zones: zones in which work may start now.
        workers: all listed workers.
    """

    def __init__(
        self,
        *,
        loads: _loads.LoadBoard,
        startable_zones: Callable[[], frozenset[ZoneId]],
        workers: Callable[[], Mapping[WorkerId, scheduling.Worker]],
    ) -> None:
        self.loads = loads
        self.startable_zones = startable_zones
        self.workers = workers

    def is_feasible(self, gang: scheduling.Gang) -> bool:
        """Tells whether any zone could hold the gang if it were empty."""
        return bool(scheduling.feasible_zones(gang, self.workers().values()))

    def choose(
        self,
        spec: _records.JobSpec,
        *,
        allowed: Iterable[ZoneId] = (),
        exclude: str = "",
    ) -> str | None:
        """Returns the domain for a job by feasibility and load, or None."""
        workers = self.workers()
        feasible = scheduling.feasible_zones(spec.gang, workers.values())
        candidates = feasible & self.startable_zones()
        limit = frozenset(allowed)
        if limit:
            candidates &= limit
        domains = {_routing_replies.domain_of(z) for z in candidates} - {
            exclude
        }
        if not domains:
            return None
        totals = _accelerators_by_domain(workers.values())
        need = spec.gang.tasks * spec.gang.shape.accelerators

        def cost(domain: str) -> tuple[float, int, str]:
            load = self.loads.load(domain)
            total = totals.get(domain, 0)
            share = (load.used + load.queued + need) / max(total, 1)
            return share, load.tasks, domain

        return min(domains, key=cost)


def _accelerators_by_domain(
    workers: Iterable[scheduling.Worker],
) -> dict[str, int]:
    totals: dict[str, int] = {}
    for worker in workers:
        domain = _routing_replies.domain_of(worker.zone)
        totals[domain] = totals.get(domain, 0) + worker.shape.accelerators
    return totals


def describe_infeasible(gang: scheduling.Gang) -> str:
    """Returns why no zone can ever hold a gang."""
    shape = gang.shape
    return (
        f"the job can never run: no zone holds {gang.tasks} tasks of "
        f"{shape.cores:g} cores, {shape.memory_gb:g} GB and "
        f"{shape.accelerators} accelerators with adjacency "
        f"{gang.adjacency.value}"
    )
