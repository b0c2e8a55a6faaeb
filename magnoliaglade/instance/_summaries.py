"""Queries the coordinator for the state of a job.

Used while the store does not reply: the coordinator still receives reports of
ended jobs from the workers, and callers should get these states.
"""

from collections.abc import Callable

import blacksheep

from magnoliaglade import exceptions, http, jobs, observability
from magnoliaglade.types import AccountId, JobId

# Timeout of a query to the coordinator, in seconds. The coordinator is in the
# same region and answers from memory.
SUMMARY_TIMEOUT_S = 0.3

_SUMMARY_PATH = "/jobs"

FindSummary = Callable[[JobId], jobs.JobSummary | None]


def make_route(
    find: FindSummary,
) -> dict[tuple[str, str], http.Handler]:
    """Returns the route that serves job summaries.

    Args:
        find: returns the summary of a job if this instance is the coordinator
            and has one.
    """

    async def get_summary(request: blacksheep.Request) -> blacksheep.Response:
        route_values = request.route_values or {}
        summary = find(JobId(route_values["job"]))
        if summary is None:
            return blacksheep.Response(404)
        return http.msgpack_response(
            200, {"state": summary.state.value, "account": summary.account}
        )

    return {("GET", f"{_SUMMARY_PATH}/{{job}}"): get_summary}


class SummaryClient:
    """Queries the instance that is the coordinator.

    Attributes:
        address: returns `host:port` of that instance, or "" if none is known.
    """

    def __init__(self, *, address: Callable[[], str]) -> None:
        self.address = address
        self._client: http.HttpClient | None = None

    async def find(self, job: JobId) -> jobs.JobSummary | None:
        """Returns the coordinator's summary of a job, None if unavailable."""
        try:
            reply = await self._connect().call("GET", f"{_SUMMARY_PATH}/{job}")
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

    async def stop(self) -> None:
        """Closes the connections."""
        if self._client is not None:
            await self._client.stop()

    def _connect(self) -> http.HttpClient:
        address = self.address()
        if not address:
            raise http.NotSentError("no coordinator is known")
        url = f"http://{address}"
        if self._client is None or self._client.url != url:
            self._client = http.HttpClient(url=url, timeout_s=SUMMARY_TIMEOUT_S)
        return self._client
