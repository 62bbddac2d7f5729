"""Finds the history of one request in the logs of several processes."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from datetime import datetime, timedelta
from typing import Any, NamedTuple

from .log_events import LogEvent

BEFORE = timedelta(seconds=5)
"""What a process came to believe this long before a request may have decided its fate."""
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
BELIEF_EVENTS = frozenset(
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
"""Events of the same process that are shown with a request whatever it asked for."""


class LogLine(NamedTuple):
    """One line of a log."""

    time: datetime
    host: str
    number: int
    event: str
    fields: Mapping[str, Any]


def parse_line(text: str) -> LogLine | None:
    """Return the event of a line, or None if the line holds none.

    What stands before the JSON object, as some collectors of logs put it there, is passed over.
    """
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        raw = json.loads(text[begin:])
        time = datetime.strptime(raw["time"], TIME_FORMAT)
        fields = raw.get("fields") or {}
        return LogLine(time, str(raw.get("host", "")), int(raw["number"]), raw["event"], fields)
    except (ValueError, KeyError, TypeError):
        # Logs hold lines of other programs too, and lines that were cut off.
        return None


def find_request_history(request_id: str, texts: Iterable[str]) -> list[LogLine]:
    """Return what the logs say of a request, in the order of time.

    Args:
        request_id: The id as the caller knows it.
        texts: The lines of all logs.

    Returns:
        The request's own lines; before them what the same hosts came to believe shortly before, as
        far as it bears on the request. Empty if no line names the request.
    """
    lines = [line for line in map(parse_line, texts) if line is not None]
    own = [one for one in lines if _is_about(one, request_id)]
    shown = list(own)
    for line in lines:
        if any(_bears_on(line, one) for one in own):
            shown.append(line)
    return sorted(shown, key=lambda line: line.time)


def _is_about(line: LogLine, request_id: str) -> bool:
    return line.number in REQUEST_EVENTS and line.fields.get("request") == request_id


def _bears_on(line: LogLine, own: LogLine) -> bool:
    if line.host != own.host or not own.time - BEFORE <= line.time <= own.time:
        return False
    if line.number in BELIEF_EVENTS:
        return True
    if line.number != LogEvent.SERVER_BELIEF.number:
        return False
    servers = {step.get("server") for step in own.fields.get("steps", ())}
    return line.fields.get("server_id") in servers


def format_line(line: LogLine) -> list[str]:
    """Return a line of a history as text: the event, and below it each decision."""
    fields = dict(line.fields)
    steps = fields.pop("steps", ())
    shown = " ".join(f"{name}={value}" for name, value in fields.items())
    rows = [f"{line.time:%H:%M:%S.%f} {line.host} {line.event} {shown}".rstrip()]
    for step in steps:
        parts = " ".join(f"{name}={value}" for name, value in step.items() if name != "at")
        rows.append(f"    {step.get('at', 0):>8} ms  {parts}")
    return rows
