"""One line for each request that went wrong, and a sample of those that went well."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from ..clock import LoopClock, Millis
from ..core.forwarding.forward_run import ForwardRun
from ..core.forwarding.outcome import Answered, Failed, Gathered, NotRun, Outcome
from ..core.token_bucket import TokenBucket
from ..log import log_event
from ..log_events import LogEvent
from .dialect import CallerRequest
from .node_state import NodeState

CALLER_GONE = "caller_gone"
SAMPLE = 20
"""One in so many requests that went well has a line; the others are counted."""
LINES_PER_SECOND = 30.0
"""For requests that did not go well. A line has some 2 KB, so the worst second stays under 100 KB
and 3 % of a small host's processor."""
BURST = 60.0
SHARE_LINES_PER_SECOND = 5.0
"""For shares of other hosts' gathers, so that they leave room for this host's own requests."""
SHARE_BURST = 15.0
MAX_CHANGES = 20
"""Changes of belief of servers a second that have a line of their own; the others are counted."""
MAX_STEPS = 24
"""Decisions shown on one line; those about shards without an answer come first."""


class RequestEnd(NamedTuple):
    """What is known of a request when it ends."""

    outcome: str
    """``complete``, ``partial``, or why there is no answer."""
    coverage: float
    span: Millis


def end_of(outcome: Outcome, span: Millis) -> RequestEnd:
    """Return how a request ended."""
    match outcome:
        case Answered(parts, missing):
            coverage = len(parts) / (len(parts) + missing)
            return RequestEnd("partial" if missing else "complete", coverage, span)
        case Gathered(bundles, missing):
            parts_in = sum(len(bundle.shards) for bundle in bundles)
            coverage = parts_in / (parts_in + missing)
            return RequestEnd("partial" if missing else "complete", coverage, span)
        case NotRun(reason) | Failed(reason):
            return RequestEnd(reason, 0.0, span)


class RequestLog:
    """Writes lines of requests within a rate.

    Args:
        state: What the node believes, shown with its age.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._clock = LoopClock()
        self._lines = TokenBucket(BURST, 0.0)
        self._share_lines = TokenBucket(SHARE_BURST, 0.0)
        self._since_sample = 0
        self._handed_since_sample = 0
        self._folded = 0

    def ended(self, req: CallerRequest, run: ForwardRun, end: RequestEnd) -> None:
        """Take a request that was answered or refused."""
        late = end.span > run.route.target_latency
        if end.outcome == "complete" and not late:
            self._since_sample += 1
            if self._since_sample < SAMPLE:
                return
            fields = self._fields(req, run, end) | {"like": self._since_sample}
            log_event(LogEvent.REQUEST_ENDED, None, **fields)
            self._since_sample = 0
            return
        if self._take_token():
            fields = self._fields(req, run, end) | {"steps": _steps(run)}
            log_event(LogEvent.REQUEST_ENDED, None, **fields)
        else:
            self._folded += 1

    def share_ended(self, req: CallerRequest, run: ForwardRun, end: RequestEnd) -> None:
        """Take a share of another host's gather; that host has the line of the whole."""
        if end.outcome == "complete":
            return
        now = self._clock.now()
        if self._share_lines.take(SHARE_LINES_PER_SECOND, SHARE_BURST, now) > 0.0:
            self._folded += 1
            return
        fields = self._fields(req, run, end) | {"steps": _steps(run)}
        log_event(LogEvent.SHARE_ENDED, None, **fields)

    def cancelled(self, req: CallerRequest, run: ForwardRun, span: Millis) -> None:
        """Take a request whose caller has gone; its work at servers is cancelled."""
        self.ended(req, run, RequestEnd(CALLER_GONE, 0.0, span))

    def refused(self, req: CallerRequest, kind: str, message: str) -> None:
        """Take a request that was refused before it had a route or a configuration."""
        if self._take_token():
            log_event(LogEvent.REQUEST_ENDED, request=req.request_id, outcome=kind, why=message)
        else:
            self._folded += 1

    def handed_over(self, req: CallerRequest, host: str | None, outcome: str, span: Millis) -> None:
        """Take a request that another host answered, or that none did."""
        if host is not None:
            self._handed_since_sample += 1
            if self._handed_since_sample < SAMPLE:
                return
            self._handed_since_sample = 0
        if not self._take_token():
            self._folded += 1
            return
        log_event(
            LogEvent.REQUEST_HANDED_OVER,
            request=req.request_id,
            host=host,
            outcome=outcome,
            span_ms=round(span, 1),
        )

    def flush(self) -> None:
        """Say what changed of the servers, and how many lines were left out, if any were."""
        changes = self._state.table.take_changes()
        for change in changes[:MAX_CHANGES]:
            log_event(LogEvent.SERVER_BELIEF, None, **change._asdict())
        if len(changes) > MAX_CHANGES:
            rest = Counter(change.belief for change in changes[MAX_CHANGES:])
            log_event(LogEvent.SERVER_BELIEF, more=dict(rest))
        if self._folded:
            log_event(LogEvent.REQUEST_LINES_FOLDED, count=self._folded)
            self._folded = 0

    def _take_token(self) -> bool:
        return self._lines.take(LINES_PER_SECOND, BURST, self._clock.now()) == 0.0

    def _fields(self, req: CallerRequest, run: ForwardRun, end: RequestEnd) -> dict[str, object]:
        age = self._state.list_age()
        return {
            "request": req.request_id,
            "route": run.route.name,
            "outcome": end.outcome,
            "coverage": round(end.coverage, 4),
            "span_ms": round(end.span, 1),
            "due_ms": round(run.due - run.times.arrived, 1),
            "left_ms": round(run.times.deadline - run.times.arrived),
            "hedges": run.hedges,
            "retries": run.retries,
            "configuration": self._state.stored.version,
            "list_age_ms": round(age) if age != float("inf") else None,
            "hosts": self._state.live_host_count,
        }


def _steps(run: ForwardRun) -> list[dict[str, object]]:
    lacking = {name for name, shard in run.shards.items() if shard.part is None}
    shown = [one for one in run.trace if one.shard in lacking][:MAX_STEPS]
    if not shown:
        shown = run.trace[-MAX_STEPS:]
    return [one.log_fields() for one in shown]
