"""Cost of the pure parts by size, with fitted slopes.

CPU times are those of this process; their baseline is a reference operation
(packing and unpacking 100 short texts) in the same run, so that the ratio
compares between machines. Bytes and calls have no baseline. Renewals use the
code of `execution` with workers in memory, without sockets.
"""

import argparse
import asyncio
import dataclasses
import json
import random
import time
from collections.abc import Callable
from typing import Any

import msgpack

from benchmarks import (
    _job_tables,
    _message_costs,
    _renewals,
    _slopes,
    bench_decisions,
)
from magnoliaglade import clock as clock_lib
from magnoliaglade import (
    execution,
    scheduling,
)
from magnoliaglade import store as store_lib
from magnoliaglade.instances import _http_instance_list, codec
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.requests import _claim_messages, _claim_table
from magnoliaglade.types import (
    AccountId,
    Epoch,
    InstanceId,
    JobId,
    RequestId,
    TaskId,
    WorkerId,
)

_WORKERS = (32, 96, 288)
_TASKS_PER_WORKER = (6, 24, 96)
# 88,000 tasks on 3,800 workers.
_TARGET_TASKS_PER_WORKER = 24
_RECORDS = (300, 1200, 4800)
_REPORTED = (24, 240, 2400)
_JOBS = (500, 2000, 8000)
_CLAIMS = (1000, 4000, 16_000)
_LISTED = (100, 950, 3800)
# Workers and tasks of a quarter, a half and the whole of an average zone.
_DECISIONS = ((73, 1692), (146, 3385), (292, 6770))


def run(seed: int) -> list[dict[str, Any]]:
    """Returns every point, slope and fixed part."""
    reference_s = _slopes.reference_s()
    parts = (
        _renewal_rounds,
        _log_records,
        _tables,
        _task_reports,
        _claim_tables,
        _instance_lists,
        _decisions,
    )
    rng = random.Random(seed)
    measured = [series for part in parts for series in part(rng)]
    measured += _message_costs.heartbeats()
    measured += _message_costs.configurations()
    measured += _message_costs.message_sizes()
    return [
        row
        for series in measured
        for row in _slopes.rows(series, seed=seed, reference_s=reference_s)
    ]


def _renewal_rounds(_: random.Random) -> list[_slopes.Series]:
    by_worker = {
        n: _renewals.measure(
            workers=n, tasks_per_worker=_TARGET_TASKS_PER_WORKER, rounds=8
        )
        for n in _WORKERS
    }
    by_task = {
        n: _renewals.measure(workers=64, tasks_per_worker=n, rounds=8)
        for n in _TASKS_PER_WORKER
    }
    units = {"cpu": "CPU-s", "bytes": "bytes", "calls": "calls"}
    found = []
    for name, unit in units.items():
        points = [(n, v[name]) for n, v in by_worker.items()]
        subject = f"renewal.{name}.worker"
        found.append(_slopes.series(subject, unit, "worker and round", points))
        points = [(64 * n, v[name]) for n, v in by_task.items()]
        subject = f"renewal.{name}.task"
        found.append(_slopes.series(subject, unit, "task and round", points))
    return found


def _log_records(_: random.Random) -> list[_slopes.Series]:
    measured = {n: asyncio.run(_log(n)) for n in _RECORDS}
    units = {
        "append_cpu": "CPU-s",
        "append_writes": "store writes",
        "replay_cpu": "CPU-s",
        "bytes": "bytes",
    }
    return [
        _slopes.series(
            f"log.{name}",
            unit,
            "record",
            [(n, v[name]) for n, v in measured.items()],
        )
        for name, unit in units.items()
    ]


async def _log(count: int) -> dict[str, float]:
    """Appends one record after the other, then opens the log anew."""
    clock = clock_lib.SystemClock()
    memory = store_lib.InMemoryStore(clock=clock)
    jobs = count // 3
    records = [r for n in range(jobs) for r in _job_tables.job_records(n)]
    log = _open_log(memory, epoch=1)
    await log.open()
    writes = memory.call_counts["put"]
    begun_s = time.process_time()
    for record in records:
        await log.append(execution.encode_record(record))
    append_s = time.process_time() - begun_s
    writes = memory.call_counts["put"] - writes
    begun_s = time.process_time()
    replayed = await _open_log(memory, epoch=2).open()
    execution.JobTable().replay(replayed)
    return {
        "append_cpu": append_s,
        "append_writes": writes,
        "replay_cpu": time.process_time() - begun_s,
        "bytes": sum(map(len, replayed)),
    }


def _open_log(
    store: store_lib.Store, *, epoch: int
) -> store_lib.SingleWriterLog:
    return store_lib.SingleWriterLog(
        store=store,
        clock=clock_lib.SystemClock(),
        name="jobs.z",
        writer=InstanceId("entry-0"),
        epoch=Epoch(epoch),
    )


