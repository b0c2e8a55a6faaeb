"""Unresponsive, slow and paused workers and coordinators."""

import msgpack
import pytest

from magnoliaglade import fleet, jobs, store
from magnoliaglade.coordinator._link import (
    MAX_ORDER_DELAY_S,
    OVERDUE_AFTER_S,
    RETRY_DELAY_S,
)
from magnoliaglade.coordinator._starts import MAX_START_CALLS
from magnoliaglade.coordinator.tests import harness
from magnoliaglade.jobs import JobState

RUN_S = 12.0
# Duration of a disconnection: shorter than the lease of a run, longer than the
# time after which a run counts as stalled.
DISCONNECTION_S = 4.4
# Duration of a run that ends before its worker counts as unresponsive.
SHORT_RUN_S = 1.0
# Time from the making of a report to its arrival.
REPORT_DELAY_S = 0.5
# Duration of a run that outlasts the longest delay of an order.
LONG_RUN_S = 60.0
# Time after which a call without an answer ends.
CALL_TIMEOUT_S = 0.6
# Longest time from a restart to the answer to a stop that its first report
# leads to.
REPORTED_AFTER_S = RETRY_DELAY_S + 0.2


@pytest.fixture
async def deployment():
    deployment = harness.Deployment(duration_s=RUN_S)
    yield deployment
    await deployment.stop()


async def submit_many(deployment, **fields):
    return [
        await deployment.submit(
            harness.make_job(
                f"j{i}", harness.make_step(estimate_s=RUN_S, **fields)
            )
        )
        for i in range(8)
    ]


class TestUnresponsiveWorkers:
    async def test_runs_survive_a_disconnection(self, deployment):
        # Guards against runs that are stopped as stalled because their worker
        # could not report.
        await deployment.elect()
        jobs = await submit_many(deployment, accelerators=4)
        for delay_s in (3.0, 0.5):
            await deployment.clock.advance(delay_s)
            for engine in deployment.engines.values():
                engine.faults.is_cut = True
            await deployment.clock.advance(DISCONNECTION_S)
            for engine in deployment.engines.values():
                engine.faults.is_cut = False
        await deployment.clock.advance(RUN_S)
        assert len(deployment.starts()) == len(jobs)


class TestGangs:
    async def test_finished_member_waits_for_the_others(self, deployment):
        # Guards against a gang that is stopped as stalled because its fast
        # members stay at 100 percent until the slow ones have finished.
        job = await deployment.submit(
            harness.make_job(
                "a",
                harness.make_step(
                    count=3, accelerators=8, estimate_s=RUN_S, is_gang=True
                ),
            )
        )
        for engine in list(deployment.engines.values())[:2]:
            engine.faults.is_ahead = True
        await deployment.elect()
        await deployment.clock.advance(RUN_S + 2.0)
        assert len(deployment.starts(job)) == 3


class TestRestartedWorkers:
    """A worker restarts under its id, and calls reach its new lifetime."""

    async def test_start_between_a_report_and_its_arrival_runs_once(self):
        # Guards against a run that is counted as lost with the previous
        # lifetime although the new one carried out its start.
        deployment = harness.Deployment(workers=2, duration_s=RUN_S)
        restarted, other = deployment.engines
        deployment.unlisted.add(other)
        current = await deployment.elect()
        engine = deployment.engines[restarted]
        stale_entry = engine.listed()
        engine.listed = lambda: stale_entry
        engine.faults.report_delay_s = REPORT_DELAY_S
        engine.restart()
        await deployment.clock.advance(1.0)
        # The answer to the poll under way is made, and arrives after the start.
        made_at_s = current.links[restarted].due_at_s - OVERDUE_AFTER_S
        await deployment.clock.advance(made_at_s - deployment.clock.now() + 0.1)
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(0.1)
        deployment.unlisted.clear()
        await deployment.clock.advance(RUN_S)
        assert [s.run for s in deployment.starts(job)] == [1]
        await deployment.stop()


