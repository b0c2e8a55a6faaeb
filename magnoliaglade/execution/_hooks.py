"""Callables that connect an owner to the components around it."""

import dataclasses
from collections.abc import Awaitable, Callable, Mapping

from magnoliaglade import configuration, scheduling
from magnoliaglade import store as store_lib
from magnoliaglade.execution import (
    _attempt_hooks,
    _calls,
    _errors,
    _gangs,
    _launch,
    _moves,
    _records,
)
from magnoliaglade.types import Epoch, JobId, WorkerId, ZoneId


def _ignore(*_: object) -> None:
    """Stands for a callable that is not set."""


async def _cannot_forward(domain: str, _: _records.Accepted) -> None:
    raise _errors.ForwardError(f"{domain}: no forward is set")


async def _agree(*_: object) -> bool:
    """Stands for a question that is not set."""
    return True


async def _no_delegate(*_: object) -> None:
    """Stands for a delegate that is not set."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnerHooks:
    """What the owner asks of the components around it.

    Attributes:
        decide: the scheduling decision.
        workers: the listed workers of the domain by id, with their states.
        client: client of a worker; raises `WorkerUnreachableError` for one
            that is not listed.
        startable_zones: zones in service that were confirmed freshly.
        may_act_in_outage: whether a majority has granted permission while
            the store is down.
        refine: adds guarantees, quotas, weights and estimates to a snapshot.
        on_outcome: told worker, job and success of each task; quarantine.
        expected_run_s: expected run time of a gang in seconds; it is looked
            at around its expected end.
        on_run_time: told gang and run time in seconds of each finished gang
            that did not continue from a checkpoint; for the estimators.
        zone_policy: what happens to running tasks of the removed zone; None
            while it is in service.
        choose_domain: domain that a job moves to.
        forward: hands a job to another domain, see `Moves`.
        on_renewed: awaited after each renewal round with epoch and gangs; for
            the renewal delegate.
        is_informed: whether a majority of the view has told its zone removal
            intents; asked until it is, and nothing starts before.
        is_takeover_agreed: whether a majority of the predecessor's view lets
            it act no more; asked while a listed worker is not fenced.
        on_lost: told once when another owner has taken over.
        on_step: awaited before each step of a launch, or None.
    """

    decide: Callable[[scheduling.ClusterSnapshot], scheduling.Plan]
    workers: Callable[[], Mapping[WorkerId, scheduling.Worker]]
    client: _calls.Client
    startable_zones: Callable[[], frozenset[ZoneId]]
    may_act_in_outage: Callable[[], bool] = lambda: False
    refine: Callable[
        [scheduling.ClusterSnapshot], scheduling.ClusterSnapshot
    ] = lambda snapshot: snapshot
    on_outcome: _attempt_hooks.Outcome = _ignore
    expected_run_s: _attempt_hooks.ExpectedRun = _attempt_hooks.declared_run_s
    on_run_time: _attempt_hooks.RunTime = _ignore
    zone_policy: Callable[[], configuration.ZonePolicy | None] = lambda: None
    choose_domain: _moves.ChooseDomain = lambda _: None
    forward: _moves.Forward = _cannot_forward
    on_renewed: Callable[[Epoch, list[_gangs.ActiveGang]], Awaitable[None]] = (
        _no_delegate
    )
    is_informed: Callable[[], Awaitable[bool]] = _agree
    is_takeover_agreed: Callable[
        [store_lib.DomainOwnership], Awaitable[bool]
    ] = _agree
    on_lost: Callable[[], None] = _ignore
    on_step: Callable[[_launch.LaunchStep, JobId], Awaitable[None]] | None = (
        None
    )
