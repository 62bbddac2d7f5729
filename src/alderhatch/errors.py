"""The error catalogue: all error kinds and the response for each of them.

Every error that is returned to a caller, an operator or another alderhatch process has one of these
kinds. The catalogue defines its HTTP status, whether the request ran, and whether and where to
resend it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from .clock import Millis


class RunStatus(StrEnum):
    """Whether an upstream started to run the request."""

    NOT_RUN = "not_run"
    """Guaranteed: no byte of the request reached an upstream, except servers that rejected it."""
    RAN = "ran"
    UNKNOWN = "unknown"


class Resend(StrEnum):
    """Whether and where a caller should resend a failed request."""

    NEVER = "never"
    """Do not resend; the same request fails again."""
    SAME_ENTRY = "same_entry"
    """Resend to the same address after ``retry_after_ms``."""
    OTHER_ENTRY = "other_entry"
    """Resend to another address immediately."""
    SAME_ID = "same_id"
    """Resend with the same request ID to any entry; the request does not run twice."""


class ErrorKind(StrEnum):
    """All kinds of errors of requests, changes and messages."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    TOO_SLOW = "too_slow"
    NOT_FOUND = "not_found"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    REFUSED_BY_RULE = "refused_by_rule"
    UNKNOWN_UPSTREAM = "unknown_upstream"
    NO_SNAPSHOT = "no_snapshot"
    NO_CONFIGURATION = "no_configuration"
    NOT_SERVING = "not_serving"
    CALLER_LIMIT = "caller_limit"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    LEASE_EXPIRED = "lease_expired"
    STOPPING = "stopping"
    QUARANTINED = "quarantined"
    LEDGER_UNAVAILABLE = "ledger_unavailable"
    REQUEST_ID_REUSED = "request_id_reused"
    REQUEST_ID_TOO_OLD = "request_id_too_old"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    COVERAGE_TOO_LOW = "coverage_too_low"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_FAILED = "upstream_failed"
    REVISION_CONFLICT = "revision_conflict"
    INVALID_CHANGE = "invalid_change"
    STOP_REFUSED = "stop_refused"
    NO_LEADER = "no_leader"
    CHANGE_UNKNOWN = "change_unknown"
    STORAGE_FAILED = "storage_failed"
    INTERNAL = "internal"


class ErrorAnswer(NamedTuple):
    """The response for one kind of error."""

    status: int
    """The HTTP status."""
    ran: RunStatus
    resend: Resend
    meaning: str
    """Description in one sentence."""


