"""Draws loads of jobs of one step for the pool in virtual time."""

import dataclasses
import random
from collections.abc import Iterable

from magnoliaglade.jobs import Resources, StepKey
from magnoliaglade.placement import UnitId
from magnoliaglade.types import JobId, QueueName


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadJob:
    """A job of one step.

    Attributes:
        name: id.
        account: client account.
        priority: 0 comes first.
        arrives_at_s: time of submission.
        count: number of tasks.
        demand: capacity of each task.
        work_s: true run time of a task near its data.
        estimate_s: declared run time.
        is_gang: the tasks start and end together.
        same_rack: they run far longer on several racks.
        is_saving: a stop keeps the progress.
        stretch: factor on the run time in the objective.
        slack_s: seconds added to it.
        worth: value on time.
        late_worth: value up to three times the objective.
    """

    name: str
    account: str
    priority: int
    arrives_at_s: float
    count: int
    demand: Resources
    work_s: float
    estimate_s: float
    is_gang: bool = False
    same_rack: bool = False
    is_saving: bool = False
    stretch: float = 3.0
    slack_s: float = 1.0
    worth: float = 1.0
    late_worth: float = 0.3

    @property
    def unit(self) -> UnitId:
        """The job's only step run."""
        return UnitId(JobId(self.name), StepKey(0, 0))

    @property
    def queue(self) -> QueueName:
        """Queue of the job; there is one for each priority."""
        return QueueName(f"q{self.priority}")

    @property
    def objective_s(self) -> float:
        """Time from submission by which the job should be complete."""
        return self.stretch * self.work_s + self.slack_s


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadShape:
    """A kind of job for `draw_load`.

    Attributes:
        name: prefix of the names.
        per_s: arrivals in a second.
        burst: times as many arrivals between `burst_at_s` and `burst_end_s`.
        count: mean number of tasks.
        count_most: largest number of tasks.
        accelerators: choices for a task.
        demand: capacity of a task besides accelerators.
        work_s: mean run time.
        share_same_rack: share of gangs that need one rack.
        share_saving: share that saves checkpoints.
        estimate_bias: median of declared run times, as a ratio to true ones.
        estimate_spread: standard deviation of the logarithm of that ratio; 0
            for a uniform error of up to a quarter.
        fields: further fields of the jobs.
    """

    name: str
    per_s: float
    count: float
    count_most: int
    accelerators: tuple[int, ...]
    demand: Resources
    work_s: float
    share_same_rack: float = 0.0
    share_saving: float = 0.0
    estimate_bias: float = 1.0
    estimate_spread: float = 0.0
    burst: float = 1.0
    burst_at_s: float = 0.0
    burst_end_s: float = 0.0
    fields: dict[str, object] = dataclasses.field(default_factory=dict)


def draw_load(
    shapes: Iterable[LoadShape],
    *,
    accounts: int,
    until_s: float,
    seed: int,
) -> list[LoadJob]:
    """Draws a load; the same arguments give the same jobs."""
    found: list[LoadJob] = []
    for shape in shapes:
        rng = random.Random(f"{seed}/{shape.name}")
        at_s = 0.0
        while True:
            is_burst = shape.burst_at_s <= at_s < shape.burst_end_s
            rate = shape.per_s * (shape.burst if is_burst else 1.0)
            at_s += rng.expovariate(rate)
            if at_s >= until_s:
                break
            found.append(_draw_job(shape, rng, at_s, accounts, len(found)))
    found.sort(key=lambda j: j.arrives_at_s)
    return found


def _draw_job(
    shape: LoadShape,
    rng: random.Random,
    at_s: float,
    accounts: int,
    number: int,
) -> LoadJob:
    width = rng.lognormvariate(0.0, 0.7) * shape.count * 0.78
    accelerators = rng.choice(shape.accelerators)
    work_s = max(0.5, shape.work_s * rng.lognormvariate(-0.05, 0.3))
    return LoadJob(
        name=f"{shape.name}{number}",
        account=f"a{rng.randrange(accounts)}",
        arrives_at_s=at_s,
        count=max(1, min(shape.count_most, round(width))),
        demand=dataclasses.replace(shape.demand, accelerators=accelerators),
        work_s=work_s,
        estimate_s=work_s * _draw_estimate_ratio(shape, rng),
        same_rack=rng.random() < shape.share_same_rack,
        is_saving=rng.random() < shape.share_saving,
        **shape.fields,  # type: ignore[arg-type]
    )


def _draw_estimate_ratio(shape: LoadShape, rng: random.Random) -> float:
    if not shape.estimate_spread:
        return shape.estimate_bias * rng.uniform(0.8, 1.25)
    return shape.estimate_bias * rng.lognormvariate(0.0, shape.estimate_spread)
