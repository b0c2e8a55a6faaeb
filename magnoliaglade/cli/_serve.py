"""Command that runs an instance on the users' platform."""

import asyncio
import pathlib
import sys

import click

from magnoliaglade import http, platform
from magnoliaglade.instance import InstanceSettingsError, _instance

EXIT_USAGE = 2


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=pathlib.Path),
    default=None,
    help="Settings file; the platform's environment names it by default.",
)
@click.option("--check", is_flag=True, help="Check the settings file and exit.")
def serve(path: pathlib.Path | None, check: bool) -> None:
    r"""Run an instance on the platform until SIGTERM.

    \b
    Example:
      magnoliaglade serve --settings boot.json --check
    """
    settings_file = path or platform.settings_path()
    try:
        if check:
            platform.load_settings(settings_file)
            click.echo(f"{settings_file}: usable")
            return
        status = asyncio.run(
            _instance.run(settings_file, platform.load_settings)
        )
    except (InstanceSettingsError, http.HttpServerError) as error:
        click.echo(f"error: {error}", err=True)
        sys.exit(EXIT_USAGE)
    sys.exit(status)
