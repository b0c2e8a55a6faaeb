import contextlib

import pytest

from magnoliaglade.coordinator.tests import harness
from magnoliaglade.jobs import JobState, StepKey, keys


@pytest.fixture
async def deployment():
    deployment = harness.Deployment()
    yield deployment
    await deployment.stop()


class TestNormalOperation:
    async def test_job_runs_to_completion(self, deployment):
        await deployment.elect()
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        assert await deployment.state(job) is JobState.RUNNING
        await deployment.clock.advance(5.0)
        assert await deployment.state(job) is JobState.COMPLETED

    async def test_steps_run_in_order(self, deployment):
        # Guards against a start before the steps in `after` are complete.
        await deployment.elect()
        job = await deployment.submit(
            harness.make_job(
                "a",
                harness.make_step(count=2),
                harness.make_step(after=(0,)),
            )
        )
        await deployment.clock.advance(12.0)
        starts = deployment.starts(job)
        assert [s.task.split(".")[2] for s in starts] == ["0", "0", "1"]
        assert starts[2].at_s >= starts[0].at_s + 4.0
        assert await deployment.state(job) is JobState.COMPLETED

    async def test_gang_starts_as_a_whole_with_one_run_number(self, deployment):
        await deployment.elect()
        job = await deployment.submit(
            harness.make_job(
                "a", harness.make_step(count=3, accelerators=8, is_gang=True)
            )
        )
        await deployment.clock.advance(1.0)
        assert {s.run for s in deployment.starts(job)} == {1}
        assert len(deployment.starts(job)) == 3

    async def test_occurrences_start_when_they_are_due(self, deployment):
        # Guards against a start before an occurrence is due.
        await deployment.elect()
        due_s = deployment.clock.time() + 3.0
        job = await deployment.submit(
            harness.make_job(
                "a", repetitions=2, start_at_s=due_s, interval_s=2.0
            )
        )
        await deployment.clock.advance(12.0)
        at_s = [s.at_s for s in deployment.starts(job)]
        assert len(at_s) == 2
        assert due_s <= at_s[0] <= due_s + 0.5
        assert due_s + 2.0 <= at_s[1] <= due_s + 2.5


class TestCancellation:
    async def test_running_tasks_are_stopped(self, deployment):
        # Guards against a task that continues after its job was cancelled.
        await deployment.elect()
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        await deployment.cancel(job)
        await deployment.clock.advance(1.0)
        assert await deployment.state(job) is JobState.CANCELLED
        assert not any(e.running for e in deployment.engines.values())

    async def test_cancelled_job_starts_no_task(self, deployment):
        job = await deployment.submit(harness.make_job("a"))
        await deployment.cancel(job)
        await deployment.elect()
        await deployment.clock.advance(3.0)
        assert deployment.starts(job) == []
        assert await deployment.state(job) is JobState.CANCELLED

    async def test_lost_stop_is_retried(self, deployment):
        # Guards against a stop that is sent only once and gets lost.
        await deployment.elect()
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        for engine in deployment.engines.values():
            engine.faults.is_cut = True
        await deployment.cancel(job)
        await deployment.clock.advance(1.0)
        for engine in deployment.engines.values():
            engine.faults.is_cut = False
        await deployment.clock.advance(1.0)
        assert not any(e.running for e in deployment.engines.values())


