"""Faults that can be injected into one stand-in server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ..clock import Millis


class Garbage(StrEnum):
    """Kinds of invalid answer to a shard request."""

    BAD_JSON = "bad_json"
    NOT_AN_OBJECT = "not_an_object"
    WRONG_ID = "wrong_id"
    CROSSED = "crossed"
    """The complete answer to the server's previous shard request."""
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
    """The correct answer, followed by a second one with false rows."""
    DRIP = "drip"
    """Single bytes of the body with pauses, without end."""
    ERROR_PAGE = "error_page"
    """An intermediary's page with status 503 that does not name the request."""
    CROSSED_REFUSAL = "crossed_refusal"
    """A refusal that names another request."""
    WRONG_STATUS = "wrong_status"
    """A protocol error with a status of another error."""


class FrozenSide(StrEnum):
    """Direction of a connection that has stopped without an error."""

    READ = "read"
    """Requests no longer reach the server."""
    WRITE = "write"
    """Requests reach the server and run; their answers are not sent."""


@dataclass
class ServerFaults:
    """Current faults of one server. Every field can be set while it runs."""

    straggle_ms: Millis = 0.0
    """Added to the time of each shard request."""
    lose: bool = False
    """Closes the connection after reading a shard request."""
    crash_on: bytes | None = None
    """Crashes on a shard request that has this in its body."""
    shed_ms: Millis | None = None
    """Sheds each shard request, with this time in Retry-After."""
    draining: bool = False
    garbage: Garbage | None = None
    health_state: str | None = None
    """State that the health endpoint reports instead of the true one."""
    health_silent: bool = False
    """The health endpoint never answers."""
    report_load: tuple[int, int] | None = None
    """Requests in flight and queued, reported instead of the true numbers."""
    cold_ms: Millis = 0.0
    """How long the server is cold after a start."""
    cold_factor: float = 10.0
    """Factor on the time of shard requests while it is cold."""
    restart_ms: Millis = 200.0
    """Downtime after a crash."""
