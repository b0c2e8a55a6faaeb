"""One accepted job, whose occurrences are all due, stops the whole service."""

import asyncio
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-3"))

import standins  # noqa: E402

WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXECUTORS = 12
JOBS_PER_S = 4.0
RUN_MS = 300
TRAFFIC_S = 20.0
LARGE_JOB_AT_S = 8.0
# Bound of the rules, and the time for which a job may have nothing running.
FINISH_S = 14.0
IDLE_S = 3.0
# Once a minute for a week, beginning a week ago.
REPETITIONS = 10_000
INTERVAL_MS = 60_000
STEPS = 10
TASKS = 10
LARGE_JOB = "b" * 16


async def submit(deployment, record, accepted):
    """Hands in small jobs at each instance in turn."""

    async def hand_in(instance):
        job = f"{random.getrandbits(64):016x}"
        target = standins.PREFIX + job
        status, _ = await instance.call(
            "POST", target, standins.make_job(RUN_MS)
        )
        record.add(f"job {job} answered {status}")
        if status == 200:
            accepted.append(job)

    calls = []
    for number in range(int(TRAFFIC_S * JOBS_PER_S)):
        instance = deployment.instances[number % len(deployment.instances)]
        calls.append(asyncio.ensure_future(hand_in(instance)))
        await asyncio.sleep(1.0 / JOBS_PER_S)
    await asyncio.gather(*calls)


async def submit_large_job(deployment, record):
    """Hands in the job; all its occurrences are due."""
    await asyncio.sleep(LARGE_JOB_AT_S)
    week_ms = REPETITIONS * INTERVAL_MS
    fields = {
        "spec": str(RUN_MS),
        "repetitions": REPETITIONS,
        "startMs": int(time.time() * 1000) - week_ms,
        "intervalMs": INTERVAL_MS,
        "steps": [
            {"count": TASKS, "cpu": 1000, "memMb": 1000, "gpu": 1}
            | {"estimateMs": RUN_MS}
        ]
        * STEPS,
    }
    status, _ = await deployment.instances[0].call(
        "POST", standins.PREFIX + LARGE_JOB, fields
    )
    record.add(f"job {LARGE_JOB}, {fields}, answered {status}")


async def watch(deployment, record):
    """Takes down the coordinator, and the memory of the instances."""
    leader = None
    while True:
        found = deployment.leader()
        if found != leader:
            leader = found
            sizes = [round(i.rss_mb()) for i in deployment.instances]
            record.add(f"coordinator is {found or 'nobody'}; RSS {sizes} MB")
        await asyncio.sleep(0.25)


def unstarted(deployment, accepted):
    """Returns the accepted small jobs of which no task has ever started."""
    started = {
        task.partition(".")[0]
        for e in deployment.executors
        for _, task, _ in e.starts
    }
    return [job for job in accepted if job not in started]


def share_in_use(deployment):
    """Returns the share of accelerators that runs may use."""
    runs = sum(len(e.runs) for e in deployment.executors)
    return runs / (8 * len(deployment.executors))


async def judge(deployment, record, accepted):
    """Returns how many jobs have nothing running for too long."""
    await asyncio.sleep(FINISH_S)
    begun_s = time.monotonic()
    waiting = unstarted(deployment, accepted)
    peak = 0.0
    while time.monotonic() - begun_s < IDLE_S:
        peak = max(peak, share_in_use(deployment))
        await asyncio.sleep(0.02)
    waiting = [j for j in unstarted(deployment, accepted) if j in waiting]
    record.add(
        f"{len(accepted)} small jobs accepted, {len(waiting)} not begun "
        f"{FINISH_S + IDLE_S:.0f} s after the traffic; at most {peak:.0%} of "
        f"the accelerators were in use in the last {IDLE_S:.0f} s"
    )
    broken = waiting if peak < 0.5 else []
    for job in broken:
        status, fields = await deployment.instances[0].call(
            "GET", standins.PREFIX + job
        )
        record.add(
            f"BROKEN LOST: {job} has had nothing running for {IDLE_S:.0f} s; "
            f"GET answers {status} {fields}"
        )
    return len(broken)


async def main():
    """Runs the case; returns the exit status."""
    record = standins.Record(HERE / "record.txt")
    deployment = standins.Deployment(record)
    try:
        return await play(deployment, record)
    except TimeoutError:
        record.add("the instances did not start")
        return 2
    finally:
        await deployment.stop(keep_logs_in=os.environ.get("KEEP_LOGS"))


async def play(deployment, record):
    """Plays the case; returns the exit status."""
    for number in range(EXECUTORS):
        deployment.add_executor(number)
    await deployment.start()
    accepted = []
    tasks = [asyncio.ensure_future(watch(deployment, record))]
    if WITH_TROUBLE:
        tasks.append(
            asyncio.ensure_future(submit_large_job(deployment, record))
        )
    await submit(deployment, record, accepted)
    broken = await judge(deployment, record, accepted)
    for task in tasks:
        task.cancel()
    if not accepted:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
