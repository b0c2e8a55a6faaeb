"""Runs the entry process until it is told to stop."""

import asyncio
import json
import os
import pathlib
import signal
import sys

from magnoliaglade import clock as clock_lib
from magnoliaglade import observability, settings
from magnoliaglade.daemon import _entry, _errors

OPERATOR_KEY_VARIABLE = "MAGNOLIAGLADE_OPERATOR_KEY"


def read_operator_key(options: settings.Settings) -> str:
    """Returns the operators' key, or "" if none is set.

    Raises:
        DaemonError: the file cannot be read.
    """
    key = os.environ.get(OPERATOR_KEY_VARIABLE, "")
    if key or not options.operator_key_file:
        return key
    try:
        path = pathlib.Path(options.operator_key_file)
        return path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise _errors.DaemonError(f"operator_key_file: {error}") from error


async def run(options: settings.Settings) -> int:
    """Runs until SIGTERM or SIGINT and returns the exit status.

    The first signal stops gracefully. A second one tells each caller that
    still waits the true outcome at once. SIGUSR1 writes a state dump.
    """
    observability.start_logging()
    process = _entry.EntryProcess(
        settings=options,
        operator_key=read_operator_key(options),
        clock=clock_lib.SystemClock(),
    )
    signals: asyncio.Queue[signal.Signals] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    loop.add_signal_handler(signal.SIGUSR1, _write_dump, process)
    await process.start()
    await signals.get()
    await _stop(process, signals)
    return 0


async def _stop(
    process: _entry.EntryProcess, signals: "asyncio.Queue[signal.Signals]"
) -> None:
    stopping = asyncio.ensure_future(process.stop())
    second = asyncio.ensure_future(signals.get())
    await asyncio.wait({stopping, second}, return_when=asyncio.FIRST_COMPLETED)
    if not stopping.done():
        await process.gateway.stop(force=True)
    second.cancel()
    await stopping


def _write_dump(process: _entry.EntryProcess) -> None:
    state = observability.to_plain(process.dump())
    sys.stderr.write(json.dumps({"message_type": "state", "state": state}))
    sys.stderr.write("\n")