def _tables(_: random.Random) -> list[_slopes.Series]:
    found = []
    for name, is_ended in (("active", False), ("ended", True)):
        points = []
        for size in _JOBS:
            table = _job_tables.held_table(size, is_ended=is_ended)
            points.append((size, table[1]))
        found.append(
            _slopes.series(f"job_table.{name}", "bytes held", "job", points)
        )
    return found


def _task_reports(_: random.Random) -> list[_slopes.Series]:
    """Returns the memory of a worker's last report, which the owner keeps."""
    points = [(n, _slopes.held_bytes(_report(n))[1]) for n in _REPORTED]
    return [_slopes.series("task_report", "bytes held", "task", points)]


def _report(tasks: int) -> Callable[[], worker_lib.WorkerReport]:
    report = worker_lib.WorkerReport(
        worker=WorkerId("worker-0000"),
        epoch=Epoch(1),
        tasks=tuple(
            worker_lib.TaskReport(
                task=TaskId(f"worker-0000-t{n}"),
                job=JobId(f"{n // 10:032x}"),
                attempt=1,
                phase=worker_lib.TaskPhase.RUNNING,
                gang_size=40,
                memory_gb=1.5,
                run_s=1000.5 + n,
            )
            for n in range(tasks)
        ),
    )
    data = msgpack.packb(codec.encode(report))
    return lambda: codec.decode_report(msgpack.unpackb(data))


def _claim_tables(rng: random.Random) -> list[_slopes.Series]:
    found = []
    for name, answer in (
        ("open", None),
        ("answered", _message_costs.ANSWER_BYTES),
    ):
        points = [
            (size, _claim_bytes(size, answer=answer, rng=rng))
            for size in _CLAIMS
        ]
        subject = f"claim_table.{name}"
        found.append(_slopes.series(subject, "bytes held", "claim", points))
    return found


def _claim_bytes(size: int, *, answer: int | None, rng: random.Random) -> int:
    def build() -> _claim_table.ClaimTable:
        table = _claim_table.ClaimTable()
        for number in range(size):
            for record in _claim_records(number, answer=answer, rng=rng):
                table.apply(record)
        return table

    return _slopes.held_bytes(build)[1]


def _claim_records(
    number: int, *, answer: int | None, rng: random.Random
) -> list[bytes]:
    claim = _claim_table.Claim(
        key_digest=rng.randbytes(32),
        account=AccountId("a0"),
        body_digest=rng.randbytes(32),
        request_id=RequestId(f"{number:032x}"),
        holder=InstanceId("entry-0"),
        incarnation="0123456789ab",
        claimed_at_s=1e9,
    )
    records = [_claim_table.encode_claim(claim)]
    if answer is not None:
        outcome = _claim_messages.ClaimOutcome(
            partition=0,
            key_digest=claim.key_digest,
            request_id=claim.request_id,
            outcome=_claim_messages.ClaimResult.RAN.value,
            answer=rng.randbytes(answer),
        )
        records.append(_claim_table.encode_outcome(outcome, at_s=1e9))
    return records


def _instance_lists(_: random.Random) -> list[_slopes.Series]:
    sizes, times = [], []
    for count in _LISTED:
        text = json.dumps({"instances": [_listed(n) for n in range(count)]})

        def work(text: str = text) -> None:
            for fields in json.loads(text)["instances"]:
                _http_instance_list.decode_instance(fields)

        sizes.append((count, len(text)))
        times.append((count, _slopes.median_cpu_s(work)))
    per = "listed instance and read"
    return [
        _slopes.series("instance_list.bytes", "bytes", per, sizes),
        _slopes.series("instance_list.cpu", "CPU-s", per, times),
    ]


def _listed(number: int) -> dict[str, Any]:
    return {
        "instance": f"worker-{number:04}",
        "role": "worker",
        "zone": f"region-{number % 6}-{number % 13}",
        "address": f"10.0.{number // 250}.{number % 250}:7000",
        "state": "live",
        "rack": f"rack-{number // 24}",
        "service": "",
        "cores": 64.0,
        "memory_gb": 128.0,
        "accelerators": 1,
    }


def _decisions(rng: random.Random) -> list[_slopes.Series]:
    points = []
    for workers, tasks in _DECISIONS:
        snapshot = bench_decisions.make_snapshot(workers, tasks, rng)
        gang = bench_decisions.make_gang(32)
        points.append((tasks, _decision_s(snapshot, gang)))
    return [_slopes.series("decision.cpu", "CPU-s", "running task", points)]


def _decision_s(
    snapshot: scheduling.ClusterSnapshot, gang: scheduling.Gang
) -> float:
    snapshot = dataclasses.replace(snapshot, pending=(gang,))
    return _slopes.median_cpu_s(
        lambda: scheduling.decide(snapshot, policy="cells", seed=0)
    )


def main() -> None:
    """Prints one JSON object a line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    for row in run(parser.parse_args().seed):
        print(json.dumps(row))


if __name__ == "__main__":
    main()
