"""Treats the tests listed in KNOWN-RED.txt as known failures."""

import pathlib

import pytest

_PATH = pathlib.Path(__file__).with_name("KNOWN-RED.txt")
_FIELD = "test: "


def _known():
    if not _PATH.exists():
        return []
    lines = _PATH.read_text(encoding="utf-8").splitlines()
    return [x.removeprefix(_FIELD) for x in lines if x.startswith(_FIELD)]


def pytest_collection_modifyitems(config, items):
    """Expects exactly the listed tests to fail; a pass is a failure."""
    known = set(_known())
    by_id = {item.nodeid: item for item in items}
    for node_id in known & set(by_id):
        mark = pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt")
        by_id[node_id].add_marker(mark)
    is_whole = config.args == config.getini("testpaths")
    if is_whole and not known <= set(by_id):
        missing = sorted(known - set(by_id))
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {missing}")


def pytest_terminal_summary(terminalreporter):
    """Prints the known failures."""
    for report in terminalreporter.stats.get("xfailed", ()):
        terminalreporter.write_line(f"known red: {report.nodeid}")
