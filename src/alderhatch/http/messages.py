"""HTTP requests and responses, independent of h11."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple, TypeAlias

import orjson

from ..clock import Millis
from ..errors import Failure

JSON = "application/json"

HeaderFields: TypeAlias = Sequence[tuple[bytes, bytes]]
"""Header fields in their order, with lower-case names."""


class HttpRequest(NamedTuple):
    """A complete request."""

    method: str
    path: str
    """Path without the query string."""
    query: Mapping[str, str]
    """Parameters of the query string. The last one counts if a name occurs more than once."""
    headers: Mapping[str, str]
    """Header fields with lower-case names."""
    body: bytes
    target: str = ""
    """Path and query string as the client sent them."""
    fields: HeaderFields = ()
    """All header fields, including repeated ones."""
    on_used_connection: bool = False
    """Whether the connection has carried an earlier request."""
    round_trip: Millis = 0.0
    """Round-trip time to the client, as measured by the kernel; 0 if unknown."""
    unread_time: Millis = 0.0
    """How long its first bytes waited at most until this process read them; 0 if unknown."""


class HttpResponse(NamedTuple):
    """A complete response."""

    status: int
    body: bytes
    content_type: str | None = JSON
    """None if ``fields`` contains the content type."""
    headers: tuple[tuple[str, str], ...] = ()
    fields: HeaderFields = ()
    """Further header fields, sent unchanged."""


class HttpLimits(NamedTuple):
    """Limits of a server for its clients."""

    connections: int = 1000
    head_bytes: int = 16_384
    body_bytes: int = 1_048_576
    request_timeout: Millis = 5000.0
    idle_timeout: Millis = 60_000.0


def json_response(status: int, value: object) -> HttpResponse:
    """Return a response whose body is a value in JSON."""
    return HttpResponse(status, orjson.dumps(value))


def failure_response(failure: Failure, **extra: object) -> HttpResponse:
    """Return the response for a failure, as defined in the error catalogue.

    Args:
        failure: The failure to report.
        **extra: Further fields of the body, such as the request ID.
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