class TestLateStartsAfterRestarts:
    """A start order is executed late, by a later lifetime of its worker."""

    async def lose_first_run(self, *, deferred_orders):
        """Returns a deployment in which a late order of run 1 is pending.

        Args:
            deferred_orders: number of orders that each worker leaves
                unanswered.
        """
        deployment = harness.Deployment(workers=2, duration_s=RUN_S)
        await deployment.elect()
        await deployment.clock.advance(0.5)
        for engine in deployment.engines.values():
            engine.faults.deferred_orders = deferred_orders
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(0.1)
        (holder,) = [e for e in deployment.engines.values() if e.deferred]
        for engine in deployment.engines.values():
            engine.faults.deferred_orders = 0
        # The next run is placed on the other worker.
        deployment.removed_zones.add(holder.zone)
        await deployment.clock.advance(2.5)
        holder.restart()
        await deployment.clock.advance(2.5)
        holder.deliver_deferred()
        await deployment.clock.advance(0.1)
        return deployment, f"{job}.0.0.0"

    async def test_stopped_start_runs_nothing_beside_the_next_run(self):
        # Guards against a stop that the worker forgets when it restarts.
        deployment, task = await self.lose_first_run(deferred_orders=9)
        assert len(deployment.workers_running(task)) == 1
        await deployment.stop()

    async def test_first_of_two_starts_runs_nothing_beside_the_next_run(self):
        # Guards against an unanswered start whose repetition was answered.
        deployment, task = await self.lose_first_run(deferred_orders=1)
        assert len(deployment.workers_running(task)) == 1
        await deployment.stop()

    async def test_restart_of_an_idle_worker_is_noticed_at_once(self):
        # Guards against a poll that waits for an end at a worker that has just
        # restarted: a late start is not void there before its answer.
        deployment = harness.Deployment(workers=1)
        (engine,) = deployment.engines.values()
        current = await deployment.elect()
        await deployment.clock.advance(0.5)
        listed = engine.listed()
        engine.listed = lambda: listed
        engine.restart()
        await deployment.clock.advance(RETRY_DELAY_S + 0.1)
        assert current.links[engine.worker].lifetime == engine.lifetime
        await deployment.stop()

    async def test_repeated_start_stays_void_for_its_whole_delay(self):
        # Guards against a delay that counts from the first of several orders.
        deployment = harness.Deployment(workers=2, duration_s=LONG_RUN_S)
        sent_at_s = []
        for engine in deployment.engines.values():
            engine.start = self._defer_slowly(deployment, engine, sent_at_s)
        await deployment.elect()
        await deployment.clock.advance(0.5)
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(0.1)
        (holder,) = [e for e in deployment.engines.values() if e.deferred]
        for engine in deployment.engines.values():
            if engine is not holder:
                del engine.start
        await deployment.clock.advance(2.0 * CALL_TIMEOUT_S)
        assert len(sent_at_s) == MAX_START_CALLS
        # The next run is placed on the other worker.
        deployment.removed_zones.add(holder.zone)
        late_at_s = sent_at_s[-1] + MAX_ORDER_DELAY_S - 0.02
        await deployment.clock.advance(
            late_at_s - REPORTED_AFTER_S - deployment.clock.now()
        )
        assert len(deployment.workers_running(f"{job}.0.0.0")) == 1
        # It reports, and is sent the stop, before the last order takes effect.
        holder.restart()
        await deployment.clock.advance(REPORTED_AFTER_S)
        holder.deliver_deferred()
        await deployment.clock.advance(0.1)
        assert len(deployment.workers_running(f"{job}.0.0.0")) == 1
        await deployment.stop()

    async def test_starts_at_workers_that_are_gone_are_forgotten(self):
        # Guards against memory that grows with each such start of a term.
        deployment = harness.Deployment(workers=2, duration_s=RUN_S)
        current = await deployment.elect()
        await deployment.clock.advance(0.5)
        engines = deployment.engines
        for name in ("a", "b"):
            for engine in engines.values():
                engine.faults.deferred_orders = MAX_START_CALLS
            await deployment.submit(harness.make_job(name))
            await deployment.clock.advance(0.1)
            (holder,) = [e for e in engines.values() if e.deferred]
            holder.deferred.clear()
            holder.faults.is_cut = True
            deployment.unlisted.add(holder.worker)
            for engine in engines.values():
                engine.faults.deferred_orders = 0
            if name == "a":
                await deployment.clock.advance(40.0)
        assert list(current.sender._unanswered_starts) == [holder.worker]
        await deployment.stop()

    def _defer_slowly(self, deployment, engine, sent_at_s):
        async def start(order, *, may_send):
            assert may_send()
            sent_at_s.append(deployment.clock.now())
            engine.deferred.append(order)
            await deployment.clock.sleep(CALL_TIMEOUT_S)
            raise fleet.OrderOutcomeUnknownError("deferred")

        return start


