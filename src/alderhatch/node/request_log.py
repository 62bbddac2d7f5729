"""Logs requests that failed, were late or incomplete, and a sample of the other ones."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from ..clock import LoopClock, Millis
from ..core.forwarding.forward_run import ForwardRun
from ..core.forwarding.outcome import Answered, Failed, Gathered, NotRun, Outcome
from ..core.token_bucket import TokenBucket
from ..errors import ErrorKind
from ..log import log_event
from ..log_events import LogEvent
from .dialect import CallerRequest
from .node_state import NodeState

CALLER_GONE = "caller_gone"
SAMPLE_INTERVAL = 20
"""One in this many successful requests is logged."""
LINES_PER_SECOND = 30.0
"""Rate limit for requests that were not successful. A line has some 2 KB, so the worst second
stays below 100 KB and 3 % of a small host's processor time."""
LINE_BURST = 60.0
SHARE_LINES_PER_SECOND = 5.0
"""Separate limit for shares of other hosts' gathers, so that they do not displace the lines of
this host's own requests."""
SHARE_LINE_BURST = 15.0
CALLER_KINDS = (ErrorKind.UNAUTHORIZED, ErrorKind.CALLER_LIMIT)
"""Refusals that a caller brings about itself, and may repeat at any rate."""
CALLER_LINES_PER_SECOND = 2.0
"""Separate limit for these refusals, so that they do not displace the lines of other requests."""
CALLER_LINE_BURST = 10.0
MAX_STATE_CHANGE_LINES = 20
"""Server state changes that get their own line in each flush; the others are counted."""
MAX_DECISIONS = 24
"""Most decisions on one line; those about shards without an answer are preferred."""


class RequestEnd(NamedTuple):
    """The result of a request."""

    outcome: str
    """``complete``, ``partial``, or the reason why there is no answer."""
    coverage: float
    duration: Millis


def to_request_end(outcome: Outcome, duration: Millis) -> RequestEnd:
    """Return the result of a request with an outcome."""
    match outcome:
        case Answered(parts, missing):
            coverage = len(parts) / (len(parts) + missing)
            return RequestEnd("partial" if missing else "complete", coverage, duration)
        case Gathered(bundles, missing):
            received = sum(len(bundle.shards) for bundle in bundles)
            coverage = received / (received + missing)
            return RequestEnd("partial" if missing else "complete", coverage, duration)
        case NotRun(reason) | Failed(reason):
            return RequestEnd(reason, 0.0, duration)


