"""Tests of the worker's rules on its own clock."""

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import standins
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.types import Epoch, JobId, WorkerId


def make_worker():
    clock = clock_lib.ManualClock()
    return clock, standins.InMemoryWorker(clock=clock, worker=WorkerId("w"))


def reserve_request(*, epoch=1, count=2, command=("sleep", "4"), ttl_s=2.0):
    return worker_lib.ReserveRequest(
        domain="jobs.z",
        epoch=Epoch(epoch),
        job=JobId("j"),
        attempt=1,
        count=count,
        spec=worker_lib.TaskSpec(
            command=command, cores=1, memory_gb=1, accelerators=2
        ),
        ttl_s=ttl_s,
    )


async def commit(worker, *, epoch=1, command=("sleep", "4")):
    reply = await worker.reserve(reserve_request(epoch=epoch, command=command))
    request = worker_lib.CommitRequest(
        domain="jobs.z",
        epoch=Epoch(epoch),
        reservation=reply.reservation,
        gang_size=2,
        confirm_s=3,
    )
    return request, await worker.commit(request)


def renew_request(**options):
    return worker_lib.RenewRequest(domain="jobs.z", epoch=Epoch(1), **options)


def phases(report):
    return {t.phase for t in report.tasks}


class TestInMemoryWorker:
    async def test_reservation_lapses(self):
        """Guards against a delayed commit that starts an abandoned gang."""
        clock, worker = make_worker()
        reply = await worker.reserve(reserve_request())
        await clock.advance(2.0)
        with pytest.raises(worker_lib.WorkerRefusedError):
            await worker.commit(
                worker_lib.CommitRequest(
                    domain="jobs.z",
                    epoch=Epoch(1),
                    reservation=reply.reservation,
                    gang_size=2,
                    confirm_s=3,
                )
            )

    async def test_unconfirmed_tasks_stop(self):
        """Guards against part of a gang that runs on without the rest."""
        clock, worker = make_worker()
        request, _ = await commit(worker)
        again = await worker.commit(request)
        assert len(again.tasks) == 2
        await clock.advance(1)
        report = await worker.renew(renew_request(activate=(JobId("j"),)))
        assert phases(report) == {worker_lib.TaskPhase.RUNNING}
        await clock.advance(4)
        assert {r.ended_s - r.started_s for r in worker.runs} == {3.0}

    async def test_kept_tasks_finish_and_usage_lags(self):
        clock, worker = make_worker()
        await commit(worker)
        jobs = (JobId("j"),)
        await worker.renew(renew_request(activate=jobs))
        report = await worker.renew(renew_request(keep=jobs))
        assert {t.memory_gb for t in report.tasks} == {0.0}
        await clock.advance(5)
        report = await worker.renew(renew_request())
        assert phases(report) == {worker_lib.TaskPhase.FINISHED}
        assert {t.run_s for t in report.tasks} == {4.0}

    async def test_lower_epoch_is_rejected(self):
        """Guards against a paused owner acting after its successor."""
        _, worker = make_worker()
        reply = await worker.reserve(reserve_request())
        await worker.fence(domain="jobs.z", epoch=Epoch(2))
        with pytest.raises(worker_lib.StaleEpochError):
            await worker.renew(renew_request())
        await worker.fence(domain="jobs.y", epoch=Epoch(1))
        with pytest.raises(worker_lib.WorkerRefusedError):
            await worker.commit(
                worker_lib.CommitRequest(
                    domain="jobs.z",
                    epoch=Epoch(2),
                    reservation=reply.reservation,
                    gang_size=2,
                    confirm_s=3,
                )
            )

    async def test_room_is_counted_and_stop_frees_it(self):
        """Guards against more tasks than accelerators."""
        clock, worker = make_worker()
        await commit(worker)
        with pytest.raises(worker_lib.WorkerRefusedError):
            await worker.reserve(reserve_request(count=3))
        command = worker_lib.TaskCommand(
            domain="jobs.z", epoch=Epoch(1), job=JobId("j"), attempt=1
        )
        await worker.renew(renew_request(activate=(JobId("j"),)))
        await worker.checkpoint(command)
        await clock.advance(1)
        await worker.stop(command)
        report = await worker.renew(renew_request())
        assert phases(report) == {worker_lib.TaskPhase.STOPPED}
        assert {t.checkpoint for t in report.tasks} == {"j/1/1"}
        await worker.release(command)
        await worker.reserve(reserve_request(count=4))

    async def test_faults(self):
        """Guards against a fake that hides crashes and lost answers."""
        _, worker = make_worker()
        worker.fails_starts = True
        link = standins.WorkerLink(worker=worker)
        await commit(worker)
        link.lost_answers = 1
        with pytest.raises(worker_lib.WorkerOutcomeUnknownError):
            await link.renew(renew_request(activate=(JobId("j"),)))
        report = await link.renew(renew_request())
        assert phases(report) == {worker_lib.TaskPhase.FAILED}
        worker.crash()
        with pytest.raises(worker_lib.WorkerUnreachableError):
            await link.renew(renew_request())
        worker.restart()
        assert (await link.renew(renew_request())).tasks == ()
