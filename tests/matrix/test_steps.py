"""The rows are the call points that the code has."""

import inspect

from magnoliaglade import configuration, daemon, execution, peers, requests
from magnoliaglade.configuration import _messages
from magnoliaglade.execution import _records
from magnoliaglade.instances import worker as worker_lib
from magnoliaglade.requests import _claim_messages
from tests.matrix import claims, jobs, settings, shutdown

# Not called by the owner: see test_throttle_is_not_called.
_UNUSED_CALLS = {"worker:throttle"}
# Calls of the owner that change no job, or that end it without a record.
_QUERIES = {
    "owner:start",
    "owner:abandon",
    "owner:status",
    "owner:dump",
    "owner:may_hold",
}
# These write `record:cancelled` and `record:accepted` alone.
_BY_RECORD = {"owner:cancel", "owner:accept"}
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
        methods = {
            f"owner:{name}"
            for name, _ in inspect.getmembers(
                execution.DomainOwner, inspect.isfunction
            )
            if not name.startswith("_") and name in vars(execution.DomainOwner)
        }
        rows = {s.value for s in jobs.JobStep} | _LAUNCH_POINTS
        points = calls | records | methods - _QUERIES - _BY_RECORD
        assert points - _UNUSED_CALLS == rows

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

    async def test_each_call_of_a_change_is_a_row(self):
        """Guards against a new call of a change without a row."""
        run = settings.Run([])
        await run.change()
        assert run.points == {s.value for s in configuration.ConfigurationStep}

    async def test_each_call_of_a_zone_command_is_a_row(self):
        """Guards against a new call of a zone command without a row.

        The history is a step of each change and has its row there.
        """
        run = settings.Run([])
        await run.zone()
        other = {s.value for s in configuration.ConfigurationStep}
        history = {"remove:config/history", "return:config/history"}
        rows = {s.value for s in configuration.ZoneStep}
        assert run.points - other - history == rows

    def test_each_configuration_message_is_a_row(self):
        """Guards against a new message of configuration without a row."""
        steps = (*configuration.ConfigurationStep, *configuration.ZoneStep)
        rows = {f"peer:{s.value.split(':')[1]}" for s in steps}
        assert messages_in(_messages) - {"peer:ZoneIntentAck"} <= rows

    async def test_each_call_of_a_stop_is_a_row(self):
        """Guards against a new call of a stop without a row.

        The claim's outcome is written by its owner and has its row there.
        """
        run = shutdown.Run([])
        await run.run()
        rows = {s.value for s in daemon.ShutdownStep}
        requests_too = {s.value for s in requests.RequestStep}
        assert run.points - (requests_too - rows) == rows