class RequestLog:
    """Logs requests within a rate limit.

    Args:
        state: The node's state; its age is part of each line.
        requests_in_flight: Returns how many requests this host is answering.
    """

    def __init__(self, state: NodeState, requests_in_flight: Callable[[], int]) -> None:
        self._state = state
        self._requests_in_flight = requests_in_flight
        self._clock = LoopClock()
        self._lines = TokenBucket(LINE_BURST, 0.0)
        self._share_lines = TokenBucket(SHARE_LINE_BURST, 0.0)
        self._caller_lines = TokenBucket(CALLER_LINE_BURST, 0.0)
        self._since_sample = 0
        self._handed_over_since_sample = 0
        self._suppressed = 0

    def log_end(self, req: CallerRequest, run: ForwardRun, end: RequestEnd) -> None:
        """Log a request that was answered, failed or was cancelled."""
        is_late = end.duration > run.route.target_latency
        if end.outcome == "complete" and not is_late:
            self._since_sample += 1
            if self._since_sample < SAMPLE_INTERVAL:
                return
            fields = self._fields(req, run, end) | {"like": self._since_sample}
            log_event(LogEvent.REQUEST_ENDED, None, **fields)
            self._since_sample = 0
            return
        if self._take_token():
            fields = self._fields(req, run, end) | {"steps": _steps(run)}
            log_event(LogEvent.REQUEST_ENDED, None, **fields)
        else:
            self._suppressed += 1

    def log_share_end(self, req: CallerRequest, run: ForwardRun, end: RequestEnd) -> None:
        """Log an incomplete share of another host's gather, which logs the whole request."""
        if end.outcome == "complete":
            return
        now = self._clock.now()
        if self._share_lines.take(SHARE_LINES_PER_SECOND, SHARE_LINE_BURST, now) > 0.0:
            self._suppressed += 1
            return
        fields = self._fields(req, run, end) | {"steps": _steps(run)}
        log_event(LogEvent.SHARE_ENDED, None, **fields)

    def log_cancelled(self, req: CallerRequest, run: ForwardRun, duration: Millis) -> None:
        """Log a request whose caller disconnected, so that its work at servers is cancelled."""
        self.log_end(req, run, RequestEnd(CALLER_GONE, 0.0, duration))

    def log_refused(self, req: CallerRequest, kind: str, message: str) -> None:
        """Log a request that was refused before it ran."""
        if not (self._take_caller_token() if kind in CALLER_KINDS else self._take_token()):
            self._suppressed += 1
            return
        is_unidentified = kind == ErrorKind.UNAUTHORIZED
        event = LogEvent.IDENTITY_REFUSED if is_unidentified else LogEvent.REQUEST_ENDED
        fields = {"request": req.request_id, "outcome": kind, "why": message}
        log_event(event, None, **fields, **_organisation_field(req))

    def log_handed_over(
        self, req: CallerRequest, host: str | None, outcome: str, duration: Millis
    ) -> None:
        """Log a request that was handed over; ``host`` is None if no host answered it."""
        if host is not None:
            self._handed_over_since_sample += 1
            if self._handed_over_since_sample < SAMPLE_INTERVAL:
                return
            self._handed_over_since_sample = 0
        if not self._take_token():
            self._suppressed += 1
            return
        log_event(
            LogEvent.REQUEST_HANDED_OVER,
            request=req.request_id,
            host=host,
            outcome=outcome,
            span_ms=round(duration, 1),
        )

    def flush(self) -> None:
        """Log the changes of server states, and the number of suppressed lines."""
        changes = self._state.table.take_changes()
        for change in changes[:MAX_STATE_CHANGE_LINES]:
            log_event(LogEvent.SERVER_BELIEF, None, **change._asdict())
        if len(changes) > MAX_STATE_CHANGE_LINES:
            rest = Counter(change.belief for change in changes[MAX_STATE_CHANGE_LINES:])
            log_event(LogEvent.SERVER_BELIEF, more=dict(rest))
        if self._suppressed:
            log_event(LogEvent.REQUEST_LINES_FOLDED, count=self._suppressed)
            self._suppressed = 0

    def _take_token(self) -> bool:
        return self._lines.take(LINES_PER_SECOND, LINE_BURST, self._clock.now()) == 0.0

    def _take_caller_token(self) -> bool:
        now = self._clock.now()
        return self._caller_lines.take(CALLER_LINES_PER_SECOND, CALLER_LINE_BURST, now) == 0.0

    def _fields(self, req: CallerRequest, run: ForwardRun, end: RequestEnd) -> dict[str, object]:
        age = self._state.list_age()
        return {
            "request": req.request_id,
            "route": run.route.name,
            "outcome": end.outcome,
            "coverage": round(end.coverage, 4),
            "span_ms": round(end.duration, 1),
            "due_ms": round(run.due - run.times.arrived, 1),
            "left_ms": round(run.times.deadline - run.times.arrived),
            "unread_ms": round(req.http.unread_time, 1),
            "in_flight": self._requests_in_flight(),
            "hedges": run.hedges,
            "retries": run.retries,
            "configuration": self._state.stored.version,
            "list_age_ms": round(age) if age != float("inf") else None,
            "hosts": self._state.live_host_count,
        } | _organisation_field(req)


def _organisation_field(req: CallerRequest) -> dict[str, object]:
    return {} if req.organisation is None else {"organisation": req.organisation.name}


def _steps(run: ForwardRun) -> list[dict[str, object]]:
    unanswered = {name for name, shard in run.shards.items() if shard.part is None}
    shown = [decision for decision in run.trace if decision.shard in unanswered][:MAX_DECISIONS]
    if not shown:
        shown = run.trace[-MAX_DECISIONS:]
    return [decision.log_fields() for decision in shown]
