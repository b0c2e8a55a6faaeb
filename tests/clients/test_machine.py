"""Crowds of clients against the memory and the descriptors of a machine."""

import asyncio
import contextlib
import signal

import orjson
import pytest

from tests.clients import crowd, served

# The smallest instance, and one with less memory or fewer descriptors, so that
# a small crowd would exceed them.
SMALLEST = {"cpuShare": 1, "cores": 1, "memoryMb": 160, "maxFds": 1_638}
LITTLE_MEMORY = SMALLEST | {"memoryMb": 96}
BUSY = SMALLEST | {"memoryMb": 112}
FEW_DESCRIPTORS = SMALLEST | {"maxFds": 320}
# No silent connection of a test ends by its idle time.
PATIENT = served.LIMITS | {"idleTimeoutMs": 60_000}
# Memory above rest in MB that may remain after crowds.
REST_MB = 12.0
TIMEOUT_S = 30.0

# The largest body that the configuration allows, without its end.
_LARGE_BODY = crowd.Stream(
    start=crowd.request(
        "POST",
        f"{served.PREFIX}{1:016x}",
        served.KEY,
        "127.0.0.1",
        b" " * served.LIMITS["maxBodyBytes"],
    ).rstrip(b" "),
    repeated=b" " * 1_000,
)
_UNFINISHED_HEAD = crowd.Stream(repeated=b"GET / HTTP/1.1\r\n", reads=False)


def make_crowd(instance, port, stream, **options):
    address = instance.addresses[port]
    return crowd.Crowd(
        host=address.host, port=address.port, stream=lambda _: stream, **options
    )


async def connect_silently(instance, count):
    address = instance.addresses["calls"]
    return [
        await asyncio.open_connection(address.host, address.port)
        for _ in range(count)
    ]


async def submit_large_jobs(instance, count):
    """Submits jobs of many tasks that fit no worker; returns the replies."""
    job = {"spec": "x", "steps": [{"count": 4_000, "cpu": 10_000_000}]}
    body = orjson.dumps(job)
    return [
        await instance.call("POST", f"{served.PREFIX}{n:016x}", body=body)
        for n in range(count)
    ]


def abort(connections):
    for _, writer in connections:
        writer.transport.abort()


async def wait_for(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.1)


async def wait_until_serving(instance):
    """Waits until an instance serves, which may first confirm what it knows."""
    async with asyncio.timeout(TIMEOUT_S):
        while not await instance.is_serving():
            await asyncio.sleep(0.1)


class TestUnreadBytes:
    async def test_suspended_instance_stays_within_its_memory(self, start):
        """Guards against bytes that pile up while nothing is accepted."""
        instance = await start(limits=LITTLE_MEMORY)
        crowds = [
            make_crowd(
                instance,
                port,
                _UNFINISHED_HEAD,
                connections=400,
                bytes_per_connection=65_536,
            )
            for port in instance.addresses
        ]
        instance.process.send_signal(signal.SIGSTOP)
        try:
            async with instance.sampled() as peaks:
                await asyncio.gather(*(c.send() for c in crowds))
            instance.process.send_signal(signal.SIGCONT)
        finally:
            for each in crowds:
                each.close()
        await wait_until_serving(instance)
        assert peaks["memory_mb"] < LITTLE_MEMORY["memoryMb"]


class TestBusyCoordinator:
    async def test_clients_get_what_its_tables_leave(self, start):
        """Guards against totals that ignore what a process needs itself."""
        instance = await start(limits=BUSY)
        replies = await submit_large_jobs(instance, 40)
        assert {r.status for r in replies} == {200}
        bodies, unread = (
            make_crowd(
                instance,
                "calls",
                stream,
                connections=400,
                bytes_per_connection=sent_bytes,
            )
            for stream, sent_bytes in (
                (_LARGE_BODY, 200_000),
                (_UNFINISHED_HEAD, 65_536),
            )
        )
        silent = []
        try:
            async with instance.sampled() as peaks:
                await bodies.send()
                silent = await connect_silently(instance, 280)
                assert await instance.is_serving()
                instance.process.send_signal(signal.SIGSTOP)
                for _, writer in silent:
                    writer.write(_UNFINISHED_HEAD.repeated * 4_000)
                await unread.send()
            instance.process.send_signal(signal.SIGCONT)
        finally:
            abort(silent)
            bodies.close()
            unread.close()
        await wait_until_serving(instance)
        assert instance.process.poll() is None
        assert peaks["memory_mb"] < BUSY["memoryMb"]

    async def test_tables_stay_within_the_memory(self, start):
        """Guards against a client with a key that submits large jobs."""
        instance = await start(limits=BUSY)
        async with instance.sampled() as peaks:
            await submit_large_jobs(instance, 100)
        await wait_until_serving(instance)
        assert peaks["memory_mb"] < BUSY["memoryMb"]


