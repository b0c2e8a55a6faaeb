"""Small deployment for the cases: instances as processes, the rest stand-ins.

The stand-ins follow the platform's protocol: a key-value store, executors that
run tasks under leases, and clients. They run in the process of the case; the
instances are started with the command of the deploy file. Only the standard
library is used, and all addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from typing import Any
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Ports of the instances; outgoing connections use higher ones.
INSTANCE_PORTS = (20_000, 32_000)
# Longest time that a case takes, in seconds, before it is given up.
LIMIT_S = 100.0
HOST = os.environ.get("CASE_HOST", "127.0.0.1")
SERVICE = "trailplan"
KEY = "d4a3hwrr6x73d3zji9n7"
FRONT_HOST = "nony24.example"

# Figures of the small deployment that the users' pages print.
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6_000
STOP_S = 0.1
GANG_TIMEOUT_S = 3.0
CHECKPOINT_INTERVAL_S = 2.0
RESTORE_S = 0.6
MAX_ENDS = 500
STORE_DELAY_S = 0.004

BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "evacuateMs": 5000,
    "holdMaxMs": HOLD_MAX_MS,
    "stopMs": 200,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "crossRackFactor": 3,
    "checkpointIntervalS": 2,
    "restoreMs": 600,
    "leaseMs": 3000,
}


class Record:
    """Writes what was sent, answered and run, one line each."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()
        self.broken: list[str] = []

    def now_s(self) -> float:
        """Returns the seconds since the beginning of the record."""
        return time.monotonic() - self._began_s

    def write(self, event: str, **fields: Any) -> None:
        """Writes one line."""
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self._file.write(f"{self.now_s():8.3f} {event} {text}\n")
        self._file.flush()

    def rule_broken(self, text: str) -> None:
        """Records that a rule was broken."""
        self.broken.append(text)
        self.write("RULE-BROKEN", rule=text)


@dataclasses.dataclass
class Request:
    """One request of HTTP/1.1."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded body."""
        return json.loads(self.body)


Answer = tuple[int, Any] | None
Handler = Callable[[Request], Awaitable[Answer]]


