"""Commands for callers: jobs and requests."""

import json
import uuid

import click
import yaml

from magnoliaglade.cli import _client, _errors, _output

# The entry instance answers no later than the deadline of the request kind; the
# command waits slightly longer.
_MAX_DEADLINE_S = 3600.0
_DEADLINE_MARGIN_S = 5.0

_COLUMNS = ["job", "account", "state", "zone", "attempt", "tasks", "detail"]


@click.group()
def job() -> None:
    """Submit, follow and cancel jobs of a client account."""


@job.command("submit")
@click.argument("specification", type=click.File("rb"))
@click.option(
    "--submission-id",
    help="A repeated submission with the same id does not start the job twice.",
)
@_client.account_command
def job_submit(specification, submission_id, url, key, as_json):
    """Submit the job described in the YAML file SPECIFICATION.

    Keys: command, tasks, cores, memory_gb, accelerators, adjacency (any, zone,
    rack, worker), priority (batch, normal, urgent), run_s, deadline_s,
    checkpointable, at_most_once, kind, zone.
    """
    try:
        fields = yaml.safe_load(specification.read())
    except yaml.YAMLError as error:
        raise _errors.CommandError(
            f"{specification.name}: {error}", status=_errors.ExitStatus.USAGE
        ) from error
    if not isinstance(fields, dict):
        raise _errors.CommandError(
            f"{specification.name}: found {fields!r}; allowed: a mapping",
            status=_errors.ExitStatus.USAGE,
        )
    fields["submission_id"] = submission_id or uuid.uuid4().hex
    answer = _client.call(url, "POST", "/v1/jobs", key=key, fields=fields)
    _show_job(answer, as_json)


@job.command("status")
@click.argument("name")
@_client.account_command
def job_status(name, url, key, as_json):
    """Show the state of job NAME."""
    _show_job(_client.call(url, "GET", f"/v1/jobs/{name}", key=key), as_json)


@job.command("list")
@_client.account_command
def job_list(url, key, as_json):
    """List the client account's jobs."""
    answer = _client.call(url, "GET", "/v1/jobs", key=key)
    _output.show(answer["jobs"], as_json=as_json, columns=_COLUMNS)


@job.command("cancel")
@click.argument("names", nargs=-1, required=True)
@_client.account_command
def job_cancel(names, url, key, as_json):
    """Cancel the jobs NAMES."""
    answers = [
        _client.call(url, "DELETE", f"/v1/jobs/{n}", key=key) for n in names
    ]
    _output.show(answers, as_json=as_json, columns=_COLUMNS)


@click.command()
@click.argument("service")
@click.argument("kind")
@click.option("--body", default="", help="Request body.")
@click.option("--idempotency-key", help="Required for kinds that run once.")
@click.option("--deadline", type=float, help="Deadline in seconds.")
@_client.url_option
@_client.account_key_option
def request(service, kind, body, idempotency_key, deadline, url, key_file):
    """Send one request of KIND to SERVICE and print the answer."""
    key = _client.read_key(_client.ACCOUNT_KEY_VARIABLE, key_file)
    headers = {"authorization": f"Bearer {key}"}
    if idempotency_key:
        headers["idempotency-key"] = idempotency_key
    if deadline:
        headers["x-deadline-ms"] = str(int(deadline * 1000))
    reply = _client.exchange(
        url,
        "POST",
        f"/v1/services/{service}/{kind}",
        headers=headers,
        body=body.encode(),
        timeout_s=(deadline or _MAX_DEADLINE_S) + _DEADLINE_MARGIN_S,
    )
    click.echo(reply.body.decode(errors="replace"))
    if reply.status >= 300:
        raise _errors.CommandError(
            f"status {reply.status}", status=_exit_status_of(reply.body)
        )


def _exit_status_of(body: bytes) -> _errors.ExitStatus:
    try:
        outcome = json.loads(body).get("outcome")
    except (ValueError, AttributeError):
        return _errors.ExitStatus.REFUSED
    if outcome == "unknown":
        return _errors.ExitStatus.UNKNOWN
    return _errors.ExitStatus.REFUSED


def _show_job(answer, as_json):
    if as_json:
        _output.show(answer, as_json=True)
        return
    _output.show([answer], as_json=False, columns=_COLUMNS)