class TestAcknowledgementsAfterRestarts:
    """The numbers of ends begin anew with each lifetime of a worker."""

    async def test_end_of_a_new_lifetime_is_not_acknowledged_unseen(self):
        # Guards against a completed run that is run again, because a number of
        # the previous lifetime acknowledged its end before it was reported.
        deployment = harness.Deployment(workers=1, duration_s=SHORT_RUN_S)
        (engine,) = deployment.engines.values()
        await deployment.elect()
        await deployment.submit(harness.make_job("acknowledged"))
        await deployment.clock.advance(SHORT_RUN_S + 1.0)
        stale_entry = engine.listed()
        engine.listed = lambda: stale_entry
        engine.faults.loses_polls = True
        engine.restart()
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(SHORT_RUN_S + 1.0)
        engine.faults.loses_polls = False
        del engine.listed
        await deployment.clock.advance(5.0)
        assert [s.run for s in deployment.starts(job)] == [1]
        assert await deployment.state(job) is JobState.COMPLETED
        await deployment.stop()


class TestReplacedWorkers:
    """Another worker answers at the address: the runs there have ended."""

    async def replace(self, deployment, *, is_listed):
        await deployment.elect()
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        (holder,) = deployment.workers_running(f"{job}.0.0.0")
        deployment.engines[holder].faults.is_replaced = True
        if not is_listed:
            deployment.unlisted.add(holder)
        return job

    async def test_runs_of_an_unlisted_worker_are_lost_at_once(
        self, deployment
    ):
        job = await self.replace(deployment, is_listed=False)
        await deployment.clock.advance(2.0)
        assert [s.run for s in deployment.starts(job)] == [1, 2]

    async def test_runs_of_a_listed_worker_are_lost_with_its_lease(
        self, deployment
    ):
        # Guards against runs that are never given up because each refused poll
        # counted as a renewal of the lease.
        job = await self.replace(deployment, is_listed=True)
        await deployment.clock.advance(2.0)
        assert len(deployment.starts(job)) == 1
        await deployment.clock.advance(6.0)
        assert [s.run for s in deployment.starts(job)] == [1, 2]


class TestVanishedBeforeTakeover:
    """A worker leaves the list before its coordinator is killed."""

    async def take_over(self, deployment, *, is_replaced):
        first = await deployment.elect()
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        (holder,) = deployment.workers_running(f"{job}.0.0.0")
        deployment.engines[holder].faults.is_replaced = is_replaced
        deployment.unlisted.add(holder)
        await deployment.kill(first)
        await deployment.elect()
        return job

    async def test_runs_are_lost_once_another_worker_has_the_address(
        self, deployment
    ):
        # Guards against urgent jobs that wait for 14 s until every lease that
        # the predecessor may have granted has ended.
        job = await self.take_over(deployment, is_replaced=True)
        await deployment.clock.advance(2.0)
        assert [s.run for s in deployment.starts(job)] == [1, 2]

    async def test_runs_of_a_worker_that_answers_go_on(self, deployment):
        job = await self.take_over(deployment, is_replaced=False)
        await deployment.clock.advance(20.0)
        assert [s.run for s in deployment.starts(job)] == [1]
        assert await deployment.state(job) is JobState.COMPLETED

    async def test_record_without_an_address_is_read(self, deployment):
        first = await deployment.elect()
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        progress = first.table.jobs[job]
        fields = msgpack.unpackb(
            jobs.encode_progress(progress), strict_map_key=False
        )
        (address,) = fields.pop("addresses").values()
        old = jobs.decode_progress(msgpack.packb(fields), job=progress.job)
        ((_, attempt),) = old.attempts()
        assert (attempt.run, attempt.address) == (1, "")
        new = jobs.decode_progress(
            jobs.encode_progress(progress), job=progress.job
        )
        ((_, attempt),) = new.attempts()
        assert attempt.address == address

    async def test_earlier_versions_read_the_rows_of_runs(self, deployment):
        # Guards against jobs that an instance of the version before cannot
        # read when it takes over during an upgrade.
        first = await deployment.elect()
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        record = jobs.encode_progress(first.table.jobs[job])
        fields = msgpack.unpackb(record, strict_map_key=False)
        assert fields["format"] == 1
        ((_, _, *_, rows),) = fields["steps"]
        assert [len(row) for row in rows] == [8]


