"""Tests of the HTTP answers to callers."""

import blacksheep
import pytest

from magnoliaglade import clock as clock_lib
from magnoliaglade import configuration, requests
from magnoliaglade.daemon import _caller_api
from magnoliaglade.types import RequestId

Cause = requests.NotRunCause


async def no_body():
    yield b""


class RefusingGateway:
    """Refuses every request for one cause."""

    def __init__(self, cause):
        self.cause = cause

    async def handle(self, request):
        return requests.NotRun(
            request_id=RequestId("r1"), reason="because", cause=self.cause
        )


class TestCallerApi:
    @pytest.mark.parametrize(
        ("cause", "status"),
        [
            (Cause.UNAUTHENTICATED, 401),
            (Cause.INVALID, 400),
            (Cause.TOO_LARGE, 413),
            (Cause.KEY_CONFLICT, 409),
            (Cause.OVERLOADED, 429),
            (Cause.DEADLINE, 503),
            (Cause.UNAVAILABLE, 503),
            (Cause.STOPPING, 503),
        ],
    )
    async def test_status_tells_the_cause(self, cause, status):
        """Guards against callers that repeat what can never succeed."""
        api = _caller_api.CallerApi(
            clock=clock_lib.ManualClock(),
            gateway=RefusingGateway(cause),
            router=None,
            configured=lambda: configuration.Configuration(revision=1),
            is_accepting=lambda: True,
        )
        request = blacksheep.Request("POST", b"/v1/services/s/k", [])
        request.route_values = {"service": "s", "kind": "k"}
        request.content = blacksheep.StreamedContent(b"text/plain", no_body)
        path = "/v1/services/{service}/{kind}"
        response = await api.routes()[("POST", path)](request)
        assert response.status == status
        assert response.get_first_header(b"x-outcome") == b"not-run"
        assert (await response.json())["cause"] == cause.value