ERROR_ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(
        400, RunStatus.NOT_RUN, Resend.NEVER, "A field is missing, unknown or out of range."
    ),
    ErrorKind.TOO_LARGE: ErrorAnswer(
        413, RunStatus.NOT_RUN, Resend.NEVER, "The header or the body exceeds the size limit."
    ),
    ErrorKind.TOO_SLOW: ErrorAnswer(
        408,
        RunStatus.NOT_RUN,
        Resend.SAME_ENTRY,
        "The request was not received completely within the time limit.",
    ),
    ErrorKind.NOT_FOUND: ErrorAnswer(
        404, RunStatus.NOT_RUN, Resend.NEVER, "No resource has this path or name."
    ),
    ErrorKind.UNAUTHORIZED: ErrorAnswer(
        401, RunStatus.NOT_RUN, Resend.NEVER, "The key is missing or unknown."
    ),
    ErrorKind.FORBIDDEN: ErrorAnswer(
        403, RunStatus.NOT_RUN, Resend.NEVER, "The key lacks the role that is required."
    ),
    ErrorKind.REFUSED_BY_RULE: ErrorAnswer(
        403, RunStatus.NOT_RUN, Resend.NEVER, "The first rule that matches the request rejects it."
    ),
    ErrorKind.UNKNOWN_UPSTREAM: ErrorAnswer(
        404, RunStatus.NOT_RUN, Resend.NEVER, "No upstream with this name is configured."
    ),
    ErrorKind.NO_SNAPSHOT: ErrorAnswer(
        503,
        RunStatus.NOT_RUN,
        Resend.OTHER_ENTRY,
        "This entry has no shard map of the upstream yet.",
    ),
    ErrorKind.NO_CONFIGURATION: ErrorAnswer(
        503,
        RunStatus.NOT_RUN,
        Resend.OTHER_ENTRY,
        "This node has not received a configuration yet.",
    ),
    ErrorKind.NOT_SERVING: ErrorAnswer(
        503,
        RunStatus.NOT_RUN,
        Resend.OTHER_ENTRY,
        "This node is on standby and can reach no active host.",
    ),
    ErrorKind.CALLER_LIMIT: ErrorAnswer(
        429,
        RunStatus.NOT_RUN,
        Resend.SAME_ENTRY,
        "The caller or its rule exceeds its request rate limit.",
    ),
    ErrorKind.OVERLOADED: ErrorAnswer(
        503,
        RunStatus.NOT_RUN,
        Resend.SAME_ENTRY,
        "The queue is full or its wait would exceed the deadline.",
    ),
    ErrorKind.DEADLINE_TOO_SHORT: ErrorAnswer(
        504, RunStatus.NOT_RUN, Resend.NEVER, "The deadline can't be met, so nothing was sent."
    ),
    ErrorKind.LEASE_EXPIRED: ErrorAnswer(
        503,
        RunStatus.NOT_RUN,
        Resend.OTHER_ENTRY,
        "The lease of this entry has expired: it can't reach control.",
    ),
    ErrorKind.STOPPING: ErrorAnswer(
        503,
        RunStatus.NOT_RUN,
        Resend.OTHER_ENTRY,
        "This entry is shutting down and accepts no new requests.",
    ),
    ErrorKind.QUARANTINED: ErrorAnswer(
        422, RunStatus.NOT_RUN, Resend.SAME_ENTRY, "Requests with this body crashed servers."
    ),
    ErrorKind.LEDGER_UNAVAILABLE: ErrorAnswer(
        503, RunStatus.NOT_RUN, Resend.SAME_ID, "The run ledger could not record the claim."
    ),
    ErrorKind.REQUEST_ID_REUSED: ErrorAnswer(
        409, RunStatus.NOT_RUN, Resend.NEVER, "The request ID was already used with another body."
    ),
    ErrorKind.REQUEST_ID_TOO_OLD: ErrorAnswer(
        410,
        RunStatus.UNKNOWN,
        Resend.NEVER,
        "The request ID is older than the retention of the ledger.",
    ),
    ErrorKind.IN_PROGRESS: ErrorAnswer(
        409,
        RunStatus.UNKNOWN,
        Resend.SAME_ID,
        "An earlier attempt of this request is still running.",
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        504, RunStatus.UNKNOWN, Resend.NEVER, "The request may have run, but its answer was lost."
    ),
    ErrorKind.COVERAGE_TOO_LOW: ErrorAnswer(
        504,
        RunStatus.RAN,
        Resend.SAME_ENTRY,
        "The coverage of the answer is below the requested minimum.",
    ),
    ErrorKind.UPSTREAM_REFUSED: ErrorAnswer(
        503,
        RunStatus.NOT_RUN,
        Resend.SAME_ENTRY,
        "Every server that could run the request rejected it.",
    ),
    ErrorKind.UPSTREAM_FAILED: ErrorAnswer(
        502, RunStatus.RAN, Resend.NEVER, "The upstream ran the request and returned an error."
    ),
    ErrorKind.REVISION_CONFLICT: ErrorAnswer(
        409,
        RunStatus.NOT_RUN,
        Resend.NEVER,
        "The configuration does not have the expected revision.",
    ),
    ErrorKind.INVALID_CHANGE: ErrorAnswer(
        422,
        RunStatus.NOT_RUN,
        Resend.NEVER,
        "The change conflicts with the current state or fails a check.",
    ),
    ErrorKind.STOP_REFUSED: ErrorAnswer(
        409,
        RunStatus.NOT_RUN,
        Resend.NEVER,
        "Stopping would lose the quorum or the last entry of a zone.",
    ),
    ErrorKind.NO_LEADER: ErrorAnswer(
        503,
        RunStatus.NOT_RUN,
        Resend.OTHER_ENTRY,
        "This control host knows no leader that has a quorum.",
    ),
    ErrorKind.CHANGE_UNKNOWN: ErrorAnswer(
        504,
        RunStatus.UNKNOWN,
        Resend.SAME_ID,
        "The change may be accepted; resend it with the same ID.",
    ),
    ErrorKind.STORAGE_FAILED: ErrorAnswer(
        507,
        RunStatus.UNKNOWN,
        Resend.SAME_ID,
        "The disk of the control host has failed or is full.",
    ),
    ErrorKind.INTERNAL: ErrorAnswer(
        500, RunStatus.UNKNOWN, Resend.NEVER, "Internal error in alderhatch; see the log."
    ),
}
"""The error catalogue; it has one row for each error kind."""


@dataclass(frozen=True, slots=True)
class Failure:
    """An error with its kind and details."""

    kind: ErrorKind
    message: str
    """What is wrong, naming the field or object."""
    field: str | None = None
    """Dotted path of the invalid field, if there is one."""
    retry_after_ms: Millis | None = None
    """Delay before a resend, for kinds whose answer advises one."""

    @property
    def answer(self) -> ErrorAnswer:
        """The row of the error catalogue for this kind."""
        return ERROR_ANSWERS[self.kind]


class AlderhatchError(Exception):
    """Exception that carries a ``Failure`` to the code that turns it into a response."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.kind}: {failure.message}")
        self.failure = failure