class TestTakeover:
    async def test_running_tasks_are_adopted(self, deployment):
        # Guards against a second start of a task that is still running.
        first = await deployment.elect()
        job = await deployment.submit(
            harness.make_job("a", harness.make_step(count=3, is_gang=True))
        )
        await deployment.clock.advance(1.0)
        await deployment.kill(first)
        await deployment.clock.advance(2.0)
        await deployment.elect()
        await deployment.clock.advance(5.0)
        assert len(deployment.starts(job)) == 3
        assert await deployment.state(job) is JobState.COMPLETED

    async def test_job_reported_as_completed_stays_completed(self, deployment):
        # Guards against a second run of a job that was reported as completed
        # during a store outage, after its coordinator and its worker were lost.
        # Coordinators of earlier versions report an end before it is stored.
        first = await deployment.elect(deployment.faulty_store())
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        worker = deployment.workers_running(f"{job}.0.0.0")[0]
        first.store.is_down = True
        await deployment.clock.advance(6.0)
        assert first.summary(job).state is JobState.RUNNING
        assert await deployment.state(job) is JobState.RUNNING
        await deployment.kill(first)
        deployment.unlisted.add(worker)
        del deployment.engines[worker]
        await deployment.store.put(keys.completion_key(job), b"", expected=0)
        await deployment.elect()
        await deployment.clock.advance(30.0)
        assert await deployment.state(job) is JobState.COMPLETED
        assert deployment.starts(job) == []

    async def test_planned_start_that_was_not_sent_is_repeated(
        self, deployment
    ):
        # Guards against a task that is never started because a predecessor
        # stored its start and died before sending it.
        for engine in deployment.engines.values():
            engine.faults.defers_orders = True
        first = await deployment.elect()
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(0.3)
        await deployment.kill(first)
        for engine in deployment.engines.values():
            engine.faults.defers_orders = False
            engine.deferred.clear()
        await deployment.elect()
        await deployment.clock.advance(2.0)
        assert [s.run for s in deployment.starts(job)] == [2]

    async def test_delayed_order_of_the_predecessor_starts_nothing(
        self, deployment
    ):
        # Guards against two runs of a task after a takeover.
        for engine in deployment.engines.values():
            engine.faults.defers_orders = True
        first = await deployment.elect()
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(0.3)
        await deployment.kill(first)
        for engine in deployment.engines.values():
            engine.faults.defers_orders = False
        await deployment.elect()
        await deployment.clock.advance(1.0)
        for engine in deployment.engines.values():
            engine.deliver_deferred()
        await deployment.clock.advance(1.0)
        assert len(deployment.starts(job)) == 1

    async def test_unreachable_worker_keeps_its_runs_until_the_lease_ends(
        self, deployment
    ):
        # Guards against a second run while a worker that is cut off still
        # executes the first.
        first = await deployment.elect()
        deployment.duration_s = 60.0
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        task = f"{job}.0.0.0"
        (holder,) = deployment.workers_running(task)
        deployment.engines[holder].faults.is_cut = True
        await deployment.kill(first)
        await deployment.elect()
        for _ in range(200):
            await deployment.clock.advance(0.1)
            assert len(deployment.workers_running(task)) <= 1
        assert deployment.workers_running(task) not in ([], [holder])

    async def test_replaced_coordinator_stops(self, deployment):
        first = await deployment.elect()
        await deployment.elect()
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(2.0)
        (_, task), _ = deployment.terms
        assert task.done()
        assert len(deployment.starts(job)) == 1
        assert first.epoch < deployment.starts(job)[0].epoch

    async def test_successor_stops_tasks_of_a_cancelled_job(self, deployment):
        # Guards against a task of a cancelled job that continues because the
        # coordinator died before it sent the stop.
        first = await deployment.elect()
        deployment.duration_s = 60.0
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        await deployment.kill(first)
        await deployment.cancel(job)
        await deployment.elect()
        await deployment.clock.advance(1.0)
        assert deployment.workers_running(f"{job}.0.0.0") == []


class TestLostAnswers:
    async def test_start_whose_answer_was_lost_is_not_repeated(
        self, deployment
    ):
        # Guards against a second run when only the answer was lost.
        await deployment.elect()
        await deployment.clock.advance(0.5)
        for engine in deployment.engines.values():
            engine.faults.loses_answers = True
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(0.1)
        for engine in deployment.engines.values():
            engine.faults.loses_answers = False
        await deployment.clock.advance(6.0)
        assert len(deployment.starts(job)) == 1
        assert await deployment.state(job) is JobState.COMPLETED

    async def test_delayed_start_is_stopped_before_a_new_run(self, deployment):
        # Guards against a delayed start that runs beside a newer run on
        # another worker.
        await deployment.elect()
        deployment.duration_s = 30.0
        await deployment.clock.advance(0.5)
        for engine in deployment.engines.values():
            engine.faults.defers_orders = True
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(0.1)
        for engine in deployment.engines.values():
            engine.faults.defers_orders = False
        await deployment.clock.advance(5.0)
        for engine in deployment.engines.values():
            engine.deliver_deferred()
        await deployment.clock.advance(1.0)
        assert len(deployment.starts(job)) == 1
        assert len(deployment.workers_running(f"{job}.0.0.0")) == 1


