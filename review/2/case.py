"""A large gang that waits for a lasting task keeps all other work waiting."""

import asyncio
import pathlib
import time

from support import deployment as deployment_lib
from support.executor import Work

FINISH_S = 14.0
IDLE_S = 3.0
EXECUTORS = 24
BATCH_PREFIX = "/proofs/"
TRAIN_PREFIX = "/train/"
LASTING = {"count": 1, "cpu": 2000, "memMb": 1000, "gpu": 1}
GANG = {
    "count": EXECUTORS,
    "cpu": 26000,
    "memMb": 53000,
    "gpu": 8,
    "estimateMs": 8500,
    "gang": True,
}
SMALL = {
    "count": 2,
    "cpu": 5600,
    "memMb": 15000,
    "gpu": 1,
    "estimateMs": 2000,
}


async def check(deployment):
    """Runs the case; returns whether the rule held."""
    lasting = await deployment.submit(TRAIN_PREFIX, [LASTING], longRunning=True)
    lasting_names.add(lasting)
    await asyncio.sleep(3.0)
    if not deployment.runs_of(lasting):
        raise deployment_lib.NotRunError("the lasting job has not started")
    if deployment_lib.has_trouble():
        await deployment.submit(BATCH_PREFIX, [GANG])
        await asyncio.sleep(0.5)
    job = await deployment.submit(TRAIN_PREFIX, [SMALL])
    deployment.log("the traffic ends")
    await asyncio.sleep(FINISH_S)
    status, reply = await deployment.call("GET", TRAIN_PREFIX + job)
    if status != 200:
        return False
    idle_until_s = time.monotonic() + IDLE_S
    while time.monotonic() < idle_until_s:
        if deployment.starts_of(job) or deployment.busy_share() >= 0.5:
            return True
        await asyncio.sleep(0.02)
    deployment.log(
        f"the small job is shown as {reply}; in {FINISH_S + IDLE_S} s no task "
        f"of it has started, and {deployment.busy_share():.2f} of the "
        "executors have a run"
    )
    return False


lasting_names: set[str] = set()


def work_of(task, _):
    """Returns what a run of a task does."""
    if task.partition(".")[0] in lasting_names or not lasting_names:
        return Work()
    return Work(duration_s=2.0)


if __name__ == "__main__":
    deployment_lib.main(
        deployment_lib.Deployment(
            record=pathlib.Path(__file__).with_name("record.txt"),
            routes=[
                {
                    "name": "r-proofs",
                    "prefix": BATCH_PREFIX,
                    "priority": 1,
                    "sloMs": 1000,
                },
                {"name": "r-train", "prefix": TRAIN_PREFIX},
            ],
            work_of=work_of,
            executors=EXECUTORS,
        ),
        check,
    )
