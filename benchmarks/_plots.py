"""SVG plots of job figures against their baseline."""

import pathlib
from typing import Any

_SUBJECTS = {
    "completion": "jobs.completion.",
    "fragmentation": "jobs.fragmentation.",
}


def write(rows: list[dict[str, Any]], *, directory: pathlib.Path) -> list[str]:
    """Writes the plots; returns lines for the summary about them."""
    try:
        from matplotlib import pyplot
    except ImportError:
        return ["No plots: matplotlib (extra `plots`) is not installed."]
    notes = []
    for subject, prefix in _SUBJECTS.items():
        found = [r for r in rows if r["metric"].startswith(prefix)]
        if not found:
            continue
        path = directory / f"{subject}.svg"
        _plot(pyplot, found, subject=subject, prefix=prefix, path=path)
        notes.append(f"![{subject} against the baseline]({path.name})")
    return notes


def _plot(
    pyplot: Any,
    rows: list[dict[str, Any]],
    *,
    subject: str,
    prefix: str,
    path: pathlib.Path,
) -> None:
    figure, axes = pyplot.subplots(figsize=(8, 1 + 0.4 * len(rows)))
    places = range(len(rows))
    height = 0.4
    axes.barh(
        [p - height / 2 for p in places],
        [r["value"] for r in rows],
        height,
        label="magnoliaglade",
    )
    axes.barh(
        [p + height / 2 for p in places],
        [r["baseline"] for r in rows],
        height,
        label="baseline",
    )
    names = [r["metric"].removeprefix(prefix) for r in rows]
    axes.set_yticks(list(places), names)
    axes.invert_yaxis()
    axes.set_xlabel(rows[0]["unit"])
    axes.set_title(subject)
    axes.legend()
    figure.savefig(path, format="svg", bbox_inches="tight")
    pyplot.close(figure)
