"""Prints results as tables or as JSON."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

import click

from magnoliaglade import observability


def show(value: Any, *, as_json: bool, columns: Iterable[str] = ()) -> None:
    """Prints a list of mappings as a table, or any value as JSON."""
    if as_json or not isinstance(value, list):
        click.echo(json.dumps(observability.to_plain(value), indent=2))
        return
    click.echo(format_table(value, columns=list(columns)))


def format_table(rows: list[Mapping[str, Any]], *, columns: list[str]) -> str:
    """Returns an aligned table with a heading."""
    lines = [columns] + [
        [_format_cell(r.get(c)) for c in columns] for r in rows
    ]
    widths = [max(len(x[i]) for x in lines) for i in range(len(columns))]
    return "\n".join(
        "  ".join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, list | tuple):
        return ",".join(str(v) for v in value) or "-"
    return str(value)
