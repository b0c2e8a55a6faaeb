"""Runs the soak: python -m tests.soak --seed 1 --seeds 5 --seconds 20."""

import asyncio
import pathlib
import sys
import tempfile

import click

from tests.soak.soak import Soak


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=1, help="Number of seeds.")
@click.option("--seconds", default=15.0, help="Time with faults, each seed.")
@click.option("--logs", default=None, help="Folder for the logs.")
def main(seed, seeds, seconds, logs):
    """Run seeds one after the other; exit 1 if a promise is broken."""
    is_broken = False
    for number in range(seed, seed + seeds):
        folder = pathlib.Path(logs or tempfile.mkdtemp()) / str(number)
        folder.mkdir(parents=True, exist_ok=True)
        found = asyncio.run(
            Soak(seed=number, folder=folder, seconds=seconds).run()
        )
        click.echo(
            f"seed {number}: {len(found.accepted)} accepted, "
            f"{len(found.refused)} refused, {len(found.unknown)} unknown, "
            f"{len(found.faults)} faults, violations: {found.violations}"
        )
        is_broken = is_broken or bool(found.violations)
    sys.exit(is_broken)


main()
