"""HTTP interface for the platform's balancer."""

from collections.abc import Callable, Mapping

import blacksheep

from magnoliaglade import http
from magnoliaglade.daemon import _calls


def routes(
    is_ready: Callable[[], bool],
) -> Mapping[tuple[str, str], _calls.Handler]:
    """Returns the handlers of `/healthz` and `/readyz`."""

    async def health(request: blacksheep.Request) -> blacksheep.Response:
        return http.json_response(200, {"alive": True})

    async def ready(request: blacksheep.Request) -> blacksheep.Response:
        return http.json_response(
            200 if is_ready() else 503, {"ready": is_ready()}
        )

    return {("GET", "/healthz"): health, ("GET", "/readyz"): ready}