def order_epochs(deployment):
    return [o.epoch for e in deployment.engines.values() for o in e.orders]


class TestPausedCoordinator:
    async def test_no_order_is_sent_after_the_lease_has_ended(self, deployment):
        # Guards against a process that resumes after a pause and sends starts
        # and stops before it detects that a successor has taken over.
        first = await deployment.elect()
        running = await submit_many(deployment, accelerators=4)
        await deployment.clock.advance(1.0)
        sent = len(order_epochs(deployment))
        deployment.unconfirmed_s = 2.0
        waiting = await deployment.submit(harness.make_job("late"))
        for job in running[:2]:
            first.table.jobs[job].cancel()
            first._stop_all(first.table.jobs[job])
        await deployment.clock.advance(2.0)
        assert len(order_epochs(deployment)) == sent
        deployment.unconfirmed_s = 0.0
        await deployment.clock.advance(1.0)
        assert len(deployment.starts(waiting)) == 1
        assert not deployment.workers_running(f"{running[0]}.0.0.0")

    async def test_pause_while_connecting_withholds_the_start(self, deployment):
        # Guards against a permission that is checked before the connection is
        # opened and expires before it is established.
        first = await deployment.elect()
        await deployment.clock.advance(0.5)
        link = first.links["w0"]
        start = link.client.start

        async def start_after_a_pause(order, **options):
            deployment.unconfirmed_s = 6.0
            return await start(order, **options)

        for other in first.links.values():
            other.client.start = start_after_a_pause
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        assert order_epochs(deployment) == []
        assert deployment.starts(job) == []

    async def test_leases_are_renewed_during_a_store_outage(self, deployment):
        # Running work survives a store outage; only orders are withheld.
        await deployment.elect()
        jobs = await submit_many(deployment, accelerators=4)
        await deployment.clock.advance(1.0)
        deployment.unconfirmed_s = 7.5
        await deployment.clock.advance(RUN_S - 2.0)
        assert len(deployment.starts()) == len(jobs)
        assert all(deployment.workers_running(f"{j}.0.0.0") for j in jobs)


class TestStaleViews:
    async def test_nothing_starts_on_a_stale_view_of_the_zones(
        self, deployment
    ):
        # Guards against a start in a zone that was removed in the meantime.
        await deployment.elect()
        deployment.zones_age_s = 4.6
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        assert deployment.starts(job) == []
        deployment.zones_age_s = 0.3
        await deployment.clock.advance(1.0)
        assert len(deployment.starts(job)) == 1

    async def test_nothing_starts_on_a_stale_list_of_workers(self, deployment):
        # Guards against a start on a draining worker when the store answers
        # writes again but not the list of workers.
        current = await deployment.elect()
        await deployment.clock.advance(1.0)

        async def no_answer():
            raise store.StoreOutcomeUnknownError("no answer")

        current._worker_registry.list_workers = no_answer
        await deployment.clock.advance(2.0)
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        assert deployment.starts(job) == []

    async def test_a_start_that_waited_for_the_store_is_checked_again(
        self, deployment
    ):
        # Guards against a start that was planned before its zone was removed
        # and is sent when the store answers again.
        slow = deployment.faulty_store()
        transact = slow.transact

        async def transact_slowly(**options):
            await deployment.clock.sleep(1.0)
            return await transact(**options)

        slow.transact = transact_slowly
        await deployment.elect(used_store=slow)
        await deployment.clock.advance(3.0)
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(0.5)
        deployment.removed_zones.update({"a", "b"})
        await deployment.clock.advance(2.0)
        assert deployment.starts(job) == []


