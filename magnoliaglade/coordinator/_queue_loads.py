"""Estimates the loads of overloaded queues for publication."""

from collections.abc import Callable

from magnoliaglade import placement
from magnoliaglade.coordinator._snapshot import SnapshotBuilder
from magnoliaglade.coordinator._table import JobTable
from magnoliaglade.placement import QueueLoad
from magnoliaglade.routing import Configuration, Queue
from magnoliaglade.types import QueueName


class QueueLoadEstimator:
    """Estimates how long new submissions to overloaded queues have to wait.

    Attributes:
        table: the jobs.
        snapshot_builder: knows the mean work of the jobs of each queue.
        configuration: returns the configuration in force.
        snapshot: returns the snapshot of the last plan, or None if none was
            made or nothing waits.
    """

    def __init__(
        self,
        *,
        table: JobTable,
        snapshot_builder: SnapshotBuilder,
        configuration: Callable[[], Configuration | None],
        snapshot: Callable[[], placement.Snapshot | None],
    ) -> None:
        self.table = table
        self.snapshot_builder = snapshot_builder
        self.configuration = configuration
        self.snapshot = snapshot

    def estimate(self) -> dict[QueueName, QueueLoad]:
        """Returns the loads of the queues that are overloaded.

        A queue is overloaded if a new job of average length, and of a size that
        lets most others go first, would be worth nothing.
        """
        snapshot = self.snapshot()
        configuration = self.configuration()
        if snapshot is None or configuration is None:
            return {}
        waits = placement.WaitEstimator(snapshot=snapshot)
        if not waits.is_overloaded:
            return {}
        loads: dict[QueueName, QueueLoad] = {}
        for queue in configuration.queues:
            load = self._load(queue, waits)
            if load is None:
                continue
            limit_s = load.max_useful_wait_s(
                load.path_s,
                stretch=queue.stretch,
                objective_s=queue.objective_s,
            )
            if max(load.waits_s) > limit_s:
                loads[queue.name] = load
        return loads

    def _load(
        self, queue: Queue, waits: placement.WaitEstimator
    ) -> QueueLoad | None:
        """Returns the load of a queue; None if nothing of it is waiting."""
        paths_s = []
        for progress in self.table.active_jobs():
            job = progress.job
            if job.queue == queue.name and not progress.has_started:
                run_times_s = self.snapshot_builder.run_times.step_run_times_s(
                    job
                )
                chains_s = job.chain_lengths_s(run_times_s)
                paths_s.append(max(chains_s, default=0.0))
        core_s = self.snapshot_builder.work.mean_core_s(queue.name)
        if not paths_s or core_s <= 0.0:
            return None
        densities = [
            placement.job_value(ratio) / (ratio * core_s)
            if ratio
            else float("inf")
            for ratio in placement.WORK_RATIOS
        ]
        return QueueLoad(
            path_s=sum(paths_s) / len(paths_s),
            core_s=core_s,
            waits_s=waits.waits_s(queue.service, queue.priority, densities),
        )
