"""The rows are the call points that the code has."""

import inspect

from magnoliaglade import peers, requests
from magnoliaglade.execution import _records
from magnoliaglade.platform import worker as worker_lib
from magnoliaglade.requests import _claim_messages
from tests.matrix import claims, jobs

# Not called by the owner: see test_throttle_is_not_called.
_UNUSED_CALLS = {"worker:throttle"}
# Calls of LaunchStep, which the launcher itself enumerates. A snapshot needs
# hundreds of records and is tested in the packages.
_LAUNCH_POINTS = {
    "worker:reserve",
    "worker:commit",
    "record:decided",
    "record:snapshot",
}


def messages_in(module):
    return {
        f"peer:{cls.__name__}"
        for _, cls in inspect.getmembers(module, inspect.isclass)
        if issubclass(cls, peers.Message) and cls.__module__ == module.__name__
    }


class TestSteps:
    def test_each_record_and_worker_call_is_a_row(self):
        """Guards against a new step of a job without a row."""
        calls = {
            f"worker:{name}"
            for name, _ in inspect.getmembers(
                worker_lib.WorkerClient, inspect.isfunction
            )
            if not name.startswith("_")
        }
        records = {f"record:{kind}" for kind in _records._KINDS}
        rows = {s.value for s in jobs.JobStep} | _LAUNCH_POINTS
        assert (calls | records) - _UNUSED_CALLS == rows

    async def test_throttle_is_not_called(self):
        """Guards against a job call point that the rows leave out."""
        run = jobs.Run([])
        await run.run()
        assert not run.points & _UNUSED_CALLS

    def test_each_claim_message_is_a_row(self):
        """Guards against a new message of a claim without a row."""
        replies = {"peer:ClaimReply", "peer:ClaimAck"}
        rows = {
            s.value for s in requests.RequestStep if s.value.startswith("peer:")
        }
        assert messages_in(_claim_messages) - replies == rows

    async def test_each_call_of_a_request_is_a_row(self):
        """Guards against a new call of a request without a row."""
        run = claims.Run([])
        await run.run()
        assert run.points == {s.value for s in requests.RequestStep}
