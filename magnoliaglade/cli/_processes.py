"""Commands that run processes and check their settings."""

import asyncio
import dataclasses
import json
import pathlib
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import click

from magnoliaglade import base, http, settings
from magnoliaglade import clock as clock_lib
from magnoliaglade.cli import _errors, _output

_SETTINGS_FILE_ARGUMENT = click.argument(
    "file", type=click.Path(dir_okay=False, path_type=pathlib.Path)
)


@click.command()
@_SETTINGS_FILE_ARGUMENT
def entry(file: pathlib.Path) -> None:
    """Run an entry instance with the settings in FILE.

    SIGTERM and SIGINT stop it gracefully; a second signal ends in-flight
    requests with their actual outcome. SIGUSR1 writes a state dump to the log.
    """
    # Imported here because other commands do not need the server libraries.
    from magnoliaglade import daemon

    loaded = _load(file)
    try:
        status = asyncio.run(daemon.run(loaded))
    except daemon.DaemonError as error:
        raise _errors.CommandError(
            str(error), status=_errors.ExitStatus.USAGE
        ) from error
    raise SystemExit(status)


@click.group("settings")
def settings_group() -> None:
    """Check settings files and list the keys."""


@settings_group.command("check")
@_SETTINGS_FILE_ARGUMENT
def settings_check(file: pathlib.Path) -> None:
    """Check the settings in FILE; exit status 2 if they are invalid."""
    loaded = _load(file)
    click.echo(f"{file}: instance {loaded.instance} in zone {loaded.zone}")


@settings_group.command("describe")
def settings_describe() -> None:
    """List every key with its default and the allowed values."""
    rows = [
        {
            "key": f.key,
            "default": _format_default(f.default),
            "allowed": str(f.constraint),
            "meaning": f.help,
        }
        for f in settings.FIELDS
    ]
    columns = ["key", "default", "allowed", "meaning"]
    click.echo(_output.format_table(rows, columns=columns))


@click.group()
def standin() -> None:
    """Run stand-ins of the platform for tests and demonstrations."""


_port_option = click.option(
    "--port", type=int, default=0, help="Port on 127.0.0.1; 0 picks one."
)


@standin.command("store")
@_port_option
def standin_store(port: int) -> None:
    """Run the key-value service in memory."""
    from magnoliaglade.standins import store

    server = store.StoreServer(clock=clock_lib.SystemClock(), port=port)
    asyncio.run(_serve_until_signal(server, lambda: server.url))


@standin.command("instance-list")
@click.option("--lag", type=float, default=0.0, help="Lag in seconds.")
@_port_option
def standin_instance_list(lag: float, port: int) -> None:
    """Run the instance list; `POST /v1/instances` adds an instance."""
    from magnoliaglade.standins import instance_list

    server = instance_list.InstanceListServer(
        clock=clock_lib.SystemClock(), lag_s=lag, port=port
    )
    asyncio.run(_serve_until_signal(server, lambda: server.url))


_instance_list_option = click.option(
    "--instance-list",
    "list_url",
    help="Base URL of the instance list stand-in to register with.",
)
_zone_option = click.option(
    "--zone", required=True, help="Availability zone of the instance."
)


@standin.command("executor")
@click.argument("name")
@click.option("--service", required=True, help="Service that it runs.")
@click.option("--run", "run_s", type=float, default=0.01, help="Run time in s.")
@_zone_option
@_instance_list_option
@_port_option
def standin_executor(
    name: str,
    service: str,
    run_s: float,
    zone: str,
    list_url: str | None,
    port: int,
) -> None:
    """Run executor NAME of an upstream, which returns the body it is given."""
    from magnoliaglade.standins import executor

    server = executor.ExecutorServer(
        clock=clock_lib.SystemClock(), run_s=run_s, port=port
    )
    fields = {"role": "upstream", "zone": zone, "service": service}
    asyncio.run(
        _serve_until_signal(
            server,
            lambda: server.address,
            _InstanceListEntry(name, list_url, fields),
        )
    )


@standin.command("worker")
@click.argument("name")
@click.option("--cores", type=float, default=64, show_default=True)
@click.option("--memory-gb", type=float, default=128, show_default=True)
@click.option("--accelerators", type=int, default=8, show_default=True)
@click.option("--rack", default="rack-0", show_default=True)
@_zone_option
@_instance_list_option
@_port_option
def standin_worker(
    name: str,
    cores: float,
    memory_gb: float,
    accelerators: int,
    rack: str,
    zone: str,
    list_url: str | None,
    port: int,
) -> None:
    """Run worker NAME, whose tasks only wait for their run time."""
    from magnoliaglade import standins
    from magnoliaglade.standins import worker
    from magnoliaglade.types import WorkerId

    in_memory_worker = standins.InMemoryWorker(
        worker=WorkerId(name),
        clock=clock_lib.SystemClock(),
        cores=cores,
        memory_gb=memory_gb,
        accelerators=accelerators,
    )
    server = worker.WorkerServer(worker=in_memory_worker, port=port)
    fields = {
        "role": "worker",
        "zone": zone,
        "rack": rack,
        "cores": cores,
        "memory_gb": memory_gb,
        "accelerators": accelerators,
    }
    asyncio.run(
        _serve_until_signal(
            server,
            lambda: server.address,
            _InstanceListEntry(name, list_url, fields),
        )
    )


@dataclasses.dataclass(frozen=True)
class _InstanceListEntry:
    """Entry of a stand-in in the instance list."""

    name: str
    url: str | None
    fields: dict[str, Any]

    async def publish(self, address: str, state: str) -> None:
        """Adds or updates the instance if the URL of a list was given."""
        if self.url is None:
            return
        client = http.HttpClient(url=self.url)
        fields = {
            **self.fields,
            "instance": self.name,
            "address": address,
            "state": state,
        }
        await client.call(
            "POST", "/v1/instances", body=json.dumps(fields).encode()
        )
        await client.stop()


async def _serve_until_signal(
    server: base.Component,
    address: Callable[[], Any],
    list_entry: _InstanceListEntry | None = None,
) -> None:
    await server.start()
    click.echo(address())
    if list_entry is not None:
        await list_entry.publish(address(), "live")
    await wait_for_signal()
    if list_entry is not None:
        await list_entry.publish(address(), "leaving")
    await server.stop()


def wait_for_signal() -> Awaitable[Any]:
    """Returns an awaitable that completes at SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped.wait()


def _load(file: pathlib.Path) -> settings.Settings:
    try:
        return settings.load(file)
    except settings.SettingsError as error:
        raise _errors.CommandError(
            str(error), status=_errors.ExitStatus.USAGE
        ) from error


def _format_default(value: Any) -> str:
    return "(required)" if type(value) is object else str(value)
