"""Tests of placement, guarantees, order and refusals on small clusters."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies as st

from magnoliaglade import configuration as configuration_lib
from magnoliaglade import scheduling
from magnoliaglade.types import (
    AccountId,
    JobId,
    RackId,
    Revision,
    WorkerId,
    ZoneId,
)

LEVEL = configuration_lib.CellLevel
NOW_S = 10_000.0


def make_workers(*, zones=2, racks=2, per_rack=2, accelerators=8, **kwargs):
    shape = scheduling.Shape(cores=64, memory_gb=128, accelerators=accelerators)
    return {
        WorkerId(f"z{z}r{r}w{w}"): scheduling.Worker(
            worker=WorkerId(f"z{z}r{r}w{w}"),
            zone=ZoneId(f"z{z}"),
            rack=RackId(f"r{r}"),
            shape=shape,
            **kwargs,
        )
        for z in range(zones)
        for r in range(racks)
        for w in range(per_rack)
    }


def make_gang(job, *, accelerators=1, cores=1, memory=1, account="a", **kw):
    return scheduling.Gang(
        job=JobId(job),
        account=AccountId(account),
        shape=scheduling.Shape(
            cores=cores, memory_gb=memory, accelerators=accelerators
        ),
        **{"tasks": 1, "submitted_at_s": NOW_S, **kw},
    )


def make_snapshot(pending, *, workers=None, running=(), **kw):
    workers = make_workers() if workers is None else workers
    return scheduling.ClusterSnapshot(
        now_s=NOW_S,
        workers=workers,
        running={r.gang.job: r for r in running},
        pending=tuple(pending),
        **{
            "startable_zones": frozenset(w.zone for w in workers.values()),
            **kw,
        },
    )


def run_on(gang, assignments, *, borrowed=True, started_at_s=0.0):
    return scheduling.RunningGang(
        gang=gang,
        placement=scheduling.Placement(
            job=gang.job, assignments=assignments, borrowed=borrowed
        ),
        started_at_s=started_at_s,
    )


def cells(account, level, count, *, zone="z0", accelerators=1):
    return scheduling.GuaranteedCells(
        account=AccountId(account),
        zone=ZoneId(zone),
        level=level,
        count=count,
        accelerators=accelerators,
    )


def decide(snapshot):
    return scheduling.decide(snapshot, policy="cells", seed=1)


class TestPlacement:
    def test_small_work_leaves_whole_workers_free(self):
        """Guards against spreading small gangs over unused workers."""
        plan = decide(make_snapshot([make_gang(f"j{n}") for n in range(8)]))
        assert len({p.assignments[0][0] for p in plan.starts}) == 1

    @pytest.mark.parametrize(
        ("adjacency", "tasks", "starts"),
        [("worker", 2, 0), ("rack", 2, 1), ("rack", 3, 0), ("zone", 4, 1)],
    )
    def test_adjacency(self, adjacency, tasks, starts):
        """Guards against a gang spread wider than it asked for."""
        gang = make_gang(
            "j",
            accelerators=8,
            tasks=tasks,
            adjacency=scheduling.Adjacency(adjacency),
        )
        plan = decide(make_snapshot([gang]))
        assert len(plan.starts) == starts
        assert [r.permanent for r in plan.refusals] == [True] * (1 - starts)

    def test_quota_refusal_names_the_numbers(self):
        snapshot = make_snapshot(
            [make_gang("j", tasks=4)], quotas={AccountId("a"): 3}
        )
        (refusal,) = decide(snapshot).refusals
        assert refusal.permanent
        assert "needs 4 accelerators" in refusal.detail

    def test_lost_workers_do_not_make_a_refusal_permanent(self):
        """Guards against refusing for good what an outage prevents."""
        workers = make_workers(state=scheduling.WorkerState.LOST)
        (refusal,) = decide(
            make_snapshot([make_gang("j")], workers=workers)
        ).refusals
        assert not refusal.permanent


class TestGuarantees:
    def test_binding_moves_off_a_removed_zone(self):
        def bind(state):
            return scheduling.bind_guarantees(
                configuration_lib.Configuration(
                    revision=Revision(1),
                    zones=(
                        configuration_lib.ZoneConfig(
                            zone=ZoneId("z0"), region="r", state=state
                        ),
                        configuration_lib.ZoneConfig(
                            zone=ZoneId("z1"), region="r"
                        ),
                    ),
                    accounts=(
                        configuration_lib.AccountConfig(
                            account=AccountId("a"),
                            key_digest="",
                            guarantees=(
                                configuration_lib.Guarantee(
                                    level=LEVEL.RACK,
                                    count=1,
                                    zone=ZoneId("z0"),
                                ),
                            ),
                        ),
                    ),
                )
            )

        states = configuration_lib.ZoneState
        assert [g.zone for g in bind(states.IN_SERVICE)] == ["z0"]
        assert [g.zone for g in bind(states.REMOVED)] == ["z1"]

    def test_reclaim_takes_fewest_and_youngest(self):
        """Guards against evicting two borrowers where one is enough."""
        running = [
            run_on(
                make_gang(f"b{n}", account="b", accelerators=size),
                ((WorkerId("z0r0w0"), 1),),
                started_at_s=float(n),
            )
            for n, size in enumerate((2, 2, 1, 1, 1, 1))
        ]
        gang = make_gang("j", accelerators=2, submitted_at_s=NOW_S - 120)
        snapshot = make_snapshot(
            [gang],
            workers=make_workers(zones=1, racks=1, per_rack=1),
            running=running,
            guarantees=(cells("a", LEVEL.ACCELERATOR, 1, accelerators=2),),
        )
        plan = decide(snapshot)
        assert [e.job for e in plan.evictions] == ["b1"]
        assert [p.borrowed for p in plan.starts] == [False]

    def test_reclaim_evicts_borrowers_without_accelerators(self):
        """Guards against memory that keeps a guaranteed cell unusable."""
        snapshot = make_snapshot(
            [make_gang("j", accelerators=8, tasks=2, memory=100)],
            workers=make_workers(zones=1, racks=1),
            running=[
                run_on(
                    make_gang("b", account="b", accelerators=0, memory=60),
                    ((WorkerId("z0r0w0"), 1),),
                )
            ],
            guarantees=(cells("a", LEVEL.WORKER, 2),),
        )
        plan = decide(snapshot)
        assert [e.job for e in plan.evictions] == ["b"]
        assert [p.borrowed for p in plan.starts] == [False]

    def test_at_most_once_work_takes_no_guaranteed_room(self):
        """Guards against work that can neither run twice nor be evicted."""
        snapshot = make_snapshot(
            [make_gang("j", account="b", at_most_once=True)],
            workers=make_workers(zones=1, racks=1, per_rack=1),
            guarantees=(cells("a", LEVEL.WORKER, 1),),
        )
        assert decide(snapshot).starts == ()
        snapshot = dataclasses.replace(snapshot, guarantees=())
        assert len(decide(snapshot).starts) == 1


class TestOrder:
    def test_small_work_does_not_starve_a_large_gang(self):
        """Guards against small work taking each accelerator that frees."""
        workers = make_workers(zones=1, racks=1, per_rack=2)
        large = make_gang(
            "large", accelerators=8, tasks=2, submitted_at_s=NOW_S - 1000
        )
        long_small = make_gang("long", account="b", declared_run_s=9000.0)
        short_small = make_gang("short", account="b", declared_run_s=40.0)
        running = run_on(
            make_gang("r", account="b", accelerators=8, declared_run_s=10_100),
            ((WorkerId("z0r0w0"), 1),),
        )
        plan = decide(
            make_snapshot(
                [long_small, short_small, large],
                workers=workers,
                running=[running],
            )
        )
        assert [p.job for p in plan.starts] == ["short"]
        (reservation,) = plan.reservations
        assert reservation.job == "large"
        assert reservation.until_s == pytest.approx(10_100)

    def test_urgent_work_evicts_borrowers_only(self):
        workers = make_workers(zones=1, racks=1, per_rack=1)
        gang = make_gang(
            "u", accelerators=8, priority=scheduling.Priority.URGENT
        )
        for borrowed in (True, False):
            running = run_on(
                make_gang("r", account="b", accelerators=8),
                ((WorkerId("z0r0w0"), 1),),
                borrowed=borrowed,
            )
            plan = decide(
                make_snapshot([gang], workers=workers, running=[running])
            )
            assert len(plan.starts) == len(plan.evictions) == borrowed


gangs = st.builds(
    make_gang,
    st.integers(0, 10**6).map(lambda n: f"j{n}"),
    account=st.sampled_from(["a", "b", "c"]),
    tasks=st.sampled_from([1, 1, 2, 3, 4, 6]),
    accelerators=st.sampled_from([0, 1, 2, 4, 8]),
    cores=st.sampled_from([1, 7.5, 32]),
    memory=st.sampled_from([1, 30, 70.5]),
    adjacency=st.sampled_from(list(scheduling.Adjacency)),
    priority=st.sampled_from(list(scheduling.Priority)),
    at_most_once=st.booleans(),
    submitted_at_s=st.sampled_from([0.0, NOW_S - 60, NOW_S]),
)
batches = st.lists(
    st.lists(gangs, max_size=12, unique_by=lambda g: g.job),
    min_size=1,
    max_size=4,
)
guarantees = st.lists(
    st.builds(
        cells,
        st.sampled_from(["a", "b", "c"]),
        st.sampled_from(list(LEVEL)),
        st.integers(1, 2),
        zone=st.sampled_from(["z0", "z1"]),
        accelerators=st.sampled_from([1, 2, 4, 8]),
    ),
    max_size=4,
).map(tuple)


class TestEveryPlan:
    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=200, database=None
    )
    @hypothesis.given(
        batches=batches,
        guarantees=guarantees,
        closed=st.booleans(),
        sizes=st.sampled_from([(8, 8), (1, 1), (8, 1)]),
        lost=st.booleans(),
        policy=st.sampled_from(["cells", "first-fit"]),
    )
    def test_promises_hold(
        self, batches, guarantees, closed, sizes, lost, policy
    ):
        """Guards the promises of design 1.1 over sequences of decisions."""
        workers = {
            name: dataclasses.replace(
                w,
                shape=dataclasses.replace(w.shape, accelerators=sizes[n % 2]),
            )
            for n, (name, w) in enumerate(make_workers().items())
        }
        snapshot = make_snapshot([], guarantees=guarantees, workers=workers)
        seen = set()
        for n, batch in enumerate(batches):
            fresh = tuple(g for g in batch if g.job not in seen)
            seen.update(g.job for g in fresh)
            zones = {"z0"} if closed and n % 2 else {"z0", "z1"}
            before = dataclasses.replace(
                snapshot,
                workers=quarantine_one(workers, n) if lost else workers,
                pending=snapshot.pending + fresh,
                startable_zones=frozenset(map(ZoneId, zones)),
                now_s=NOW_S + n,
            )
            plan = scheduling.decide(before, policy=policy, seed=n)
            assert plan == scheduling.decide(before, policy=policy, seed=n)
            snapshot = scheduling.apply_plan(before, plan)
            check_starts(before, plan)
            check_resources(snapshot)
            check_evictions(before, plan)
            if policy == "cells":
                check_guarantees(before, snapshot)
                check_reclaim(snapshot)


def quarantine_one(workers, n):
    name = list(workers)[n]
    state = scheduling.WorkerState.QUARANTINED
    return workers | {name: dataclasses.replace(workers[name], state=state)}


def check_starts(before, plan):
    waiting = {g.job: g for g in before.pending}
    started = [p.job for p in plan.starts]
    assert len(set(started)) == len(started)
    assert not set(started) & set(before.running)
    for placement in plan.starts:
        gang = waiting[placement.job]
        assert sum(n for _, n in placement.assignments) == gang.tasks
        workers = [before.workers[w] for w, _ in placement.assignments]
        assert {w.zone for w in workers} <= before.startable_zones
        states = {w.state for w in workers}
        assert states <= {scheduling.WorkerState.AVAILABLE}
        unit = {
            scheduling.Adjacency.ANY: lambda w: 0,
            scheduling.Adjacency.ZONE: lambda w: w.zone,
            scheduling.Adjacency.RACK: lambda w: (w.zone, w.rack),
            scheduling.Adjacency.WORKER: lambda w: w.worker,
        }[gang.adjacency]
        assert len({unit(w) for w in workers}) == 1


def check_resources(snapshot):
    for name in ("cores", "memory_gb", "accelerators"):
        used = dict.fromkeys(snapshot.workers, 0)
        for running in snapshot.running.values():
            for w, n in running.placement.assignments:
                used[w] += n * getattr(running.gang.shape, name)
        for w, amount in used.items():
            total = getattr(snapshot.workers[w].shape, name)
            assert amount <= total + 1e-6


def check_evictions(before, plan):
    for eviction in plan.evictions:
        victim = before.running[eviction.job]
        assert victim.placement.borrowed
        assert not victim.gang.at_most_once


def check_guarantees(before, after):
    """The cells lost to work that cannot be evicted never grow."""

    def missing(snapshot, zone):
        ledger = scheduling.GuaranteeLedger(
            workers=snapshot.workers,
            running=snapshot.running.values(),
            guarantees=snapshot.guarantees,
        )
        return ledger.layout(zone).missing

    for zone in ("z0", "z1"):
        assert not missing(after, zone) - missing(before, zone)


def check_reclaim(snapshot):
    """An account that runs nothing gets each of its guarantees at once."""
    empty = dataclasses.replace(snapshot, running={}, pending=())
    for guarantee in snapshot.guarantees:
        if guarantee.level is not LEVEL.ACCELERATOR:
            continue
        account, size = guarantee.account, guarantee.accelerators
        active = {r.gang.account for r in snapshot.running.values()}
        if account in active or is_missing(empty, guarantee):
            continue
        gang = make_gang(
            "reclaim",
            account=account,
            accelerators=size,
            cores=8 * size,
            memory=16 * size,
            tasks=guarantee.count,
            submitted_at_s=0.0,
        )
        plan = decide(
            dataclasses.replace(
                snapshot,
                pending=(gang,),
                startable_zones=frozenset({guarantee.zone}),
            )
        )
        assert [p.borrowed for p in plan.starts] == [False]


def is_missing(snapshot, guarantee):
    ledger = scheduling.GuaranteeLedger(
        workers=snapshot.workers,
        running=(),
        guarantees=snapshot.guarantees,
    )
    return bool(ledger.layout(guarantee.zone).missing)
