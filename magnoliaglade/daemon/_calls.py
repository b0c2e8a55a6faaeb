"""Common parts of the HTTP interfaces: bodies, keys, answers."""

import hashlib
import hmac
import json
from typing import Any

import blacksheep

from magnoliaglade import configuration, http
from magnoliaglade.daemon import _errors

MAX_JSON_BYTES = 1_048_576
Handler = http.Handler


def answering(handler: Handler) -> Handler:
    """Returns a handler that turns errors into answers with a reason."""

    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        try:
            return await handler(request)
        except _errors.CallRefusedError as error:
            return refusal(error.status, str(error))
        except http.BodyTooLargeError as error:
            return refusal(413, str(error))
        except configuration.ConflictingChangeError as error:
            return refusal(409, str(error))
        except configuration.InvalidConfigurationError as error:
            return refusal(400, str(error))
        except configuration.ConfigurationUnavailableError as error:
            return refusal(503, str(error))
        except configuration.ConfigurationOutcomeUnknownError as error:
            answer = {"outcome": "unknown", "reason": str(error)}
            return http.json_response(504, answer)

    return handle


def refusal(status: int, reason: str) -> blacksheep.Response:
    """Returns an answer for a call that had no effect."""
    return http.json_response(status, {"outcome": "not run", "reason": reason})


async def read_json(request: blacksheep.Request) -> dict[str, Any]:
    """Reads a JSON object.

    Raises:
        CallRefusedError: the body is no JSON object.
        BodyTooLargeError: the body is too large.
    """
    body = await http.read_body(request, max_bytes=MAX_JSON_BYTES)
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _errors.CallRefusedError(
            f"body: found no JSON ({error})", status=400
        ) from error
    if not isinstance(fields, dict):
        raise _errors.CallRefusedError("body: allowed is an object", status=400)
    return fields


def query_int(request: blacksheep.Request, name: str) -> int | None:
    """Returns a query parameter as a number, or None without it.

    Raises:
        CallRefusedError: the value is no number.
    """
    values = request.query.get(name)
    if not values:
        return None
    try:
        return int(values[0])
    except ValueError as error:
        raise _errors.CallRefusedError(
            f"{name}: found {values[0]!r}, allowed is a number", status=400
        ) from error


def header(request: blacksheep.Request, name: bytes) -> str:
    """Returns a header, or "" without it."""
    value = request.get_first_header(name)
    return value.decode("latin-1") if value else ""


class OperatorKey:
    """Checks the operators' key in constant time."""

    def __init__(self, *, key: str) -> None:
        self._digest = hashlib.sha256(key.encode()).digest()
        self._is_set = bool(key)

    def check(self, request: blacksheep.Request) -> None:
        """Returns if the call carries the operators' key.

        Raises:
            CallRefusedError: it does not, or no key is configured.
        """
        given = header(request, b"authorization").removeprefix("Bearer ")
        digest = hashlib.sha256(given.encode(errors="replace")).digest()
        if not (hmac.compare_digest(digest, self._digest) and self._is_set):
            raise _errors.CallRefusedError("the key is not valid", status=401)
