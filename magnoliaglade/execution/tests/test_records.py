"""Tests of the job log's records, table and journal."""

import asyncio

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import scheduling, standins
from magnoliaglade import store as store_lib
from magnoliaglade.execution import _errors, _journal, _records, _table
from magnoliaglade.types import AccountId, Epoch, InstanceId, JobId, WorkerId

PLACEMENT = scheduling.Placement(
    job=JobId("j"), assignments=((WorkerId("w"), 2),), borrowed=True
)
CAUSE = _records.FailureCause.TASK_FAILED


def accepted(job="j", **options):
    gang = scheduling.Gang(
        job=JobId(job),
        account=AccountId("a"),
        tasks=2,
        shape=scheduling.Shape(cores=1, accelerators=1),
        priority=scheduling.Priority.URGENT,
    )
    spec = _records.JobSpec(gang=gang, command=("x",), submission=f"s-{job}")
    return _records.Accepted(spec=spec, **options)


def decided(attempt=1):
    return _records.Decided(
        job=JobId("j"), attempt=attempt, placement=PLACEMENT, at_s=5.0
    )


def failed(attempt=1, **options):
    return _records.Failed(
        job=JobId("j"), attempt=attempt, cause=CAUSE, at_s=6.0, **options
    )


LIFE = [
    accepted(),
    decided(),
    _records.Checkpointed(job=JobId("j"), attempt=1, checkpoint="c"),
    failed(),
    _records.Moving(job=JobId("j"), domain="jobs.y"),
    _records.Moved(job=JobId("j"), at_s=7.0),
]


async def make_journal(writer="a", epoch=1, memory=None, clock=None):
    clock = clock or clock_lib.ManualClock()
    memory = memory or store_lib.InMemoryStore(clock=clock)
    store = standins.FaultyStore(store=memory, clock=clock)
    log = store_lib.SingleWriterLog(
        store=store,
        clock=clock,
        name="jobs.z",
        writer=InstanceId(writer),
        epoch=Epoch(epoch),
    )
    table = _table.JobTable()
    table.replay(await log.open())
    return clock, memory, store, _journal.Journal(log=log, table=table)


class TestRecords:
    def test_round_trip(self):
        records = [
            *LIFE,
            failed(final=True),
            _records.Finished(job=JobId("j"), attempt=1, at_s=1.0),
            _records.Cancelled(job=JobId("j"), at_s=1.0),
            _records.Snapshot(entry=_records.JobEntry(accepted=accepted())),
        ]
        for record in records:
            encoded = _records.encode_record(record)
            assert _records.decode_record(encoded) == record

    def test_malformed_record_is_an_error(self):
        with pytest.raises(_errors.RecordError):
            _records.decode_record(b"\x92\xa1x\x80")


class TestJobTable:
    @pytest.mark.parametrize("length", range(1, len(LIFE) + 1))
    def test_replay_twice_and_snapshot_agree(self, length):
        """Guards against a state that depends on repeated records."""
        once, twice, compacted = (_table.JobTable() for _ in range(3))
        for record in LIFE[:length]:
            once.apply(record)
            twice.apply(record)
            twice.apply(record)
        compacted.replay(_records.encode_record(r) for r in once.snapshot())
        assert once.get("j") == twice.get("j") == compacted.get("j")

    def test_old_attempt_changes_nothing(self):
        """Guards against a late record that ends a newer attempt."""
        table = _table.JobTable()
        for record in [accepted(), decided(1), failed(1), decided(2)]:
            table.apply(record)
        table.apply(failed(1))
        table.apply(_records.Finished(job=JobId("j"), attempt=1, at_s=9.0))
        assert table.get("j").phase is _records.JobPhase.ACTIVE
        assert table.get("j").failures == 1

    def test_repeated_forward_does_not_revive_a_moved_job(self):
        """Guards against a job in two domains after a lost reply."""
        table = _table.JobTable()
        for record in LIFE:
            table.apply(record)
        table.apply(accepted())
        assert table.get("j").phase is _records.JobPhase.MOVED
        table.apply(accepted(hops=2, attempt=4))
        assert table.get("j").gang.attempt == 5

    def test_ended_jobs_are_bounded(self, monkeypatch):
        """Guards against a log that grows with every job ever run."""
        monkeypatch.setattr(_table, "TERMINAL_KEPT", 5)
        table = _table.JobTable()
        for n in range(9):
            table.apply(accepted(str(n)))
        for n in range(8):
            table.apply(_records.Cancelled(job=JobId(str(n)), at_s=float(n)))
        assert table.prune(10.0) == 3
        assert table.find_submission("s-0") is None
        assert table.prune(_table.TERMINAL_KEPT_S + 6) == 4
        assert table.get("8") is not None


class TestJournal:
    async def test_unknown_commitment_takes_effect_once_written(self):
        """Guards against a job that is in the log and not in the table."""
        _, memory, store, journal = await make_journal()
        store.lost_requests = 3
        with pytest.raises(store_lib.StoreOutcomeUnknownError):
            await journal.write(accepted())
        assert journal.table.get("j") is None
        assert await journal.try_drain()
        assert journal.table.get("j") is not None
        _, _, _, successor = await make_journal("b", 2, memory)
        assert len(successor.table) == 1

    async def test_outage_refuses_commitments_and_keeps_facts(self):
        """Guards against a lost fact and against a false acceptance."""
        _, memory, store, journal = await make_journal()
        await journal.write(accepted())
        store.is_down = True
        assert not await journal.write_eventually(decided(), failed())
        with pytest.raises(store_lib.LogUnavailableError):
            await journal.write(accepted("k"))
        store.is_down = False
        await journal.write(accepted("l"))
        _, _, _, successor = await make_journal("b", 2, memory)
        assert successor.table.get("j").failures == 1
        assert successor.table.get("k") is None

    async def test_cancelled_writer_still_applies(self):
        """Guards against an acknowledged log slot that the table misses."""
        clock, _, store, journal = await make_journal()
        store.delay_s = 0.1
        task = asyncio.create_task(journal.write(accepted()))
        await clock.advance(0.05)
        task.cancel()
        await clock.advance(1)
        assert journal.table.get("j") is not None

    async def test_compaction_keeps_the_state(self):
        _, memory, _, journal = await make_journal()
        await journal.write_eventually(*LIFE[:4])
        assert await journal.compact()
        await journal.write(decided(2))
        _, _, _, successor = await make_journal("b", 2, memory)
        assert successor.table.get("j") == journal.table.get("j")
        with pytest.raises(store_lib.LogFencedError):
            await journal.write(accepted("k"))
