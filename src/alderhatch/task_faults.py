"""Records errors that end one task and nothing else.

Whatever one peer sends may hit a mistake in this code. Only the task that handles it may end then:
the connection, the attempt or the entry. Each such error is counted, and logged at most once in a
while, as a peer can cause it as often as it likes.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from .clock import SECOND, LoopClock, Millis
from .log import log_event
from .log_events import LogEvent

LOG_INTERVAL: Millis = 1 * SECOND
"""Least time between two log lines about tasks of one kind."""


class TaskKind(StrEnum):
    """What a task handles whose error ends nothing else."""

    CONNECTION = "connection"
    """A client's connection; it is closed."""
    RESPONSE = "response"
    """A response that can't be written; the client gets an internal error in its place."""
    ATTEMPT = "attempt"
    """A request to one server; it counts as failed there."""
    OPENING = "opening"
    """A connection to a server that is being opened; the server counts as unreachable."""
    LINK = "link"
    """A link of another process of the tier; it is closed."""
    LIST = "list"
    """A read of the server list; it is read again."""
    PROBE = "probe"
    """A probe of another host; the host counts as unreachable."""
    CHECKPOINT = "checkpoint"
    """The state kept from the last run; the host waits for a leader's."""
    LOG_STEP = "log_step"
    """A step of the replicated log; this member stops, and starts again from its disk."""
    BACKGROUND = "background"
    """A task that runs as long as the process; it is started again."""


counts: Counter[TaskKind] = Counter()
"""How many tasks of each kind ended by an error since the process started."""
_next_log_at: dict[TaskKind, Millis] = {}


def record_task_fault(kind: TaskKind, exc: BaseException) -> None:
    """Count and log an error that ended one task."""
    counts[kind] += 1
    now = LoopClock().now()
    if now >= _next_log_at.get(kind, now):
        _next_log_at[kind] = now + LOG_INTERVAL
        log_event(LogEvent.TASK_FAULT, exc=exc, task=kind, count=counts[kind])
