"""Executors start again under their id as another kind: starts go on there."""

import asyncio
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-3"))

import standins  # noqa: E402

WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LENGTH_S = 60.0
JOBS_PER_S = 8.0
RESTART_EVERY_S = 2.5
DOWN_S = 0.1
LABEL = "a"


class Check:
    """Looks at each start: does the executor have the label?"""

    def __init__(self, record):
        self.record = record
        self.broken = 0
        self.starts = 0

    def look(self, executor, task, number):
        """Checks one start."""
        self.starts += 1
        if LABEL in executor.labels:
            return
        self.broken += 1
        self.record.add(
            f"BROKEN ROUTE: {task} run {number} requires {LABEL!r} and has "
            f"begun on {executor.name} with the labels {executor.labels}"
        )


async def submit(deployment, record):
    """Hands in jobs whose task requires the label."""
    number = 0
    while True:
        job = f"{random.getrandbits(64):016x}"
        instance = deployment.instances[number % len(deployment.instances)]
        number += 1
        fields = standins.make_job(250, gpu=8, requires=LABEL)
        status, _ = await instance.call("POST", standins.PREFIX + job, fields)
        record.add(f"job {job} answered {status}")
        await asyncio.sleep(1.0 / JOBS_PER_S)


async def restart(deployment, record):
    """Restarts an executor at a time, each as the other kind."""
    number = 0
    while True:
        await asyncio.sleep(RESTART_EVERY_S)
        kind, other = ("a", "b") if number % 2 == 0 else ("b", "a")
        number += 1
        executor = next(
            e
            for e in deployment.executors[number:] + deployment.executors
            if e.labels[0] == kind
        )
        executor.crash()
        record.add(f"crash of {executor.name}, kind {kind}")
        await asyncio.sleep(DOWN_S)
        executor.labels = [other, executor.labels[1]]
        await executor.start()
        record.add(f"{executor.name} is up again, kind {other}")


async def main():
    """Runs the case; returns the exit status."""
    record = standins.Record(HERE / "record.txt")
    deployment = standins.Deployment(record)
    check = Check(record)
    for number in range(8):
        executor = deployment.add_executor(
            number, labels=["ab"[number // 4], f"r1-{number % 4 // 2}"]
        )
        executor.on_start = check.look
    try:
        await deployment.start()
    except TimeoutError:
        record.add("the instances did not start")
        await deployment.stop()
        return 2
    tasks = [asyncio.ensure_future(submit(deployment, record))]
    if WITH_TROUBLE:
        tasks.append(asyncio.ensure_future(restart(deployment, record)))
    await asyncio.sleep(LENGTH_S)
    for task in tasks:
        task.cancel()
    await deployment.stop()
    record.add(f"{check.starts} starts, {check.broken} without the label")
    if not check.starts:
        return 2
    return 1 if check.broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
