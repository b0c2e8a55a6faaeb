"""Reasons for which a gang is not started, in words for its submitter."""

from magnoliaglade.scheduling import _capacity, _model, _order

_REASON = _model.RefusalReason
_CLOSENESS = {
    _model.Adjacency.ANY: "on all workers together",
    _model.Adjacency.ZONE: "in one zone",
    _model.Adjacency.RACK: "in one rack",
    _model.Adjacency.WORKER: "on one worker",
}


class Judge:
    """Tells permanent refusals from those that a change of load can lift."""

    def __init__(
        self, *, snapshot: _model.ClusterSnapshot, usage: _order.Usage
    ) -> None:
        self.snapshot = snapshot
        self.usage = usage
        self._empty: _capacity.Capacity | None = None
        self._possible: dict[tuple, bool] = {}

    def before_placement(self, gang: _model.Gang) -> _model.Refusal | None:
        """Returns a refusal that needs no look at the workers, or None."""
        if gang.job in self.snapshot.exhausted:
            return _refuse(
                gang,
                _REASON.RETRIES_EXHAUSTED,
                "the job has failed too often or on too many sound workers",
                permanent=True,
            )
        need = gang.tasks * gang.shape.accelerators
        quota = self.snapshot.quotas.get(gang.account)
        if quota is not None and need > quota:
            return _refuse(
                gang,
                _REASON.QUOTA,
                f"the job needs {need} accelerators at the same time; the "
                f"quota of account {gang.account} is {quota}",
                permanent=True,
            )
        used = self.usage.accelerators(gang.account)
        if quota is not None and used + need > quota:
            return _refuse(
                gang,
                _REASON.QUOTA,
                f"account {gang.account} uses {used} of its quota of "
                f"{quota} accelerators; the job needs {need}",
            )
        return None

    def unplaced(self, gang: _model.Gang) -> _model.Refusal:
        """Returns the reason why a gang found no place."""
        if not self._can_ever_run(gang):
            shape = gang.shape
            return _refuse(
                gang,
                _REASON.NO_SHAPE,
                f"{gang.tasks} tasks of {shape.cores:g} cores, "
                f"{shape.memory_gb:g} GB and {shape.accelerators} "
                f"accelerators each do not fit {_CLOSENESS[gang.adjacency]}, "
                "even if nothing else runs",
                permanent=True,
            )
        if not self.snapshot.startable_zones:
            return _refuse(
                gang,
                _REASON.ZONE_NOT_CONFIRMED,
                "no zone is confirmed to be in service at the moment",
            )
        return _refuse(
            gang, _REASON.NO_CAPACITY, "waiting for running work to end"
        )

    def _can_ever_run(self, gang: _model.Gang) -> bool:
        key = (gang.shape, gang.adjacency, gang.tasks)
        if key not in self._possible:
            if self._empty is None:
                workers = self.snapshot.workers
                self._empty = _capacity.Capacity(
                    workers=workers,
                    running=(),
                    zones={w.zone for w in workers.values()},
                    any_state=True,
                )
            self._possible[key] = self._empty.fits(gang)
        return self._possible[key]


def _refuse(
    gang: _model.Gang,
    reason: _model.RefusalReason,
    detail: str,
    *,
    permanent: bool = False,
) -> _model.Refusal:
    return _model.Refusal(
        job=gang.job, reason=reason, permanent=permanent, detail=detail
    )
