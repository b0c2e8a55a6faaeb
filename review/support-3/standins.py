"""Stand-ins for the scripts of the third review: store, executors, clients.

Only the standard library is used. The stand-ins run in the process of the
script; the instances of the system are processes of their own, started with the
command of the deploy file.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
VALUE_BYTES = 1_048_576
HISTORY_S = 20.0
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6_000
STOP_S = 0.2
KEY = "key-of-tenant-1"
OTHER_KEY = "key-of-tenant-2"
# Keys of the tenants, and the accelerators that are guaranteed to each.
TENANTS = ((KEY, 64), (OTHER_KEY, 48))
PREFIX = "/lohu930/"
URGENT_PREFIX = "/besa417/"
HOST = "127.0.0.1"
SERVICE = "trailplan"
_PORTS = itertools.count(12_000 + os.getpid() % 200 * 60)
# The figures of the page on deployments, for a small site.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "evacuateMs": 5000,
    "recoveryS": 12,
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
    "requireFencing": False,
    "leaseMs": 3000,
    "reclaimMs": 2700,
}


class Record:
    """The record of a script: what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._began_s = time.monotonic()

    def add(self, text):
        """Adds a line with the time since the start of the script."""
        now_s = time.monotonic() - self._began_s
        self._file.write(f"{now_s:8.3f} {text}\n")
        self._file.flush()


class Server:
    """An HTTP/1.1 server; the handler returns status and fields."""

    def __init__(self, handle, *, headers=None):
        self.handle = handle
        self.headers = headers or {}
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self, port=0):
        """Listens on a free port, or on the one given."""
        self._server = await asyncio.start_server(
            self._serve, HOST, port, limit=2**23, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def abort(self):
        """Closes the listener and resets all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                first, headers, body = request
                method, target, _ = first.split(" ", 2)
                parts = parse.urlsplit(target)
                status, fields = await self.handle(
                    method,
                    parts.path,
                    dict(parse.parse_qsl(parts.query)),
                    headers,
                    json.loads(body) if body else {},
                )
                data = json.dumps(fields).encode()
                head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(data)}\r\n"
                head += "content-type: application/json\r\n"
                for name, value in self.headers.items():
                    head += f"{name}: {value}\r\n"
                writer.write(head.encode() + b"\r\n" + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def read_message(reader):
    """Returns first line, headers and body of a message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0) or 0)
    body = await reader.readexactly(size) if size else b""
    return first, headers, body


