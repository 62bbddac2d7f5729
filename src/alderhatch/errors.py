"""The closed list of error kinds and the one table from kind to answer.

Every refusal or failure that a caller, an operator or a process of ours is shown has one of these
kinds. The table says which HTTP status goes with it, whether the request ran, and whether to send
it again, and where to.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from .clock import Millis


class RunStatus(StrEnum):
    """Whether any upstream began to run the request."""

    NOT_RUN = "not_run"
    """True without exception: no byte of it reached an upstream that did not refuse it."""
    RAN = "ran"
    UNKNOWN = "unknown"


class Resend(StrEnum):
    """What a caller should do with a failed request."""

    NEVER = "never"
    """The same request fails again."""
    SAME_ENTRY = "same_entry"
    """Send it again to the same address after ``retry_after_ms``."""
    OTHER_ENTRY = "other_entry"
    """Send it to another of the addresses now."""
    SAME_ID = "same_id"
    """Ask again with the same request id, at any entry; it will not run twice."""


class ErrorKind(StrEnum):
    """Every way in which a request, a change or a message can fail."""

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
    """How one kind of error is told to whoever asked."""

    status: int
    """The HTTP status."""
    ran: RunStatus
    resend: Resend
    meaning: str
    """One sentence for the person who reads it."""


ERROR_ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(
        400, RunStatus.NOT_RUN, Resend.NEVER, "A field is missing, unknown or out of its range."
    ),
    ErrorKind.TOO_LARGE: ErrorAnswer(
        413, RunStatus.NOT_RUN, Resend.NEVER, "The head or the body is larger than the limit."
    ),
    ErrorKind.TOO_SLOW: ErrorAnswer(
        408, RunStatus.NOT_RUN, Resend.SAME_ENTRY, "The request did not arrive whole in time."
    ),
    ErrorKind.NOT_FOUND: ErrorAnswer(
        404, RunStatus.NOT_RUN, Resend.NEVER, "There is nothing under this path or name."
    ),
    ErrorKind.UNAUTHORIZED: ErrorAnswer(
        401, RunStatus.NOT_RUN, Resend.NEVER, "The key is missing or not known."
    ),
    ErrorKind.FORBIDDEN: ErrorAnswer(
        403, RunStatus.NOT_RUN, Resend.NEVER, "The key does not have the role that this needs."
    ),
    ErrorKind.REFUSED_BY_RULE: ErrorAnswer(
        403, RunStatus.NOT_RUN, Resend.NEVER, "The first rule that matches the request refuses it."
    ),
    ErrorKind.UNKNOWN_UPSTREAM: ErrorAnswer(
        404, RunStatus.NOT_RUN, Resend.NEVER, "No upstream of this name is configured."
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
        "This node has not learnt its configuration yet.",
    ),
    ErrorKind.NOT_SERVING: ErrorAnswer(
        503,
        RunStatus.NOT_RUN,
        Resend.OTHER_ENTRY,
        "This node stands by, and reaches none that serves.",
    ),
    ErrorKind.CALLER_LIMIT: ErrorAnswer(
        429, RunStatus.NOT_RUN, Resend.SAME_ENTRY, "The caller, or its rule, is over its rate."
    ),
    ErrorKind.OVERLOADED: ErrorAnswer(
        503,
        RunStatus.NOT_RUN,
        Resend.SAME_ENTRY,
        "The queue is full, or its wait outlasts the deadline.",
    ),
    ErrorKind.DEADLINE_TOO_SHORT: ErrorAnswer(
        504, RunStatus.NOT_RUN, Resend.NEVER, "The deadline cannot be met, so nothing was sent."
    ),
    ErrorKind.LEASE_EXPIRED: ErrorAnswer(
        503, RunStatus.NOT_RUN, Resend.OTHER_ENTRY, "This entry is cut off from control."
    ),
    ErrorKind.STOPPING: ErrorAnswer(
        503,
        RunStatus.NOT_RUN,
        Resend.OTHER_ENTRY,
        "This entry is stopping and takes no new request.",
    ),
    ErrorKind.QUARANTINED: ErrorAnswer(
        422, RunStatus.NOT_RUN, Resend.SAME_ENTRY, "Requests with this body crashed upstreams."
    ),
    ErrorKind.LEDGER_UNAVAILABLE: ErrorAnswer(
        503, RunStatus.NOT_RUN, Resend.SAME_ID, "The run ledger could not record the claim."
    ),
    ErrorKind.REQUEST_ID_REUSED: ErrorAnswer(
        409, RunStatus.NOT_RUN, Resend.NEVER, "The request id was used before with another body."
    ),
    ErrorKind.REQUEST_ID_TOO_OLD: ErrorAnswer(
        410, RunStatus.UNKNOWN, Resend.NEVER, "The request id is older than what the ledger keeps."
    ),
    ErrorKind.IN_PROGRESS: ErrorAnswer(
        409, RunStatus.UNKNOWN, Resend.SAME_ID, "An earlier sending of this request still runs."
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        504, RunStatus.UNKNOWN, Resend.NEVER, "The request may have run; its answer was lost."
    ),
    ErrorKind.COVERAGE_TOO_LOW: ErrorAnswer(
        504,
        RunStatus.RAN,
        Resend.SAME_ENTRY,
        "The answer covers less than the least that was asked for.",
    ),
    ErrorKind.UPSTREAM_REFUSED: ErrorAnswer(
        503, RunStatus.NOT_RUN, Resend.SAME_ENTRY, "Every server that could run it refused to."
    ),
    ErrorKind.UPSTREAM_FAILED: ErrorAnswer(
        502, RunStatus.RAN, Resend.NEVER, "The upstream ran it and answered that it failed."
    ),
    ErrorKind.REVISION_CONFLICT: ErrorAnswer(
        409,
        RunStatus.NOT_RUN,
        Resend.NEVER,
        "The configuration is at another revision than expected.",
    ),
    ErrorKind.INVALID_CHANGE: ErrorAnswer(
        422, RunStatus.NOT_RUN, Resend.NEVER, "The change does not fit the state or breaks a check."
    ),
    ErrorKind.STOP_REFUSED: ErrorAnswer(
        409,
        RunStatus.NOT_RUN,
        Resend.NEVER,
        "The stop would take the quorum or a zone's last entry.",
    ),
    ErrorKind.NO_LEADER: ErrorAnswer(
        503,
        RunStatus.NOT_RUN,
        Resend.OTHER_ENTRY,
        "This control host knows no leader with a quorum.",
    ),
    ErrorKind.CHANGE_UNKNOWN: ErrorAnswer(
        504, RunStatus.UNKNOWN, Resend.SAME_ID, "The change may be accepted; resend it with its id."
    ),
    ErrorKind.STORAGE_FAILED: ErrorAnswer(
        507, RunStatus.UNKNOWN, Resend.SAME_ID, "The disk of the control host failed or is full."
    ),
    ErrorKind.INTERNAL: ErrorAnswer(
        500, RunStatus.UNKNOWN, Resend.NEVER, "A fault of alderhatch itself; it is in the log."
    ),
}
"""The table from error kind to answer. It has a row for every kind."""


@dataclass(frozen=True, slots=True)
class Failure:
    """The tagged outcome of anything that failed."""

    kind: ErrorKind
    message: str
    """What exactly is wrong, naming the field or object."""
    field: str | None = None
    """The field that is at fault, as a dotted path, if one is."""
    retry_after_ms: Millis | None = None
    """When to come back, for kinds whose answer says to send it again."""

    @property
    def answer(self) -> ErrorAnswer:
        """The table's row for this kind."""
        return ERROR_ANSWERS[self.kind]


class AlderhatchError(Exception):
    """A failure on its way up to whoever turns it into an answer."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.kind}: {failure.message}")
        self.failure = failure
