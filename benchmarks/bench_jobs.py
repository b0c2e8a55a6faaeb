"""Quality of the scheduling decisions against first come, first served.

Both policies get the same jobs in the same run. Work is drawn from both
deployments of design 1.3 with misdeclared run times; a virtual clock drives
the decision code alone.
"""

import json
import random
import statistics
import sys

from benchmarks import _virtual, _workloads

# From the removal until an hour after the return.
_WINDOW_S = (7200.0, 14_400.0)
_RETURN_S = 10_800.0
# Bound on the start of urgent work (design 1.4), eviction included.
_URGENT_START_S = 3.2


def run(seed: int) -> list[dict]:
    """Returns the figures of both deployments for one seed."""
    return [
        row
        for deployment in _workloads.DEPLOYMENTS
        for row in _run_deployment(deployment, seed)
    ]


def _run_deployment(deployment, seed: int) -> list[dict]:
    runs, outages = {}, {}
    jobs = _workloads.make_jobs(
        deployment, random.Random(f"{deployment.name}-{seed}")
    )
    outage = _virtual.Outage(
        zone=deployment.zones[0],
        from_s=_WINDOW_S[0],
        until_s=_RETURN_S,
    )
    for policy in ("cells", "first-fit"):
        common = {
            "deployment": deployment,
            "jobs": jobs,
            "policy": policy,
            "seed": seed,
        }
        runs[policy] = _virtual.Run(**common).run()
        outages[policy] = _virtual.Run(**common, outage=outage).run()
    rows = []
    values = {p: _figures(deployment, r) for p, r in runs.items()}
    for policy, result in outages.items():
        values[policy]["zone_outage_work.useful", "accelerator-hours"] = (
            result.useful_between(*_WINDOW_S)
        )
    for (name, unit), value in values["cells"].items():
        baseline = values["first-fit"][name, unit]
        subject, figure = name.split(".")
        rows.append(
            {
                "metric": f"jobs.{subject}.{deployment.name}_{figure}",
                "unit": unit,
                "value": value,
                "baseline": baseline,
                "ratio": value / baseline if baseline else None,
                "seed": seed,
            }
        )
    return rows


def _figures(deployment, result) -> dict:
    records = list(result.records.values())
    figures = {}
    kinds = (deployment.small, deployment.once, deployment.large, "urgent")
    for kind in kinds:
        times = [
            r.end_s - r.job.gang.submitted_at_s
            for r in records
            if r.job.gang.kind == kind
        ]
        figures[f"completion.{kind}_mean", "s"] = statistics.fmean(times)
        figures[f"completion.{kind}_p99", "s"] = _p99(times)
    due = [r for r in records if r.job.gang.deadline_s is not None]
    met = sum(r.end_s <= r.job.gang.deadline_s for r in due)
    figures["deadlines_met.share", "share"] = met / len(due)
    figures["fragmentation.share", "share"] = (
        result.fragmented_sum / result.free_sum
    )
    large = [r for r in records if r.job.gang.kind == deployment.large]
    multi = [_wait(r) for r in large if r.job.gang.tasks > 1]
    figures["large_gang_wait.mean", "s"] = statistics.fmean(multi)
    figures["large_gang_wait.p99", "s"] = _p99(multi)
    probes = [_wait(r) for r in records if r.job.gang.kind == "guaranteed"]
    figures["reclaim.wait_mean", "s"] = statistics.fmean(probes)
    figures["reclaim.wait_max", "s"] = max(probes)
    urgent = [_wait(r) for r in records if r.job.gang.kind == "urgent"]
    figures["urgent_start.mean", "s"] = statistics.fmean(urgent)
    figures["urgent_start.p99", "s"] = _p99(urgent)
    in_time = sum(wait <= _URGENT_START_S for wait in urgent)
    figures["urgent_start.in_time", "share"] = in_time / len(urgent)
    return figures


def _wait(record) -> float:
    return record.first_start_s - record.job.gang.submitted_at_s


def _p99(values: list[float]) -> float:
    return sorted(values)[int(0.99 * (len(values) - 1))]


if __name__ == "__main__":
    for chosen in map(int, sys.argv[1:] or (0, 1, 2)):
        for measured in run(chosen):
            print(json.dumps(measured), flush=True)
