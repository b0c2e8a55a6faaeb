"""Time until a configuration is in force on nine instances, and its cost.

Runs on a virtual clock with latencies, so a seed gives the same figures on
every machine. The baseline is an instance that polls the store every 5 s.
"""

import asyncio
import collections
import dataclasses
import json
import pathlib
import random
import statistics
import sys
from collections.abc import Callable
from typing import Any

import msgpack

from magnoliaglade import clock as clock_lib
from magnoliaglade import configuration as configuration_lib
from magnoliaglade import membership, peers, standins
from magnoliaglade import store as store_lib
from magnoliaglade.types import InstanceId, ZoneId

INSTANCES = 9
POLL_S = 5.0
CHANGES = 20
# Mean time between changes at the target size: 3,900 a day.
CHANGE_INTERVAL_S = 22.0
# Observation ends here; an instance that never learns counts as this.
LIMIT_S = 60.0
PEER_LATENCY_S = (0.0005, 0.003)
STORE_LATENCY_S = 0.005
LOSS = 0.1
OUTAGE_S = 30.0
STEADY_S = 200.0
# Length prefix, version, sender, incarnation, sequence and reply number.
_FRAME_BYTES = 45

_ANSWERS = pathlib.Path(__file__).parents[1] / "examples/hvalfjordur"


class _Network:
    """Latency, loss and byte counts shared by all instances."""

    def __init__(self, clock: clock_lib.Clock, seed: int) -> None:
        self.clock = clock
        self.random = random.Random(seed)
        self.loss = 0.0
        self.bytes: collections.Counter[str] = collections.Counter()
        self.tasks: set[asyncio.Task[None]] = set()

    def is_lost(self) -> bool:
        """Draws whether a message is lost."""
        return self.random.random() < self.loss

    async def transfer(self, *instances: str, size: int) -> None:
        """Counts a message at both ends and waits for the latency."""
        for instance in instances:
            self.bytes[instance] += size
        await self.clock.sleep(self.random.uniform(*PEER_LATENCY_S))


class _Peers(peers.LocalPeerNetwork):
    """Local peers behind a network with latency and loss."""

    def __init__(
        self, *, hub: peers.LocalHub, instance: InstanceId, network: _Network
    ) -> None:
        super().__init__(hub=hub, instance=instance)
        self.network = network

    async def send(self, peer: InstanceId, value: peers.Message) -> None:
        await self.network.transfer(self.instance, peer, size=_size(value))
        if not self.network.is_lost():
            await super().send(peer, value)

    async def request(
        self, peer: InstanceId, value: peers.Message, *, timeout_s: float
    ) -> Any:
        await self.network.transfer(self.instance, peer, size=_size(value))
        reply = None
        if not self.network.is_lost():
            reply = await super().request(peer, value, timeout_s=timeout_s)
            await self.network.transfer(self.instance, peer, size=_size(reply))
        if reply is None or self.network.is_lost():
            await self.network.clock.sleep(timeout_s)
            raise peers.PeerUnknownError(str(peer))
        return reply

    async def broadcast(self, value: peers.Message) -> None:
        for peer in sorted(self.live_peers):
            task = asyncio.create_task(self.send(peer, value))
            self.network.tasks.add(task)
            task.add_done_callback(self.network.tasks.discard)


class _Store(standins.FaultyStore):
    """Store with latency and loss; counts the bytes of the answers."""

    def __init__(self, *, network: _Network, instance: str, **kw: Any) -> None:
        super().__init__(**kw)
        self.delay_s = STORE_LATENCY_S
        self.network = network
        self.instance = instance

    async def _call(self, name: str, *args: Any, **options: Any) -> Any:
        if self.network.is_lost():
            self.call_counts[name] += 1
            await self.clock.sleep(LIMIT_S)
        result = await super()._call(name, *args, **options)
        values = result if isinstance(result, list) else [result]
        size = sum(len(getattr(v, "value", b"")) for v in values)
        self.network.bytes[self.instance] += size + _FRAME_BYTES
        return result


