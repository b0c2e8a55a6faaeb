"""Choice of borrowers to evict for a gang: the fewest, then the youngest.

Borrowers that have been evicted before go last, because every eviction adds a
wait to a restart, and the same long jobs would be evicted again and again.
Between equal numbers of victims those with fewer accelerators go first, so
that a small job does not stop a large gang where a small borrower would do.
"""

import dataclasses
import functools
import math
from collections.abc import Mapping

from magnoliaglade.scheduling import _capacity, _cells, _model
from magnoliaglade.types import JobId, WorkerId

# A gang is moved for consolidation at most this often, so that it ends.
MOVES_MAX = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reclaim:
    """A placement and the borrowers that must leave first."""

    victims: tuple[JobId, ...]
    assignments: _capacity.Assignments


class Reclaimer:
    """Finds room for gangs by evicting borrowers."""

    def __init__(
        self,
        *,
        capacity: _capacity.Capacity,
        running: Mapping[JobId, _model.RunningGang],
    ) -> None:
        self.capacity = capacity
        self.running = running

    @functools.cached_property
    def _borrowers(self) -> dict[JobId, _model.RunningGang]:
        return {
            job: gang
            for job, gang in self.running.items()
            if _cells.is_evictable(gang)
        }

    @functools.cached_property
    def _on_worker(self) -> dict[WorkerId, list[JobId]]:
        return _capacity.jobs_by_worker(self._borrowers.values())

    def remove(self, job: JobId) -> _model.RunningGang:
        """Forgets an evicted borrower and returns it."""
        return self._borrowers.pop(job)

    def within_cells(
        self, gang: _model.Gang, room: Mapping[WorkerId, int]
    ) -> Reclaim | None:
        """Makes room inside the unused cells of the gang's account.

        Args:
            gang: the gang to place.
            room: unused accelerators of the account's cells, by worker.
        """
        limits = cell_slots(self.capacity, gang, room)

        def may_evict(victim: _model.RunningGang) -> bool:
            # Work of the same account uses the account's capacity as
            # intended, unless it is less important.
            return (
                victim.gang.account != gang.account
                or victim.gang.priority < gang.priority
            )

        return self._search(gang, limits, may_evict)

    def anywhere(self, gang: _model.Gang) -> Reclaim | None:
        """Makes room for urgent work among borrowers of lower priority."""
        limits = dict.fromkeys(self.capacity.usable_for(gang), gang.tasks)

        def may_evict(victim: _model.RunningGang) -> bool:
            return victim.gang.priority < gang.priority

        return self._search(gang, limits, may_evict)

    def by_consolidation(self, gang: _model.Gang) -> Reclaim | None:
        """Makes room for a large gang by moving small borrowers away.

        Only gangs that continue from a checkpoint and hold at most a quarter
        of the accelerators are moved, and none for the third time. There
        must be enough free accelerators in sum: without this condition the
        moved gangs wait, and small work was slower in bench_jobs than with
        first-fit.
        """
        free = self.capacity.free
        total = sum(free[w][2] for w in self.capacity.usable)
        if total < gang.tasks * gang.shape.accelerators:
            return None
        limits = dict.fromkeys(self.capacity.usable_for(gang), gang.tasks)
        size = gang.tasks * gang.shape.accelerators

        def may_evict(victim: _model.RunningGang) -> bool:
            return (
                victim.gang.checkpointable
                and victim.gang.priority <= gang.priority
                and victim.gang.attempt <= MOVES_MAX
                and 4 * accelerators(victim) <= size
            )

        return self._search(gang, limits, may_evict)

    def _search(self, gang, limits, may_evict) -> Reclaim | None:
        best: tuple | None = None
        for members in _capacity.groups(
            self.capacity.workers, gang.adjacency, limits
        ):
            trial = _Trial(
                capacity=self.capacity,
                members=members,
                limits=limits,
                shape=gang.shape,
            )
            victims = self._victims(gang, trial, may_evict)
            if victims is None:
                continue
            key = _cost(victims)
            if best is None or key < best[0]:
                best = (key, victims, trial)
        if best is None:
            return None
        _, victims, trial = best
        slots = trial.slots
        order = [w for w in trial.members if slots[w] > 0]
        return Reclaim(
            victims=tuple(sorted(v.gang.job for v in victims)),
            assignments=self.capacity.fill(order, slots, gang),
        )

    def _victims(
        self, gang: _model.Gang, trial: "_Trial", may_evict
    ) -> list[_model.RunningGang] | None:
        """Chooses victims in the trial's group; they stay taken away."""
        jobs = {j for w in trial.members for j in self._on_worker.get(w, ())}
        candidates = [
            self._borrowers[j]
            for j in jobs
            if j in self._borrowers and may_evict(self._borrowers[j])
        ]
        candidates.sort(
            key=lambda r: (
                r.gang.attempt,
                accelerators(r),
                -r.started_at_s,
                r.gang.job,
            )
        )
        return _fewest(trial, candidates, gang.tasks)


def _cost(victims: list[_model.RunningGang]) -> tuple:
    return (
        len(victims),
        sum(v.gang.attempt for v in victims),
        sum(map(accelerators, victims)),
        -sum(v.started_at_s for v in victims),
        sorted(v.gang.job for v in victims),
    )


