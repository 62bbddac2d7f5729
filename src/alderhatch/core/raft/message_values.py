"""Checks the figures of log messages beyond their types.

A member takes the steps of the algorithm with the figures as they are. With one that no sound
member sends, it would fail halfway through a step, or append what no leader has.
"""

from __future__ import annotations

from .log_entry import LogEntry
from .messages import Append, Message, SnapshotChunk

MAX_NUMBER = 2**62
"""More than any term, index or size; all of them fit into 64 bits on disk."""


def invalid_field(message: Message) -> str | None:
    """Return the name of a field that no sound member sends, or None if there is none."""
    for name, value in zip(message._fields, message, strict=True):
        if isinstance(value, int) and not 0 <= value <= MAX_NUMBER:
            return name
    match message:
        case Append(term, prev_index, prev_term, entries):
            if prev_term > term:
                return "prev_term"
            return _invalid_entries(entries, prev_index, term)
        case SnapshotChunk(term, snapshot, offset, data):
            if not 0 < snapshot.index <= MAX_NUMBER or not 0 <= snapshot.term <= term:
                return "snapshot"
            if not 0 <= snapshot.size <= MAX_NUMBER or offset + len(data) > snapshot.size:
                return "data"
    return None


def _invalid_entries(entries: tuple[LogEntry, ...], prev_index: int, term: int) -> str | None:
    for index, entry in enumerate(entries, prev_index + 1):
        if entry.index != index or not 0 <= entry.term <= term:
            return "entries"
    return None
