"""Runs an end-to-end demonstration in one process on loopback."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

import click

from magnoliaglade.cli import _errors

STEP_TIMEOUT_S = 20.0
_POLL_S = 0.02


@click.command()
def demo() -> None:
    """Run and check jobs, requests and a zone removal in one process.

    Starts stand-ins of the platform and two entry instances on loopback. Each
    line is a step with its measured time; exit status 1 means that a step's
    outcome was not as expected. Takes less than a minute.
    """
    try:
        asyncio.run(_Demo().run())
    except _StepError as error:
        raise _errors.CommandError(
            str(error), status=_errors.ExitStatus.REFUSED
        ) from error


class _StepError(Exception):
    """A step's outcome was not as expected."""


class _Demo:
    """The steps, in order, on one deployment."""

    def __init__(self) -> None:
        # Imported here because other commands do not need the server libraries.
        from magnoliaglade import clock as clock_lib
        from magnoliaglade.standins import deployment

        self.deployment = deployment.Deployment(
            clock=clock_lib.SystemClock(),
            zones=("east-asia-a", "east-asia-b"),
            service="cardrender",
        )
        self.key = "studio:secret"

    async def run(self) -> None:
        """Runs all steps and always stops the deployment."""
        try:
            await self._step("stand-ins and 2 entry instances run", self._start)
            await self._step("configuration is in force", self._configure)
            await self._step("zones have owners", self._wait_for_owners)
            await self._step("proof is answered", self._send_idempotent)
            await self._step("reprint runs once", self._send_reprint)
            await self._step("gang of 4 runs as a whole", self._run_gang)
            await self._step("removed zone starts nothing", self._remove_zone)
            await self._step("returned zone starts again", self._return_zone)
        finally:
            await self.deployment.stop()
        click.echo("all steps passed")

    async def _step(
        self, text: str, action: Callable[[], Awaitable[str]]
    ) -> None:
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(STEP_TIMEOUT_S):
                detail = await action()
        except TimeoutError as error:
            raise _StepError(f"{text}: timed out without an outcome") from error
        elapsed_ms = (time.monotonic() - started_s) * 1000
        click.echo(f"{elapsed_ms:8.1f} ms  {text}: {detail}")

    async def _start(self) -> str:
        await self.deployment.start()
        return f"store at {self.deployment.store.url}"

    async def _configure(self) -> str:
        answer = await self.deployment.apply(_configuration(self.deployment))
        _check(answer.get("revision") == 1, f"apply answered {answer}")
        await _wait_until(lambda: all(p.is_ready for p in self._processes))
        return "revision 1"

    async def _wait_for_owners(self) -> str:
        from magnoliaglade import execution

        domains = [execution.domain_of(z) for z in self.deployment.zones]
        await _wait_until(
            lambda: all(
                p.directory.owner_of(d)
                for p in self._processes
                for d in domains
            )
        )
        owners = {d: self._processes[0].directory.owner_of(d) for d in domains}
        return ", ".join(f"{d} by {r.instance}" for d, r in owners.items())

    async def _send_idempotent(self) -> str:
        reply = await self._send("proof", b"guest card")
        _check(reply.status == 200, f"status {reply.status}: {reply.body!r}")
        _check(reply.body == b"done: guest card", f"body {reply.body!r}")
        return reply.body.decode()

    async def _send_reprint(self) -> str:
        headers = {"idempotency-key": "reprint-1"}
        replies = await asyncio.gather(
            self._send("reprint", b"card 7", entry=0, headers=headers),
            self._send("reprint", b"card 7", entry=1, headers=headers),
        )
        statuses = [r.status for r in replies]
        _check(statuses == [200, 200], f"statuses {statuses}")
        runs = sum(
            e.runs["reprint-1"] for e in self.deployment.executors.values()
        )
        _check(runs == 1, f"{runs} runs")
        return "2 callers with one key, 1 run, both answered"

    async def _run_gang(self) -> str:
        job = await self._submit(
            {
                "command": ["sleep", "0.2"],
                "tasks": 4,
                "accelerators": 2,
                "cores": 4,
                "adjacency": "worker",
            }
        )
        return await self._wait_for(job, "finished")

    async def _remove_zone(self) -> str:
        answer = await self._set_zone("removed")
        _check(answer["stored"], f"answer {answer}")
        _check(not answer["unconfirmed"], f"answer {answer}")
        jobs = [
            await self._submit({"command": ["sleep", "0.1"]}) for _ in range(4)
        ]
        for job in jobs:
            await self._wait_for(job, "finished")
        zones = {job["zone"] for job in jobs}
        _check(zones == {"east-asia-a"}, f"started in {zones}")
        return f"confirmed by {', '.join(answer['confirmed'])}"

    async def _return_zone(self) -> str:
        await self._set_zone("in-service")
        job = await self._submit(
            {"command": ["sleep", "0.1"], "zones": ["east-asia-b"]}
        )
        return await self._wait_for(job, "finished")

    async def _send(self, kind: str, body: bytes, **options: Any) -> Any:
        return await self.deployment.call(
            "POST",
            f"/v1/services/cardrender/{kind}",
            key=self.key,
            body=body,
            **options,
        )

    async def _submit(self, fields: dict[str, Any]) -> dict[str, Any]:
        reply = await self.deployment.call(
            "POST", "/v1/jobs", key=self.key, fields=fields, entry=1
        )
        _check(reply.status == 202, f"status {reply.status}: {reply.body!r}")
        return reply.json()

    async def _wait_for(self, job: dict[str, Any], state: str) -> str:
        while True:
            reply = await self.deployment.call(
                "GET", f"/v1/jobs/{job['job']}", key=self.key
            )
            row = reply.json()
            if row.get("state") == state:
                return f"{state} in {row['zone']}, attempt {row['attempt']}"
            _check(row.get("state") != "failed", f"job {row}")
            await asyncio.sleep(_POLL_S)

    async def _set_zone(self, state: str) -> dict[str, Any]:
        reply = await self.deployment.call(
            "POST", "/v1/operator/zones/east-asia-b", fields={"state": state}
        )
        _check(reply.status == 200, f"status {reply.status}: {reply.body!r}")
        return reply.json()

    @property
    def _processes(self) -> list[Any]:
        return self.deployment.processes


def _configuration(deployment: Any) -> Any:
    from magnoliaglade import configuration
    from magnoliaglade.types import AccountId, Revision, ZoneId

    return configuration.Configuration(
        revision=Revision(1),
        zones=tuple(
            configuration.ZoneConfig(zone=ZoneId(z), region="east-asia")
            for z in deployment.zones
        ),
        accounts=(
            configuration.AccountConfig(
                account=AccountId("studio"),
                key_digest=configuration.key_digest("secret"),
                guarantees=(
                    configuration.Guarantee(
                        level=configuration.CellLevel.WORKER, count=1
                    ),
                ),
                request_share=0.5,
            ),
        ),
        services=(
            configuration.ServiceConfig(
                service=deployment.service,
                kinds=(
                    configuration.RequestKind(name="proof", idempotent=True),
                    configuration.RequestKind(name="reprint", idempotent=False),
                ),
            ),
        ),
    )


async def _wait_until(condition: Callable[[], Any]) -> None:
    # The components have no event for every state, so the state is polled.
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(_POLL_S)


def _check(condition: Any, text: str) -> None:
    if not condition:
        raise _StepError(text)
