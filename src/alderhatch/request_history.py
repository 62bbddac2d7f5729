"""Collects the history of one request from the logs of several processes."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from datetime import datetime, timedelta
from typing import Any, NamedTuple

from .log_events import LogEvent

STATE_LOOKBACK = timedelta(seconds=5)
"""A state change up to this long before a line of a request may have affected the request."""
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
REQUEST_EVENTS = frozenset(
    event.number
    for event in (
        LogEvent.REQUEST_ENDED,
        LogEvent.REQUEST_HANDED_OVER,
        LogEvent.SHARE_ENDED,
        LogEvent.SHARE_LOST,
    )
)
"""Events that name the request they belong to."""
STATE_EVENTS = frozenset(
    event.number
    for event in (
        LogEvent.CONFIGURATION_ADOPTED,
        LogEvent.EVACUATIONS_ADOPTED,
        LogEvent.STANDING_CHANGED,
        LogEvent.LEADER_FOUND,
        LogEvent.LEADER_LOST,
        LogEvent.SERVER_LIST_LOST,
        LogEvent.SERVER_LIST_BACK,
        LogEvent.NODE_STARTED,
        LogEvent.NODE_STOPPED,
        LogEvent.PROGRAM_STOPPED_BY_SIGNAL,
        LogEvent.LOG_LINES_DROPPED,
        LogEvent.REQUEST_LINES_FOLDED,
    )
)
"""State changes of a host that are shown with each of its requests."""


class LogLine(NamedTuple):
    """One event of a log, as parsed from its line."""

    time: datetime
    host: str
    number: int
    event: str
    fields: Mapping[str, Any]


def parse_line(text: str) -> LogLine | None:
    """Parse the event in a log line; return None if there is none.

    A prefix before the JSON object, as added by some log collectors, is ignored.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        raw = json.loads(text[start:])
        time = datetime.strptime(raw["time"], TIME_FORMAT)
        fields = raw.get("fields") or {}
        return LogLine(time, str(raw.get("host", "")), int(raw["number"]), raw["event"], fields)
    except (ValueError, KeyError, TypeError):
        # Logs also contain lines of other programs and truncated lines.
        return None


def find_request_history(request_id: str, texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines of a request, ordered by time.

    Args:
        request_id: Request ID as the caller knows it.
        texts: Lines of all logs.

    Returns:
        The lines of the request and the relevant state changes of the same hosts shortly before.
        Empty if no line names the request.
    """
    lines = [line for line in map(parse_line, texts) if line is not None]
    request_lines = [
        request_line for request_line in lines if _belongs_to(request_line, request_id)
    ]
    history = list(request_lines)
    for line in lines:
        if any(_is_relevant_to(line, request_line) for request_line in request_lines):
            history.append(line)
    return sorted(history, key=lambda line: line.time)


def _belongs_to(line: LogLine, request_id: str) -> bool:
    return line.number in REQUEST_EVENTS and line.fields.get("request") == request_id


def _is_relevant_to(line: LogLine, line_of_request: LogLine) -> bool:
    if (
        line.host != line_of_request.host
        or not line_of_request.time - STATE_LOOKBACK <= line.time <= line_of_request.time
    ):
        return False
    if line.number in STATE_EVENTS:
        return True
    if line.number != LogEvent.SERVER_BELIEF.number:
        return False
    servers = {step.get("server") for step in line_of_request.fields.get("steps", ())}
    return line.fields.get("server_id") in servers


def format_line(line: LogLine) -> list[str]:
    """Format a line of a history as text: the event, followed by one row for each decision."""
    fields = dict(line.fields)
    steps = fields.pop("steps", ())
    field_text = " ".join(f"{name}={value}" for name, value in fields.items())
    rows = [f"{line.time:%H:%M:%S.%f} {line.host} {line.event} {field_text}".rstrip()]
    for step in steps:
        parts = " ".join(f"{name}={value}" for name, value in step.items() if name != "at")
        rows.append(f"    {step.get('at', 0):>8} ms  {parts}")
    return rows