class TestWorkers:
    async def test_worker_restart_under_the_same_id_is_detected(
        self, deployment
    ):
        # Guards against waiting for runs that a restarted worker has lost.
        await deployment.elect()
        deployment.duration_s = 8.0
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        (holder,) = deployment.workers_running(f"{job}.0.0.0")
        deployment.engines[holder].restart()
        await deployment.clock.advance(3.0)
        assert [s.run for s in deployment.starts(job)] == [1, 2]

    async def test_retry_avoids_the_worker_that_failed(self, deployment):
        # Guards against a job that uses up all attempts on one faulty worker.
        await deployment.elect()
        for engine in list(deployment.engines.values())[:1]:
            engine.faults.fails_all = True
        jobs = [
            await deployment.submit(harness.make_job(f"j{i}", max_attempts=2))
            for i in range(6)
        ]
        await deployment.clock.advance(20.0)
        states = [await deployment.state(j) for j in jobs]
        assert set(states) == {JobState.COMPLETED}

    async def test_job_that_always_fails_ends_as_failed(self, deployment):
        await deployment.elect()
        for engine in deployment.engines.values():
            engine.faults.fails_all = True
        job = await deployment.submit(harness.make_job("a", max_attempts=3))
        await deployment.clock.advance(30.0)
        assert await deployment.state(job) is JobState.FAILED
        assert len(deployment.starts(job)) == 3

    async def test_stalled_run_moves_to_another_worker(self, deployment):
        # Guards against a worker that answers while its tasks hang.
        await deployment.elect()
        for engine in list(deployment.engines.values())[:3]:
            engine.faults.stands_still = True
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(30.0)
        assert await deployment.state(job) is JobState.COMPLETED

    async def test_draining_worker_gets_no_tasks(self, deployment):
        await deployment.elect()
        await deployment.clock.advance(1.0)
        for name in ("w0", "w1", "w2"):
            deployment.engines[name].is_draining = True
            deployment.engines[name].leaves_in_s = 30.0
        await deployment.clock.advance(1.0)
        job = await deployment.submit(
            harness.make_job("a", harness.make_step(count=6))
        )
        await deployment.clock.advance(1.0)
        assert {s.task for s in deployment.engines["w3"].starts} == {
            f"{job}.0.0.{i}" for i in range(6)
        }

    async def test_removed_zone_gets_no_tasks(self, deployment):
        await deployment.elect()
        deployment.removed_zones.add("a")
        await deployment.clock.advance(1.0)
        await deployment.submit(
            harness.make_job("a", harness.make_step(count=6))
        )
        await deployment.clock.advance(1.0)
        zones = {e.zone for e in deployment.engines.values() if e.starts}
        assert zones == {"b"}

    async def test_runs_on_a_lost_worker_are_repeated(self, deployment):
        # Guards against waiting for runs forever: calls that do not reach the
        # worker must not count as renewals of the lease.
        await deployment.elect()
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        (holder,) = deployment.workers_running(f"{job}.0.0.0")
        deployment.engines[holder].faults.is_cut = True
        deployment.unlisted.add(holder)
        await deployment.clock.advance(14.0)
        assert await deployment.state(job) is JobState.COMPLETED


class TestCapacity:
    async def test_stopping_runs_occupy_capacity_until_their_end_is_listed(
        self, deployment
    ):
        # Guards against a start on capacity that a stopping run still uses.
        await deployment.elect()
        deployment.duration_s = 30.0
        for i in range(4):
            await deployment.submit(
                harness.make_job(f"low{i}", harness.make_step(accelerators=8))
            )
        await deployment.clock.advance(1.0)
        urgent = await deployment.submit(
            harness.make_job(
                "urgent", harness.make_step(accelerators=8), priority=0
            )
        )
        for _ in range(100):
            await deployment.clock.advance(0.02)
            assert all(len(e.running) <= 1 for e in deployment.engines.values())
        assert len(deployment.starts(urgent)) == 1


