"""HTTP server and client on the event loop, for all HTTP interfaces."""

from magnoliaglade.http._client import (
    HttpClient,
    HttpClientError,
    NoReplyError,
    NotSentError,
    Reply,
    WithheldError,
)
from magnoliaglade.http._ledger import ConnectionLedger
from magnoliaglade.http._limits import (
    KEEP_ALIVE_S,
    ConnectionLimits,
    Rejection,
)
from magnoliaglade.http._server import (
    BodyTooLargeError,
    Handler,
    HttpServer,
    HttpServerError,
    bind,
    json_response,
    msgpack_response,
    new_application,
    read_body,
)

__all__ = [
    "KEEP_ALIVE_S",
    "BodyTooLargeError",
    "ConnectionLedger",
    "ConnectionLimits",
    "Handler",
    "HttpClient",
    "HttpClientError",
    "HttpServer",
    "HttpServerError",
    "NoReplyError",
    "NotSentError",
    "Rejection",
    "Reply",
    "WithheldError",
    "bind",
    "json_response",
    "msgpack_response",
    "new_application",
    "read_body",
]
