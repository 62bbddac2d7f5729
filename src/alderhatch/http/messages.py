"""What an HTTP request and its response are to the code above h11."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple, TypeAlias

import orjson

from ..clock import Millis
from ..errors import Failure

JSON = "application/json"

HeaderFields: TypeAlias = Sequence[tuple[bytes, bytes]]
"""Header fields in their order; names are in lower case."""


class HttpRequest(NamedTuple):
    """One whole request."""

    method: str
    path: str
    """The path without the query string."""
    query: Mapping[str, str]
    """The parameters of the query string; the last of several with one name counts."""
    headers: Mapping[str, str]
    """Header fields with lower-case names."""
    body: bytes
    target: str = ""
    """Path and query string as the client sent them."""
    fields: HeaderFields = ()
    """All header fields, also those that came more than once."""
    on_used_connection: bool = False
    """Whether the connection has carried an earlier request."""
    round_trip: Millis = 0.0
    """How long the way to the client and back takes, as the kernel measured it; 0 if unknown."""


class HttpResponse(NamedTuple):
    """One whole response."""

    status: int
    body: bytes
    content_type: str | None = JSON
    """None if ``fields`` says what the body is."""
    headers: tuple[tuple[str, str], ...] = ()
    fields: HeaderFields = ()
    """Further header fields, passed on as they are."""


class HttpLimits(NamedTuple):
    """What a server takes from one client."""

    connections: int = 1000
    head_bytes: int = 16_384
    body_bytes: int = 1_048_576
    request_timeout: Millis = 5000.0
    idle_timeout: Millis = 60_000.0


def json_response(status: int, value: object) -> HttpResponse:
    """Return a response with a value as JSON."""
    return HttpResponse(status, orjson.dumps(value))


def failure_response(failure: Failure, **extra: object) -> HttpResponse:
    """Return the response that the table of errors has for a failure.

    Args:
        failure: What failed.
        **extra: Further fields of the body, such as the request id.
    """
    answer = failure.answer
    body: dict[str, object] = {
        "error": failure.kind,
        "message": failure.message,
        "ran": answer.ran,
        "resend": answer.resend,
    }
    if failure.field is not None:
        body["field"] = failure.field
    headers: tuple[tuple[str, str], ...] = ()
    if failure.retry_after_ms is not None:
        body["retry_after_ms"] = failure.retry_after_ms
        seconds = max(1, int(failure.retry_after_ms + 999) // 1000)
        headers = (("Retry-After", str(seconds)),)
    return HttpResponse(answer.status, orjson.dumps(body | extra), JSON, headers)