class TestStoreOutages:
    async def test_start_is_not_sent_before_it_is_stored(self, deployment):
        # Guards against a start that a successor does not find in the store.
        faulty = deployment.faulty_store()
        await deployment.elect(used_store=faulty)
        job = await deployment.submit(harness.make_job("a"))
        faulty.is_down = True
        await deployment.clock.advance(3.0)
        assert deployment.starts(job) == []
        faulty.is_down = False
        await deployment.clock.advance(3.0)
        assert len(deployment.starts(job)) == 1

    async def test_ends_are_acknowledged_only_after_they_are_stored(
        self, deployment
    ):
        # Guards against the loss of an end that was acknowledged but not stored
        # when its coordinator died.
        faulty = deployment.faulty_store()
        first = await deployment.elect(used_store=faulty)
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(3.0)
        faulty.is_down = True
        await deployment.clock.advance(2.5)
        await deployment.kill(first)
        await deployment.elect()
        await deployment.clock.advance(1.0)
        assert await deployment.state(job) is JobState.COMPLETED
        assert len(deployment.starts(job)) == 1

    async def test_ended_jobs_are_removed_after_retention(self, deployment):
        await deployment.elect()
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(6.0)
        assert await deployment.state(job) is JobState.COMPLETED
        for _ in range(17):
            await deployment.clock.advance(10.0)
        with contextlib.suppress(KeyError):
            entries, _ = await deployment.store.list_prefix("magnoliaglade/")
            assert not [e for e in entries if str(job) in e.key]


class TestAnnouncedEntries:
    # Load pattern: the store is slow or drops its history, and watches return
    # nothing for a second. Guards against urgent jobs that wait for the watch.

    async def test_announced_job_starts_while_the_watch_is_silent(
        self, deployment
    ):
        faulty = deployment.faulty_store()
        current = await deployment.elect(faulty)
        await deployment.clock.advance(1.0)
        faulty.withholds_changes = True
        # The watch that is in progress returns this one.
        await deployment.submit(harness.make_job("earlier"))
        await deployment.clock.advance(0.1)
        job = await deployment.submit(harness.make_job("a"))
        current.accept_entry(await deployment.store.get(keys.job_key(job)))
        await deployment.clock.advance(0.3)
        assert len(deployment.starts(job)) == 1

    async def test_announced_and_watched_job_starts_once(self, deployment):
        current = await deployment.elect()
        await deployment.clock.advance(1.0)
        job = await deployment.submit(harness.make_job("a"))
        entry = await deployment.store.get(keys.job_key(job))
        for _ in range(3):
            current.accept_entry(entry)
            await deployment.clock.advance(0.1)
        await deployment.clock.advance(6.0)
        assert len(deployment.starts(job)) == 1
        assert await deployment.state(job) is JobState.COMPLETED

    async def test_announced_cancellation_is_applied(self, deployment):
        faulty = deployment.faulty_store()
        current = await deployment.elect(faulty)
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        faulty.withholds_changes = True
        await deployment.submit(harness.make_job("later"))
        await deployment.clock.advance(0.1)
        await deployment.cancel(job)
        current.accept_entry(
            await deployment.store.get(keys.cancellation_key(job))
        )
        await deployment.clock.advance(0.5)
        assert await deployment.state(job) is JobState.CANCELLED

    async def test_entry_before_the_stored_jobs_are_read_is_ignored(
        self, deployment
    ):
        # Guards against a started job that is taken for a new one, and run
        # again, since its progress has not been read.
        first = await deployment.elect()
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        await deployment.kill(first)
        slow = deployment.faulty_store()
        slow.delay_s = 1.0
        second = await deployment.elect(slow)
        second.accept_entry(await deployment.store.get(keys.job_key(job)))
        slow.delay_s = 0.0
        await deployment.clock.advance(12.0)
        assert len(deployment.starts(job)) == 1
        assert await deployment.state(job) is JobState.COMPLETED


class TestPollInterval:
    @pytest.mark.parametrize(
        ("runs", "interval_s"), [(1_000, 0.0), (3_000, 0.2), (20_000, 1.0)]
    )
    async def test_interval_grows_with_the_runs(self, runs, interval_s):
        # Guards against a loop that is busy with reports of thousands of runs,
        # and against later reports on pools with fewer.
        deployment = harness.Deployment(workers=1)
        current = await deployment.elect()
        await deployment.clock.advance(0.5)
        progress = current.table.add(
            harness.make_job("a", harness.make_step(count=runs))
        )
        (link,) = current.links.values()
        current.table.add_planned_runs(
            progress,
            StepKey(0, 0),
            [(i, link.worker, link.lifetime) for i in range(runs)],
            now_s=0.0,
        )
        assert current.min_poll_interval_s() == pytest.approx(interval_s)
        await deployment.stop()
