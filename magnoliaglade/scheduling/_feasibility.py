"""Zones in which a gang could run if nothing else did."""

from collections import defaultdict
from collections.abc import Iterable

from magnoliaglade.scheduling import _capacity, _model
from magnoliaglade.types import WorkerId, ZoneId


def feasible_zones(
    gang: _model.Gang, workers: Iterable[_model.Worker]
) -> frozenset[ZoneId]:
    """Returns the zones whose empty workers hold the whole gang."""
    by_zone: dict[ZoneId, dict[WorkerId, _model.Worker]] = defaultdict(dict)
    for worker in workers:
        by_zone[worker.zone][worker.worker] = worker
    return frozenset(
        zone
        for zone, members in by_zone.items()
        if _capacity.Capacity(
            workers=members, running=(), zones={zone}, any_state=True
        ).fits(gang)
    )
