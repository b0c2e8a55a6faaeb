"""Commands against running entry instances."""

import asyncio
import json

import yaml
from click import testing

from magnoliaglade import cli
from magnoliaglade.standins import deployment
from tests.whole_path import test_whole_path as whole_path


async def invoke(cluster, *arguments):
    """Runs a command in a thread, because it has a loop of its own."""
    environment = {
        "MAGNOLIAGLADE_URL": f"http://{cluster.processes[0].http_address}",
        "MAGNOLIAGLADE_OPERATOR_KEY": deployment.OPERATOR_KEY,
        "MAGNOLIAGLADE_ACCOUNT_KEY": whole_path.KEY,
    }
    runner = testing.CliRunner()
    return await asyncio.to_thread(
        runner.invoke, cli.main, list(arguments), env=environment
    )


class TestCommands:
    async def test_operators_and_callers_commands(self, tmp_path):
        """Guards against commands and interface that do not fit."""
        path = tmp_path / "job.yaml"
        path.write_text(yaml.safe_dump({"command": ["run"], "tasks": 2}))
        async with whole_path.running(entries=2) as cluster:
            removed = await invoke(
                cluster, "zone", "remove", "borg-b", "--json"
            )
            assert removed.exit_code == 0, removed.output
            assert json.loads(removed.output)["confirmed"] == [
                "entry-0",
                "entry-1",
            ]
            zones = await invoke(cluster, "zone", "list")
            assert "borg-b  vesturland  removed     False" in zones.output
            history = await invoke(cluster, "config", "history", "--json")
            assert [r["revision"] for r in json.loads(history.output)] == [1, 2]
            changes = await invoke(cluster, "config", "diff", "1", "2")
            assert "borg-b" in changes.output
            submitted = await invoke(
                cluster, "job", "submit", str(path), "--json"
            )
            assert submitted.exit_code == 0, submitted.output
            job = json.loads(submitted.output)["job"]
            cancelled = await invoke(cluster, "job", "cancel", job)
            assert "cancelled" in cancelled.output
            answer = await invoke(
                cluster, "request", "trailplan", "quote", "--body", "x"
            )
            assert answer.output == "done: x\n"
            dump = await invoke(cluster, "state", "--all")
            assert set(yaml.safe_load(dump.output)) == {"entry-0", "entry-1"}
            unknown = await invoke(cluster, "job", "status", "jobs.borg-a/none")
            assert unknown.exit_code == 1
