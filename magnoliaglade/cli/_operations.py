"""Commands for operators: zones, upstreams, accounts, state."""

import click
import yaml

from magnoliaglade.cli import _client, _errors, _output


@click.group()
def zone() -> None:
    """Take availability zones out of service and bring them back."""


@zone.command("list")
@_client.operator_command
def zone_list(url, key, as_json):
    """List zones with their state and whether work may start there."""
    answer = _client.call(url, "GET", "/v1/operator/zones", key=key)
    columns = ["zone", "region", "state", "startable", "owner"]
    _output.show(answer["zones"], as_json=as_json, columns=columns)


@zone.command("remove")
@click.argument("name")
@_client.operator_command
def zone_remove(name, url, key, as_json):
    """Take zone NAME out of service.

    Reports which entry instances have confirmed the change and whether it is
    stored.
    Exit status 1 means that some instance has not confirmed.
    """
    _set_zone(name, "removed", url, key, as_json)


@zone.command("return")
@click.argument("name")
@_client.operator_command
def zone_return(name, url, key, as_json):
    """Bring zone NAME back into service."""
    _set_zone(name, "in-service", url, key, as_json)


def _set_zone(name, state, url, key, as_json):
    answer = _client.call(
        url,
        "POST",
        f"/v1/operator/zones/{name}",
        key=key,
        fields={"state": state},
    )
    if as_json:
        _output.show(answer, as_json=True)
    else:
        click.echo(
            f"{name}: {state}, "
            f"{'stored' if answer['stored'] else 'not yet stored'}, confirmed "
            f"by {len(answer['confirmed'])} instances"
        )
    if answer["unconfirmed"]:
        names = ", ".join(answer["unconfirmed"])
        raise _errors.CommandError(
            f"not confirmed by {names}", status=_errors.ExitStatus.REFUSED
        )


@click.command()
@_client.operator_command
def upstreams(url, key, as_json):
    """List upstreams with their state as observed by the entry instance."""
    answer = _client.call(url, "GET", "/v1/operator/upstreams", key=key)
    columns = ["upstream", "service", "zone", "state", "outstanding"]
    _output.show(answer["upstreams"], as_json=as_json, columns=columns)


@click.command()
@_client.operator_command
def account(url, key, as_json):
    """List client accounts with guarantees, shares and quotas."""
    answer = _client.call(url, "GET", "/v1/operator/accounts", key=key)
    columns = ["account", "guarantees", "request_share", "max_accelerators"]
    _output.show(answer["accounts"], as_json=as_json, columns=columns)


@click.command()
@click.option("--all", "everyone", is_flag=True, help="All entry instances.")
@_client.operator_command
def state(everyone, url, key, as_json):
    """Dump the state of an entry instance, or of all, as YAML or JSON."""
    query = {"all": "1"} if everyone else None
    answer = _client.call(
        url, "GET", "/v1/operator/state", key=key, query=query
    )
    if as_json:
        _output.show(answer, as_json=True)
        return
    click.echo(yaml.safe_dump(answer, sort_keys=False, allow_unicode=True))
