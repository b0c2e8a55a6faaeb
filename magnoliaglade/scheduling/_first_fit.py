"""Baseline policy: first come, first served, first fit."""

from magnoliaglade import kernel
from magnoliaglade.scheduling import _capacity, _model, _order, _refusals
from magnoliaglade.scheduling import base as scheduling_base


@kernel.register("policy", "first-fit")
class FirstFitPolicy(scheduling_base.Policy):
    """Starts waiting gangs by submission on the first workers that fit.

    A gang that does not fit is passed over. There are no guarantees,
    evictions or reservations, so no start counts as borrowed.
    """

    def __init__(self) -> None:
        pass

    def plan(
        self, snapshot: _model.ClusterSnapshot, *, seed: int
    ) -> _model.Plan:
        """Returns the starts and refusals."""
        del seed
        capacity = _capacity.Capacity(
            workers=snapshot.workers,
            running=snapshot.running.values(),
            zones=snapshot.startable_zones,
            avoided=snapshot.avoided,
        )
        usage = _order.Usage.of(snapshot)
        judge = _refusals.Judge(snapshot=snapshot, usage=usage)
        starts, refusals = [], []
        for gang in sorted(
            snapshot.pending, key=lambda g: (g.submitted_at_s, g.job)
        ):
            refusal = judge.before_placement(gang)
            found = None
            if refusal is None:
                found = capacity.find(gang, best_fit=False)
                refusal = None if found else judge.unplaced(gang)
            if refusal is not None:
                refusals.append(refusal)
                continue
            capacity.allocate(found, gang.shape)
            usage.add(gang)
            starts.append(_model.Placement(job=gang.job, assignments=found))
        return _model.Plan(starts=tuple(starts), refusals=tuple(refusals))
