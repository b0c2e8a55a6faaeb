"""Prints the log lines of one job from the logs of several instances."""

import json
import pathlib
from typing import Any

import click

_HIDDEN_FIELDS = frozenset(
    {"message_type", "timestamp", "task_uuid", "task_level", "instance"}
)


@click.command()
@click.argument("job")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path)
)
@click.option("--json", "as_json", is_flag=True, help="Print the lines.")
def explain(job: str, files: tuple[pathlib.Path, ...], as_json: bool) -> None:
    """Print the lines about JOB from the logs in FILES, in order of time.

    \b
    Example:
      magnoliaglade explain 5c0e7a21d94b36f8 e1.log e2.log
    """  # noqa: D301
    lines = [line for path in files for line in read_event_lines(path)]
    job_lines = select_job_lines(lines, job)
    if not job_lines:
        raise click.ClickException(f"no log line mentions job {job}")
    for line in job_lines:
        click.echo(json.dumps(line) if as_json else format_line(line))
    for note in dropped_line_notes(lines):
        click.echo(note, err=True)


def read_event_lines(path: pathlib.Path) -> list[dict[str, Any]]:
    """Returns the event lines of a log; other lines are skipped."""
    found: list[dict[str, Any]] = []
    for text in path.read_text(encoding="utf-8").splitlines():
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except json.JSONDecodeError:
            continue
        if isinstance(line, dict) and "message_type" in line:
            found.append(line)
    return found


def select_job_lines(
    lines: list[dict[str, Any]], job: str
) -> list[dict[str, Any]]:
    """Returns the lines about a job in order of time."""
    matching = [x for x in lines if _mentions_job(x, job)]
    return sorted(matching, key=lambda x: x.get("timestamp", 0.0))


def format_line(line: dict[str, Any]) -> str:
    """Returns a line as human-readable text."""
    kind = line["message_type"].partition(":")[2]
    rest = " ".join(
        f"{k}={v}" for k, v in line.items() if k not in _HIDDEN_FIELDS
    )
    at_s = line.get("timestamp", 0.0)
    return f"{at_s:.3f} {line.get('instance', '-')} {kind} {rest}"


def dropped_line_notes(lines: list[dict[str, Any]]) -> list[str]:
    """Returns one note for each instance that dropped log lines."""
    dropped: dict[str, int] = {}
    for line in lines:
        count = line.get("dropped_before", 0)
        if line["message_type"].endswith(":log"):
            count += line.get("count", 0)
        if count:
            name = line.get("instance", "-")
            dropped[name] = dropped.get(name, 0) + count
    return [f"gap: {n} dropped {c} lines" for n, c in sorted(dropped.items())]


def _mentions_job(line: dict[str, Any], job: str) -> bool:
    if job in line.get("jobs", ()):
        return True
    task = str(line.get("task", ""))
    mentioned_jobs = (line.get("job"), line.get("beneficiary"))
    return job in mentioned_jobs or task.partition(".")[0] == job
