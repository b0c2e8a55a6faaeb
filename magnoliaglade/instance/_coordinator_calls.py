"""Calls between the instances and the one that is the coordinator.

The coordinator answers the state of a job from memory, also if the asking
instance cannot reach the store. It also takes announcements of new entries of
the intake, which it otherwise learns from a watch on the store.
"""

from collections.abc import Callable

import blacksheep
import msgpack

from magnoliaglade import exceptions, http, jobs, observability, store
from magnoliaglade.jobs import keys
from magnoliaglade.types import AccountId, JobId

# Timeout of a call to the coordinator, in seconds. The coordinator is in the
# same region and answers from memory.
CALL_TIMEOUT_S = 0.3
# Upper bound of the body of an announcement, in bytes; the store limits values
# to 1 MiB.
MAX_ANNOUNCEMENT_BYTES = 2 * 1024 * 1024

_SUMMARY_PATH = "/jobs"
_ANNOUNCEMENT_PATH = "/intake"


class MalformedAnnouncementError(exceptions.MagnoliagladeError):
    """The body of an announcement cannot be decoded."""


FindSummary = Callable[[JobId], jobs.JobSummary | None]
AcceptEntry = Callable[[store.Entry], bool]


def make_routes(
    *, find_summary: FindSummary, accept_entry: AcceptEntry
) -> dict[tuple[str, str], http.Handler]:
    """Returns the routes that an instance serves to the others.

    Args:
        find_summary: returns the summary of a job if this instance is the
            coordinator and has one.
        accept_entry: applies a stored entry of the intake; returns False if
            this instance is not the coordinator.
    """

    async def get_summary(request: blacksheep.Request) -> blacksheep.Response:
        route_values = request.route_values or {}
        summary = find_summary(JobId(route_values["job"]))
        if summary is None:
            return blacksheep.Response(404)
        return http.msgpack_response(
            200, {"state": summary.state.value, "account": summary.account}
        )

    async def accept(request: blacksheep.Request) -> blacksheep.Response:
        body = await http.read_body(request, max_bytes=MAX_ANNOUNCEMENT_BYTES)
        try:
            entry = _decode_entry(body)
        except MalformedAnnouncementError as error:
            observability.log_event(
                "announcement", outcome="malformed", reason=str(error)
            )
            return blacksheep.Response(400)
        return blacksheep.Response(200 if accept_entry(entry) else 404)

    return {
        ("GET", f"{_SUMMARY_PATH}/{{job}}"): get_summary,
        ("POST", _ANNOUNCEMENT_PATH): accept,
    }


class CoordinatorClient:
    """Calls the instance that is the coordinator.

    Attributes:
        address: returns `host:port` of that instance, or "" if none is known.
    """

    def __init__(self, *, address: Callable[[], str]) -> None:
        self.address = address
        self._client: http.HttpClient | None = None

    async def find_summary(self, job: JobId) -> jobs.JobSummary | None:
        """Returns the coordinator's summary of a job, None if unavailable."""
        try:
            client = await self._connect()
            reply = await client.call("GET", f"{_SUMMARY_PATH}/{job}")
            if reply.status != 200:
                return None
            fields = reply.unpack()
            return jobs.JobSummary(
                state=jobs.JobState(fields["state"]),
                account=AccountId(fields["account"]),
            )
        except (exceptions.MagnoliagladeError, KeyError, ValueError) as error:
            observability.log_event(
                "summary", outcome="no answer", job=job, reason=str(error)
            )
            return None

    async def announce(self, entry: store.Entry) -> None:
        """Tells the coordinator about a stored entry of the intake.

        A failure is logged only: the coordinator's watch finds the entry too.
        """
        try:
            client = await self._connect()
            reply = await client.call(
                "POST", _ANNOUNCEMENT_PATH, body=_encode_entry(entry)
            )
        except exceptions.MagnoliagladeError as error:
            observability.log_event(
                "announcement",
                outcome="no answer",
                key=entry.key,
                reason=str(error),
            )
            return
        if reply.status != 200:
            observability.log_event(
                "announcement", outcome=reply.status, key=entry.key
            )

    async def stop(self) -> None:
        """Closes the connections."""
        if self._client is not None:
            await self._client.stop()

    async def _connect(self) -> http.HttpClient:
        address = self.address()
        if not address:
            raise http.NotSentError("no coordinator is known")
        url = f"http://{address}"
        if self._client is not None and self._client.url == url:
            return self._client
        former = self._client
        client = http.HttpClient(url=url, timeout_s=CALL_TIMEOUT_S)
        self._client = client
        if former is not None:
            await former.stop()
        return client


def _encode_entry(entry: store.Entry) -> bytes:
    return msgpack.packb([entry.key, entry.value, entry.revision])


def _decode_entry(body: bytes) -> store.Entry:
    """Returns the entry of an announcement.

    Raises:
        MalformedAnnouncementError: the body is not an announcement.
    """
    try:
        key, value, revision = msgpack.unpackb(body)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise MalformedAnnouncementError(repr(error)) from error
    is_valid = (
        isinstance(key, str)
        and key.startswith(keys.INTAKE_PREFIX)
        and isinstance(value, bytes)
        and isinstance(revision, int)
        and revision > 0
    )
    if not is_valid:
        raise MalformedAnnouncementError(f"fields of {key!r}")
    return store.Entry(key=key, value=value, revision=revision)
