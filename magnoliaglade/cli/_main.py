"""The top-level command."""

import click

import magnoliaglade
from magnoliaglade.cli import (
    _configuration,
    _demo,
    _jobs,
    _operations,
    _processes,
)


@click.group()
@click.version_option(magnoliaglade.__version__)
def main() -> None:
    r"""Schedule jobs and requests under client account guarantees.

    \b
    First steps:
      magnoliaglade demo                      the whole path in one process
      magnoliaglade questionnaire             answer questions about your work
      magnoliaglade config check answers.yaml check the answers
      magnoliaglade entry entry.yaml          run an entry instance
      magnoliaglade config apply answers.yaml make the configuration current
      magnoliaglade job submit job.yaml       submit a job

    \b
    Exit statuses:
      0  done
      1  refused, or not confirmed everywhere
      2  wrong usage, settings or answers
      3  outcome unknown
      4  not reached; nothing was run
      5  another operator's change came first
    """


for command in (
    _demo.demo,
    _configuration.questionnaire,
    _configuration.config,
    _processes.settings_group,
    _processes.entry,
    _processes.standin,
    _operations.zone,
    _operations.account,
    _operations.upstreams,
    _operations.state,
    _jobs.job,
    _jobs.request,
):
    main.add_command(command)
