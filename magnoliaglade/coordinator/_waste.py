"""Counts wasted work by cause and logs the ends of runs."""

import asyncio
import collections
from collections.abc import Callable
from typing import NamedTuple

from magnoliaglade import observability, placement
from magnoliaglade.jobs import (
    Attempt,
    JobProgress,
    LossCause,
    RunOutcome,
    StepSpec,
    StopCause,
    TaskKey,
)
from magnoliaglade.types import JobId


def wasted_core_s(
    spec: StepSpec, outcome: RunOutcome, elapsed_s: float
) -> float:
    """Returns the work of a run that has to be done again, in core-seconds.

    Args:
        spec: the step.
        outcome: how the run ended.
        elapsed_s: time since its start, in seconds.
    """
    if outcome is RunOutcome.DONE or spec.is_long_running:
        return 0.0
    if outcome is RunOutcome.STOPPED and spec.is_checkpointable:
        # A stop saves a checkpoint.
        return 0.0
    return placement.core_seconds(spec.demand, max(0.0, elapsed_s))


class _EndGroup(NamedTuple):
    """Key of the ends of runs that share a log line."""

    job: JobId
    outcome: RunOutcome
    cause: StopCause | LossCause | None


class WasteLog:
    """Counts wasted work; logs ends of runs that coincide in one line.

    Attributes:
        observe_waste: called with the cause and the core-seconds of each run
            whose work is wasted.
    """

    def __init__(self, *, observe_waste: Callable[[str, float], None]) -> None:
        self.observe_waste = observe_waste
        self._groups: dict[_EndGroup, list[list[object]]] = {}
        self._wasted_core_s: collections.Counter[_EndGroup] = (
            collections.Counter()
        )

    def record_run_end(
        self,
        progress: JobProgress,
        key: TaskKey,
        attempt: Attempt,
        outcome: RunOutcome,
        *,
        wall_s: float,
    ) -> None:
        """Counts the wasted work of a run that ended and logs its end."""
        elapsed_s = wall_s - attempt.started_at_s
        if not attempt.started_at_s or attempt.settled_at_s is None:
            # This coordinator did not observe the start, or the start was
            # never confirmed.
            elapsed_s = 0.0
        spec = progress.job.spec.steps[key.step]
        wasted = wasted_core_s(spec, outcome, elapsed_s)
        cause: StopCause | LossCause | None = attempt.stop_cause
        if outcome is RunOutcome.LOST:
            cause = attempt.loss_cause
        group = _EndGroup(progress.job.job, outcome, cause)
        if not self._groups:
            asyncio.get_running_loop().call_soon(self._log_groups)
        row = [*key, attempt.run, attempt.worker]
        self._groups.setdefault(group, []).append(row)
        self._wasted_core_s[group] += wasted
        if wasted:
            self.observe_waste((attempt.stop_cause or outcome).value, wasted)

    def _log_groups(self) -> None:
        groups, self._groups = self._groups, {}
        waste, self._wasted_core_s = self._wasted_core_s, collections.Counter()
        for group, rows in groups.items():
            observability.log_event(
                "end",
                job=group.job,
                outcome=group.outcome.value,
                cause=group.cause.value if group.cause else None,
                wasted_core_s=round(waste[group], 1),
                runs=rows,
            )
