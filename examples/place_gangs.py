"""Decides which gangs to start, without any process or network."""

from magnoliaglade import configuration, scheduling
from magnoliaglade.types import AccountId, JobId, RackId, WorkerId, ZoneId

ZONE = ZoneId("east-asia-a")


def make_snapshot() -> scheduling.ClusterSnapshot:
    """Returns four workers, one guarantee and two waiting gangs."""
    workers = {
        WorkerId(f"w{n}"): scheduling.Worker(
            worker=WorkerId(f"w{n}"),
            zone=ZONE,
            rack=RackId("r0"),
            shape=scheduling.Shape(cores=64, memory_gb=128, accelerators=8),
        )
        for n in range(4)
    }
    task = scheduling.Shape(cores=8, memory_gb=16, accelerators=8)
    return scheduling.ClusterSnapshot(
        now_s=0.0,
        workers=workers,
        running={},
        pending=(
            scheduling.Gang(
                job=JobId("training"),
                account=AccountId("styles"),
                tasks=2,
                shape=task,
                adjacency=scheduling.Adjacency.RACK,
            ),
            scheduling.Gang(
                job=JobId("too-large"),
                account=AccountId("proofs"),
                tasks=5,
                shape=task,
            ),
        ),
        guarantees=(
            scheduling.GuaranteedCells(
                account=AccountId("styles"),
                zone=ZONE,
                level=configuration.CellLevel.WORKER,
                count=2,
            ),
        ),
        startable_zones=frozenset({ZONE}),
    )


def main() -> None:
    """Prints starts and refusals."""
    plan = scheduling.decide(make_snapshot(), seed=0)
    for placement in plan.starts:
        print("start", placement.job, dict(placement.assignments))
    for refusal in plan.refusals:
        print("refuse", refusal.job, refusal.reason.value, refusal.detail)


if __name__ == "__main__":
    main()
