"""Messages between a host that hands a request over and the host that answers it."""

from __future__ import annotations

import re
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
MIN_STATUS = 200
MAX_STATUS = 599
FIELD_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
FIELD_VALUE = re.compile(rb"([!-~\x80-\xff]([\t -~\x80-\xff]*[!-~\x80-\xff])?)?")
FRAMING_FIELDS = (b"content-length", b"transfer-encoding", b"connection")
"""Fields that the host sets itself when it writes an answer."""
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


def check_answer(answer: HandedAnswer) -> None:
    """Check that an answer of another host can be written to a caller.

    Raises:
        ValueError: Naming the field that can't be.
    """
    if not MIN_STATUS <= answer.status <= MAX_STATUS:
        raise ValueError(f"status: expected {MIN_STATUS} to {MAX_STATUS}, got {answer.status}")
    content_type = answer.content_type or ""
    if not content_type.isascii() or not _is_field_value(content_type.encode()):
        raise ValueError("content_type: can't be a field of a head")
    for index, (name, value) in enumerate(answer.fields):
        if FIELD_NAME.fullmatch(name) is None or name.lower() in FRAMING_FIELDS:
            raise ValueError(f"fields.{index}.name: can't be a field of a head")
        if not _is_field_value(value):
            raise ValueError(f"fields.{index}.value: can't be that of a field of a head")


def _is_field_value(value: bytes) -> bool:
    return FIELD_VALUE.fullmatch(value) is not None


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
