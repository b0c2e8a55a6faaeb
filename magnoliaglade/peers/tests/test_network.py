"""Tests of the TCP peer network on loopback."""

import asyncio
import dataclasses

import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import peers
from magnoliaglade.peers import _frames
from magnoliaglade.types import InstanceId


@peers.message
@dataclasses.dataclass(frozen=True, kw_only=True)
class Echo(peers.Message):
    text: str


async def until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


async def start_pair(**options):
    nets = [
        peers.TcpPeerNetwork(
            instance=InstanceId(n),
            incarnation=f"{n}1",
            clock=clock_lib.SystemClock(),
            host="127.0.0.1",
            port=0,
            heartbeat_s=0.05,
            silent_s=0.3,
            **options,
        )
        for n in "ab"
    ]
    for net in nets:
        await net.start()
    members = {n.instance: f"127.0.0.1:{n.bound_port}" for n in nets}
    for net in nets:
        net.set_members(members)
    await until(lambda: all(n.live_peers for n in nets))
    return nets


class TestTcpPeerNetwork:
    async def test_request_and_refusal(self):
        a, b = await start_pair()

        async def echo(sender, value):
            if value.text == "bad":
                raise peers.PeerRefusedError("bad")
            if value.text == "broken":
                raise ValueError("broken after an effect")
            return Echo(text=f"{sender}:{value.text}")

        b.handle(Echo, echo)
        reply = await a.request(InstanceId("b"), Echo(text="x"), timeout_s=5)
        assert reply.text == "a:x"
        with pytest.raises(peers.PeerRefusedError):
            await a.request(InstanceId("b"), Echo(text="bad"), timeout_s=5)
        # A handler that fails may have had an effect before.
        with pytest.raises(peers.PeerUnknownError):
            await a.request(InstanceId("b"), Echo(text="broken"), timeout_s=5)
        await a.stop()
        await b.stop()

    async def test_silent_stream_is_replaced(self):
        """Guards against a stream that stays open but carries nothing."""
        a, b = await start_pair()
        proxy_open = asyncio.Event()
        proxy_open.set()

        async def relay(reader, writer):
            while data := await reader.read(65536):
                if proxy_open.is_set():
                    writer.write(data)

        accepted = 0

        async def on_connect(reader, writer):
            nonlocal accepted
            accepted += 1
            up_reader, up_writer = await asyncio.open_connection(
                "127.0.0.1", b.bound_port
            )
            await asyncio.gather(
                relay(reader, up_writer),
                relay(up_reader, writer),
                return_exceptions=True,
            )
            up_writer.close()
            writer.close()

        proxy = await asyncio.start_server(on_connect, "127.0.0.1", 0)
        port = proxy.sockets[0].getsockname()[1]
        a.set_members({InstanceId("b"): f"127.0.0.1:{port}"})
        await until(lambda: a.live_peers)
        first = accepted
        proxy_open.clear()
        await until(lambda: not a.live_peers)
        await until(lambda: accepted > first)
        proxy_open.set()
        await until(lambda: a.live_peers)
        await a.stop()
        await b.stop()
        proxy.close()

    async def test_restart_is_seen_as_new_incarnation(self):
        """Guards against taking a restarted peer for the old one."""
        a, b = await start_pair()
        port = b.bound_port
        await b.stop()
        await until(lambda: not a.live_peers)
        again = peers.TcpPeerNetwork(
            instance=InstanceId("b"),
            incarnation="b2",
            clock=clock_lib.SystemClock(),
            host="127.0.0.1",
            port=port,
        )
        await again.start()
        await until(lambda: a.incarnation_of(InstanceId("b")) == "b2")
        await a.stop()
        await again.stop()


class TestFrames:
    @pytest.mark.parametrize(
        "body", [b"", b"\xc1", b"\x93\x01\x02\x03", b"\x91\x07", b"\x01"]
    )
    def test_broken_frames_are_refused(self, body):
        """Guards against a crash on bytes that are no frame."""
        with pytest.raises(peers.MessageError):
            _frames.decode_body(body)