class Store:
    """The platform's store: items, leases, watches, transactions."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.leases = {}
        self.history = []
        self.forgotten = 0
        self.rejected = 0
        self.answer_s = 0.004
        self.server = Server(self._handle)
        self._next_lease = 1000
        self._changed = asyncio.Event()
        self._task = None

    @property
    def address(self):
        """Address of the store."""
        return f"{HOST}:{self.server.port}"

    async def start(self):
        """Listens, and expires leases."""
        await self.server.start()
        self._task = asyncio.create_task(self._expire())

    def stop(self):
        """Stops serving."""
        self.server.abort()
        if self._task is not None:
            self._task.cancel()

    def write(self, puts, removes=()):
        """Applies changes as one revision; puts are (key, value, lease)."""
        self.revision += 1
        now_s = time.monotonic()
        for key, value, lease in puts:
            created = self.items.get(key, {}).get("created", self.revision)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": created,
                "lease": lease,
            }
            self.items[key] = item
            self.history.append((now_s, item))
        for key in removes:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "deleted": True}
                self.history.append((now_s, event))
        while self.history and self.history[0][0] < now_s - HISTORY_S:
            self.forgotten = self.history.pop(0)[1]["revision"]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            for lease, (ttl_s, until_s) in list(self.leases.items()):
                del ttl_s
                if until_s < now_s:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, i in self.items.items() if i["lease"] == lease]
        if keys:
            self.write([], keys)

    async def _handle(self, method, path, query, headers, body):
        del headers
        await asyncio.sleep(self.answer_s)
        name = path.removeprefix("/api/").partition("/")[0]
        if name == "kv-key":
            item = self.items.get(query["key"])
            extra = {"storeRevision": self.revision}
            return (200, item | extra) if item else (404, extra)
        if name == "kv-range":
            return 200, self._range(query)
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(body)
        if name == "kv-lease":
            return self._grant(body["ttlMs"])
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"ttlMs": int(ttl_s * 1000)}

    def _range(self, query):
        after = query.get("after", "")
        keys = sorted(
            k for k in self.items if k.startswith(query["prefix"]) and k > after
        )
        page, size = [], 0
        for key in keys:
            page.append(self.items[key])
            size += len(self.items[key]["value"])
            if len(page) >= PAGE_ITEMS or size > PAGE_BYTES:
                break
        return {
            "items": page,
            "truncated": len(page) < len(keys),
            "storeRevision": self.revision,
        }

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        if after < self.forgotten:
            return 410, {}
        deadline_s = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                e
                for _, e in self.history
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left_s = deadline_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, body):
        rows = [*body["expect"], *body["puts"], *body["remove"]]
        values = [base64.b64decode(p["value"]) for p in body["puts"]]
        if len(rows) > 32 or any(len(v) > VALUE_BYTES for v in values):
            self.rejected += 1
            return 400, {}
        for row in body["expect"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [
                    self.items.get(r["key"], {"key": r["key"], "revision": 0})
                    for r in body["expect"]
                ]
                return 412, {"items": found}
        leases = [int(p.get("lease") or 0) for p in body["puts"]]
        if any(n and n not in self.leases for n in leases):
            return 404, {}
        keys = [p["key"] for p in body["puts"]]
        self.write(list(zip(keys, values, leases, strict=True)), body["remove"])
        return 200, {"revision": self.revision}

    def _grant(self, ttl_ms):
        self._next_lease += 1
        ttl_s = max(1.0, ttl_ms / 1000)
        self.leases[self._next_lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"lease": self._next_lease, "ttlMs": int(ttl_s * 1000)}


class Executor:
    """An executor that starts what it is told to, and runs for a while.

    The text of a task's `spec` is its run time in milliseconds.
    """

    def __init__(self, *, name, store, record, capacity, labels, zone):
        self.name = name
        self.store = store
        self.record = record
        self.capacity = capacity
        self.labels = labels
        self.zone = zone
        self.is_up = False
        self.starts = []
        self.on_start = lambda *_: None
        self.on_end = lambda *_: None
        self.on_note = lambda *_: None
        self.server = Server(self._handle, headers={"Instance-Id": name})
        self._port = 0
        self._tasks = []

    async def start(self):
        """Begins a life, at the same address as before, and reports it."""
        self.born_ms = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self.fence = 0
        self.runs = {}
        self.ended = []
        self._closed = {}
        self._lease_ms = 0
        self._numbers = 0
        self._seq = 0
        self._change = asyncio.Event()
        if not self._port:
            (self._port,) = free_ports(1)
        await self.server.start(self._port)
        self.is_up = True
        self._tasks = [
            asyncio.create_task(self._report()),
            asyncio.create_task(self._advance()),
        ]

    def crash(self):
        """Ends at once; everything that runs is gone."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        self.server.abort()
        self.runs = {}

    def clock_ms(self):
        """Returns the executor's steady clock."""
        return 1 + int((time.monotonic() - self._born_s) * 1000)

    def entry(self):
        """Returns what the executor reports of itself."""
        return {
            "service": SERVICE,
            "address": f"{HOST}:{self._port}",
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "seq": self._seq,
            "born": self.born_ms,
            "capacity": self.capacity,
            "labels": self.labels,
        }

    async def _report(self):
        while True:
            self._seq += 1
            value = json.dumps(self.entry()).encode()
            self.store.write([(f"servers/{self.name}", value, 0)])
            await asyncio.sleep(HEARTBEAT_S)

    async def _advance(self):
        while True:
            await asyncio.sleep(0.005)
            now_s, is_lapsed = (
                time.monotonic(),
                self.clock_ms() > self._lease_ms,
            )
            for task, run in list(self.runs.items()):
                if run["ends_s"] <= now_s:
                    self._end(task, run, "done")
                elif run["stops_s"] <= now_s:
                    self._end(task, run, "stopped")
                elif is_lapsed:
                    self._end(task, run, "lapsed")

    def _end(self, task, run, how):
        del self.runs[task]
        self._closed[task] = run["run"]
        self._numbers += 1
        self.ended.append([self._numbers, task, run["run"], how, ""])
        self.record.add(
            f"end {self.name} {task} run {run['run']} {how}, "
            f"number {self._numbers}"
        )
        self.on_end(self, task, run["run"], how)
        change, self._change = self._change, asyncio.Event()
        change.set()

    def _extend(self, until_ms):
        until_ms = min(until_ms, self.clock_ms() + HOLD_MAX_MS)
        self._lease_ms = max(self._lease_ms, until_ms)

    async def _handle(self, method, path, query, headers, body):
        del method, query
        if path == "/health":
            return 200, {}
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {}
        if "fence" not in body:
            return 400, {"clockMs": self.clock_ms()}
        if body["fence"] < self.fence:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.fence = body["fence"]
        if path == "/api/hold":
            return await self._hold(body)
        if path == "/api/run-start":
            return self._start(body)
        return self._stop(body)

    async def _hold(self, body):
        if "untilMs" in body:
            self._extend(body["untilMs"])
        seen = body["lastSeen"]
        for number, task, run, how, _ in self.ended:
            if number <= seen:
                self.record.add(
                    f"note {self.name} {task} run {run} {how}: number "
                    f"{number}, lastSeen {seen}"
                )
                self.on_note(self, task, run, how)
        self.ended = [e for e in self.ended if e[0] > seen]
        deadline_s = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.ended:
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._change.wait(), left_s)
        running = [
            [task, r["run"], "", self._percent(r), 0]
            for task, r in self.runs.items()
        ]
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born_ms,
            "running": running,
            "ended": self.ended[:500],
        }

    def _percent(self, run):
        elapsed_s = time.monotonic() - run["began_s"]
        return min(99, int(100 * elapsed_s / max(0.001, run["run_s"])))

    def _start(self, body):
        clock_ms = self.clock_ms()
        task, number = body["task"], body["run"]
        present = self.runs.get(task)
        if present is not None and present["run"] == number:
            return 200, {"clockMs": clock_ms}
        if number <= self._closed.get(task, 0):
            self._extend(body["untilMs"])
            return 409, {"clockMs": clock_ms, "reason": "old"}
        if body["untilMs"] <= clock_ms:
            return 409, {"clockMs": clock_ms, "reason": "late"}
        self._extend(body["untilMs"])
        now_s, run_s = time.monotonic(), int(body["spec"]) / 1000
        self.runs[task] = {
            "run": number,
            "run_s": run_s,
            "began_s": now_s,
            "ends_s": now_s + run_s,
            "stops_s": float("inf"),
        }
        self.starts.append((now_s, task, number))
        self.record.add(
            f"start {self.name} {task} run {number} fence {body['fence']}"
        )
        self.on_start(self, task, number)
        return 200, {"clockMs": clock_ms}

    def _stop(self, body):
        task, run = body["task"], self.runs.get(body["task"])
        if run is not None and run["run"] <= body["run"]:
            run["stops_s"] = min(run["stops_s"], time.monotonic() + STOP_S / 2)
        elif run is None:
            self._closed[task] = max(self._closed.get(task, 0), body["run"])
        return 200, {"clockMs": self.clock_ms()}


