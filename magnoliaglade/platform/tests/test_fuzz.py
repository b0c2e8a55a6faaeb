"""Fuzz tests: decoders raise only their own errors on arbitrary messages."""

import base64
import contextlib
import copy
import random

import hypothesis
import orjson
import pytest
from hypothesis import strategies

from magnoliaglade import fleet, store
from magnoliaglade.instance import InstanceSettingsError
from magnoliaglade.jobs import (
    JobProgress,
    RecordError,
    decode_job,
    decode_progress,
    encode_job,
    encode_progress,
)
from magnoliaglade.platform import (
    PlatformWorker,
    _boot,
    _store,
    _submission,
    _worker,
    decode_operator_state,
    decode_workers,
)
from magnoliaglade.platform._fields import MalformedError
from magnoliaglade.types import WorkerId

# Derandomized: the examples follow from the source text of each test, so that
# every run of the tests has the same result.
fuzz = hypothesis.settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

LEAVES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(min_value=-(2**63), max_value=2**64 - 1),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(max_size=12),
    strategies.sampled_from(["a:b", "1.2.3.4:99999", "done", "Infinity"]),
)
JSON = strategies.recursive(
    LEAVES,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3),
    ),
    max_leaves=6,
)

WORKER = {
    "service": "render",
    "address": "10.0.0.9:80",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 64000, "memMb": 1000, "gpu": 8},
    "labels": ["a", "r1-3"],
    "born": 17,
    "drainRemainingMs": 10,
}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "q",
            "host": "h",
            "prefix": "/q/",
            "service": "render",
            "priority": 0,
            "maxAttempts": 3,
            "stretch": 3.0,
            "sloMs": 1000,
        }
    ],
    "services": [{"name": "render"}],
    "tenants": [{"name": "t", "apiKeys": ["k"], "guaranteed": {"gpu": 8}}],
    "limits": {"maxBodyBytes": 4096},
}
SUBMISSION = {
    "spec": "x",
    "steps": [
        {"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 900},
        {"count": 1, "after": [0], "gang": True, "dataRack": "r1"},
    ],
    "repetitions": 2,
    "startMs": 1000,
    "intervalMs": 10,
}
REPORT = {
    "clockMs": 5,
    "born": 7,
    "running": [["0123456789abcdef.0.0.0", 1, "", 41, 0]],
    "ended": [[1, "0123456789abcdef.0.0.1", 1, "done", ""]],
}
ITEM = {
    "key": "k",
    "value": base64.b64encode(b"v").decode(),
    "revision": 4,
    "created": 3,
    "lease": 0,
}
SETTINGS = {
    "node": "n",
    "zone": "a",
    "listen": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2"},
    "internalPorts": [7000, 7015],
    "platform": {"address": "10.0.0.2:3"},
    "bounds": {"graceS": 6, "drainMs": 2000},
    "limits": {"cpuShare": 0.5, "cores": 2},
}


def _paths(value, prefix=()):
    """Yields the path of each part of a decoded document."""
    yield prefix
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, part in items:
        yield from _paths(part, (*prefix, key))


def _replace_part(document, path, value):
    """Returns the document with one part replaced."""
    if not path:
        return value
    corrupted = copy.deepcopy(document)
    parent = corrupted
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return corrupted


def damaged(document):
    """Returns a strategy of documents with one part replaced."""
    return strategies.builds(
        _replace_part,
        strategies.just(document),
        strategies.sampled_from(list(_paths(document))),
        JSON,
    )


def entry(document, key):
    return store.Entry(key=key, value=orjson.dumps(document), revision=1)


class TestDocuments:
    @fuzz
    @hypothesis.given(document=damaged(WORKER))
    def test_worker_entries(self, document):
        # Guards against a list of workers that cannot be decoded because of one
        # malformed entry of another writer.
        found = decode_workers(
            [entry(document, "servers/odd"), entry(WORKER, "servers/i-1")]
        )
        assert "i-1" in [w.worker for w in found]

    @fuzz
    @hypothesis.given(document=damaged(CONFIGURATION))
    def test_configurations(self, document):
        decode_operator_state({"op/config": entry(document, "op/config")})

    @fuzz
    @hypothesis.given(data=strategies.binary(max_size=40))
    def test_bytes(self, data):
        raw = store.Entry(key="servers/odd", value=data, revision=1)
        decode_workers([raw])
        decode_operator_state({"op/config": raw})
        with contextlib.suppress(MalformedError):
            _submission.decode_submission(data)

    @fuzz
    @hypothesis.given(document=damaged(SUBMISSION))
    def test_submissions(self, document):
        with contextlib.suppress(MalformedError):
            _submission.decode_submission(orjson.dumps(document))

    @fuzz
    @hypothesis.given(document=damaged(SETTINGS))
    def test_settings(self, document, tmp_path_factory):
        path = tmp_path_factory.mktemp("settings") / "boot.json"
        path.write_bytes(orjson.dumps(document))
        with contextlib.suppress(InstanceSettingsError):
            _boot.load_settings(path)


class TestReplies:
    worker = PlatformWorker(worker=WorkerId("w"), address="10.0.0.9:80")

    @fuzz
    @hypothesis.given(document=damaged(REPORT))
    def test_reports(self, document):
        with contextlib.suppress(fleet.FleetError):
            body = _worker._parse_body(orjson.dumps(document))
            self.worker._decode_report(body)

    @fuzz
    @hypothesis.given(
        document=damaged({"clockMs": 5, "reason": "late"}),
        status=strategies.integers(min_value=100, max_value=599),
    )
    def test_replies_to_orders(self, document, status):
        with contextlib.suppress(fleet.FleetError):
            body = _worker._parse_body(orjson.dumps(document))
            _worker._decode_order_reply(status, body)

    @fuzz
    @hypothesis.given(
        page=damaged({"items": [ITEM], "storeRevision": 9, "truncated": False}),
        event=damaged(ITEM),
        conflict=damaged({"items": [ITEM]}),
    )
    def test_store_answers(self, page, event, conflict):
        for decoder, reply in (
            (_store._decode_page, page),
            (_store._decode_entry, event),
            (_store._decode_event, event),
            (_store._decode_conflict, (conflict, {"k": 1})),
        ):
            with contextlib.suppress(store.StoreError):
                _store._apply_decoder(decoder, reply)


class TestRecords:
    @pytest.mark.parametrize("seed", range(300))
    def test_corrupted_records(self, seed):
        job = _job()
        rng = random.Random(seed)
        for data, decode in (
            (encode_job(job), decode_job),
            (
                encode_progress(JobProgress(job=job)),
                lambda d: decode_progress(d, job=job),
            ),
        ):
            corrupted_data = bytearray(data)
            for _ in range(rng.randint(1, 3)):
                corrupted_data[rng.randrange(len(corrupted_data))] = (
                    rng.randrange(256)
                )
            with contextlib.suppress(RecordError):
                decode(bytes(corrupted_data))


def _job():
    from magnoliaglade.coordinator.tests import harness

    return harness.make_job("a", harness.make_step(count=2))
