"""HTTP server and client on the event loop, for all HTTP interfaces."""

from magnoliaglade.http._client import (
    HttpClient,
    HttpClientError,
    NoReplyError,
    NotSentError,
    Reply,
    WithheldError,
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
    "BodyTooLargeError",
    "Handler",
    "HttpClient",
    "HttpClientError",
    "HttpServer",
    "HttpServerError",
    "NoReplyError",
    "NotSentError",
    "Reply",
    "WithheldError",
    "bind",
    "json_response",
    "msgpack_response",
    "new_application",
    "read_body",
]
