"""Selects the workers on which a step is not started again after failures.

Handles workers that fail whatever they start, and steps that fail wherever they
run. Every exclusion ends by itself, so that accepted work always goes on.
"""

from collections.abc import Mapping, Sequence

from magnoliaglade.jobs import FAILURE_MEMORY_S
from magnoliaglade.placement._capacity_tracker import is_eligible
from magnoliaglade.placement._model import Candidate, Demand
from magnoliaglade.types import WorkerId

# Delay in seconds before a step that has attempts left starts again where it
# failed. Its last attempt is kept from the worker for longer.
RETRY_DELAY_S = 2.0
# Number of workers from which a step that fails on most of them is at fault
# itself; of fewer workers, all may be faulty at the same time.
MIN_WIDESPREAD_WORKERS = 4


def excluded_workers(
    demand: Demand,
    candidates: Sequence[Candidate],
    *,
    failed_at_s: Mapping[WorkerId, float],
    has_last_attempt: bool,
    now_s: float,
) -> frozenset[WorkerId]:
    """Returns the workers on which a demand must not be started now.

    Args:
        demand: the demand, without exclusions.
        candidates: all workers.
        failed_at_s: time of the last failure of the step by worker, in seconds.
        has_last_attempt: one more failure would fail the job.
        now_s: current time in seconds, on the clock of `failed_at_s`.
    """
    delay_s = FAILURE_MEMORY_S if has_last_attempt else RETRY_DELAY_S
    suspects = frozenset(
        w for w, at_s in failed_at_s.items() if now_s - at_s < delay_s
    )
    if has_last_attempt and _is_widespread(suspects, demand, candidates):
        return frozenset()
    return suspects


def _is_widespread(
    suspects: frozenset[WorkerId],
    demand: Demand,
    candidates: Sequence[Candidate],
) -> bool:
    """Returns whether suspects are many, and most of the eligible workers."""
    if len(suspects) < MIN_WIDESPREAD_WORKERS:
        return False
    eligible = [c.worker for c in candidates if is_eligible(c, demand)]
    count = sum(w in suspects for w in eligible)
    return count >= MIN_WIDESPREAD_WORKERS and 2 * count > len(eligible)
