"""Work of the two deployments of design 1.3, drawn from a seed."""

import dataclasses
import random

from magnoliaglade import configuration as configuration_lib
from magnoliaglade import scheduling
from magnoliaglade.types import AccountId, JobId, RackId, WorkerId, ZoneId

_PRIORITY = scheduling.Priority
_ADJACENCY = scheduling.Adjacency


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """Workers and kinds of work of a deployment."""

    name: str
    zones: tuple[str, ...]
    per_zone: int
    cores: float
    memory_gb: float
    small: str
    once: str
    large: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Job:
    """A gang with its true run time in seconds."""

    gang: scheduling.Gang
    run_s: float


INKSTONE = Deployment(
    name="inkstone",
    zones=("east-asia-a", "east-asia-b", "east-asia-c"),
    per_zone=8,
    cores=64,
    memory_gb=128,
    small="proof",
    once="reprint",
    large="training",
)
HVALFJORDUR = Deployment(
    name="hvalfjordur",
    zones=("borg-a", "borg-b", "akra-a", "akra-b"),
    per_zone=6,
    cores=128,
    memory_gb=512,
    small="fitting",
    once="replay",
    large="survey",
)
DEPLOYMENTS = (INKSTONE, HVALFJORDUR)
ACCOUNTS = tuple(AccountId(a) for a in ("a0", "a1", "a2", "a3"))
# The last account has only the work of `_make_probes`.
_ACCOUNT_SHARES = (0.5, 0.3, 0.2, 0.0)
DURATION_S = 6 * 3600.0
ACCELERATORS = 8


def make_workers(deployment: Deployment) -> dict:
    """Returns the workers: one rack a zone."""
    workers = {}
    for zone in deployment.zones:
        for n in range(deployment.per_zone):
            name = WorkerId(f"{zone}-{n}")
            workers[name] = scheduling.Worker(
                worker=name,
                zone=ZoneId(zone),
                rack=RackId("r0"),
                shape=scheduling.Shape(
                    cores=deployment.cores,
                    memory_gb=deployment.memory_gb,
                    accelerators=ACCELERATORS,
                ),
            )
    return workers


def make_configuration(
    deployment: Deployment, zones: frozenset
) -> configuration_lib.Configuration:
    """Returns guarantees of 4, 4, 2 and 2 workers for the accounts."""
    states = configuration_lib.ZoneState
    return configuration_lib.Configuration(
        revision=1,
        zones=tuple(
            configuration_lib.ZoneConfig(
                zone=ZoneId(z),
                region="r",
                state=states.IN_SERVICE if z in zones else states.REMOVED,
            )
            for z in deployment.zones
        ),
        accounts=tuple(
            configuration_lib.AccountConfig(
                account=account,
                key_digest="",
                guarantees=(
                    configuration_lib.Guarantee(
                        level=configuration_lib.CellLevel.WORKER, count=count
                    ),
                ),
            )
            for account, count in zip(ACCOUNTS, (4, 4, 2, 2), strict=True)
        ),
    )


def make_jobs(deployment: Deployment, rng: random.Random) -> list[Job]:
    """Returns jobs by submission; together about the whole capacity.

    Small jobs come evenly and in bursts; true run times are log-normal and
    the declared ones differ by a log-normal factor (sigma 1).
    """
    jobs: list[Job] = []
    streams = (
        (deployment.small, 0.45, 480.0),
        (deployment.once, 0.08, 900.0),
        (deployment.large, 0.45, 2700.0),
        ("urgent", 0.02, 300.0),
    )
    total = len(deployment.zones) * deployment.per_zone * ACCELERATORS
    for kind, load, mean_s in streams:
        spent, budget = 0.0, load * total * DURATION_S
        while spent < budget:
            job = _draw(deployment, kind, mean_s, len(jobs), rng)
            jobs.append(job)
            shape = job.gang.shape
            spent += job.run_s * job.gang.tasks * max(1, shape.accelerators)
    jobs += _make_probes(deployment, rng)
    jobs.sort(key=lambda j: (j.gang.submitted_at_s, j.gang.job))
    return jobs


def _make_probes(deployment: Deployment, rng: random.Random) -> list[Job]:
    """Returns gangs of an account's whole guarantee, two an hour.

    They do not overlap, as a second one would exceed the guarantee.
    """
    probes = []
    for n in range(int(DURATION_S // 1800)):
        gang = scheduling.Gang(
            job=JobId(f"guaranteed-{n}"),
            account=ACCOUNTS[-1],
            submitted_at_s=1800.0 * n + rng.uniform(0, 900),
            declared_run_s=600.0 * rng.lognormvariate(0, 1),
            kind="guaranteed",
            tasks=2,
            shape=_shape(deployment, ACCELERATORS),
            adjacency=_ADJACENCY.RACK,
        )
        probes.append(Job(gang=gang, run_s=600.0))
    return probes


def _draw(deployment, kind, mean_s, number, rng) -> Job:
    run_s = mean_s * rng.lognormvariate(-0.18, 0.6)
    at = rng.uniform(0, DURATION_S)
    if kind == deployment.small and rng.random() < 0.5:
        # Half of the small work comes in bursts every half hour.
        at = 1800.0 * rng.randrange(int(DURATION_S // 1800)) + at % 60
    gang = scheduling.Gang(
        job=JobId(f"{kind}-{number}"),
        account=rng.choices(ACCOUNTS, _ACCOUNT_SHARES)[0],
        submitted_at_s=at,
        declared_run_s=run_s * rng.lognormvariate(0, 1),
        kind=kind,
        tasks=1,
        shape=_shape(deployment, rng.choice((1, 1, 1, 2))),
    )
    return Job(gang=_specialise(gang, deployment, run_s, rng), run_s=run_s)


def _specialise(gang, deployment, run_s, rng) -> scheduling.Gang:
    if gang.kind == "urgent":
        return dataclasses.replace(gang, priority=_PRIORITY.URGENT)
    if gang.kind == deployment.once:
        return dataclasses.replace(
            gang,
            at_most_once=True,
            deadline_s=gang.submitted_at_s + 2.5 * run_s + 1200,
        )
    if gang.kind == deployment.small:
        return dataclasses.replace(
            gang, deadline_s=gang.submitted_at_s + 2 * run_s + 600
        )
    return dataclasses.replace(
        gang,
        tasks=rng.choice((1, 2, 2, 3, 4)),
        shape=_shape(deployment, ACCELERATORS),
        adjacency=_ADJACENCY.RACK,
    )


def _shape(deployment: Deployment, accelerators: int) -> scheduling.Shape:
    part = accelerators / ACCELERATORS
    return scheduling.Shape(
        cores=deployment.cores * part * 0.9,
        memory_gb=deployment.memory_gb * part * 0.8,
        accelerators=accelerators,
    )
