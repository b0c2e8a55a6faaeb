"""Callables that connect the attempts of a domain to their owner."""

import dataclasses
from collections.abc import Awaitable, Callable

from magnoliaglade import scheduling
from magnoliaglade.execution import _launch
from magnoliaglade.types import JobId, WorkerId

Outcome = Callable[[WorkerId, JobId, bool], None]
ExpectedRun = Callable[[scheduling.Gang], float]
RunTime = Callable[[scheduling.Gang, float], None]


def declared_run_s(gang: scheduling.Gang) -> float:
    """Returns the run time that the submitter declared."""
    return gang.declared_run_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptHooks:
    """Callables of the surrounding owner.

    Attributes:
        may_start: whether starts are permitted now.
        may_start_unrecorded: whether restartable jobs may start although the
            store does not take their record.
        on_outcome: told worker, job and success of a task; for quarantine.
        expected_run_s: expected run time of a gang.
        on_run_time: told gang and run time in seconds of each whole run.
        on_free: told that capacity or a job became available.
        on_lost: told the error by which another owner showed up.
        on_step: awaited before each step of a launch, or None.
    """

    may_start: Callable[[], bool]
    may_start_unrecorded: Callable[[], bool]
    on_outcome: Outcome
    expected_run_s: ExpectedRun
    on_run_time: RunTime
    on_free: Callable[[], None]
    on_lost: Callable[[Exception], None]
    on_step: Callable[[_launch.LaunchStep, JobId], Awaitable[None]] | None