class _Poller:
    """The baseline: polls the store and knows no peers."""

    def __init__(
        self,
        *,
        configurations: configuration_lib.ConfigurationStore,
        clock: clock_lib.Clock,
        phase_s: float,
    ) -> None:
        self.configurations = configurations
        self.clock = clock
        self.phase_s = phase_s
        self.revision = 0

    async def start(self) -> None:
        """Starts polling at a random phase."""
        self._task = asyncio.create_task(self._poll())

    async def stop(self) -> None:
        """Stops polling."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _poll(self) -> None:
        await self.clock.sleep(self.phase_s)
        while True:
            started_s = self.clock.now()
            try:
                call = self.configurations.current()
                stored = await self.clock.wait_for(call, 1.0)
                if stored is not None:
                    self.revision = stored.configuration.revision
            except (configuration_lib.ConfigurationError, TimeoutError):
                pass  # The next poll follows.
            used_s = self.clock.now() - started_s
            await self.clock.sleep(POLL_S - used_s)


class _Cluster:
    """Nine instances of one kind and an operator."""

    def __init__(self, *, seed: int, is_baseline: bool) -> None:
        self.clock = clock_lib.ManualClock()
        self.random = random.Random(seed)
        self.network = _Network(self.clock, seed + 1)
        self.memory = store_lib.InMemoryStore(clock=self.clock)
        self.hub = peers.LocalHub(clock=self.clock)
        self.names = [InstanceId(f"entry-{n}") for n in range(INSTANCES)]
        self.stores = {n: self._store(n) for n in self.names}
        self.operator = configuration_lib.ConfigurationStore(
            store=self.memory, writer="operator"
        )
        make = self._poller if is_baseline else self._agent
        self.nodes = {n: make(n) for n in self.names}

    async def __aenter__(self) -> "_Cluster":
        answers = configuration_lib.load_answers(_ANSWERS / "answers.yaml")
        await self.operator.accept(configuration_lib.generate(answers))
        starts = [n.start() for n in self.nodes.values()]
        started = asyncio.gather(*starts)
        await self.clock.advance(2 * POLL_S)
        await started
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in self.nodes.values():
            await node.stop()
        for task in list(self.network.tasks):
            task.cancel()

    async def in_force_s(self) -> float:
        """Accepts a change; returns the time until all instances have it."""
        stored = await self.operator.change(
            lambda c: dataclasses.replace(
                c, entry_instances=c.entry_instances % 9 + 1
            )
        )
        revision = stored.configuration.revision
        started_s = self.clock.now()
        while self.clock.now() - started_s < LIMIT_S:
            if all(n.revision >= revision for n in self.nodes.values()):
                break
            await self.clock.advance(0.005)
        return self.clock.now() - started_s

    def _store(self, name: InstanceId) -> _Store:
        return _Store(
            network=self.network,
            instance=name,
            store=self.memory,
            clock=self.clock,
        )

    def _view(self) -> membership.View:
        members = tuple(
            membership.Member(
                instance=n,
                incarnation="1",
                zone=ZoneId("borg-a"),
                peer_address="",
                http_address="",
            )
            for n in self.names
        )
        return membership.View(version=1, members=members)

    def _configurations(
        self, name: InstanceId
    ) -> configuration_lib.ConfigurationStore:
        return configuration_lib.ConfigurationStore(
            store=self.stores[name], writer=name
        )

    def _agent(self, name: InstanceId) -> configuration_lib.ConfigurationAgent:
        return configuration_lib.ConfigurationAgent(
            configurations=self._configurations(name),
            network=_Peers(hub=self.hub, instance=name, network=self.network),
            clock=self.clock,
            view=self._view,
            confirmations=membership.ConfirmationTracker(clock=self.clock),
            intents=configuration_lib.ZoneIntentTable(),
        )

    def _poller(self, name: InstanceId) -> _Poller:
        return _Poller(
            configurations=self._configurations(name),
            clock=self.clock,
            phase_s=self.random.uniform(0, POLL_S),
        )


async def _normal(cluster: _Cluster) -> None:
    """Changes nothing."""


async def _lossy(cluster: _Cluster) -> None:
    cluster.network.loss = LOSS


async def _cut_off(cluster: _Cluster) -> None:
    order = membership.rendezvous_order("configuration", cluster.names)
    # A reader, which is the worse case.
    cluster.stores[order[0]].is_down = True


async def _outage(cluster: _Cluster) -> None:
    for store in cluster.stores.values():
        store.is_down = True
    await cluster.clock.advance(OUTAGE_S)
    for store in cluster.stores.values():
        store.is_down = False


_CASES: dict[str, Callable[[_Cluster], Any]] = {
    "normal": _normal,
    "messages_lost": _lossy,
    "cut_off_from_store": _cut_off,
    "after_store_outage": _outage,
}


async def _in_force(case: str, *, seed: int, is_baseline: bool) -> list[float]:
    times = []
    async with _Cluster(seed=seed, is_baseline=is_baseline) as cluster:
        for _ in range(CHANGES):
            interval_s = cluster.random.expovariate(1 / CHANGE_INTERVAL_S)
            await cluster.clock.advance(interval_s)
            await _CASES[case](cluster)
            times.append(await cluster.in_force_s())
    return times


async def _cost(*, seed: int, is_baseline: bool) -> dict[str, float]:
    """Measures the cost in rest, with changes at the mean interval."""
    async with _Cluster(seed=seed, is_baseline=is_baseline) as cluster:
        for store in cluster.stores.values():
            store.call_counts.clear()
        cluster.network.bytes.clear()
        started_s = cluster.clock.now()
        while cluster.clock.now() - started_s < STEADY_S:
            await cluster.clock.advance(CHANGE_INTERVAL_S)
            await cluster.in_force_s()
        duration_s = cluster.clock.now() - started_s
        calls: collections.Counter[str] = collections.Counter()
        for store in cluster.stores.values():
            calls.update(store.call_counts)
        sizes = [cluster.network.bytes[n] for n in cluster.names]
    return {
        "store_reads": calls["get"] / duration_s,
        "store_watches": calls["watch"] / duration_s,
        "bytes_mean": statistics.mean(sizes) / duration_s,
        "bytes_max": max(sizes) / duration_s,
    }


def run(seed: int) -> list[dict[str, Any]]:
    """Returns the metrics; in-force times are the worst of all changes."""
    rows = []
    for case in _CASES:
        pair = [
            asyncio.run(_in_force(case, seed=seed, is_baseline=b))
            for b in (False, True)
        ]
        name = f"configuration.in_force.{case}"
        rows.append(_row(name, "s, worst", *map(max, pair), seed))
        medians = map(statistics.median, pair)
        rows.append(_row(f"{name}.median", "s", *medians, seed))
    value, baseline = (
        asyncio.run(_cost(seed=seed, is_baseline=b)) for b in (False, True)
    )
    units = {
        "store_reads": "calls/s of all instances",
        "store_watches": "calls/s of all instances",
        "bytes_mean": "bytes/s per instance",
        "bytes_max": "bytes/s of the busiest instance",
    }
    for key, unit in units.items():
        name = f"configuration.{key}"
        rows.append(_row(name, unit, value[key], baseline[key], seed))
    return rows


def _row(
    metric: str, unit: str, value: float, baseline: float, seed: int
) -> dict[str, Any]:
    ratio = value / baseline if baseline else None
    return {
        "metric": metric,
        "unit": unit,
        "value": round(value, 4),
        "baseline": round(baseline, 4),
        "ratio": None if ratio is None else round(ratio, 4),
        "seed": seed,
    }


def _size(value: peers.Message) -> int:
    return len(msgpack.packb(peers.encode_message(value))) + _FRAME_BYTES


if __name__ == "__main__":
    for row in run(int(sys.argv[1]) if len(sys.argv) > 1 else 1):
        print(json.dumps(row))
