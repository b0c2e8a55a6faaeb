"""Job records and tables of a given size for the benchmarks."""

from typing import Any

from benchmarks import _renewals, _slopes
from magnoliaglade import execution
from magnoliaglade.execution import _records
from magnoliaglade.types import JobId, WorkerId

_GANG_TASKS = 40


def job_records(number: int, *, is_ended: bool = True) -> list[Any]:
    """Returns the records of a gang of 40 tasks on 4 workers."""
    job = JobId(f"{number:032x}")
    workers = [WorkerId(f"worker-{number % 900 + n:04}") for n in range(4)]
    count = _GANG_TASKS // len(workers)
    launch = _renewals.make_launch(job, [(w, count) for w in workers])
    records: list[Any] = [
        execution.Accepted(spec=launch.spec),
        _records.Decided(
            job=job, attempt=1, placement=launch.placement, at_s=1e9
        ),
    ]
    if is_ended:
        records.append(_records.Finished(job=job, attempt=1, at_s=1e9))
    return records


def held_table(size: int, *, is_ended: bool) -> tuple[execution.JobTable, int]:
    """Returns a table of `size` jobs and the bytes that it holds."""

    def build() -> execution.JobTable:
        table = execution.JobTable()
        for number in range(size):
            records = job_records(number, is_ended=is_ended)
            # Encoded and decoded, so that nothing is shared between jobs.
            table.replay(execution.encode_record(r) for r in records)
        return table

    return _slopes.held_bytes(build)
