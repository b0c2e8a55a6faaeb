"""A job runs although its cancelling was acknowledged."""

import asyncio
import pathlib
import random
import time

from support import deployment as deployment_lib
from support.executor import Work

# Due time of the job, from its first submission; by then the store has been
# sound for several times `contactMs`.
DUE_S = 15.0
# Share of the store's writes that may go without an answer, for how long, and
# how much later they are executed.
MAX_LOST_SHARE = 0.35
LOST_S = 4.5
LATE_S = 5.5
CANCEL_S = 3.0
WATCH_S = 6.0
PREFIX = "/train/"
STEP = {"count": 2, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimateMs": 500}


async def check(deployment):
    """Runs the case; returns whether the rule held."""
    job = f"{random.getrandbits(64):016x}"
    others = asyncio.ensure_future(_submit_others(deployment))
    await asyncio.sleep(1.0)
    writes_before = list(deployment.store.writes)
    if deployment_lib.has_trouble():
        deployment.store.delay_of = lambda keys: (
            LATE_S if any(key.endswith(job) for key in keys) else None
        )
    began_s = time.monotonic()
    body = {
        "spec": f"work of {job}",
        "steps": [STEP],
        "repetitions": 2,
        "startMs": int((time.time() + DUE_S) * 1000),
        "intervalMs": 1000,
    }
    await deployment.call("POST", PREFIX + job, body)
    status = 0
    while status not in (200, 410):
        if time.monotonic() > began_s + LOST_S:
            raise deployment_lib.NotRunError("the cancelling has no answer")
        status, _ = await deployment.call("DELETE", PREFIX + job)
        await asyncio.sleep(0.1)
    acknowledged_at_s = time.monotonic()
    deployment.log(f"the cancelling of {job} is acknowledged with {status}")
    await asyncio.sleep(max(0.0, began_s + LOST_S - time.monotonic()))
    deployment.store.delay_of = lambda _: None
    done, lost = (
        now - before
        for now, before in zip(
            deployment.store.writes, writes_before, strict=True
        )
    )
    deployment.log(f"answers lost: {lost} of {done} writes in {LOST_S} s")
    others.cancel()
    if lost > MAX_LOST_SHARE * done:
        raise deployment_lib.NotRunError("too many answers were lost")
    await asyncio.sleep(began_s + DUE_S + WATCH_S - time.monotonic())
    late = [
        e
        for e in deployment.events
        if e.kind == "start"
        and e.task.startswith(f"{job}.")
        and e.at_s > acknowledged_at_s + CANCEL_S
    ]
    for event in late:
        deployment.log(
            f"{event.task} started {event.at_s - acknowledged_at_s:.1f} s "
            "after the acknowledgement"
        )
    return not late


async def _submit_others(deployment):
    """Submits other jobs, two a second."""
    while True:
        await deployment.submit(PREFIX, [STEP | {"count": 1}])
        await asyncio.sleep(0.5)


if __name__ == "__main__":
    deployment_lib.main(
        deployment_lib.Deployment(
            record=pathlib.Path(__file__).with_name("record.txt"),
            routes=[{"name": "r-train", "prefix": PREFIX}],
            work_of=lambda *_: Work(duration_s=0.5),
        ),
        check,
    )