class Instance:
    """One process of the system, started as the deploy file says."""

    def __init__(self, *, name, folder, store, memory_mb=300, cores=2):
        self.name = name
        self.folder = folder
        self.ports = free_ports(5)
        self.process = None
        front, ready, control, first, second = self.ports
        fields = {
            "node": name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": HOST,
            "zone": "borg-a",
            "region": "vesturland",
            "zones": {"borg-a": "vesturland", "borg-b": "vesturland"},
            "listen": {
                "front": f"{HOST}:{front}",
                "ready": f"{HOST}:{ready}",
                "control": f"{HOST}:{control}",
            },
            "internalPorts": [first, second],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": cores,
                "memoryMb": memory_mb,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "orders": "call",
            "platform": {
                "address": store.address,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": HISTORY_S,
                "valueBytes": VALUE_BYTES,
                "ttlMinMs": 1000,
            },
        }
        self.settings = folder / f"{name}.json"
        self.settings.write_text(json.dumps(fields), encoding="utf-8")

    @property
    def log(self):
        """Path of the log of the process."""
        return self.folder / f"{self.name}.log"

    def spawn(self):
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "MAGNOLIAGLADE_SETTINGS": str(self.settings),
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def rss_mb(self):
        """Returns the resident memory of the process in MB."""
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        with contextlib.suppress(OSError, StopIteration):
            lines = path.read_text().splitlines()
            line = next(x for x in lines if x.startswith("VmRSS"))
            return int(line.split()[1]) / 1024
        return 0.0

    async def call(
        self, method, target, fields=None, *, deadline_ms=3000, key=KEY
    ):
        """Calls the instance as a client; returns status and fields.

        The status is 0 if no complete answer arrived.
        """
        body = b"" if fields is None else json.dumps(fields).encode()
        head = f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
        head += f"Authorization: Token {key}\r\nDeadline-Ms: {deadline_ms}\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}"
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(
                    HOST, self.ports[0]
                )
                writer.write(head.encode() + b"\r\n\r\n" + body)
                answer = await read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            answer = None
        finally:
            if writer is not None:
                writer.transport.abort()
        if answer is None:
            return 0, {}
        first, _, content = answer
        try:
            return int(first.split()[1]), json.loads(content or b"{}")
        except ValueError:
            return int(first.split()[1]), {}


