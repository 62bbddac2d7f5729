"""The ways in which one stand-in server can be told to fail."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ..clock import Millis


class Garbage(StrEnum):
    """Answers to shard requests that are none, or not the one that was asked for."""

    BAD_JSON = "bad_json"
    NOT_AN_OBJECT = "not_an_object"
    WRONG_ID = "wrong_id"
    CROSSED = "crossed"
    """The whole answer to the server's previous shard request."""
    WRONG_SHARD = "wrong_shard"
    WRONG_VERSION = "wrong_version"
    MISSING_ROWS = "missing_rows"
    ROWS_NO_LIST = "rows_no_list"
    SHORT_LENGTH = "short_length"
    """A Content-Length below the size of the body."""
    LONG_LENGTH = "long_length"
    """A Content-Length above the size of the body; then the connection closes."""
    LONG_LENGTH_OPEN = "long_length_open"
    """A Content-Length above the size of the body; the connection stays open."""
    ENDLESS_BODY = "endless_body"
    ENDLESS_HEAD = "endless_head"
    INFORMATIONAL_FLOOD = "informational_flood"
    NOT_HTTP = "not_http"
    ANSWER_TWICE = "answer_twice"
    """The right answer, and behind it one with the rows of another."""
    DRIP = "drip"
    """A byte of the body now and then, without end."""
    ERROR_PAGE = "error_page"
    """An intermediary's page of status 503 that does not name the request."""
    CROSSED_REFUSAL = "crossed_refusal"
    """A refusal that names another request."""
    WRONG_STATUS = "wrong_status"
    """A protocol error under a status that does not belong to it."""


class FrozenSide(StrEnum):
    """Which direction of a connection has gone silent."""

    READ = "read"
    """Requests no longer arrive at the server."""
    WRITE = "write"
    """Requests arrive and run; answers no longer get back."""


@dataclass
class ServerFaults:
    """What one server does wrong at present. Every field can be set while it runs."""

    straggle_ms: Millis = 0.0
    """Added to the time of each shard request."""
    lose: bool = False
    """Closes the connection on each shard request after it was read."""
    crash_on: bytes | None = None
    """Crashes once a shard request has this in its body."""
    shed_ms: Millis | None = None
    """Sheds each shard request and says to come back after this time."""
    draining: bool = False
    garbage: Garbage | None = None
    health_state: str | None = None
    """What the health endpoint says in place of the truth."""
    health_silent: bool = False
    """The health endpoint never answers."""
    report_load: tuple[int, int] | None = None
    """In flight and queued, as reported in place of the truth."""
    cold_ms: Millis = 0.0
    """How long after a start it is cold."""
    cold_factor: float = 10.0
    """How much longer shard requests take while it is cold."""
    restart_ms: Millis = 200.0
    """How long it is gone after a crash."""