class HttpServer:
    """Serves one handler; an answer of None closes the connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """Address as `host:port`."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Binds the port, a free one at first."""
        self._server = await asyncio.start_server(
            self._accept, HOST, self.port, backlog=4096
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def crash(self) -> None:
        """Closes the port and resets every connection, as a crash does."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (request := await _read_request(reader)) is not None:
                answer = await self._handler(request)
                if answer is None:
                    break
                writer.write(_encode_answer(*answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rows = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers: dict[str, str] = {}
    for row in rows:
        name, found, value = row.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = parse.urlsplit(target)
    return Request(
        method=method,
        path=parts.path,
        query=dict(parse.parse_qsl(parts.query)),
        headers=headers,
        body=body,
    )


def _encode_answer(status: int, value: Any) -> bytes:
    body = json.dumps(value).encode()
    head = (
        f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    *,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any] | None:
    """Makes one call on a connection of its own; None without an answer."""
    host, _, port = address.partition(":")
    data = json.dumps(body).encode() if body is not None else b""
    rows = {"host": address, "content-length": str(len(data))}
    rows |= {"content-type": "application/json"} | (headers or {})
    head = "".join(f"{k}: {v}\r\n" for k, v in rows.items())
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode())
            writer.write(data)
            first = await reader.readuntil(b"\r\n\r\n")
            rows_in = first.decode("latin-1").split("\r\n")
            size = 0
            for row in rows_in:
                name, _, value = row.partition(":")
                if name.lower() == "content-length":
                    size = int(value)
            content = await reader.readexactly(size)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
    status = int(rows_in[0].split(" ")[1])
    try:
        return status, json.loads(content) if content else {}
    except ValueError:
        return status, {"text": content.decode("latin-1")}


@dataclasses.dataclass
class Item:
    """An item of the store."""

    value: bytes
    revision: int
    created: int
    lease: int = 0


class Store:
    """Key-value store with leases and watches, one port for each caller."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.items: dict[str, Item] = {}
        self.revision = 100
        self.delay_s = STORE_DELAY_S
        # Callers that get no answer: "silent" keeps, "reset" closes.
        self.refuses: dict[str, str] = {}
        self.on_write: Callable[[str, list[str]], None] = lambda *_: None
        self._events: list[dict[str, Any]] = []
        self._leases: dict[int, list[float]] = {}
        self._changed = asyncio.Event()
        self._servers: dict[str, HttpServer] = {}
        self._next_lease = 70_000
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the expiry of leases."""
        self._task = asyncio.create_task(self._expire())

    async def address_for(self, caller: str) -> str:
        """Returns the address that one caller uses."""
        if caller not in self._servers:

            async def handle(request: Request) -> Answer:
                return await self._handle(caller, request)

            server = HttpServer(handle)
            await server.start()
            self._servers[caller] = server
        return self._servers[caller].address

    async def stop(self) -> None:
        """Closes all ports."""
        if self._task is not None:
            self._task.cancel()
        for server in self._servers.values():
            await server.crash()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes an item."""
        self.revision += 1
        before = self.items.get(key)
        created = before.created if before else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self._events.append(_encode_item(key, self.items[key]))
        self._wake()

    def remove(self, key: str) -> None:
        """Removes an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._events.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )
            self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            for lease, (end_s, _) in list(self._leases.items()):
                if now_s > end_s:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item.lease == lease:
                self.remove(key)

    async def _handle(self, caller: str, request: Request) -> Answer:
        await asyncio.sleep(self.delay_s)
        how = self.refuses.get(caller)
        if how == "reset":
            return None
        if how == "busy":
            return 503, {}
        if how == "silent":
            await asyncio.sleep(3600)
        handlers = {
            "/api/kv-key": self._get,
            "/api/kv-range": self._range,
            "/api/kv-watch": self._watch,
            "/api/kv-txn": self._txn,
            "/api/kv-lease": self._grant,
        }
        if request.path in handlers:
            answer = await handlers[request.path](caller, request)
        elif request.path.startswith("/api/kv-keep/"):
            answer = self._keep(int(request.path.rpartition("/")[2]))
        elif request.path.startswith("/api/kv-lease-end/"):
            self._end_lease(int(request.path.rpartition("/")[2]))
            answer = 200, {}
        else:
            answer = 404, {}
        if self.refuses.get(caller) == "reset":
            return None
        if self.refuses.get(caller) == "silent":
            await asyncio.sleep(3600)
        return answer

    async def _get(self, _: str, request: Request) -> Answer:
        key = request.query["key"]
        if key not in self.items:
            return 404, {"storeRevision": self.revision}
        fields = _encode_item(key, self.items[key])
        return 200, fields | {"storeRevision": self.revision}

    async def _range(self, _: str, request: Request) -> Answer:
        prefix = request.query.get("prefix", "")
        after = request.query.get("after", "")
        found = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        return 200, {
            "items": [_encode_item(k, self.items[k]) for k in found[:500]],
            "truncated": len(found) > 500,
            "storeRevision": self.revision,
        }

    async def _watch(self, _: str, request: Request) -> Answer:
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        end_s = time.monotonic() + int(request.query["waitMs"]) / 1000.0
        while True:
            events = [
                e
                for e in self._events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()

    async def _txn(self, caller: str, request: Request) -> Answer:
        body = request.json()
        for row in body["expect"]:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {
                    "items": [
                        _encode_item(k, self.items[k])
                        if k in self.items
                        else {"key": k, "revision": 0}
                        for k in (r["key"] for r in body["expect"])
                    ]
                }
        for row in body["puts"]:
            if row.get("lease") and row["lease"] not in self._leases:
                return 404, {}
        for row in body["puts"]:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease") or 0)
        for key in body["remove"]:
            self.remove(key)
        self.on_write(caller, [row["key"] for row in body["puts"]])
        return 200, {"revision": self.revision}

    async def _grant(self, _: str, request: Request) -> Answer:
        self._next_lease += 1
        ttl_ms = max(1_000, request.json()["ttlMs"])
        ttl_s = ttl_ms / 1000.0
        self._leases[self._next_lease] = [time.monotonic() + ttl_s, ttl_s]
        return 200, {"lease": self._next_lease, "ttlMs": ttl_ms}

    def _keep(self, lease: int) -> Answer:
        if lease not in self._leases:
            return 404, {}
        ttl_s = self._leases[lease][1]
        self._leases[lease][0] = time.monotonic() + ttl_s
        return 200, {}


def _encode_item(key: str, item: Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }


@dataclasses.dataclass
class Run:
    """A run of a task on an executor."""

    task: str
    run: int
    began_s: float
    saved: str
    worked_s: float = 0.0
    restore_until_s: float = 0.0
    saved_worked_s: float = 0.0
    is_present: bool = True


@dataclasses.dataclass
class Task:
    """What the clients know of a task."""

    seconds: float
    members: int = 1
    is_gang: bool = False
    is_lasting: bool = False
    is_checkpointable: bool = False
    accelerators: int = 0
    # How a run ends; called with its number.
    outcome: Callable[[int], str] = lambda _: "done"


class Executor:
    """One machine; `crash` and `restart` begin a new lifetime of it."""

    def __init__(self, pool: "Pool", *, name: str, zone: str, rack: str):
        self.pool = pool
        self.name = name
        self.zone = zone
        self.rack = rack
        self.labels = ["a", rack]
        self.capacity = {"cpu": 128_000, "memMb": 524_288, "gpu": 8}
        self.worker = f"i-{uuid.uuid4().hex[:8]}"
        self.is_up = False
        self.is_draining = False
        # Seconds before an order is carried out; None leaves it unanswered.
        self.on_order: Callable[[Request], Awaitable[bool]] | None = None
        self.is_cut = False
        # A faulty executor fails every run this long after its start.
        self.fails_after_s: float | None = None
        self.speed = 1.0
        self.runs: dict[str, Run] = {}
        self.server = HttpServer(self._handle)
        self._tasks: list[asyncio.Task[None]] = []
        self._reset()

    def _reset(self) -> None:
        self.born_ms = int(time.time() * 1000)
        self._began_s = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self._ends: list[list[Any]] = []
        self._last_end = 0
        self._highest: dict[str, int] = {}
        self._ended = asyncio.Event()
        self._seq = 0
        self.runs = {}

    @property
    def clock_ms(self) -> int:
        """Reading of the executor's own clock."""
        return int((time.monotonic() - self._began_s) * 1000)

    async def start(self) -> None:
        """Begins a lifetime."""
        self._reset()
        await self.server.start()
        self.is_up = True
        self._tasks = [
            asyncio.create_task(self._work()),
            asyncio.create_task(self._beat()),
        ]
        self.pool.record.write(
            "executor-up", id=self.worker, address=self.server.address
        )

    async def crash(self) -> None:
        """Ends the lifetime without a word."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        for run in list(self.runs.values()):
            self.pool.run_ended(self, run, "lost")
        self.runs = {}
        await self.server.crash()
        self.pool.record.write("executor-down", id=self.worker)

    async def scale_in(self, drain_s: float) -> None:
        """Drains, leaves, and takes its entry out of the store."""
        self.is_draining = True
        key = f"servers/{self.worker}"
        self.pool.record.write("executor-drains", id=self.worker)
        self.pool.beat(self.worker, key, self.entry())
        await asyncio.sleep(drain_s)
        await self.crash()
        self.pool.remove_entry(key)

    def renew_id(self) -> None:
        """Gives the next lifetime an id of its own."""
        self.worker = f"i-{uuid.uuid4().hex[:8]}"

    async def _beat(self) -> None:
        worker, key = self.worker, f"servers/{self.worker}"
        while True:
            self._seq += 1
            if not self.is_cut:
                self.pool.beat(worker, key, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def entry(self) -> dict[str, Any]:
        """Returns the executor's entry in the store."""
        fields = {
            "service": SERVICE,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "coldRemainingMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clockMs": self.clock_ms,
            "seq": self._seq,
            "born": self.born_ms,
        }
        if self.is_draining:
            fields["drainRemainingMs"] = 2000
        return fields

    async def _handle(self, request: Request) -> Answer:
        if self.is_cut:
            await asyncio.sleep(3600)
        if request.headers.get("expect-instance", self.worker) != self.worker:
            return 421, {}
        if self.on_order is not None and not await self.on_order(request):
            await asyncio.sleep(3600)
        answer = await self._carry_out(request)
        if self.is_cut:
            await asyncio.sleep(3600)
        return answer

    async def _carry_out(self, request: Request) -> Answer:
        body = request.json()
        fence = body.get("fence", 0)
        if fence < self._fence:
            return 409, {"clockMs": self.clock_ms, "reason": "fence"}
        self._fence = fence
        if request.path == "/api/run-start":
            return self._start_run(body)
        if request.path == "/api/run-stop":
            return self._stop_run(body)
        if request.path == "/api/hold":
            return await self._hold(body)
        return 404, {}

    def _extend(self, until_ms: int) -> None:
        until_ms = min(until_ms, self.clock_ms + HOLD_MAX_MS)
        self._lease_ms = max(self._lease_ms, until_ms)

    def _start_run(self, body: dict[str, Any]) -> Answer:
        task, run = body["task"], body["run"]
        if body["untilMs"] <= self.clock_ms:
            return 409, {"clockMs": self.clock_ms, "reason": "late"}
        self._extend(body["untilMs"])
        known = self.runs.get(task)
        if known is not None and known.run == run:
            return 200, {"clockMs": self.clock_ms}
        if run <= self._highest.get(task, 0) or known is not None:
            return 409, {"clockMs": self.clock_ms, "reason": "old"}
        saved = body.get("lastCheckpoint", "")
        started = Run(task, run, time.monotonic(), saved)
        if saved:
            started.worked_s = started.saved_worked_s = int(saved, 16) / 1000
            started.restore_until_s = time.monotonic() + RESTORE_S
        self.runs[task] = started
        self.pool.run_started(self, started, body)
        return 200, {"clockMs": self.clock_ms}

    def _stop_run(self, body: dict[str, Any]) -> Answer:
        task, run = body["task"], body["run"]
        known = self.runs.get(task)
        if known is None or known.run != run:
            self._highest[task] = max(run, self._highest.get(task, 0))
            return 200, {"clockMs": self.clock_ms}
        stopping = self._finish_stop(known, self.born_ms)
        self._tasks.append(asyncio.create_task(stopping))
        return 200, {"clockMs": self.clock_ms}

    async def _finish_stop(self, run: Run, born_ms: int) -> None:
        await asyncio.sleep(STOP_S)
        if self.runs.get(run.task) is run and self.born_ms == born_ms:
            if self.pool.tasks[run.task].is_checkpointable:
                self._save(run)
            self.end(run, "stopped")

    async def _hold(self, body: dict[str, Any]) -> Answer:
        seen = body.get("lastSeen", 0)
        self.pool.ends_noted(self, [e for e in self._ends if e[0] <= seen])
        self._ends = [e for e in self._ends if e[0] > seen]
        if "untilMs" in body:
            self._extend(body["untilMs"])
        end_s = time.monotonic() + body.get("waitMs", 0) / 1000.0
        while not self._ends and (left_s := end_s - time.monotonic()) > 0:
            ended = self._ended
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await ended.wait()
        return 200, {
            "clockMs": self.clock_ms,
            "born": self.born_ms,
            "running": [
                [r.task, r.run, r.saved, self.percent(r), 0]
                for r in self.runs.values()
            ],
            "ended": self._ends[:MAX_ENDS],
        }

    def percent(self, run: Run) -> int:
        """Returns the progress of a run."""
        task = self.pool.tasks[run.task]
        if task.is_lasting:
            return 100 if time.monotonic() - run.began_s > 0.3 else 0
        return min(100, int(100 * run.worked_s / max(0.001, task.seconds)))

    def end(self, run: Run, how: str) -> None:
        """Ends a run and lists its end."""
        del self.runs[run.task]
        self._highest[run.task] = max(run.run, self._highest.get(run.task, 0))
        self._last_end += 1
        self._ends.append([self._last_end, run.task, run.run, how, run.saved])
        ended, self._ended = self._ended, asyncio.Event()
        ended.set()
        self.pool.run_ended(self, run, how)

    def _save(self, run: Run) -> None:
        run.saved_worked_s = run.worked_s
        run.saved = f"{max(1, int(run.worked_s * 1000)):016x}"

    async def _work(self) -> None:
        last_s = time.monotonic()
        while True:
            # Many runs are looked at less often, which costs less.
            await asyncio.sleep(0.02 if len(self.runs) < 50 else 0.2)
            now_s = time.monotonic()
            step_s, last_s = now_s - last_s, now_s
            if self.runs and self.clock_ms > self._lease_ms:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if self.runs.get(run.task) is run:
                    self._advance(run, now_s, step_s * self.speed)

    def _advance(self, run: Run, now_s: float, step_s: float) -> None:
        task = self.pool.tasks[run.task]
        if (
            self.fails_after_s is not None
            and now_s - run.began_s > self.fails_after_s
        ):
            self.end(run, "failed")
            return
        if now_s < run.restore_until_s:
            return
        if task.is_gang and not self.pool.is_gang_present(run):
            if now_s - run.began_s > GANG_TIMEOUT_S:
                self.end(run, "alone")
            return
        run.worked_s += step_s
        if (
            task.is_checkpointable
            and run.worked_s - run.saved_worked_s >= CHECKPOINT_INTERVAL_S
        ):
            self._save(run)
        if task.is_lasting or run.worked_s < task.seconds:
            return
        how = task.outcome(run.run)
        if not task.is_gang:
            self.end(run, how)
        else:
            self.pool.end_gang(run, how)


class Pool:
    """All executors, with what runs on them and what the clients sent."""

    def __init__(self, record: Record, store: Store) -> None:
        self.record = record
        self.store = store
        self.tasks: dict[str, Task] = {}
        self.executors: list[Executor] = []
        self.labelled_starts: list[tuple[float, str, int, str, list[str]]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []
        self.noted: set[tuple[str, int]] = set()
        self._done: dict[str, int] = {}
        self._beats: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self, count: int, *, per_rack: int = 2) -> None:
        """Starts the executors and the expiry of their entries."""
        for number in range(count):
            executor = Executor(
                self,
                name=f"m-{number}",
                zone="ab"[number % 2],
                rack=f"r1-{number // per_rack}",
            )
            self.executors.append(executor)
            await executor.start()
        self._task = asyncio.create_task(self._expire())

    async def stop(self) -> None:
        """Stops all executors."""
        if self._task is not None:
            self._task.cancel()
        for executor in self.executors:
            if executor.is_up:
                await executor.crash()

    def beat(self, worker: str, key: str, entry: dict[str, Any]) -> None:
        """Writes an executor's entry."""
        self._beats[key] = time.monotonic()
        self.store.put(key, json.dumps(entry).encode())

    def remove_entry(self, key: str) -> None:
        """Removes an executor's entry."""
        self._beats.pop(key, None)
        self.store.remove(key)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for key, at_s in list(self._beats.items()):
                if time.monotonic() - at_s > 3 * HEARTBEAT_S:
                    del self._beats[key]
                    self.store.remove(key)

    def running(self, task: str) -> list[Executor]:
        """Returns the executors on which a task runs."""
        return [e for e in self.executors if e.is_up and task in e.runs]

    def count_runs(self, job: str = "") -> int:
        """Returns how many tasks of a job, or of all, run now."""
        return sum(t.startswith(job) for e in self.executors for t in e.runs)

    def done_tasks(self) -> set[str]:
        """Returns the tasks that have ended `done`."""
        return set(self._done)

    def run_started(
        self, executor: Executor, run: Run, body: dict[str, Any]
    ) -> None:
        """Records a start; two runs of a task at once break TWICE."""
        self.record.write(
            "run-start",
            task=run.task,
            run=run.run,
            on=executor.worker,
            machine=executor.name,
            fence=body.get("fence"),
            saved=run.saved or "-",
        )
        self.labelled_starts.append(
            (
                self.record.now_s(),
                run.task,
                run.run,
                executor.worker,
                list(executor.labels),
            )
        )
        others = [e for e in self.running(run.task) if e is not executor]
        if others:
            self.record.rule_broken(
                f"TWICE: {run.task} run {run.run} on {executor.worker} while "
                f"run {others[0].runs[run.task].run} is on {others[0].worker}"
            )
        done = self._done.get(run.task)
        if done is not None and (run.task, done) in self.noted:
            self.record.rule_broken(
                f"TWICE: {run.task} run {run.run} after run {done} was done"
            )

    def run_ended(self, executor: Executor, run: Run, how: str) -> None:
        """Records an end."""
        self.record.write(
            "run-end",
            task=run.task,
            run=run.run,
            on=executor.worker,
            machine=executor.name,
            how=how,
        )
        self.ends.append(
            (self.record.now_s(), run.task, run.run, executor.worker, how)
        )
        if how == "done" and not self.tasks[run.task].is_lasting:
            self._done[run.task] = run.run

    def ends_noted(self, executor: Executor, ends: list[list[Any]]) -> None:
        """Records ends that the system has taken note of."""
        for _, task, number, how, _ in ends:
            self.noted.add((task, number))
            self.record.write(
                "end-noted", task=task, run=number, how=how, on=executor.worker
            )

    def _members(self, run: Run) -> list[tuple[Executor, Run]]:
        prefix = run.task.rpartition(".")[0]
        return [
            (e, r)
            for e in self.executors
            if e.is_up
            for r in e.runs.values()
            if r.run == run.run and r.task.rpartition(".")[0] == prefix
        ]

    def is_gang_present(self, run: Run) -> bool:
        """Returns whether all members of a gang are there."""
        return len(self._members(run)) >= self.tasks[run.task].members

    def end_gang(self, run: Run, how: str) -> None:
        """Ends all members of a gang."""
        for executor, member in self._members(run):
            is_cause = member.task == run.task or how == "done"
            executor.end(member, how if is_cause else "broken")


class Instance:
    """One instance of the system, a process of its own."""

    def __init__(self, deployment: "Deployment", number: int) -> None:
        self.deployment = deployment
        self.number = number
        self.name = f"edge-{'ab'[number % 2]}-{number}"
        self.front = f"{HOST}:{free_port()}"
        self.ready = f"{HOST}:{free_port()}"
        self.internal = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.path = deployment.folder / f"{self.name}.json"
        self.log = deployment.folder / f"{self.name}.log"

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        address = await self.deployment.store.address_for(self.name)
        zones = {"a": "r", "b": "r"}
        settings = {
            "node": self.name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": HOST,
            "zone": "ab"[self.number % 2],
            "region": "r",
            "zones": zones,
            "listen": {"front": self.front, "ready": self.ready},
            "internalPorts": [self.internal, self.internal],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300},
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1500,
            "bounds": BOUNDS,
            "orders": "call",
            "platform": {"address": address, "form": "kv"},
        }
        self.path.write_text(json.dumps(settings), encoding="utf-8")
        with (ROOT / "deploy/system.toml").open("rb") as file:
            command = shlex.split(tomllib.load(file)["roles"]["entry"]["run"])
        command[0] = sys.executable if command[0] == "python3" else command[0]
        environment = {
            k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")
        }
        environment["MAGNOLIAGLADE_SETTINGS"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(  # noqa: ASYNC220
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.deployment.record.write("instance-start", name=self.name)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.deployment.record.write(
                "signal", name=self.name, signal=number.name
            )
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await asyncio.to_thread(self.process.wait)


class Deployment:
    """Store, executors and instances of one run of a case."""

    def __init__(self, record_path: pathlib.Path) -> None:
        self.record = Record(record_path)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.store = Store(self.record)
        self.pool = Pool(self.record, self.store)
        self.instances: list[Instance] = []
        self.routes = [make_route("batch", priority=1)]
        self.tenants = [
            {"name": "kaje80", "apiKeys": [KEY], "guaranteed": {"gpu": 0}}
        ]
        self._version = 6
        # Longest time by which the stand-ins' event loop was late, in seconds.
        self.longest_lag_s = 0.0
        self._lag_task: asyncio.Task[None] | None = None

    async def start(
        self, *, instances: int = 2, executors: int = 4, per_rack: int = 2
    ) -> None:
        """Starts everything and waits until the instances are ready."""
        self._lag_task = asyncio.create_task(self._measure_lag())
        await self.store.start()
        self.configure()
        await self.pool.start(executors, per_rack=per_rack)
        for number in range(instances):
            instance = Instance(self, number)
            self.instances.append(instance)
            await instance.start()
        for instance in self.instances:
            await self.wait_ready(instance)
        await wait_until(
            lambda: "magnoliaglade/coordinator" in self.store.items,
            timeout_s=20.0,
        )
        await asyncio.sleep(1.5)

    async def _measure_lag(self) -> None:
        while True:
            due_s = time.monotonic() + 0.02
            await asyncio.sleep(0.02)
            lag_s = time.monotonic() - due_s
            if lag_s > self.longest_lag_s:
                self.longest_lag_s = lag_s
                self.record.write("stand-ins-late", by_s=round(lag_s, 3))

    async def wait_ready(self, instance: Instance) -> None:
        """Waits until an instance says that it is ready."""
        async with asyncio.timeout(30):
            while True:
                answer = await call(instance.ready, "GET", "/api/ready")
                if answer is not None and answer[0] == 200:
                    return
                await asyncio.sleep(0.1)

    def configure(self) -> None:
        """Writes the next version of the configuration."""
        self._version += 1
        service = {"name": SERVICE, "healthPath": "/health", "maxConns": 64}
        fields = {
            "version": self._version,
            "routes": self.routes,
            "services": [service],
            "limits": {"maxBodyBytes": 262_144},
            "tenants": self.tenants,
        }
        self.store.put("op/config", json.dumps(fields).encode())

    def coordinator(self) -> Instance | None:
        """Returns the instance whose name is in the coordinator's key."""
        item = self.store.items.get("magnoliaglade/coordinator")
        name = item.value.decode().partition("/")[0] if item else ""
        found = [i for i in self.instances if i.name == name]
        return found[0] if found else None

    async def stop(self) -> None:
        """Ends every process that was started."""
        for instance in self.instances:
            await instance.kill()
        await self.pool.stop()
        await self.store.stop()
        self._temporary.cleanup()

    async def request(
        self,
        instance: Instance,
        method: str,
        prefix: str,
        job: str = "",
        body: Any = None,
        *,
        timeout_s: float = 3.0,
    ) -> tuple[int, Any] | None:
        """Makes one call of a client; None without an answer."""
        answer = await call(
            instance.front,
            method,
            f"{prefix}{job}",
            body,
            headers={
                "host": FRONT_HOST,
                "authorization": f"Token {KEY}",
                "deadline-ms": str(int(timeout_s * 1000)),
            },
            timeout_s=timeout_s,
        )
        self.record.write(
            "client",
            call=method,
            path=f"{prefix}{job}",
            to=instance.name,
            answer=answer[0] if answer else None,
            body=json.dumps(answer[1]) if answer else None,
        )
        return answer

    async def submit(
        self,
        instance: Instance,
        prefix: str,
        job: str,
        steps: list[dict[str, Any]],
        tasks: Task,
        **fields: Any,
    ) -> tuple[int, Any] | None:
        """Submits a job; `tasks` tells how its tasks run."""
        for occurrence in range(max(1, fields.get("repetitions", 0))):
            for number, step in enumerate(steps):
                for index in range(step["count"]):
                    name = f"{job}.{occurrence}.{number}.{index}"
                    self.pool.tasks[name] = tasks
        body = {"spec": job, "steps": steps} | fields
        return await self.request(instance, "POST", prefix, job, body)


async def wait_until(
    condition: Callable[[], bool], *, timeout_s: float
) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: it does not hold in time.
    """
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError("a condition of the case was not reached")
        await asyncio.sleep(0.05)


def make_route(name: str, *, priority: int) -> dict[str, Any]:
    """Returns a queue of the configuration."""
    return {
        "name": f"r-{name}",
        "host": FRONT_HOST,
        "prefix": f"/{name}/",
        "type": "unsafe",
        "timeoutMs": 3000,
        "sloMs": 1000,
        "priority": priority,
        "service": SERVICE,
        "maxAttempts": 4,
        "stretch": 3.0,
        "public": False,
    }


def new_job() -> str:
    """Returns an id for a job."""
    return uuid.uuid4().hex[:16]


_taken_ports: set[int] = set()


def free_port() -> int:
    """Returns a port that is free now.

    It is below the ports that outgoing connections use, which could take it
    while its instance is down.
    """
    while True:
        port = random.randint(*INSTANCE_PORTS)  # noqa: S311
        if port in _taken_ports:
            continue
        with socket.socket() as found:
            try:
                found.bind((HOST, port))
            except OSError:
                continue
        _taken_ports.add(port)
        return port


def has_trouble() -> bool:
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    case: Callable[[Deployment], Awaitable[None]], folder: pathlib.Path
) -> int:
    """Plays a case; returns 1 if a rule was broken, 0 if not, else 2."""

    async def play() -> int:
        deployment = Deployment(folder / "record.txt")
        task = asyncio.current_task()
        assert task is not None
        # At the time limit, the instances are ended before the case exits.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(LIMIT_S):
                await case(deployment)
        except (Exception, asyncio.CancelledError) as error:
            deployment.record.write("case-failed", error=repr(error))
            return 2
        finally:
            if os.environ.get("KEEP_LOGS"):
                for instance in deployment.instances:
                    if instance.log.exists():
                        target = folder / f"{instance.name}.log"
                        target.write_bytes(instance.log.read_bytes())
            await deployment.stop()
        deployment.record.write("result", broken=len(deployment.record.broken))
        return 1 if deployment.record.broken else 0

    return asyncio.run(play())
