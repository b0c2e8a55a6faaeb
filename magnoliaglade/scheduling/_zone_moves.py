"""What happens to work when a zone is removed, and when it returns."""

import dataclasses
import math
import zlib
from collections import defaultdict
from collections.abc import Mapping

from magnoliaglade import configuration as configuration_lib
from magnoliaglade.scheduling import _model, _order
from magnoliaglade.types import JobId, WorkerId, ZoneId

# Time over which the workers of a returned zone come back into use. All
# waiting gangs would otherwise start there at the same moment.
RETURN_RAMP_S = 60.0

# A gang that ends within this time is not worth a checkpoint and a restart.
FINISH_WITHIN_S = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZoneMove:
    """Treatment of the gangs that run in a removed zone.

    Attributes:
        checkpoint: gangs to checkpoint and start elsewhere.
        finish: gangs that keep running.
    """

    checkpoint: tuple[JobId, ...]
    finish: tuple[JobId, ...]


def plan_zone_removal(
    snapshot: _model.ClusterSnapshot,
    zone: ZoneId,
    *,
    policy: configuration_lib.ZonePolicy,
) -> ZoneMove:
    """Decides for each gang in a removed zone.

    Gangs that cannot continue from a checkpoint, or must not start twice,
    keep running whatever the policy says; so do gangs that end soon.
    """
    checkpoint, finish = [], []
    for job, running in sorted(snapshot.running.items()):
        workers = [w for w, _ in running.placement.assignments]
        if not any(
            w in snapshot.workers and snapshot.workers[w].zone == zone
            for w in workers
        ):
            continue
        gang = running.gang
        end_s = _order.expected_end_s(snapshot, job)
        moves = (
            policy is configuration_lib.ZonePolicy.CHECKPOINT
            and gang.checkpointable
            and not gang.at_most_once
            and end_s > snapshot.now_s + FINISH_WITHIN_S
        )
        (checkpoint if moves else finish).append(job)
    return ZoneMove(checkpoint=tuple(checkpoint), finish=tuple(finish))


def with_return_ramp(
    snapshot: _model.ClusterSnapshot,
    returned_at_s: Mapping[ZoneId, float],
    *,
    ramp_s: float = RETURN_RAMP_S,
) -> _model.ClusterSnapshot:
    """Returns the snapshot with returned zones partly in use.

    The share of a zone's workers that get new tasks grows evenly from the
    first worker to all of them. Workers of the same rack follow each other,
    so that gangs in one rack can start early. The others are marked as
    leaving for this decision, the state in which running tasks stay and none
    start.
    """
    held: set[WorkerId] = set()
    for zone, workers in _by_zone(snapshot).items():
        if zone not in returned_at_s:
            continue
        share = (snapshot.now_s - returned_at_s[zone]) / ramp_s
        count = max(1, math.ceil(min(1.0, share) * len(workers)))
        workers.sort(key=lambda w: (_mixed(w.rack), w.rack, w.worker))
        held.update(w.worker for w in workers[count:])
    if not held:
        return snapshot
    leaving = _model.WorkerState.LEAVING
    return dataclasses.replace(
        snapshot,
        workers={
            w: dataclasses.replace(x, state=leaving) if w in held else x
            for w, x in snapshot.workers.items()
        },
    )


def _by_zone(
    snapshot: _model.ClusterSnapshot,
) -> dict[ZoneId, list[_model.Worker]]:
    zones: dict[ZoneId, list[_model.Worker]] = defaultdict(list)
    for worker in snapshot.workers.values():
        if worker.state is _model.WorkerState.AVAILABLE:
            zones[worker.zone].append(worker)
    return zones


def _mixed(text: str) -> int:
    return zlib.crc32(text.encode())
