"""Tests of the responses to submissions."""

import dataclasses
import json

import blacksheep
import pytest

from magnoliaglade import gateway, platform, routing
from magnoliaglade.gateway import CallOutcome
from magnoliaglade.types import QueueName, ServiceName

QUEUE = routing.Queue(
    name=QueueName("proofs"),
    host="h",
    prefix="/p/",
    service=ServiceName("render"),
    priority=1,
    max_attempts=2,
    stretch=2.0,
    objective_s=1.0,
    is_public=True,
)
CONFIGURATION = routing.Configuration(
    version=1,
    queues=(QUEUE,),
    services=frozenset({QUEUE.service}),
    accounts={},
    max_body_bytes=0,
    accounts_by_digest={},
)


@dataclasses.dataclass
class _Gateway:
    outcome: CallOutcome
    has_fresh_configuration: bool = True

    async def submit(self, **_):
        return gateway.SubmissionResult(outcome=self.outcome, retry_after_s=7)


@dataclasses.dataclass
class _Watcher:
    configuration: routing.Configuration = CONFIGURATION


class TestRetryAfter:
    # Guards against a refusal that does not tell when to come back.

    @pytest.mark.parametrize(
        ("outcome", "status", "after"),
        [
            (CallOutcome.OVERLOADED, 503, b"7"),
            (CallOutcome.REFUSED, 503, b"7"),
            (CallOutcome.ACCEPTED, 200, None),
            (CallOutcome.UNKNOWN, 504, None),
        ],
    )
    async def test_refused_submission_has_a_return_time(
        self, outcome, status, after
    ):
        api = platform.JobApi(
            gateway=_Gateway(outcome),
            configuration_watcher=_Watcher(),
            is_ready=lambda: True,
            is_stopping=lambda: False,
        )

        async def provide():
            yield json.dumps({"spec": "x", "steps": [{"count": 1}]}).encode()

        request = blacksheep.Request(
            "POST", b"/p/0123456789abcdef", [(b"host", b"h")]
        ).with_content(blacksheep.StreamedContent(b"application/json", provide))
        response = await api._handle(request)
        assert response.status == status
        assert response.get_first_header(b"retry-after") == after
