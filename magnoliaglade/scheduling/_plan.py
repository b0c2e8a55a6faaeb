"""`decide` and the application of plans to snapshots."""

import dataclasses

from magnoliaglade import kernel
from magnoliaglade.scheduling import _errors, _model
from magnoliaglade.scheduling import base as scheduling_base


def decide(
    snapshot: _model.ClusterSnapshot,
    *,
    policy: scheduling_base.Policy | str = "cells",
    seed: int,
) -> _model.Plan:
    """Decides what to do now.

    Args:
        snapshot: everything that the decision depends on.
        policy: a policy, or the name of one in the registry.
        seed: breaks ties between gangs of equal rank.

    Raises:
        PluginError: no policy has the name.
    """
    if isinstance(policy, str):
        policy = kernel.create("policy", policy)
    return policy.plan(snapshot, seed=seed)


def apply_plan(
    snapshot: _model.ClusterSnapshot, plan: _model.Plan
) -> _model.ClusterSnapshot:
    """Returns the snapshot after all evictions and starts of a plan.

    Evicted gangs wait again with the next attempt number; permanently refused
    gangs are dropped.

    Raises:
        InvalidPlanError: an evicted gang does not run, or a started gang does
            not wait.
    """
    running = dict(snapshot.running)
    pending = {g.job: g for g in snapshot.pending}
    for eviction in plan.evictions:
        evicted = running.pop(eviction.job, None)
        if evicted is None:
            raise _errors.InvalidPlanError(f"{eviction.job} does not run")
        pending[eviction.job] = dataclasses.replace(
            evicted.gang, attempt=evicted.gang.attempt + 1
        )
    for placement in plan.starts:
        gang = pending.pop(placement.job, None)
        if gang is None:
            raise _errors.InvalidPlanError(f"{placement.job} does not wait")
        running[placement.job] = _model.RunningGang(
            gang=gang, placement=placement, started_at_s=snapshot.now_s
        )
    for refusal in plan.refusals:
        if refusal.permanent:
            pending.pop(refusal.job, None)
    return dataclasses.replace(
        snapshot, running=running, pending=tuple(pending.values())
    )
