"""Order in which waiting gangs are considered."""

import dataclasses
import heapq
import zlib
from collections import defaultdict
from collections.abc import Iterator, Mapping

from magnoliaglade.scheduling import _model
from magnoliaglade.types import AccountId, JobId

# Added to wait and run time, so that jobs of seconds do not outrank all
# others as soon as they have waited for a moment.
_BASE_RUN_S = 60.0

# A large gang that has waited this long goes ahead of all work that is not
# urgent, because small work that keeps arriving would always fit first.
LARGE_WAIT_S = 300.0

# Batch work that has waited this long counts as normal work.
AGEING_S = 4 * 3600.0

# A deadline is urgent within its class once the slack is below this multiple
# of the expected run time; earlier it would only displace other work.
_SLACK_RUNS = 2.0


@dataclasses.dataclass(kw_only=True)
class Usage:
    """Resources in use by account, as the largest share of the cluster."""

    totals: tuple[float, float, float]
    weights: Mapping[AccountId, float]
    used: dict[AccountId, list[float]] = dataclasses.field(
        default_factory=lambda: defaultdict(lambda: [0.0, 0.0, 0])
    )

    @classmethod
    def of(cls, snapshot: _model.ClusterSnapshot) -> "Usage":
        """Sums up a snapshot."""
        shapes = [w.shape for w in snapshot.workers.values()]
        usage = cls(
            totals=(
                sum(s.cores for s in shapes),
                sum(s.memory_gb for s in shapes),
                sum(s.accelerators for s in shapes),
            ),
            weights=snapshot.weights,
        )
        for running in snapshot.running.values():
            usage.add(running.gang)
        return usage

    def add(self, gang: _model.Gang, sign: int = 1) -> None:
        """Counts a gang in, or out with `sign=-1`."""
        used, n = self.used[gang.account], sign * gang.tasks
        used[0] += gang.shape.cores * n
        used[1] += gang.shape.memory_gb * n
        used[2] += gang.shape.accelerators * n

    def accelerators(self, account: AccountId) -> int:
        """Returns the accelerators in use by an account."""
        return int(self.used[account][2])

    def share(self, account: AccountId) -> float:
        """Returns the largest resource share divided by the weight."""
        pairs = zip(self.used[account], self.totals, strict=True)
        share = max(u / t if t else 0.0 for u, t in pairs)
        return share / max(self.weights.get(account, 1.0), 1e-9)


def expected_run_s(
    snapshot: _model.ClusterSnapshot, gang: _model.Gang
) -> float:
    """Returns the learned run time, or the declared one."""
    return snapshot.expected_run_s.get(gang.job, gang.declared_run_s)


def is_large(gang: _model.Gang) -> bool:
    """Tells whether a gang needs several accelerators at the same time."""
    return gang.tasks > 1 and gang.tasks * gang.shape.accelerators >= 8


def in_order(
    snapshot: _model.ClusterSnapshot, usage: Usage, *, seed: int
) -> Iterator[_model.Gang]:
    """Yields the waiting gangs, the most pressing first.

    Classes go by priority; large gangs that have waited too long count as
    normal at least. Within a class the order is: these, by submission;
    deadlines that are missed or about to be, by latest start; all others by
    (wait + run) / run, divided by how far the account is above its fair
    share. `usage` is read again before every step, so gangs started in
    between lower their account's rank.
    """
    heap = []
    for gang in snapshot.pending:
        rank, urgency, ratio = _static_rank(snapshot, gang)
        tie = zlib.crc32(f"{seed}:{gang.job}".encode())
        score = _score(usage, gang, ratio)
        heap.append((rank, urgency, -score, tie, gang.job, ratio, gang))
    heapq.heapify(heap)
    while heap:
        rank, urgency, negative, tie, job, ratio, gang = heap[0]
        score = _score(usage, gang, ratio)
        if -negative - score > 1e-9:
            entry = (rank, urgency, -score, tie, job, ratio, gang)
            heapq.heapreplace(heap, entry)
            continue
        heapq.heappop(heap)
        yield gang


def expected_end_s(snapshot: _model.ClusterSnapshot, job: JobId) -> float:
    """Returns when a running gang probably ends.

    A gang that has outrun its estimate is expected to run for another half
    of the time it has run, because declared times are far too short.
    """
    running = snapshot.running[job]
    end = running.started_at_s + expected_run_s(snapshot, running.gang)
    if end > snapshot.now_s:
        return end
    elapsed = snapshot.now_s - running.started_at_s
    return snapshot.now_s + max(0.5 * elapsed, _BASE_RUN_S)


def _static_rank(
    snapshot: _model.ClusterSnapshot, gang: _model.Gang
) -> tuple[tuple[int, int], float, float]:
    run = expected_run_s(snapshot, gang)
    wait = max(0.0, snapshot.now_s - gang.submitted_at_s)
    priority = int(gang.priority)
    if gang.priority is _model.Priority.BATCH and wait > AGEING_S:
        priority = int(_model.Priority.NORMAL)
    ratio = (wait + run + _BASE_RUN_S) / (run + _BASE_RUN_S)
    if is_large(gang) and wait > LARGE_WAIT_S:
        priority = max(priority, int(_model.Priority.NORMAL))
        return (-priority, 0), gang.submitted_at_s, ratio
    if gang.deadline_s is not None:
        slack = gang.deadline_s - snapshot.now_s - run
        # Missed deadlines stay in the class: work that is late already would
        # otherwise wait behind all work that is not.
        if slack < _SLACK_RUNS * run + _BASE_RUN_S:
            return (-priority, 1), gang.deadline_s - run, ratio
    return (-priority, 2), 0.0, ratio


def _score(usage: Usage, gang: _model.Gang, ratio: float) -> float:
    # An account at its even share counts as 1.
    return ratio / (1.0 + len(usage.used) * usage.share(gang.account))
