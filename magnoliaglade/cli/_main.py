"""The top-level command; subcommands are imported on first use."""

import importlib
from typing import Any

import click

import magnoliaglade

# Module and attribute of each command. Lazy imports keep an instance that only
# serves from loading what the other commands need.
_COMMANDS = {
    "account": ("_operations", "account"),
    "config": ("_configuration", "config"),
    "demo": ("_demo", "demo"),
    "entry": ("_processes", "entry"),
    "explain": ("_explain", "explain"),
    "job": ("_jobs", "job"),
    "questionnaire": ("_configuration", "questionnaire"),
    "request": ("_jobs", "request"),
    "serve": ("_serve", "serve"),
    "settings": ("_processes", "settings_group"),
    "standin": ("_processes", "standin"),
    "state": ("_operations", "state"),
    "upstreams": ("_operations", "upstreams"),
    "zone": ("_operations", "zone"),
}


class _LazyGroup(click.Group):
    """Imports a subcommand's module on first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands."""
        return sorted(_COMMANDS)

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Returns a command after importing its module, None if unknown."""
        found = _COMMANDS.get(cmd_name)
        if found is None:
            return None
        module = importlib.import_module(f"magnoliaglade.cli.{found[0]}")
        command: Any = getattr(module, found[1])
        return command


@click.group(cls=_LazyGroup)
@click.version_option(magnoliaglade.__version__)
def main() -> None:
    """Schedule jobs and requests under client account guarantees.

    \b
    First steps:
      magnoliaglade demo                      run an end-to-end demo
      magnoliaglade questionnaire             answer questions about your work
      magnoliaglade config check answers.yaml check the answers
      magnoliaglade entry entry.yaml          run an entry instance
      magnoliaglade serve                     run an instance on the platform
      magnoliaglade config apply answers.yaml make the configuration current
      magnoliaglade job submit job.yaml       submit a job

    \b
    Exit statuses:
      0  done
      1  refused, or not confirmed everywhere
      2  wrong usage, settings or answers
      3  outcome unknown
      4  unreachable; nothing was run
      5  another operator's change came first
    """  # noqa: D301