def free_ports(count):
    """Returns free ports on loopback.

    They lie below the range from which the system takes the ports of outgoing
    connections, and are spread by process.
    """
    ports = []
    while len(ports) < count:
        port = next(_PORTS)
        with socket.socket() as found, contextlib.suppress(OSError):
            found.bind((HOST, port))
            ports.append(port)
    return ports


class Deployment:
    """A small deployment on loopback."""

    def __init__(self, record, *, instances=3, memory_mb=300):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self.store = Store()
        self.executors = []
        self.instances = []
        self._counts = (instances, memory_mb)
        self._version = 10

    async def start(self):
        """Starts store, instances and executors; waits until all serve."""
        await self.store.start()
        self.configure()
        count, memory_mb = self._counts
        for number in range(count):
            instance = Instance(
                name=f"edge-{number}",
                folder=self.folder,
                store=self.store,
                memory_mb=memory_mb,
            )
            self.instances.append(instance)
            instance.spawn()
        for executor in self.executors:
            await executor.start()
        async with asyncio.timeout(30):
            for instance in self.instances:
                status = 0
                while status != 200:
                    status, _ = await instance.call("GET", PREFIX)
                    await asyncio.sleep(0.1)

    def add_executor(self, number, *, capacity=None, labels=None, rack=None):
        """Adds an executor that is not started yet."""
        executor = Executor(
            name=f"i-{number:08x}",
            store=self.store,
            record=self.record,
            capacity=capacity or {"cpu": 128000, "memMb": 524288, "gpu": 8},
            labels=labels or ["a", rack or f"r1-{number // 6}"],
            zone="borg-a" if number % 2 else "borg-b",
        )
        self.executors.append(executor)
        return executor

    def configure(self):
        """Writes the next version of the configuration.

        Both tenants may call both queues; the second queue is urgent.
        """
        self._version += 7
        fields = {
            "version": self._version,
            "routes": [
                {
                    "name": "cart-fit",
                    "host": HOST,
                    "prefix": PREFIX,
                    "service": SERVICE,
                    "priority": 2,
                    "maxAttempts": 4,
                    "stretch": 3.0,
                    "sloMs": 3000,
                },
                {
                    "name": "route-quote",
                    "host": HOST,
                    "prefix": URGENT_PREFIX,
                    "service": SERVICE,
                    "priority": 0,
                    "maxAttempts": 3,
                    "stretch": 1.5,
                    "sloMs": 250,
                },
            ],
            "services": [{"name": SERVICE, "healthPath": "/health"}],
            "limits": {"maxBodyBytes": 262144},
            "tenants": [
                {"name": f"tenant-{n + 1}", "apiKeys": [key]}
                | {"guaranteed": {"gpu": gpu}}
                for n, (key, gpu) in enumerate(TENANTS)
            ],
        }
        self.store.write([("op/config", json.dumps(fields).encode(), 0)])

    def leader(self):
        """Returns the name of the instance that holds the coordinator's key."""
        item = self.store.items.get("magnoliaglade/coordinator")
        if item is None:
            return ""
        return base64.b64decode(item["value"]).decode().partition("/")[0]

    async def stop(self, *, keep_logs_in=None):
        """Ends every process that was started, and the stand-ins."""
        for instance in self.instances:
            if instance.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    instance.process.send_signal(signal.SIGCONT)
                    instance.process.kill()
                await asyncio.to_thread(instance.process.wait)
        for executor in self.executors:
            executor.crash()
        self.store.stop()
        if keep_logs_in is not None:
            for instance in self.instances:
                shutil.copy(instance.log, keep_logs_in)
        shutil.rmtree(self.folder, ignore_errors=True)


def make_job(run_ms, *, count=1, **step):
    """Returns the fields of a job of one step."""
    fields = {"count": count, "cpu": 1000, "memMb": 1000, "estimateMs": run_ms}
    return {"spec": str(run_ms), "steps": [fields | step]}
