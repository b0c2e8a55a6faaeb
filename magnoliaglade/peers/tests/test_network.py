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


async def wait_until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


async def start_pair(**options):
    networks = [
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
    for network in networks:
        await network.start()
    members = {n.instance: f"127.0.0.1:{n.bound_port}" for n in networks}
    for network in networks:
        network.set_members(members)
    await wait_until(lambda: all(n.live_peers for n in networks))
    return networks


class TestTcpPeerNetwork:
    async def test_request_returns_reply_or_raises_refusal(self):
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
        # The handler may have had an effect before it failed.
        with pytest.raises(peers.PeerUnknownError):
            await a.request(InstanceId("b"), Echo(text="broken"), timeout_s=5)
        await a.stop()
        await b.stop()

    async def test_silent_stream_is_replaced(self):
        """Guards against keeping an open stream that carries no data.

        A proxy stops relaying while its connections stay open.
        """
        a, b = await start_pair()
        is_relaying = asyncio.Event()
        is_relaying.set()

        async def relay(reader, writer):
            while data := await reader.read(65536):
                if is_relaying.is_set():
                    writer.write(data)

        accepted = 0
        relays = set()

        async def on_connect(reader, writer):
            nonlocal accepted
            accepted += 1
            relays.add(asyncio.current_task())
            up_reader, up_writer = await asyncio.open_connection(
                "127.0.0.1", b.bound_port
            )
            try:
                await asyncio.gather(
                    relay(reader, up_writer),
                    relay(up_reader, writer),
                    return_exceptions=True,
                )
            finally:
                up_writer.transport.abort()
                writer.transport.abort()

        proxy = await asyncio.start_server(on_connect, "127.0.0.1", 0)
        port = proxy.sockets[0].getsockname()[1]
        a.set_members({InstanceId("b"): f"127.0.0.1:{port}"})
        await wait_until(lambda: a.live_peers)
        first = accepted
        is_relaying.clear()
        await wait_until(lambda: not a.live_peers)
        await wait_until(lambda: accepted > first)
        is_relaying.set()
        await wait_until(lambda: a.live_peers)
        await a.stop()
        await b.stop()
        proxy.close()
        # Their connections must not outlive the event loop.
        for task in relays:
            task.cancel()
        await asyncio.gather(*relays, return_exceptions=True)

    async def test_connection_of_a_removed_peer_is_closed(self, monkeypatch):
        """Guards against a connection without an owner.

        The peer is removed in the moment in which its connection is made.
        """
        a, b = await start_pair()
        open_connection = asyncio.open_connection
        writers = []

        async def connect_and_remove(host, port):
            reader, writer = await open_connection(host, port)
            writers.append(writer)
            loop = asyncio.get_running_loop()
            loop.call_soon(a.set_members, {})
            return reader, writer

        a.set_members({})
        monkeypatch.setattr(asyncio, "open_connection", connect_and_remove)
        a.set_members({InstanceId("b"): f"127.0.0.1:{b.bound_port}"})
        await wait_until(lambda: not a.dump()["peers"])
        monkeypatch.undo()
        await wait_until(lambda: all(w.is_closing() for w in writers))
        assert len(writers) == 1
        await a.stop()
        await b.stop()

    async def test_restarted_peer_has_new_incarnation(self):
        """Guards against treating a restarted peer as its previous process."""
        a, b = await start_pair()
        port = b.bound_port
        await b.stop()
        await wait_until(lambda: not a.live_peers)
        restarted = peers.TcpPeerNetwork(
            instance=InstanceId("b"),
            incarnation="b2",
            clock=clock_lib.SystemClock(),
            host="127.0.0.1",
            port=port,
        )
        await restarted.start()
        await wait_until(lambda: a.incarnation_of(InstanceId("b")) == "b2")
        await a.stop()
        await restarted.stop()


class TestFrames:
    @pytest.mark.parametrize(
        "body", [b"", b"\xc1", b"\x93\x01\x02\x03", b"\x91\x07", b"\x01"]
    )
    def test_malformed_frames_are_rejected(self, body):
        """Guards against other errors on bytes that are not a frame."""
        with pytest.raises(peers.MessageError):
            _frames.decode_body(body)
