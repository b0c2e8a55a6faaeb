"""Sizes and costs of the messages between entry instances."""

import msgpack

from benchmarks import _job_tables, _processes, _slopes
from magnoliaglade import clock as clock_lib
from magnoliaglade import (
    configuration,
    execution,
    membership,
    peers,
)
from magnoliaglade.configuration import _messages
from magnoliaglade.peers import _frames
from magnoliaglade.requests import _claim_messages
from magnoliaglade.types import AccountId, Epoch, InstanceId, RequestId
from magnoliaglade.upstreams import _slots

_DOMAINS = (1, 4, 13)
_ACTIVE_JOBS = (100, 400, 1600)
_ACCOUNTS = (4, 16, 64)
_ZONES = (3, 6, 13)
ANSWER_BYTES = 1024


def heartbeats() -> list[_slopes.Series]:
    """Returns size and cost of a heartbeat, and of measuring a load."""
    sizes, times = [], []
    by_account = {AccountId(f"account-{n:02}"): n for n in range(64)}
    load = execution.DomainLoad(
        used=300, queued=20, tasks=6770, by_account=by_account
    )
    for count in _DOMAINS:
        domains = [f"jobs.region-{n}-a" for n in range(count)]
        board = _board(dict.fromkeys(domains, load))
        sizes.append((count, _frame_bytes(board.make())))

        def work(board: membership.HeartbeatExchange = board) -> None:
            for _ in range(200):
                _frame_bytes(board.make())

        times.append((count, _slopes.median_cpu_s(work) / 200))
    measured = [
        (size, _load_s(_job_tables.held_table(size, is_ended=False)[0]))
        for size in _ACTIVE_JOBS
    ]
    per = "owned domain"
    return [
        _slopes.series("heartbeat.bytes", "bytes", per, sizes),
        _slopes.series("heartbeat.cpu", "CPU-s", per, times),
        _slopes.series("heartbeat.load_cpu", "CPU-s", "active job", measured),
    ]


def _load_s(table: execution.JobTable) -> float:
    def work() -> None:
        for _ in range(20):
            execution.measure_load(table)

    return _slopes.median_cpu_s(work) / 20


def _board(
    loads: dict[str, execution.DomainLoad],
) -> membership.HeartbeatExchange:
    hub = peers.LocalHub(clock=clock_lib.SystemClock())
    network = peers.LocalPeerNetwork(hub=hub, instance=InstanceId("entry-0"))
    board = membership.HeartbeatExchange(network=network)
    directory = membership.OwnerDirectory(network=network, exchange=board)
    directory.set_local_source(lambda: dict.fromkeys(loads, Epoch(1)))
    execution.LoadBoard(board=board, local=lambda: loads)
    return board


def _frame_bytes(value: peers.Message) -> int:
    name, payload = peers.encode_message(value)
    frame = _frames.Frame(
        type=name,
        sender=InstanceId("entry-0"),
        incarnation="0123456789ab",
        sequence=100_000,
        payload=payload,
    )
    return len(_frames.encode_frame(frame))


def configurations() -> list[_slopes.Series]:
    """Returns size of a document and cost of decoding it."""
    zones = tuple(f"region-{n % 6}-{n}" for n in range(max(_ZONES)))
    accounts = [
        (n, _document_bytes(_make_configuration(n, zones[:3])))
        for n in _ACCOUNTS
    ]
    by_zone = [
        (n, _document_bytes(_make_configuration(4, zones[:n]))) for n in _ZONES
    ]
    decoding = [
        (n, _decode_s(_make_configuration(n, zones))) for n in _ACCOUNTS
    ]
    return [
        _slopes.series(
            "configuration.bytes.account", "bytes", "account", accounts
        ),
        _slopes.series("configuration.bytes.zone", "bytes", "zone", by_zone),
        _slopes.series(
            "configuration.decode_cpu", "CPU-s", "account", decoding
        ),
    ]


def _make_configuration(
    accounts: int, zones: tuple[str, ...]
) -> configuration.Configuration:
    return _processes.make_configuration(1, accounts=accounts, zones=zones)


def _document_bytes(document: configuration.Configuration) -> int:
    return len(msgpack.packb(configuration.encode(document)))


def _decode_s(document: configuration.Configuration) -> float:
    data = msgpack.packb(configuration.encode(document))

    def work() -> None:
        for _ in range(20):
            configuration.decode(
                configuration.Configuration,
                msgpack.unpackb(data),
                source="benchmark",
            )

    return _slopes.median_cpu_s(work) / 20


def message_sizes() -> list[_slopes.Series]:
    """Returns the bytes of one exchange of each kind at 1, 2 and 3 of them."""
    exchanges = {
        "slots": _slot_messages(),
        "configuration": _configuration_messages(),
        "claim": _claim_exchange(),
    }
    return [
        _slopes.series(
            f"message.{name}",
            "bytes",
            "exchange",
            [(n, n * sum(map(_frame_bytes, values))) for n in (1, 2, 3)],
        )
        for name, values in exchanges.items()
    ]


def _slot_messages() -> list[peers.Message]:
    common = {
        "upstream": "executor-region-0-a-00",
        "count": 1,
        "view": 123_456,
        "incarnation": "0123456789ab",
        "sequence": 100_000,
    }
    return [
        _slots.SlotRequest(**common, held=1),
        _slots.SlotGrant(count=1, for_s=3.0),
        _slots.SlotReturn(**common),
    ]


def _configuration_messages() -> list[peers.Message]:
    return [
        _messages.ConfigRequest(revision=100_000),
        _messages.ConfigUpdate(
            revision=100_000,
            writer="entry-0/0123456789ab",
            sequence=1000,
            age_s=0.5,
        ),
    ]


def _claim_exchange() -> list[peers.Message]:
    return [
        _claim_messages.ClaimRequest(
            partition=1,
            account=AccountId("a0"),
            key_digest=bytes(32),
            body_digest=bytes(32),
            request_id=RequestId("0" * 32),
            incarnation="0123456789ab",
            deadline_s=30.0,
        ),
        _claim_messages.ClaimReply(state="granted"),
        _claim_messages.ClaimOutcome(
            partition=1,
            key_digest=bytes(32),
            request_id=RequestId("0" * 32),
            outcome="ran",
            answer=bytes(ANSWER_BYTES),
        ),
    ]
