"""A failed run excludes its executor for good, so accepted work stops."""

import asyncio
import collections
import pathlib
import time

from support import deployment as deployment_lib
from support.executor import Work

# Executors of the rare kind, and how long they fail all that they start.
RARE = 2
GREY_S = 6.0
FINISH_S = 14.0
# Time for which nothing may run although there is room.
IDLE_S = 3.0
PREFIX = "/train/"
STEP = {
    "count": 2,
    "cpu": 5600,
    "memMb": 15000,
    "gpu": 1,
    "estimateMs": 2000,
    "requires": "b",
}


async def check(deployment):
    """Runs the case; returns whether the rule held."""
    rare = [e for e in deployment.executors if "b" in e.labels]
    for each in rare:
        each.fails_all = deployment_lib.has_trouble()
    deployment.log(f"executors of kind b: {[e.name for e in rare]}")
    deployment.log(f"they fail all that they start: {rare[0].fails_all}")
    job = await deployment.submit(PREFIX, [STEP])
    await asyncio.sleep(GREY_S)
    for each in rare:
        each.fails_all = False
    deployment.log("they are sound again; the traffic ends")
    await asyncio.sleep(FINISH_S)
    status, reply = await deployment.call("GET", PREFIX + job)
    if status != 200:
        return False
    if reply.get("state") == "completed":
        return True
    ends = [e for e in deployment.events if e.kind == "failed"]
    failures = collections.Counter(e.task for e in ends)
    deployment.log(f"failed runs: {dict(failures)}, maxAttempts is 3")
    idle_until_s = time.monotonic() + IDLE_S
    while time.monotonic() < idle_until_s:
        if deployment.runs_of(job) or deployment.busy_share() >= 0.5:
            return True
        await asyncio.sleep(0.02)
    deployment.log(
        f"{FINISH_S} s after the traffic the job is shown as {reply}, nothing "
        f"of it has run for {IDLE_S} s, and all executors are idle"
    )
    return False


if __name__ == "__main__":
    deployment_lib.main(
        deployment_lib.Deployment(
            record=pathlib.Path(__file__).with_name("record.txt"),
            routes=[{"name": "r-train", "prefix": PREFIX}],
            work_of=lambda *_: Work(duration_s=2.0),
            kind_of=lambda n: "b" if n < RARE else "a",
        ),
        check,
    )
