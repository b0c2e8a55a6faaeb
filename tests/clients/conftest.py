"""Processes of the system for one test."""

import pytest

from tests.clients import entry, served


@pytest.fixture
async def started(tmp_path):
    """Yields a function that starts a process, which is stopped afterwards."""
    processes = []

    async def start(kind, **options):
        process = kind(folder=tmp_path, **options)
        processes.append(process)
        await process.start()
        return process

    yield start
    for process in processes:
        await process.stop()


@pytest.fixture
def start(started):
    """Returns a function that starts an instance."""
    return lambda **options: started(served.Served, **options)


@pytest.fixture
def start_entry(started):
    """Returns a function that starts an entry process."""
    return lambda **options: started(entry.Entry, **options)
