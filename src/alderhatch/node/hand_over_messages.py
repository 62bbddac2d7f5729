"""What a host that stands by and a host that serves callers say to each other."""

from __future__ import annotations

from typing import Any, NamedTuple

from ..clock import Millis
from ..errors import ErrorKind
from ..http.messages import HeaderFields, HttpRequest
from ..http.server import parse_target

HAND_OVER_ROLE = "hand_over"
MAX_HANDED_BYTES = 3 * 1024 * 1024
"""The largest body that goes over a link; a message has to hold the header fields besides."""
MAX_IN_FLIGHT = 256
"""Requests of one link that are not answered; one more is refused."""
ALIVE_EVERY: Millis = 200.0
"""How often a host with requests of another one under way says that it is there."""


class Field(NamedTuple):
    """One header field."""

    name: bytes
    value: bytes


class HandedRequest(NamedTuple):
    """A caller's request, as it came."""

    number: int
    """Names it on this link; never used again there."""
    method: str
    target: str
    fields: list[Field]
    body: bytes
    time_left: Millis | None
    """How long its caller waits from now on, if it said so."""
    on_used_connection: bool
    round_trip: Millis
    """How long the way to the caller and back takes."""
    version: int
    """The newest configuration that the sender has seen the effect of."""


class HandedCancel(NamedTuple):
    """Nobody waits for the answer any more."""

    number: int


class HandedAnswer(NamedTuple):
    """The whole response for the caller."""

    number: int
    status: int
    content_type: str | None
    fields: list[Field]
    body: bytes
    version: int
    """The configuration that it was served by."""


class HandedRefusal(NamedTuple):
    """Why there is no response; the table of errors says whether the request ran."""

    number: int
    kind: ErrorKind
    message: str
    field: str | None
    retry_after: Millis | None


class Alive(NamedTuple):
    """The host has requests of the other one under way."""


HAND_OVER_MESSAGE_TYPES: tuple[type[Any], ...] = (
    HandedRequest,
    HandedCancel,
    HandedAnswer,
    HandedRefusal,
    Alive,
)


def to_http(method: str, target: str, fields: list[Field], body: bytes) -> HttpRequest:
    """Return the request that a message holds."""
    path, query = parse_target(target)
    pairs = [(one.name, one.value) for one in fields]
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in pairs}
    return HttpRequest(method, path, query, headers, body, target, pairs)


def to_fields(fields: HeaderFields) -> list[Field]:
    """Return header fields as a message carries them."""
    return [Field(name, value) for name, value in fields]
