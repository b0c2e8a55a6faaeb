"""Tells the story of one job from the logs of several instances."""

import json
import pathlib
from typing import Any

import click

_HIDDEN = frozenset(
    {"message_type", "timestamp", "task_uuid", "task_level", "instance"}
)


@click.command()
@click.argument("job")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path)
)
@click.option("--json", "as_json", is_flag=True, help="Print the lines.")
def explain(job: str, files: tuple[pathlib.Path, ...], as_json: bool) -> None:
    """Print what the logs in FILES say of JOB, in order of time.

    \b
    Example:
      magnoliaglade explain 5c0e7a21d94b36f8 e1.log e2.log
    """  # noqa: D301
    lines = [line for path in files for line in read_lines(path)]
    story = select(lines, job)
    if not story:
        raise click.ClickException(f"no line tells of {job}")
    for line in story:
        click.echo(json.dumps(line) if as_json else render(line))
    for gap in gaps(lines):
        click.echo(gap, err=True)


def read_lines(path: pathlib.Path) -> list[dict[str, Any]]:
    """Returns the event lines of a log; other lines are passed over."""
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


def select(lines: list[dict[str, Any]], job: str) -> list[dict[str, Any]]:
    """Returns the lines on a job in order of time."""
    mine = [x for x in lines if _is_about(x, job)]
    return sorted(mine, key=lambda x: x.get("timestamp", 0.0))


def render(line: dict[str, Any]) -> str:
    """Returns a line as a person reads it."""
    kind = line["message_type"].partition(":")[2]
    rest = " ".join(f"{k}={v}" for k, v in line.items() if k not in _HIDDEN)
    at_s = line.get("timestamp", 0.0)
    return f"{at_s:.3f} {line.get('instance', '-')} {kind} {rest}"


def gaps(lines: list[dict[str, Any]]) -> list[str]:
    """Returns one note for each instance that dropped lines."""
    dropped: dict[str, int] = {}
    for line in lines:
        count = line.get("dropped_before", 0)
        if line["message_type"].endswith(":log"):
            count += line.get("count", 0)
        if count:
            name = line.get("instance", "-")
            dropped[name] = dropped.get(name, 0) + count
    return [f"gap: {n} dropped {c} lines" for n, c in sorted(dropped.items())]


def _is_about(line: dict[str, Any], job: str) -> bool:
    if job in line.get("jobs", ()):
        return True
    task = str(line.get("task", ""))
    named = (line.get("job"), line.get("beneficiary"))
    return job in named or task.partition(".")[0] == job
