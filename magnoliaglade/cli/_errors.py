"""Exit statuses and errors of the command line."""

import enum

import click


class ExitStatus(enum.IntEnum):
    """Exit statuses of all commands."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    UNREACHABLE = 4
    CONFLICT = 5


class CommandError(click.ClickException):
    """Ends a command with a one-line message and a documented exit status."""

    def __init__(self, text: str, *, status: ExitStatus) -> None:
        super().__init__(text)
        self.exit_code = int(status)
