"""Tests of rules that keep completion times short."""

import dataclasses

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


class TestReservations:
    def test_workers_are_not_kept_for_a_distant_start(self):
        """Guards against workers that stand idle for an hour."""
        for run_s, starts in ((NOW_S + 3600, ["small"]), (NOW_S + 60, [])):
            large = make_gang("large", tasks=8)
            small = make_gang("small", declared_run_s=7200.0)
            long = make_gang("r", "b", tasks=4, declared_run_s=run_s)
            snapshot = make_snapshot(
                [large, small], [(long, 0.0)], accelerators=8
            )
            snapshot = dataclasses.replace(
                snapshot,
                running={
                    long.job: dataclasses.replace(
                        snapshot.running[long.job],
                        placement=scheduling.Placement(
                            job=long.job, assignments=((WorkerId("w"), 4),)
                        ),
                    )
                },
            )
            plan = scheduling.decide(snapshot, seed=0)
            assert [p.job for p in plan.starts] == starts


class TestDeadlines:
    def test_missed_deadline_does_not_lower_the_rank(self):
        """Guards against late work that waits behind all other work."""
        late = make_gang("late", declared_run_s=60, deadline_s=NOW_S - 10)
        due = make_gang("due", declared_run_s=60, deadline_s=NOW_S + 100)
        snapshot = make_snapshot([due, late], [], accelerators=1)
        plan = scheduling.decide(snapshot, seed=0)
        assert [p.job for p in plan.starts] == ["late"]