def accelerators(running: _model.RunningGang) -> int:
    """Returns the accelerators that a running gang holds."""
    return running.gang.tasks * running.gang.shape.accelerators


class _Trial:
    """Slots on a group of workers as borrowers are taken away."""

    def __init__(self, *, capacity, members, limits, shape) -> None:
        self.capacity = capacity
        self.members = members
        self.limits = limits
        self.shape = shape
        # Copied when first changed: victims lie on few of the workers.
        self._free: dict[WorkerId, list[float]] = {}
        slots = capacity.slots_by_worker(shape)
        self.slots = {w: min(slots.get(w, 0), limits[w]) for w in members}
        self.total = sum(self.slots.values())

    def add(self, victim: _model.RunningGang, sign: int = 1) -> int:
        """Takes a victim away, or puts it back; returns the total."""
        shape = victim.gang.shape
        for w, count in victim.placement.assignments:
            if w not in self.slots:
                continue
            free = self._free.get(w)
            if free is None:
                free = self._free[w] = list(self.capacity.free[w])
            free[0] += sign * count * shape.cores
            free[1] += sign * count * shape.memory_gb
            free[2] += sign * count * shape.accelerators
            after = self._count(w)
            self.total += after - self.slots[w]
            self.slots[w] = after
        return self.total

    def loss(self, victim: _model.RunningGang) -> int:
        """Returns how many slots putting a victim back would take."""
        shape, lost = victim.gang.shape, 0
        for w, count in victim.placement.assignments:
            if w not in self.slots:
                continue
            free = self._free.get(w) or self.capacity.free[w]
            after = _capacity.slots_in(
                free[0] - count * shape.cores,
                free[1] - count * shape.memory_gb,
                free[2] - count * shape.accelerators,
                self.shape,
            )
            lost += self.slots[w] - min(after, self.limits[w])
        return lost

    def weight(self, victim: _model.RunningGang) -> float:
        """Returns how many workers' worth a victim holds in the group.

        The scarcest resource counts, as a borrower without accelerators can
        hold the memory that the accelerators need.
        """
        shape, total = victim.gang.shape, 0.0
        for w, count in victim.placement.assignments:
            if w not in self.slots:
                continue
            whole = self.capacity.workers[w].shape
            total += count * max(
                shape.accelerators / (whole.accelerators or math.inf),
                shape.cores / (whole.cores or math.inf),
                shape.memory_gb / (whole.memory_gb or math.inf),
            )
        return total

    def _count(self, worker: WorkerId) -> int:
        slots = _capacity.slots_in(*self._free[worker], self.shape)
        return min(slots, self.limits[worker])


def cell_slots(
    capacity: _capacity.Capacity,
    gang: _model.Gang,
    room: Mapping[WorkerId, int],
) -> dict[WorkerId, int]:
    """Returns how many tasks the given parts of workers hold when empty."""
    result = {}
    closed = capacity.closed_to(gang)
    for w, units in room.items():
        worker = capacity.workers[w]
        if w in closed:
            continue
        if worker.zone not in capacity.zones or not worker.shape.accelerators:
            continue
        part = units / worker.shape.accelerators
        slots = _capacity.slots_in(
            worker.shape.cores * part,
            worker.shape.memory_gb * part,
            units,
            gang.shape,
        )
        if slots:
            result[w] = slots
    return result


def place_in_cells(
    capacity: _capacity.Capacity,
    gang: _model.Gang,
    room: Mapping[WorkerId, int],
) -> _capacity.Assignments | None:
    """Places a gang in the free part of its account's cells, or not."""
    limits = cell_slots(capacity, gang, room)
    slots = {
        w: min(n, capacity.slots(w, gang.shape)) for w, n in limits.items()
    }
    for members in _capacity.groups(capacity.workers, gang.adjacency, slots):
        if sum(slots[w] for w in members) >= gang.tasks:
            members = [w for w in members if slots[w] > 0]
            return capacity.fill(members, slots, gang)
    return None


def _fewest(
    trial: _Trial, candidates: list[_model.RunningGang], need: int
) -> list[_model.RunningGang] | None:
    """Chooses victims from candidates sorted by preference.

    If the largest alone is sufficient, the first single one that is
    sufficient is taken. Otherwise the largest are taken until the gang fits,
    and then those that turned out to be unnecessary are put back, the oldest
    first.
    """
    if trial.total >= need:
        return []
    weights = {r.gang.job: trial.weight(r) for r in candidates}
    by_size = sorted(candidates, key=lambda r: -weights[r.gang.job])
    if not by_size or weights[by_size[0].gang.job] <= 0:
        return None
    single = trial.add(by_size[0]) >= need
    trial.add(by_size[0], sign=-1)
    for victim in candidates if single else ():
        if trial.add(victim) >= need:
            return [victim]
        trial.add(victim, sign=-1)
    chosen = []
    for victim in by_size:
        chosen.append(victim)
        if trial.add(victim) >= need:
            break
    else:
        return None
    kept = []
    for victim in sorted(chosen, key=lambda r: r.started_at_s):
        if trial.total - trial.loss(victim) >= need:
            trial.add(victim, sign=-1)
        else:
            kept.append(victim)
    return kept
