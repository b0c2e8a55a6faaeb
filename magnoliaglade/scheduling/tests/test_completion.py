"""Tests of rules that keep completion times short."""

from magnoliaglade import configuration as configuration_lib
from magnoliaglade import scheduling
from magnoliaglade.types import AccountId, JobId, RackId, WorkerId, ZoneId

NOW_S = 10_000.0
ZONE = ZoneId("z")


def make_gang(job, account="a", *, tasks=1, **kwargs):
    return scheduling.Gang(
        job=JobId(job),
        account=AccountId(account),
        tasks=tasks,
        shape=scheduling.Shape(accelerators=1),
        **kwargs,
    )


def make_snapshot(pending, running, *, guarantees=(), accelerators=2):
    worker = scheduling.Worker(
        worker=WorkerId("w"),
        zone=ZONE,
        rack=RackId("r"),
        shape=scheduling.Shape(accelerators=accelerators),
    )
    return scheduling.ClusterSnapshot(
        now_s=NOW_S,
        workers={worker.worker: worker},
        running={
            gang.job: scheduling.RunningGang(
                gang=gang,
                placement=scheduling.Placement(
                    job=gang.job,
                    assignments=((worker.worker, gang.tasks),),
                    borrowed=True,
                ),
                started_at_s=started_at_s,
            )
            for gang, started_at_s in running
        },
        pending=tuple(pending),
        guarantees=guarantees,
        startable_zones=frozenset({ZONE}),
    )


class TestVictims:
    def test_evicted_gang_is_not_evicted_again(self):
        """Guards against one job that is evicted over and over."""
        cells = scheduling.GuaranteedCells(
            account=AccountId("a"),
            zone=ZONE,
            level=configuration_lib.CellLevel.ACCELERATOR,
            count=1,
        )
        running = [
            (make_gang("old", "b"), 0.0),
            (make_gang("young", "b", attempt=2), 100.0),
        ]
        snapshot = make_snapshot([make_gang("j")], running, guarantees=(cells,))
        plan = scheduling.decide(snapshot, seed=0)
        assert [e.job for e in plan.evictions] == ["old"]