class TestGangStarts:
    async def test_gang_is_started_completely_or_not_at_all(self, deployment):
        # Guards against members that start, wait for a member whose start was
        # withheld, and end with the outcome `broken`.
        slow = deployment.faulty_store()
        transact = slow.transact

        async def transact_slowly(**options):
            await deployment.clock.sleep(0.5)
            return await transact(**options)

        slow.transact = transact_slowly
        current = await deployment.elect(used_store=slow)
        await deployment.clock.advance(3.0)
        job = await deployment.submit(
            harness.make_job(
                "a",
                harness.make_step(
                    count=3, accelerators=8, estimate_s=RUN_S, is_gang=True
                ),
            )
        )
        await deployment.clock.advance(0.3)
        progress = current.table.jobs[job]
        first = next(attempt for _, attempt in progress.attempts())
        current.links[first.worker].start_cooldown()
        await deployment.clock.advance(0.6)
        assert deployment.starts(job) == []
        await deployment.clock.advance(4.0)
        starts = deployment.starts(job)
        assert len(starts) == 3
        assert len({s.run for s in starts}) == 1


class TestUnexpectedErrors:
    async def test_failure_to_apply_a_report_does_not_end_the_link(
        self, deployment
    ):
        # Guards against a worker that is no longer polled because one of its
        # reports could not be applied.
        current = await deployment.elect()
        await deployment.clock.advance(0.5)
        handle = current._reports.handle
        failed = []

        def fail_once(link, report, requested_at_s):
            if not failed:
                failed.append(link.worker)
                raise ValueError("unforeseen")
            return handle(link, report, requested_at_s)

        current._reports.handle = fail_once
        jobs = await submit_many(deployment, accelerators=4)
        await deployment.clock.advance(RUN_S + 6.0)
        assert failed
        assert len(deployment.starts()) == len(jobs)
        for job in jobs:
            assert await deployment.state(job) is JobState.COMPLETED

    async def test_job_that_cannot_be_planned_does_not_block_others(
        self, deployment
    ):
        current = await deployment.elect()
        unplannable = await deployment.submit(harness.make_job("odd"))
        current.table.add(harness.make_job("odd"))
        current.table.jobs[unplannable].ready_steps = None
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(1.0)
        assert len(deployment.starts(job)) == 1

    async def test_job_is_planned_again_after_an_error(self, deployment):
        # Guards against an accepted job that is left out of all plans after a
        # single unexpected error.
        current = await deployment.elect()
        job = await deployment.submit(harness.make_job("a"))
        progress = current.table.add(harness.make_job("a"))
        progress.ready_steps = None
        await deployment.clock.advance(1.0)
        assert not deployment.starts(job)
        del progress.ready_steps
        await deployment.clock.advance(6.0)
        assert len(deployment.starts(job)) == 1

    async def test_many_steps_that_depend_on_all_before_are_planned(
        self, deployment
    ):
        # Guards against a chain of steps that is computed along every path:
        # 64 steps have 2^62 paths, and the coordinator and its successors hang.
        steps = [
            harness.make_step(after=tuple(range(i)), estimate_s=1.0)
            for i in range(64)
        ]
        await deployment.elect()
        job = await deployment.submit(harness.make_job("a", *steps))
        await deployment.clock.advance(1.0)
        assert len(deployment.starts(job)) == 1

    async def test_unexpected_error_of_a_start_settles_the_run(
        self, deployment
    ):
        # Guards against a run that stays unsettled forever.
        current = await deployment.elect()
        await deployment.clock.advance(0.5)

        async def fail(order, **options):
            raise ValueError("unforeseen")

        for link in current.links.values():
            link.client.start = fail
        job = await deployment.submit(harness.make_job("a"))
        await deployment.clock.advance(0.3)
        for link in current.links.values():
            del link.client.start
        await deployment.clock.advance(RUN_S + 10.0)
        assert await deployment.state(job) is JobState.COMPLETED