class TestSettings:
    @pytest.mark.parametrize("limits", [None, {}, SMALLEST])
    async def test_descriptors_of_the_process_are_kept_to(self, start, limits):
        """Guards against settings that allow more than the process has."""
        instance = await start(
            limits=limits,
            configured=PATIENT,
            max_fds=FEW_DESCRIPTORS["maxFds"],
        )
        connections = await connect_silently(instance, 400)
        try:
            assert await instance.is_serving()
        finally:
            abort(connections)

    async def test_lower_totals_apply_to_open_connections(self, start):
        """Guards against settings that take effect with the next start."""
        instance = await start(limits=SMALLEST, configured=PATIENT)
        connections = await connect_silently(instance, 400)
        try:
            instance.limits = FEW_DESCRIPTORS
            instance.write_settings()
            instance.process.send_signal(signal.SIGHUP)
            await wait_for(
                lambda: instance.descriptors() < FEW_DESCRIPTORS["maxFds"]
            )
            assert await instance.is_serving()
        finally:
            abort(connections)

    async def test_shorter_times_apply_to_open_connections(self, start):
        """Guards against a configuration that new connections follow only."""
        instance = await start(
            limits=SMALLEST, configured=PATIENT | {"idleTimeoutMs": 300_000}
        )
        rest = instance.descriptors()
        connections = await connect_silently(instance, 100)
        try:
            instance.configured = PATIENT | {"idleTimeoutMs": 1_000}
            await instance.configure()
            await wait_for(lambda: instance.descriptors() < rest + 50)
            assert await instance.is_serving()
        finally:
            abort(connections)

    @pytest.mark.parametrize("name", ["endless body", "endless header lines"])
    async def test_configuration_without_limits(self, start, name):
        """Guards against a client that is bounded by the configuration only."""
        instance = await start(limits=LITTLE_MEMORY, configured=None)
        clients = make_crowd(instance, "calls", crowd.STREAMS[name])
        try:
            async with instance.sampled() as peaks:
                await clients.send()
        finally:
            clients.close()
        assert await instance.is_serving()
        assert peaks["memory_mb"] < LITTLE_MEMORY["memoryMb"]


class TestEntryProcess:
    async def test_silent_connections_leave_room_for_others(self, start_entry):
        """Guards against defaults that allow more than the process has."""
        entry = await start_entry(max_fds=FEW_DESCRIPTORS["maxFds"])
        connections = await connect_silently(entry, 400)
        try:
            assert await entry.is_serving()
        finally:
            abort(connections)

    @pytest.mark.parametrize("name", crowd.STREAMS)
    async def test_endless_input(self, start_entry, name):
        """Guards against a process that a few clients end by its memory."""
        entry = await start_entry()
        clients = make_crowd(entry, "calls", crowd.STREAMS[name])
        try:
            async with entry.sampled() as peaks:
                await clients.send()
                assert await entry.is_serving()
        finally:
            clients.close()
        assert entry.process.poll() is None
        assert await entry.is_serving()
        assert peaks["memory_mb"] < SMALLEST["memoryMb"]


class TestWaits:
    @pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
    async def test_waits_of_clients_that_have_gone(self, start, method):
        """Guards against waits for the store without a bound on their number.

        Each client leaves as soon as its request has been read.
        """
        instance = await start(limits=FEW_DESCRIPTORS)
        address = instance.addresses["calls"]
        body = served.JOB if method == "POST" else b""

        async def send(number):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(
                    address.host, address.port
                )
                writer.write(
                    crowd.request(
                        method,
                        f"{served.PREFIX}{number:016x}",
                        served.KEY,
                        address.host,
                        body,
                    )
                )
                await writer.drain()
                writer.close()

        instance.store_link.link.is_silent = True
        async with instance.sampled(interval_s=0.02) as peaks:
            for first in range(0, 1_200, 12):
                await asyncio.gather(*(send(first + n) for n in range(12)))
        instance.store_link.link.is_silent = False
        instance.store_link.reset()
        await wait_until_serving(instance)
        assert peaks["descriptors"] < FEW_DESCRIPTORS["maxFds"]
        assert peaks["memory_mb"] < SMALLEST["memoryMb"]


class TestSeries:
    async def test_memory_is_given_back_after_each_crowd(self, start):
        """Guards against memory that grows with the number of crowds."""
        instance = await start(limits=SMALLEST)
        rest_mb = instance.memory_mb("VmRSS")
        for _ in range(3):
            for stream in (*crowd.STREAMS.values(), _LARGE_BODY):
                clients = make_crowd(
                    instance, "calls", stream, bytes_per_connection=1_000_000
                )
                await clients.send()
                clients.close()
            assert await instance.is_serving()
            assert instance.memory_mb("VmRSS") - rest_mb < REST_MB


class TestLogs:
    @pytest.mark.parametrize(
        ("port", "stream"),
        [
            ("calls", b"not a request\r\n\r\n"),
            ("calls", b"GET /" + b"a" * 20_000 + b" HTTP/1.1\r\n\r\n"),
            ("calls", b"GET /%ff%00\xff HTTP/1.1\r\n\r\n"),
            (
                "calls",
                b"GET / HTTP/1.1\r\nConnection: upgrade\r\n"
                b"Upgrade: websocket\r\n\r\n",
            ),
            (
                "internal",
                b"POST /intake HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcd",
            ),
            (
                "internal",
                b"POST /intake HTTP/1.1\r\nContent-Length: 3000000\r\n\r\n"
                + b"a" * 3_000_000,
            ),
            (
                "internal",
                b"POST /intake HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n",
            ),
        ],
        ids=[
            *("malformed", "target", "path", "upgrade"),
            *("entry", "large entry", "unfinished entry"),
        ],
    )
    async def test_lines_about_refused_clients(self, start, port, stream):
        """Guards against logs that grow with what clients send.

        Each line is an event, with neither a trace nor the client's bytes.
        """
        await self.check(await start(limits=SMALLEST), port, stream)

    async def test_lines_of_the_entry_process(self, start_entry):
        """Guards against traces of bodies that do not arrive as a whole."""
        head = b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n"
        await self.check(await start_entry(), "calls", head)

    async def check(self, process, port, sent):
        """Checks the log lines that clients who send this cause."""
        path = process.folder / "log"
        begin = path.stat().st_size
        clients = make_crowd(
            process,
            port,
            crowd.Stream(start=sent, repeated=b"\r\n"),
            bytes_per_connection=1,
            connections=50,
        )
        await clients.send()
        clients.close()
        assert await process.is_serving()
        for line in path.read_bytes()[begin:].splitlines():
            assert orjson.loads(line)["message_type"]
            assert len(line) < 1_000
