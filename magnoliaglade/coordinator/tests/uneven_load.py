"""Plays an ordinary load on a pool whose workers differ in speed.

Urgent gangs, gangs of batch work and wide steps of batch work, in proportions
and sizes like those of a deployment whose workers run at 0.7, 0.7 and 1.7 times
the normal speed. The clock is virtual, and a seed determines the load.
"""

import collections
import dataclasses
import random

from magnoliaglade.coordinator.tests import harness
from magnoliaglade.jobs import Resources, parse_task_name
from magnoliaglade.types import QueueName

UNEVEN_SPEEDS = (0.7, 0.7, 1.7)
EQUAL_SPEEDS = (1.0,)
CAPACITY = Resources(cores_m=32_000, memory_mb=65_536, accelerators=8)
# Standard deviations of the logarithm of the run time: of the tasks of a step,
# and of the jobs of a queue.
TASK_SPREAD = 0.15
JOB_SPREAD = 0.4
# Relative error of declared run times.
DECLARED_ERROR = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shape:
    """Jobs of one queue; `per_worker_s` is their rate for each worker."""

    queue: str
    priority: int
    per_worker_s: float
    count: int
    work_s: float
    cores_m: int
    accelerators: tuple[int, ...]
    stretch: float
    objective_s: float
    is_gang: bool


URGENT = Shape(
    queue="urgent",
    priority=0,
    per_worker_s=2.5 / 176,
    count=5,
    work_s=2.1,
    cores_m=3_700,
    accelerators=(1, 2, 3, 4),
    stretch=1.5,
    objective_s=0.3,
    is_gang=True,
)
SHAPES = (
    URGENT,
    Shape(
        queue="gangs",
        priority=1,
        per_worker_s=0.59 / 176,
        count=13,
        work_s=9.4,
        cores_m=13_000,
        accelerators=(1, 2, 3, 4),
        stretch=3.0,
        objective_s=1.0,
        is_gang=True,
    ),
    Shape(
        queue="wide",
        priority=2,
        per_worker_s=0.94 / 176,
        count=39,
        work_s=6.5,
        cores_m=2_800,
        accelerators=(1,),
        stretch=3.0,
        objective_s=3.0,
        is_gang=False,
    ),
)


class UnevenLoad:
    """A deployment, the true speeds of its workers and a load.

    Attributes:
        deployment: store, workers and coordinators.
        speeds: true speed by worker; it may change while the load is played.
        work_s: run time of a task on an average worker, by job and index.
    """

    def __init__(self, *, speeds=UNEVEN_SPEEDS, workers=24, seed=1):
        self.random = random.Random(f"uneven/{seed}")
        self.deployment = harness.Deployment(workers=workers, per_rack=8)
        self.speeds = {}
        self.work_s = {}
        self.jobs = {}
        self._number = 0
        for number, (name, engine) in enumerate(
            self.deployment.engines.items()
        ):
            self.speeds[name] = speeds[number % len(speeds)]
            engine.capacity = CAPACITY
            engine.duration_s = lambda task, name=name: (
                self.task_work_s(task) / self.speeds[name]
            )

    def task_work_s(self, task):
        job, key = parse_task_name(task)
        return self.work_s[job][key.index]

    async def play(self, duration_s, *, shapes=SHAPES):
        """Submits jobs at random times for a duration in seconds."""
        arrivals = []
        for shape in shapes:
            rate = shape.per_worker_s * len(self.speeds)
            at_s = self.random.expovariate(rate)
            while at_s < duration_s:
                arrivals.append((at_s, len(arrivals), shape))
                at_s += self.random.expovariate(rate)
        now_s = 0.0
        for at_s, _, shape in sorted(arrivals):
            await self.deployment.clock.advance(at_s - now_s)
            now_s = at_s
            await self._submit(shape)
        await self.deployment.clock.advance(duration_s - now_s)

    async def _submit(self, shape):
        draw = self.random
        self._number += 1
        work_s = shape.work_s * draw.lognormvariate(0.0, JOB_SPREAD)
        step = harness.make_step(
            count=shape.count,
            accelerators=draw.choice(shape.accelerators),
            cores_m=shape.cores_m,
            estimate_s=work_s
            * draw.uniform(1.0 - DECLARED_ERROR, 1.0 + DECLARED_ERROR),
            is_gang=shape.is_gang,
        )
        job = harness.make_job(
            f"{shape.queue}{self._number}",
            step,
            priority=shape.priority,
            queue=QueueName(shape.queue),
            accepted_at_s=self.deployment.clock.time(),
            stretch=shape.stretch,
            objective_s=shape.objective_s,
        )
        self.work_s[job.job] = [
            work_s * draw.lognormvariate(0.0, TASK_SPREAD)
            for _ in range(shape.count)
        ]
        self.jobs[job.job] = shape
        await self.deployment.submit(job)

    def starts_by_job(self, shape, *, from_s=0.0, until_s=float("inf")):
        """Returns the workers of the first starts of each job of a queue."""
        found = collections.defaultdict(list)
        for worker, engine in self.deployment.engines.items():
            for start in engine.starts:
                job, _ = parse_task_name(start.task)
                if (
                    self.jobs[job] is shape
                    and start.run == 1
                    and from_s <= start.at_s < until_s
                ):
                    found[job].append(worker)
        return dict(found)

    def share_on_fast_workers(self, shape, **times):
        """Returns the share of jobs whose slowest worker is a fast one."""
        placed = self.starts_by_job(shape, **times).values()
        fast = [min(self.speeds[w] for w in x) > 1.0 for x in placed]
        return sum(fast) / len(fast)
