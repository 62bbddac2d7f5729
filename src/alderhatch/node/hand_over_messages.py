"""Messages between a host that hands a request over and the host that answers it."""

from __future__ import annotations

from typing import Any, NamedTuple

from ..clock import Millis
from ..errors import ErrorKind
from ..http.messages import HeaderFields, HttpRequest
from ..http.server import parse_target

HAND_OVER_ROLE = "hand_over"
MAX_HANDED_BYTES = 3 * 1024 * 1024
"""Largest body sent over a link; leaves room in the message for the header fields."""
MAX_IN_FLIGHT = 256
"""Most unanswered requests on one link; further ones are refused."""
ALIVE_INTERVAL: Millis = 200.0
"""Interval of ``Alive`` messages from a host that has requests in progress for another host."""


class Field(NamedTuple):
    """One header field."""

    name: bytes
    value: bytes


class HandedRequest(NamedTuple):
    """A caller's request as it was received."""

    number: int
    """Identifies the request on its link; never reused there."""
    method: str
    target: str
    fields: list[Field]
    body: bytes
    time_left: Millis | None
    """How long the caller still waits; None if it set no limit."""
    on_used_connection: bool
    round_trip: Millis
    """Round-trip time to the caller."""
    version: int
    """Newest configuration version in use at the sender or at a host that answered for it."""


class HandedCancel(NamedTuple):
    """Cancels a request: nobody waits for its answer."""

    number: int


class HandedAnswer(NamedTuple):
    """The complete response for the caller."""

    number: int
    status: int
    content_type: str | None
    fields: list[Field]
    body: bytes
    version: int
    """Configuration version that served the request."""


class HandedRefusal(NamedTuple):
    """Why there is no response; ``kind`` determines whether the request may have run."""

    number: int
    kind: ErrorKind
    message: str
    field: str | None
    retry_after: Millis | None


class Alive(NamedTuple):
    """Sent while the host has requests in progress for the other host."""


HAND_OVER_MESSAGE_TYPES: tuple[type[Any], ...] = (
    HandedRequest,
    HandedCancel,
    HandedAnswer,
    HandedRefusal,
    Alive,
)


def fits_hand_over(req: HttpRequest) -> bool:
    """Return whether a request is small enough to be handed over."""
    return len(req.body) <= MAX_HANDED_BYTES


def to_http(method: str, target: str, fields: list[Field], body: bytes) -> HttpRequest:
    """Return the HTTP request of a message."""
    path, query = parse_target(target)
    pairs = [(header.name, header.value) for header in fields]
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in pairs}
    return HttpRequest(method, path, query, headers, body, target, pairs)


def to_fields(fields: HeaderFields) -> list[Field]:
    """Return header fields in the form used in messages."""
    return [Field(name, value) for name, value in fields]
