"""Steps of the promises in plain words, over the drivers of the matrix."""

import asyncio

import pytest
import pytest_bdd
from pytest_bdd import given, parsers, then, when

from magnoliaglade import configuration, daemon, execution, requests
from magnoliaglade.faults import Fault, Promise
from tests.matrix import claims, jobs, settings, shutdown

pytest_bdd.scenarios(".")

RequestStep = requests.RequestStep


@pytest.fixture
def world():
    """The cells that the scenario names, and what its run finds."""
    return {"cells": [], "found": None}


def finish(world, call):
    world["found"] = asyncio.run(call)


def require(world, promise):
    found = world["found"]
    assert found.has_fired
    assert promise in found.checked
    assert promise not in found.broken(), found.violations


@given('account "b" runs a job on all accelerators')
@given('account "a" has a guarantee of two half workers')
def borrowed_accelerators():
    tasks = jobs.GUARANTEE.count
    assert (tasks, jobs.GUARANTEE.accelerators) == (2, 4)


@when('account "a" submits a job within its guarantee')
def submit_guaranteed(world):
    finish(world, jobs.Run([]).run())


@then('the job of account "a" starts although account "b" never finishes')
def guaranteed_job_starts(world):
    require(world, Promise.GUARANTEE_RECLAIMABLE)


@given("a job whose tasks run on several workers")
def gang():
    pass


@when(parsers.parse('a worker dies at the "{step}" step of the start'))
def worker_dies(world, step):
    cell = (execution.LaunchStep(step), Fault.INSTANCE_DIES)
    finish(world, jobs.Run([cell]).run())


@then("no part of the job runs alone for longer than a lease")
def gang_is_whole(world):
    require(world, Promise.GANG_WHOLE)


@given("the store goes down while operators remove a zone")
def removal_without_store(world):
    step = configuration.ZoneStep.SPREAD_REMOVAL
    world["cells"] = [(step, Fault.STORE_DOWN)]


@when("the removal is reported as in effect")
def removal_in_effect(world):
    run = settings.Run(world["cells"])
    finish(world, run.zone())
    assert run.removed_s < run.returned_s


@then("no instance may start a task in the zone after 3 seconds")
def no_start(world):
    require(world, Promise.ZONE_REMOVED_NO_START)


@given("two requests are in progress at the same time")
@given("a non-idempotent request is running at an upstream")
def request_in_progress():
    pass


@when("the second one is answered before the first one")
def answered_out_of_order(world):
    run = claims.Run([])
    finish(world, run.run())
    assert len(run.sent) == 3


@then("each caller receives the complete answer to its own request")
def own_answers(world):
    require(world, Promise.WHOLE_ANSWER_TO_ITS_CALLER)


@when("the upstream dies before it answers")
def upstream_dies(world):
    cell = (RequestStep.ANSWER, Fault.INSTANCE_DIES)
    finish(world, claims.Run([cell]).run())


@then("no caller is told that a request that ran was not run")
def refusals_are_true(world):
    require(world, Promise.NOT_RUN_IS_TRUE)


@when("its entry instance dies and the caller repeats the request")
def entry_dies(world):
    cell = (RequestStep.ANSWER, Fault.PROCESS_DIES)
    finish(world, claims.Run([cell]).run())


@then("the request has run at most once")
def ran_once(world):
    require(world, Promise.AT_MOST_ONCE)


@given("an upstream announces that it is leaving")
def upstream_leaves(world):
    world["cells"] = [(daemon.ShutdownStep.LEAVE, Fault.LIST_LAGS)]


@when("the instance list does not show it yet")
def list_lags(world):
    finish(world, shutdown.Run(world["cells"]).run())


@then("the upstream receives no new work after 3 seconds")
def no_new_work(world):
    require(world, Promise.LEAVING_GETS_NO_WORK)


@when("its entry instance is stopped as planned")
def planned_stop(world):
    finish(world, shutdown.Run([]).run())


@then("the caller receives the complete answer and the stop ends")
def stop_is_graceful(world):
    require(world, Promise.GRACEFUL_STOP)
    require(world, Promise.WHOLE_ANSWER_TO_ITS_CALLER)


@given("an operator changes the configuration")
def operator_changes(world):
    step = configuration.ConfigurationStep.PUBLISH
    world["cells"] = [(step, Fault.ANSWER_LOST)]


@when("the store's answer to the change is lost")
def answer_lost(world):
    finish(world, settings.Run(world["cells"]).change())


@then("the change is in effect at every instance and never reverts")
def change_holds(world):
    require(world, Promise.CONFIGURATION_HOLDS)


def test_each_promise_has_a_feature(request):
    """Guards against a promise without a feature."""
    names = {p.stem for p in request.path.parent.glob("*.feature")}
    assert names == {p.name.lower() for p in Promise}
