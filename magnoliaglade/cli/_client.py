"""HTTP calls from the command line to an entry instance."""

import asyncio
import functools
import json
import os
import pathlib
from collections.abc import Callable
from typing import Any

import click

from magnoliaglade import http
from magnoliaglade.cli import _errors

URL_VARIABLE = "MAGNOLIAGLADE_URL"
OPERATOR_KEY_VARIABLE = "MAGNOLIAGLADE_OPERATOR_KEY"
ACCOUNT_KEY_VARIABLE = "MAGNOLIAGLADE_ACCOUNT_KEY"
CALL_TIMEOUT_S = 15.0

url_option = click.option(
    "--url",
    envvar=URL_VARIABLE,
    default="http://127.0.0.1:8080",
    show_default=True,
    help=f"Base URL of an entry instance or the balancer (or {URL_VARIABLE}).",
)
json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON."
)


def key_option(variable: str, owner: str) -> Any:
    """Returns a click option for a file that holds a key.

    The key itself is never a command-line argument, because other users of the
    machine could read it there.
    """
    return click.option(
        "--key-file",
        type=click.Path(dir_okay=False, path_type=pathlib.Path),
        help=f"File with the {owner} key; {variable} takes precedence.",
    )


def _with_key_options(variable: str, owner: str) -> Callable[[Any], Any]:
    """Returns a decorator that adds URL, key and JSON options to a command.

    The command is called with `url`, `key` and `as_json`.
    """

    def decorate(command: Any) -> Any:
        @functools.wraps(command)
        def run(*args: Any, key_file: pathlib.Path | None, **kw: Any) -> Any:
            return command(*args, key=read_key(variable, key_file), **kw)

        for option in (json_option, key_option(variable, owner), url_option):
            run = option(run)
        return run

    return decorate


operator_command = _with_key_options(OPERATOR_KEY_VARIABLE, "operators'")
account_command = _with_key_options(ACCOUNT_KEY_VARIABLE, "client account's")
account_key_option = key_option(ACCOUNT_KEY_VARIABLE, "client account's")


def read_key(variable: str, path: pathlib.Path | None) -> str:
    """Returns a key from the environment or a file.

    Raises:
        CommandError: no key is set, or the file cannot be read.
    """
    key = os.environ.get(variable, "")
    if not key and path is not None:
        try:
            key = path.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise _errors.CommandError(
                f"{path}: {error}", status=_errors.ExitStatus.USAGE
            ) from error
    if not key:
        raise _errors.CommandError(
            f"no key: set {variable} or give --key-file",
            status=_errors.ExitStatus.USAGE,
        )
    return key


def call(
    url: str,
    method: str,
    path: str,
    *,
    key: str,
    fields: Any = None,
    query: dict[str, Any] | None = None,
) -> Any:
    """Sends one request with JSON fields and returns the decoded answer.

    Raises:
        CommandError: no answer, or a status of 300 or above; the exit status
            says which.
    """
    reply = exchange(
        url,
        method,
        path,
        headers={"authorization": f"Bearer {key}"},
        query=query,
        body=None if fields is None else json.dumps(fields).encode(),
    )
    if reply.status < 300:
        return reply.json()
    raise _error_from_reply(reply)


def exchange(url: str, method: str, path: str, **options: Any) -> http.Reply:
    """Sends one request and returns the reply.

    Raises:
        CommandError: no answer; the exit status distinguishes a request that
            was not sent from one with an unknown outcome.
    """
    try:
        return asyncio.run(_exchange(url, method, path, **options))
    except http.NotSentError as error:
        raise _errors.CommandError(
            f"not run: {error}", status=_errors.ExitStatus.UNREACHABLE
        ) from error
    except http.NoReplyError as error:
        raise _errors.CommandError(
            f"outcome unknown: {error}", status=_errors.ExitStatus.UNKNOWN
        ) from error


async def _exchange(
    url: str,
    method: str,
    path: str,
    *,
    timeout_s: float = CALL_TIMEOUT_S,
    **options: Any,
) -> http.Reply:
    client = http.HttpClient(url=url, timeout_s=timeout_s)
    await client.start()
    try:
        return await client.call(
            method, path, content_type="application/json", **options
        )
    finally:
        await client.stop()


def _error_from_reply(reply: http.Reply) -> _errors.CommandError:
    try:
        answer = reply.json()
        reason = str(answer.get("reason", answer))
        outcome = str(answer.get("outcome", ""))
    except (http.NoReplyError, AttributeError):
        reason, outcome = f"status {reply.status}", "unknown"
    status = _errors.ExitStatus.REFUSED
    if reply.status == 409:
        status = _errors.ExitStatus.CONFLICT
    elif outcome == "unknown":
        status = _errors.ExitStatus.UNKNOWN
    text = f"{outcome}: {reason}" if outcome else reason
    return _errors.CommandError(text, status=status)
