"""Commands that run processes and check their settings."""

import asyncio
import pathlib
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import click

from magnoliaglade import base, settings
from magnoliaglade import clock as clock_lib
from magnoliaglade.cli import _errors, _output

_FILE = click.argument(
    "file", type=click.Path(dir_okay=False, path_type=pathlib.Path)
)


@click.command()
@_FILE
def entry(file: pathlib.Path) -> None:
    """Run an entry instance with the settings in FILE.

    SIGTERM and SIGINT stop it gracefully; a second one ends requests in
    flight with their true outcome. SIGUSR1 writes a state dump to the log.
    """
    # Loaded here, because other commands do not need the server libraries.
    from magnoliaglade import daemon

    loaded = _load(file)
    raise SystemExit(asyncio.run(daemon.run(loaded)))


@click.group("settings")
def settings_group() -> None:
    """Check settings files and list the keys."""


@settings_group.command("check")
@_FILE
def settings_check(file: pathlib.Path) -> None:
    """Check the settings in FILE; exit status 2 if something is wrong."""
    loaded = _load(file)
    click.echo(f"{file}: instance {loaded.instance} in zone {loaded.zone}")


@settings_group.command("describe")
def settings_describe() -> None:
    """List every key with its default and what is allowed."""
    rows = [
        {
            "key": f.key,
            "default": _default(f.default),
            "allowed": str(f.rule),
            "meaning": f.help,
        }
        for f in settings.FIELDS
    ]
    columns = ["key", "default", "allowed", "meaning"]
    click.echo(_output.table(rows, columns=columns))


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
    asyncio.run(_serve(server, lambda: server.url))


@standin.command("instance-list")
@click.option("--lag", type=float, default=0.0, help="Lag in seconds.")
@_port_option
def standin_instance_list(lag: float, port: int) -> None:
    """Run the instance list; `POST /v1/instances` adds an instance."""
    from magnoliaglade.standins import instance_list

    server = instance_list.InstanceListServer(
        clock=clock_lib.SystemClock(), lag_s=lag, port=port
    )
    asyncio.run(_serve(server, lambda: server.url))


@standin.command("executor")
@click.option("--run", "run_s", type=float, default=0.01, help="Run time in s.")
@_port_option
def standin_executor(run_s: float, port: int) -> None:
    """Run an upstream's executor that returns the body it was given."""
    from magnoliaglade.standins import executor

    server = executor.ExecutorServer(
        clock=clock_lib.SystemClock(), run_s=run_s, port=port
    )
    asyncio.run(_serve(server, lambda: server.address))


@standin.command("worker")
@click.argument("name")
@click.option("--cores", type=float, default=64)
@click.option("--memory-gb", type=float, default=128)
@click.option("--accelerators", type=int, default=8)
@_port_option
def standin_worker(
    name: str, cores: float, memory_gb: float, accelerators: int, port: int
) -> None:
    """Run worker NAME, whose tasks only wait for their run time."""
    from magnoliaglade import standins
    from magnoliaglade.standins import worker
    from magnoliaglade.types import WorkerId

    core = standins.InMemoryWorker(
        worker=WorkerId(name),
        clock=clock_lib.SystemClock(),
        cores=cores,
        memory_gb=memory_gb,
        accelerators=accelerators,
    )
    server = worker.WorkerServer(worker=core, port=port)
    asyncio.run(_serve(server, lambda: server.address))


async def _serve(server: base.Component, address: Callable[[], Any]) -> None:
    await server.start()
    click.echo(address())
    await wait_for_signal()
    await server.stop()


def wait_for_signal() -> Awaitable[Any]:
    """Returns an awaitable that ends at SIGTERM or SIGINT."""
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


def _default(value: Any) -> str:
    return "(required)" if type(value) is object else str(value)
