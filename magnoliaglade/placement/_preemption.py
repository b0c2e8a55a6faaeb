"""Which running work to stop for a demand that must start.

Answers a burst of urgent jobs on a full pool. Work that loses least is stopped
first; gangs are stopped whole, since none of their members can go on alone.
"""

import dataclasses
from collections.abc import Iterable

from magnoliaglade.jobs import Resources
from magnoliaglade.placement._model import Candidate, Demand, UnitId, Use
from magnoliaglade.placement._room import Room
from magnoliaglade.types import WorkerId

# An accelerator counts as this many cores where work is compared, as in the
# platform's prices.
CORES_PER_ACCELERATOR = 8


def core_seconds(resources: Resources, duration_s: float) -> float:
    """Returns work in core-seconds; accelerators count as cores."""
    cores = resources.cores_m / 1000.0
    cores += resources.accelerators * CORES_PER_ACCELERATOR
    return cores * duration_s


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Victim:
    """Runs that are stopped together."""

    unit: UnitId
    index: int | None
    uses: tuple[Use, ...]

    @property
    def loss(self) -> float:
        """Work thrown away, in core-seconds."""
        return sum(core_seconds(u.demand, u.loss_s) for u in self.uses)

    @property
    def priority(self) -> int:
        """Priority of the job."""
        return self.uses[0].priority


def group_victims(uses: Iterable[Use], demand: Demand) -> list[Victim]:
    """Returns what may be stopped in favour of a demand."""
    gangs: dict[UnitId, list[Use]] = {}
    victims: list[Victim] = []
    for use in uses:
        if use.is_gang:
            gangs.setdefault(use.unit, []).append(use)
        elif _may_stop(use, demand):
            victims.append(Victim(unit=use.unit, index=use.index, uses=(use,)))
    victims.extend(
        Victim(unit=unit, index=None, uses=tuple(members))
        for unit, members in gangs.items()
        if all(_may_stop(m, demand) for m in members)
    )
    return victims


def choose_victims(
    demand: Demand,
    candidates: list[Candidate],
    *,
    room: Room,
    victims: list[Victim],
    count: int,
) -> list[Victim] | None:
    """Returns the cheapest set found that makes room, or None.

    Victims are added by loss for each accelerator freed here until the tasks
    fit; then those that turn out to be needless are dropped, dearest first.
    """
    here = {c.worker for c in candidates}
    useful = [v for v in victims if _freed_here(v, here)]
    useful.sort(key=lambda v: (-v.priority, _price(v, here)))
    chosen: list[Victim] = []
    for victim in useful:
        if _fits(demand, here, room, chosen, count):
            break
        chosen.append(victim)
    if not _fits(demand, here, room, chosen, count):
        return None
    for victim in sorted(chosen, key=lambda v: -v.loss):
        rest = [v for v in chosen if v is not victim]
        if _fits(demand, here, room, rest, count):
            chosen = rest
    return chosen


def freed_by(victims: Iterable[Victim]) -> dict[WorkerId, Resources]:
    """Returns the capacity that victims free, by worker."""
    freed: dict[WorkerId, Resources] = {}
    for victim in victims:
        for use in victim.uses:
            before = freed.get(use.worker, Resources())
            freed[use.worker] = before + use.demand
    return freed


def _may_stop(use: Use, demand: Demand) -> bool:
    if use.is_stopping or use.is_protected or use.unit == demand.unit:
        return False
    if use.priority > demand.priority:
        return True
    return demand.is_guaranteed and use.priority == demand.priority


def _freed_here(victim: Victim, here: set[WorkerId]) -> int:
    return sum(
        max(1, u.demand.accelerators) for u in victim.uses if u.worker in here
    )


def _price(victim: Victim, here: set[WorkerId]) -> float:
    return victim.loss / _freed_here(victim, here)


def _fits(
    demand: Demand,
    here: set[WorkerId],
    room: Room,
    victims: list[Victim],
    count: int,
) -> bool:
    freed = freed_by(victims)
    total = 0
    for worker in here:
        total += room.slots(demand, worker, with_coming=True, freed=freed)
        if total >= count:
            return True
    return False
