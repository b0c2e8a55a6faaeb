"""Runs every `bench_*` module in sequence and summarises the results.

Prints one JSON object a line and writes `results/summary.md`, with one table
per subject, and plots of jobs against their baseline if matplotlib is there.
"""

import collections
import importlib
import json
import pathlib
import pkgutil
import statistics
import time
from typing import Any

import click

import benchmarks
from benchmarks import _plots

RESULTS = pathlib.Path(__file__).parent / "results"
DEFAULT_SEEDS = 2
# Seeds of modules that take a minute or more each, or whose seed changes
# little, so that the whole stays within some minutes.
_SEEDS = {
    "bench_claims": 1,
    "bench_configuration": 1,
    "bench_control": 1,
    "bench_slopes": 1,
}
_COLUMNS = ("metric", "unit", "value", "baseline", "ratio", "seeds")


def find_modules() -> list[str]:
    """Returns the names of the benchmark modules in order."""
    names = [m.name for m in pkgutil.iter_modules(benchmarks.__path__)]
    return sorted(n for n in names if n.startswith("bench_"))


def merge(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Returns one row per metric with the means over its seeds."""
    groups: dict[str, list[dict[str, Any]]] = collections.defaultdict(list)
    for row in rows:
        groups[row["metric"]].append(row)
    return [
        {
            "metric": metric,
            "unit": found[0]["unit"],
            "value": _mean(found, "value"),
            "baseline": _mean(found, "baseline"),
            "ratio": _mean(found, "ratio"),
            "seeds": len(found),
        }
        for metric, found in groups.items()
    ]


def make_summary(
    rows: list[dict[str, Any]], *, took_s: dict[str, float], notes: list[str]
) -> str:
    """Returns the summary as Markdown, one table per subject."""
    tables: dict[str, list[dict[str, Any]]] = collections.defaultdict(list)
    for row in merge(rows):
        # A load or case after "@" belongs to the same subject.
        subject = ".".join(row["metric"].split(".")[:2]).partition("@")[0]
        tables[subject].append(row)
    lines = [
        "# Benchmark results",
        "",
        f"Measured on {time.strftime('%Y-%m-%d')} on one machine over loopback;"
        " means over the seeds. What is a virtual time is stated in the"
        " module's description.",
        "",
        *notes,
        "",
    ]
    for subject, found in tables.items():
        lines += [f"## {subject}", "", _line(_COLUMNS)]
        lines.append(_line("---" for _ in _COLUMNS))
        lines += [_line(_shown(row[c]) for c in _COLUMNS) for row in found]
        lines.append("")
    lines += ["## Run time", "", _line(("module", "s")), _line(("---",) * 2)]
    lines += [_line((name, _shown(s))) for name, s in took_s.items()]
    return "\n".join(lines) + "\n"


def _mean(rows: list[dict[str, Any]], name: str) -> float | None:
    values = [r[name] for r in rows if r[name] is not None]
    return statistics.fmean(values) if values else None


def _shown(value: Any) -> str:
    if value is None:
        return "–"
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def _line(cells: Any) -> str:
    return "| " + " | ".join(str(c).replace("|", "\\|") for c in cells) + " |"


@click.command()
@click.option(
    "--seeds",
    type=click.IntRange(min=1),
    default=None,
    help="Seeds per module; by default 2, and 1 for the slow modules.",
)
@click.option(
    "--only", multiple=True, help="Run this module, such as bench_jobs."
)
def main(seeds: int | None, only: tuple[str, ...]) -> None:
    """Run the benchmarks in sequence and write results/summary.md."""
    rows: list[dict[str, Any]] = []
    took_s: dict[str, float] = {}
    for name in only or find_modules():
        module = importlib.import_module(f"benchmarks.{name}")
        begun_s = time.monotonic()
        for seed in range(seeds or _SEEDS.get(name, DEFAULT_SEEDS)):
            for row in module.run(seed):
                click.echo(json.dumps(row))
                rows.append(row)
        took_s[name] = time.monotonic() - begun_s
    RESULTS.mkdir(exist_ok=True)
    notes = _plots.write(merge(rows), directory=RESULTS)
    summary = make_summary(rows, took_s=took_s, notes=notes)
    path = RESULTS / "summary.md"
    path.write_text(summary, encoding="utf-8")
    click.echo(f"summary in {path.relative_to(RESULTS.parent)}", err=True)


if __name__ == "__main__":
    main()
